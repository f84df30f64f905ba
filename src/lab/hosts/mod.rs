//! Stand-in table caches, parents and the origin on loopback sockets, with scripted faults. They are the same
//! hosts as in the simulator ([`crate::standin::fleet`]), each with a listener of its own.
//!
//! - `connection`: reads requests, in one thread per connection.
//! - `event_queue`: sends answers and starts faults when they are due, in one thread.
//! - `faults`: starts the faults.

mod connection;
mod event_queue;
mod faults;

use crate::interface::{Instant, Span};
use crate::net::unix_time;
use crate::standin::faults::Fault;
use crate::standin::feed::StandInFeed;
use crate::standin::fleet::Fleet;
use crate::standin::host::{Host, Tier};
use crate::standin::ids::{ConnectionId, HostId};
use event_queue::{EventQueue, ScheduledEvent};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::SystemTime;

/// Time that a host takes for a request, in us, unless it is slowed down.
const SERVICE_TIME_US: std::ops::RangeInclusive<i64> = 2_000..=12_000;

/// Listeners on loopback, one per host.
pub struct HostListeners(Vec<TcpListener>);

impl HostListeners {
    /// Listens on `count` free ports.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener cannot be opened, for example because no port is free.
    pub fn bind(count: usize) -> io::Result<Self> {
        let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0"));
        Ok(HostListeners(listeners.collect::<Result<_, _>>()?))
    }

    /// Returns the addresses of the listeners, in the order of the hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot report the address of a listener.
    pub fn addresses(&self) -> io::Result<Vec<SocketAddr>> {
        self.0.iter().map(TcpListener::local_addr).collect()
    }
}

/// Which hosts are served, and how they behave.
pub struct HostsPlan<'a> {
    /// Entries of the hosts in the endpoint list: caches first, then parents, then the origin.
    pub entries: &'a [Value],
    /// Number of caches at the start of `entries`.
    pub caches: usize,
    /// Faults; their times count from the call of [`StandInHosts::serve`].
    pub faults: &'a [Fault],
    /// Seed of the random service times.
    pub seed: u64,
}

/// Numbers of requests that the hosts received; serialized as a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "[u64; 2]")]
pub struct HostCounts {
    /// All requests that the hosts received.
    pub requests: u64,
    /// Requests among them that needed a fill.
    pub fills: u64,
}

impl From<HostCounts> for [u64; 2] {
    fn from(counts: HostCounts) -> Self {
        [counts.requests, counts.fills]
    }
}

struct Connection {
    host: HostId,
    stream: TcpStream,
}

struct HostsState {
    fleet: Fleet,
    /// By host, the time until which it answers nothing.
    silent_until: Vec<Instant>,
    connections: BTreeMap<ConnectionId, Connection>,
    last_connection_id: ConnectionId,
    event_queue: EventQueue,
    random: ChaCha8Rng,
    is_stopped: bool,
    counts: HostCounts,
}

impl HostsState {
    fn new(plan: &HostsPlan<'_>) -> Self {
        let parents = plan.entries.len().saturating_sub(plan.caches + 1);
        let host = |(number, entry): (usize, &Value)| {
            Host::new(Tier::of(HostId(number), plan.caches, parents), entry.clone())
        };
        let hosts: Vec<Host> = plan.entries.iter().enumerate().map(host).collect();
        HostsState {
            silent_until: vec![Instant::ZERO; hosts.len()],
            fleet: Fleet { hosts, served_status_only: false },
            connections: BTreeMap::new(),
            last_connection_id: ConnectionId(0),
            event_queue: EventQueue::default(),
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            is_stopped: false,
            counts: HostCounts::default(),
        }
    }

    fn next_connection_id(&mut self) -> ConnectionId {
        self.last_connection_id = ConnectionId(self.last_connection_id.0 + 1);
        self.last_connection_id
    }

    /// Whether a host's process runs and is not silent.
    fn is_reachable(&self, host: HostId, now: Instant) -> bool {
        !self.fleet[host].is_dead && self.silent_until[host.0] <= now
    }

    /// Draws the time that a host takes for one request.
    fn draw_service_time(&mut self, host: HostId, now: Instant) -> Span {
        let usual = Span::from_micros(self.random.random_range(SERVICE_TIME_US));
        self.fleet[host].service_time(usual, now)
    }
}

/// State that the threads of the hosts share.
struct SharedState {
    state: Mutex<HostsState>,
    /// Notified at every scheduled event, and when the hosts stop.
    changed: Condvar,
    feed: StandInFeed,
}

/// The running hosts; clones share their state.
#[derive(Clone)]
pub struct StandInHosts(Arc<SharedState>);

impl StandInHosts {
    /// Serves the hosts on their listeners, in threads that end with the process. Changes of the hosts'
    /// health are published on `feed`.
    pub fn serve(listeners: HostListeners, feed: &StandInFeed, plan: &HostsPlan<'_>) -> Self {
        let state = Mutex::new(HostsState::new(plan));
        let shared = SharedState { state, changed: Condvar::new(), feed: feed.clone() };
        let hosts = StandInHosts(Arc::new(shared));
        let started = now();
        for fault in plan.faults {
            let at = started + Span::from_millis(fault.at_ms);
            hosts.schedule(&mut hosts.lock(), at, ScheduledEvent::Fault(fault.kind));
        }
        for (number, listener) in listeners.0.into_iter().enumerate() {
            let hosts = hosts.clone();
            thread::spawn(move || {
                listener.incoming().flatten().for_each(|stream| hosts.accept(HostId(number), stream))
            });
        }
        let timer = hosts.clone();
        thread::spawn(move || timer.run_events());
        hosts
    }

    fn lock(&self) -> MutexGuard<'_, HostsState> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the numbers of requests that were received so far.
    pub fn counts(&self) -> HostCounts {
        self.lock().counts
    }

    /// Stops serving and closes all connections.
    pub fn stop(&self) {
        self.lock().is_stopped = true;
        self.0.changed.notify_all();
    }
}

/// Returns the time of the hosts' clock. It is Unix time, since the hosts' answers state Unix times.
fn now() -> Instant {
    Instant::from_micros(unix_time(SystemTime::now()).as_micros())
}
