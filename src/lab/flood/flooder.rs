//! The flood: holds idle connections open, and opens a new one for each that the edge proxy closes.

use super::{connect, FloodPlan};
use crate::standin::thrift_client::{ping, send};
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause when no further connection may or can be opened.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(1);

/// Counts of the flood's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FloodCounts {
    /// Number of connections that the flood opened.
    pub opened: u64,
    /// Number of those that the edge proxy closed, reset or answered.
    pub ended: u64,
}

/// Floods until the deadline, or until `is_stopped` is set.
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

/// Whether the edge proxy has neither closed nor reset a connection, and has sent nothing on it, such as a
/// rejection.
fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

fn open(plan: &FloodPlan) -> Option<TcpStream> {
    let mut stream = connect(plan.flood_from, plan.target, CONNECT_TIMEOUT).ok()?;
    stream.set_nonblocking(true).ok()?;
    if plan.flood_pings {
        // The answer is not read. A failed write is ignored, since the next peek shows that the connection
        // has ended.
        let _ = send(&mut stream, &ping(1));
    }
    Some(stream)
}
