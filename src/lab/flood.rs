//! A loopback flood: known clients that keep playing while one address opens connections that say nothing, bounded
//! in count and time. It measures what admission is for: whether known clients still connect, how long until their
//! first answer (hdrhistogram, us), and whether every request that was taken got its answer.

use crate::standin::thrift_client::{answer, invoke, ping, send, Answered};
use hdrhistogram::Histogram;
use std::fmt;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What to do.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The platform's front of the edge proxy, on loopback.
    pub target: SocketAddr,
    /// Known clients, each on a thread of its own, all from `known_from`.
    pub known: usize,
    /// The address they connect from (a loopback address).
    pub known_from: IpAddr,
    /// Connections the flood holds open at most.
    pub flood: usize,
    /// The address the flood comes from.
    pub flood_from: IpAddr,
    /// How long it all lasts.
    pub seconds: f64,
    /// Connections each known client makes at most.
    pub most_connections: u64,
    /// The route (class) of the requests that known clients send.
    pub route: String,
    /// Whether each flood connection pings once, so that it cannot be told from a client by having asked.
    pub flood_asks: bool,
}

/// What came of it.
#[derive(Debug)]
pub struct Report {
    /// Connections that known clients tried.
    pub tried: u64,
    /// Of them, answered with a pong: connected and served.
    pub connected: u64,
    /// Of them, answered with a refusal.
    pub refused: u64,
    /// Of them, that broke or ended without an answer: a connect that failed or timed out, or an end before a byte
    /// was read (which for the client proves that nothing ran).
    pub broken: u64,
    /// From a known client's connect to its pong, us.
    pub latency: Histogram<u64>,
    /// Requests that known clients wrote whole, and those that got their answer.
    pub items: [u64; 2],
    /// Connections the flood opened, and those that the edge proxy ended.
    pub flood: [u64; 2],
    /// How long it lasted.
    pub lasted: Duration,
}

fn connect(from: IpAddr, to: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let socket = socket2::Socket::new(socket2::Domain::for_address(to), socket2::Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.connect_timeout(&to.into(), timeout)?;
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

#[derive(Default)]
struct Tally {
    tried: u64,
    connected: u64,
    refused: u64,
    broken: u64,
    items: [u64; 2],
}

/// One known client: connects, pings, sends one request, reads its answer, and goes again.
fn play(plan: &Plan, deadline: Instant, latency: &Mutex<Histogram<u64>>, tally: &Mutex<Tally>) {
    for n in 0..plan.most_connections {
        if Instant::now() >= deadline {
            break;
        }
        let begun = Instant::now();
        let mut counted = Tally { tried: 1, ..Tally::default() };
        let outcome = (|| -> io::Result<()> {
            let mut stream = connect(plan.known_from, plan.target, Duration::from_secs(1))?;
            send(&mut stream, &ping(1))?;
            match answer(&mut stream)?.1 {
                Answered::Served => {
                    counted.connected = 1;
                    let us = begun.elapsed().as_micros() as u64;
                    latency.lock().map_err(|_| io::ErrorKind::Other)?.saturating_record(us);
                }
                Answered::Refused => {
                    counted.refused = 1;
                    return Ok(());
                }
                Answered::Failed => return Err(io::ErrorKind::InvalidData.into()),
            }
            let trace = format!(
                "{:016x}",
                (n << 20) ^ u64::from(std::process::id()) ^ begun.elapsed().as_nanos() as u64
            );
            let fields = [
                ("route", plan.route.as_str()),
                ("trace", &trace),
                ("patience", "1500"),
                ("entity", "7f3a9c21e0b4d655"),
                ("slice", "0"),
                ("set", "17"),
            ];
            send(&mut stream, &invoke(2, &fields, b""))?;
            counted.items[0] = 1;
            if answer(&mut stream)?.0 == 2 {
                counted.items[1] = 1;
            }
            Ok(())
        })();
        if outcome.is_err() && counted.connected + counted.refused == 0 {
            counted.broken = 1;
        }
        if let Ok(mut tally) = tally.lock() {
            tally.tried += counted.tried;
            tally.connected += counted.connected;
            tally.refused += counted.refused;
            tally.broken += counted.broken;
            tally.items[0] += counted.items[0];
            tally.items[1] += counted.items[1];
        }
        // A player at a table reconnects now and then, not in a tight loop.
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The flood: holds up to `plan.flood` silent connections, opening a new one for each that the edge proxy ends.
fn flood(plan: &Plan, deadline: Instant, stop: &AtomicBool) -> [u64; 2] {
    let (mut held, mut counts) = (Vec::<TcpStream>::new(), [0u64; 2]);
    while Instant::now() < deadline && !stop.load(Ordering::Relaxed) {
        let before = held.len();
        // Still silent both ways, or ended by the edge proxy: an end, a reset, or a refusal's bytes.
        held.retain(
            |stream| matches!(stream.peek(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock),
        );
        counts[1] += (before - held.len()) as u64;
        if held.len() < plan.flood {
            match connect(plan.flood_from, plan.target, Duration::from_millis(200)) {
                Ok(mut stream) if stream.set_nonblocking(true).is_ok() => {
                    if plan.flood_asks {
                        let _ = send(&mut stream, &ping(1));
                        // Its answer is left unread: it comes back in the peek as bytes, and the connection stays.
                    }
                    held.push(stream);
                    counts[0] += 1;
                }
                _ => std::thread::sleep(Duration::from_millis(1)),
            }
        } else {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    counts
}

/// Runs a plan to its end.
///
/// # Errors
///
/// A histogram could not be made.
pub fn run(plan: &Plan) -> Result<Report, hdrhistogram::CreationError> {
    let latency = Mutex::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)?);
    let tally = Mutex::new(Tally::default());
    let stop = AtomicBool::new(false);
    let begun = Instant::now();
    let deadline = begun + Duration::from_secs_f64(plan.seconds);
    let shared = Arc::new(plan.clone());
    let flooded = std::thread::scope(|scope| {
        let flooder = scope.spawn(|| flood(&shared, deadline, &stop));
        // The flood is under way before the players come.
        std::thread::sleep(Duration::from_millis(200));
        let players: Vec<_> =
            (0..plan.known).map(|_| scope.spawn(|| play(&shared, deadline, &latency, &tally))).collect();
        players.into_iter().for_each(|player| {
            let _ = player.join();
        });
        stop.store(true, Ordering::Relaxed);
        flooder.join().unwrap_or([0, 0])
    });
    let tally = tally.into_inner().unwrap_or_default();
    let latency = latency.into_inner().unwrap_or_else(|poisoned| poisoned.into_inner());
    Ok(Report {
        tried: tally.tried,
        connected: tally.connected,
        refused: tally.refused,
        broken: tally.broken,
        latency,
        items: tally.items,
        flood: flooded,
        lasted: begun.elapsed(),
    })
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let share = |part: u64| if self.tried == 0 { 0.0 } else { part as f64 / self.tried as f64 };
        writeln!(f, "lasted {:.1} s", self.lasted.as_secs_f64())?;
        writeln!(
            f,
            "known clients: {} connections tried, {:.3} connected, {:.3} refused, {:.3} broken",
            self.tried,
            share(self.connected),
            share(self.refused),
            share(self.broken)
        )?;
        let q = |q: f64| self.latency.value_at_quantile(q);
        writeln!(
            f,
            "known clients' connect to first answer, us: p50 {} p99 {} max {}",
            q(0.5),
            q(0.99),
            self.latency.max()
        )?;
        writeln!(
            f,
            "requests written whole {}, answered {}, unanswered {}",
            self.items[0],
            self.items[1],
            self.items[0] - self.items[1]
        )?;
        write!(f, "flood: {} connections opened, {} ended by the edge proxy", self.flood[0], self.flood[1])
    }
}
