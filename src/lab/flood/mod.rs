//! A connection flood on loopback: known clients keep sending requests while one address opens idle
//! connections. Both are bounded in number and time. It measures the purpose of admission: whether known
//! clients can still connect, how long they wait for their first answer, and whether every request that was
//! accepted is answered.
//!
//! - `known_clients`: the clients that must be served.
//! - `flooder`: the address that floods.
//! - `report`: the measured results.

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

/// Time that the flood runs before the known clients start.
const FLOOD_LEAD: Duration = Duration::from_millis(200);
/// Longest wait for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Size, addresses and duration of a flood and its known clients.
#[derive(Clone, Debug)]
pub struct FloodPlan {
    /// Address of the edge proxy's Thrift front, on loopback.
    pub target: SocketAddr,
    /// Number of known clients, each on a thread of its own.
    pub known_clients: usize,
    /// Loopback address that all known clients connect from.
    pub known_from: IpAddr,
    /// Maximum number of connections that the flood holds open.
    pub flood_connections: usize,
    /// Loopback address that the flood connects from.
    pub flood_from: IpAddr,
    /// Duration of the whole run, in seconds.
    pub seconds: f64,
    /// Maximum number of connections that each known client makes.
    pub max_connections: u64,
    /// Class of the requests that known clients send, in the message's field `route`.
    pub route: String,
    /// Whether each flood connection sends a ping, so that sending a message does not distinguish it from a
    /// client.
    pub flood_pings: bool,
}

/// Runs a plan to its end and returns the report.
///
/// # Errors
///
/// Returns an error if the histogram cannot be created.
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
            // The counts lack the connection in which a client panicked, and all its later ones.
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
