//! A loopback flood: known clients that keep playing while one address opens connections that say nothing, bounded
//! in count and time. It measures what admission is for: whether known clients still connect, how long until their
//! first answer, and whether every request that was accepted got its answer.
//!
//! - `known_clients`: the clients that are to be served.
//! - `flooder`: the address that floods.
//! - `report`: what was measured.

mod flooder;
mod known_clients;
mod report;

pub use flooder::FloodCounts;
pub use known_clients::KnownClientCounts;
pub use report::FloodReport;

use known_clients::run_client;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// The flood runs this long before known clients come.
const FLOOD_LEAD: Duration = Duration::from_millis(200);
/// An answer is waited for this long.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// What to do.
#[derive(Clone, Debug)]
pub struct FloodPlan {
    /// The Thrift front of the edge proxy, on loopback.
    pub target: SocketAddr,
    /// Known clients, each on a thread of its own, all from `known_from`.
    pub known_clients: usize,
    /// The address they connect from (a loopback address).
    pub known_from: IpAddr,
    /// The most connections that the flood holds open.
    pub flood_connections: usize,
    /// The address the flood comes from.
    pub flood_from: IpAddr,
    /// How long it all lasts.
    pub seconds: f64,
    /// The most connections that each known client makes.
    pub max_connections: u64,
    /// The route (class) of the requests that known clients send.
    pub route: String,
    /// Whether each flood connection pings once, so that it cannot be told from a client by having asked.
    pub flood_pings: bool,
}

/// Runs a plan to its end.
///
/// # Errors
///
/// A histogram could not be made.
pub fn run(plan: &FloodPlan) -> Result<FloodReport, hdrhistogram::CreationError> {
    let known = Mutex::new(KnownClientCounts::new()?);
    let is_stopped = AtomicBool::new(false);
    let started = Instant::now();
    let deadline = started + Duration::from_secs_f64(plan.seconds);
    let flood = thread::scope(|scope| {
        let flooder = scope.spawn(|| flooder::run(plan, deadline, &is_stopped));
        thread::sleep(FLOOD_LEAD);
        let clients: Vec<_> =
            (0..plan.known_clients).map(|_| scope.spawn(|| run_client(plan, deadline, &known))).collect();
        for client in clients {
            // A client that panicked is missing in the counts.
            let _ = client.join();
        }
        is_stopped.store(true, Ordering::Relaxed);
        flooder.join().unwrap_or_default()
    });
    let known = known.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(FloodReport { known, flood, lasted: started.elapsed() })
}

fn connect(from: IpAddr, to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(to), socket2::Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.connect_timeout(&to.into(), timeout)?;
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
