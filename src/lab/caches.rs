//! Stand-in table caches, parents and the origin on real sockets of this machine, with scripted faults: the same hosts
//! as in the simulator ([`crate::sim::hosts`]), each behind a listener of its own.

use super::feed::StandInFeed;
use crate::interface::{Instant, Span};
use crate::net::unix_time;
use crate::sim::faults::{Fault, What};
use crate::sim::hosts::{answer, lines, Fleet, Host, Line, Tier};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime};

/// A source that is not there is given up after this.
const SOURCE_LOST: Span = Span::from_millis(300);
/// By this long after a purge, all hosts have dropped older copies.
const PURGE_SETTLED: Span = Span::from_secs(6);

/// What is due.
enum Due {
    /// An answer: host, connection, id.
    Answer(usize, u64, String),
    /// A fault.
    Fault(What),
    /// A host is back.
    Back(usize),
    /// Older copies of all have been dropped by then: purged at.
    Settle(Instant),
}

struct State {
    fleet: Fleet,
    /// Nothing is answered until then, by host.
    silent: Vec<Instant>,
    links: BTreeMap<u64, (usize, TcpStream)>,
    next: u64,
    due: BTreeMap<(Instant, u64), Due>,
    random: ChaCha8Rng,
    stopped: bool,
    fetches: u64,
    fills: u64,
}

/// The hosts; clones are the same ones.
#[derive(Clone)]
pub struct Caches {
    state: Arc<(Mutex<State>, Condvar)>,
    feed: StandInFeed,
}

/// The hosts' clock: it reads Unix time, which their answers state.
fn now() -> Instant {
    Instant::from_micros(unix_time(SystemTime::now()).as_micros())
}

impl Caches {
    /// Listeners on ports of the system's choice, one for each host.
    ///
    /// # Errors
    ///
    /// No ports.
    pub fn listen(count: usize) -> io::Result<Vec<TcpListener>> {
        (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect()
    }

    /// Serves the hosts of a made-up site's list behind their listeners, with faults from now on, in threads that end
    /// with the process.
    pub fn serve(
        listeners: Vec<TcpListener>,
        entries: &[Value],
        caches: usize,
        feed: &StandInFeed,
        faults: &[Fault],
        seed: u64,
    ) -> Self {
        let last = entries.len().saturating_sub(1);
        let host = |(n, entry): (usize, &Value)| {
            let tier = match n {
                n if n < caches => Tier::Cache,
                n if n < last => Tier::Parent,
                _ => Tier::Origin,
            };
            Host::new(entry["host"].as_str().unwrap_or_default(), tier, entry.clone())
        };
        let hosts: Vec<Host> = entries.iter().enumerate().map(host).collect();
        let state = State {
            silent: vec![Instant::ZERO; hosts.len()],
            fleet: Fleet { hosts, sparse_notes: false },
            links: BTreeMap::new(),
            next: 0,
            due: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            stopped: false,
            fetches: 0,
            fills: 0,
        };
        let served = Caches { state: Arc::new((Mutex::new(state), Condvar::new())), feed: feed.clone() };
        let begun = now();
        for fault in faults {
            served.plan(&mut served.lock(), begun + Span::from_millis(fault.at_ms), Due::Fault(fault.what));
        }
        for (number, listener) in listeners.into_iter().enumerate() {
            let served = served.clone();
            thread::spawn(move || {
                listener.incoming().flatten().for_each(|stream| served.open(number, stream))
            });
        }
        let timer = served.clone();
        thread::spawn(move || timer.run());
        served
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn plan(&self, state: &mut State, at: Instant, due: Due) {
        state.next += 1;
        state.due.insert((at, state.next), due);
        self.state.1.notify_one();
    }

    /// Requests that came, and those that were filled.
    pub fn counts(&self) -> (u64, u64) {
        let state = self.lock();
        (state.fetches, state.fills)
    }

    /// Ends it.
    pub fn stop(&self) {
        self.lock().stopped = true;
        self.state.1.notify_all();
    }

    fn open(&self, number: usize, stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut state = self.lock();
        // A killed process refuses; its listener can't be given up here, so it closes at once.
        if state.fleet.hosts[number].dead || state.stopped {
            return;
        }
        state.next += 1;
        let link = state.next;
        state.links.insert(link, (number, stream));
        drop(state);
        let served = self.clone();
        thread::spawn(move || {
            let _ = served.read(number, link, reading);
            served.lock().links.remove(&link);
        });
    }

    fn read(&self, number: usize, link: u64, mut stream: TcpStream) -> io::Result<()> {
        let (mut input, mut piece) = (Vec::new(), [0; 16 * 1024]);
        loop {
            let count = stream.read(&mut piece)?;
            if count == 0 {
                return Ok(());
            }
            input.extend_from_slice(&piece[..count]);
            let lines = lines(&mut input).map_err(io::Error::other)?;
            let mut state = self.lock();
            for line in lines {
                match line {
                    Line::Fetch(fetch) => {
                        state.fetches += 1;
                        let id = fetch.id.clone();
                        let (now, is_result) = (now(), fetch.class == "result");
                        let mut after = service(&mut state, number, now);
                        if is_result || state.fleet.hosts[number].holds(&fetch, now).is_none() {
                            let source = fetch.from.as_ref().and_then(|from| state.fleet.named(from));
                            if let Some(source) = source {
                                state.fills += 1;
                                let there = !state.fleet.hosts[source].dead && state.silent[source] <= now;
                                after += if there { service(&mut state, source, now) } else { SOURCE_LOST };
                            }
                        }
                        state.fleet.hosts[number].open.insert((link, id.clone()), fetch);
                        self.plan(&mut state, now + after, Due::Answer(number, link, id));
                    }
                    Line::Abort(id) => drop(state.fleet.hosts[number].open.remove(&(link, id))),
                    Line::Probe(tag) => {
                        if let Some((_, stream)) = state.links.get_mut(&link) {
                            let _ = stream.write_all(&answer(&tag, "status", "", b""));
                        }
                    }
                }
            }
        }
    }

    fn run(&self) {
        let mut state = self.lock();
        while !state.stopped {
            let wait = match state.due.keys().next() {
                Some((at, _)) => (*at - now()).to_std(),
                None => Duration::from_secs(1),
            };
            if !wait.is_zero() {
                let waited = self.state.1.wait_timeout(state, wait.min(Duration::from_secs(1)));
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            if let Some((_, due)) = state.due.pop_first() {
                self.happen(&mut state, due);
            }
        }
        state.links.clear();
    }

    fn happen(&self, state: &mut State, due: Due) {
        let now = now();
        match due {
            Due::Answer(number, link, id) => {
                if state.silent[number] > now {
                    return self.plan(state, state.silent[number], Due::Answer(number, link, id));
                }
                let Some(fetch) = state.fleet.hosts[number].open.remove(&(link, id.clone())) else { return };
                let silent = state.silent.clone();
                let is_there = |fleet: &Fleet, host: usize| !fleet.hosts[host].dead && silent[host] <= now;
                let bytes = if std::mem::take(&mut state.fleet.hosts[number].garbled) {
                    b"no line of the protocol at all\r\n".to_vec()
                } else {
                    let (word, fields, body) = state.fleet.outcome(number, &fetch, now, &is_there);
                    answer(&id, word, &fields, &body)
                };
                if let Some((_, stream)) = state.links.get_mut(&link) {
                    let _ = stream.write_all(&bytes);
                }
            }
            Due::Fault(what) => self.fault(state, now, what),
            Due::Back(host) => {
                let one = &mut state.fleet.hosts[host];
                (one.dead, one.born) = (false, Some(now));
                one.entry["born_ms"] = unix_ms(now).into();
                self.tell(state, host, "up");
            }
            Due::Settle(purged) => {
                state.fleet.hosts.iter_mut().for_each(|host| host.copies.retain(|_, born| *born >= purged));
            }
        }
    }

    fn tell(&self, state: &mut State, host: usize, health: &str) {
        state.fleet.hosts[host].entry["health"] = health.into();
        if state.fleet.hosts[host].tier != Tier::Origin {
            self.feed.tell_health(&state.fleet.hosts[host].entry, health);
        }
    }

    fn fault(&self, state: &mut State, now: Instant, what: What) {
        let close = |state: &mut State, host: usize| {
            state.links.retain(|_, (number, stream)| {
                let other = *number != host;
                if !other {
                    let _ = stream.shutdown(std::net::Shutdown::Both);
                }
                other
            });
            state.fleet.hosts[host].open.clear();
        };
        match what {
            What::Silent { host, ms } => state.silent[host] = now + Span::from_millis(ms),
            What::Killed { host, ms } => {
                close(state, host);
                state.fleet.hosts[host].copies.clear();
                state.fleet.hosts[host].dead = true;
                self.plan(state, now + Span::from_millis(ms), Due::Back(host));
            }
            What::Reset { host } => close(state, host),
            What::Slow { host, times, ms } => {
                state.fleet.hosts[host].slow = (times, now + Span::from_millis(ms));
            }
            What::Errors { host, ms } => state.fleet.hosts[host].errors = now + Span::from_millis(ms),
            What::Garbled { host } => state.fleet.hosts[host].garbled = true,
            What::Drained { host } => self.tell(state, host, "draining"),
            What::Removed { host } => self.tell(state, host, "removed"),
            What::Ready { host } => self.tell(state, host, "up"),
            What::PurgeObject { .. } | What::PurgeGroup => {
                self.feed.tell(json!({"purge": {"group": 17, "at": unix_ms(now)}}));
                self.plan(state, now + PURGE_SETTLED, Due::Settle(now));
            }
            // The rest is about clients, the feed's connections and the proxy's own process.
            _ => {}
        }
    }
}

/// The Unix time of the hosts' clock, in milliseconds.
fn unix_ms(now: Instant) -> i64 {
    now.as_micros() / 1000
}

/// How long a host takes for one request.
fn service(state: &mut State, number: usize, now: Instant) -> Span {
    let usual = Span::from_micros(state.random.random_range(2_000..=12_000));
    let (times, until) = state.fleet.hosts[number].slow;
    if until > now {
        usual * times
    } else {
        usual
    }
}

/// The addresses of listeners.
///
/// # Errors
///
/// The system does not say.
pub fn addresses(listeners: &[TcpListener]) -> io::Result<Vec<SocketAddr>> {
    listeners.iter().map(TcpListener::local_addr).collect()
}
