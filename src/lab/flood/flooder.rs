//! The flood: holds silent connections open, and opens a new one for each that the edge proxy ends.

use super::{connect, FloodPlan};
use crate::standin::thrift_client::{ping, send};
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// The pause when no connection can be opened.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// What became of the flood's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloodCounts {
    /// Connections that the flood opened.
    pub opened: u64,
    /// Of them, ended by the edge proxy.
    pub ended: u64,
}

/// Floods until the deadline, or until it is over.
pub(super) fn run(plan: &FloodPlan, deadline: Instant, is_stopped: &AtomicBool) -> FloodCounts {
    let mut held: Vec<TcpStream> = Vec::new();
    let mut counts = FloodCounts::default();
    while Instant::now() < deadline && !is_stopped.load(Ordering::Relaxed) {
        let before = held.len();
        held.retain(is_open);
        counts.ended += (before - held.len()) as u64;
        let opened = if held.len() < plan.flood_connections { open(plan) } else { None };
        match opened {
            Some(stream) => {
                held.push(stream);
                counts.opened += 1;
            }
            None => thread::sleep(OPEN_RETRY_PAUSE),
        }
    }
    counts
}

/// Whether a connection is silent both ways: the edge proxy has not ended or reset it, nor answered with a rejection.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

fn open(plan: &FloodPlan) -> Option<TcpStream> {
    let mut stream = connect(plan.flood_from, plan.target, CONNECT_TIMEOUT).ok()?;
    stream.set_nonblocking(true).ok()?;
    if plan.flood_pings {
        // Its answer is not read; a write that fails shows at the next peek.
        let _ = send(&mut stream, &ping(1));
    }
    Some(stream)
}
