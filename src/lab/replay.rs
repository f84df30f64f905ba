//! Replays a trace over the edge proxy's real front: stand-in caches and feed on loopback, the proxy as a process of
//! its own, and clients that send at the trace's times whatever the answers do (an open loop). Bounded in count and time.

use super::caches::{addresses, Caches};
use super::feed::StandInFeed;
use super::site::{config, Shape};
use super::thrift_client::{self, Answered};
use crate::sim::faults::Fault;
use crate::trace::Trace;
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Requests of one replay at the most.
const MOST: usize = 2_000_000;
/// Real time of one replay at the most.
const LONGEST: Duration = Duration::from_secs(3600);
/// What is open at the end is waited for so long.
const AFTERWARDS: Duration = Duration::from_secs(6);
/// Points of the report's plot.
const POINTS: usize = 60;

/// Why a replay was not played.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// Files, sockets or the proxy's process.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The map names a class that the site lacks.
    #[error("no class {0:?}; the stand-in site has piece, replay, standing and result")]
    Class(String),
    /// It is more than a replay may be.
    #[error("{0} requests in {1:.0} s: at most {MOST} requests and an hour")]
    Bound(usize, f64),
    /// The proxy did not start.
    #[error("the edge proxy did not start: {0}")]
    Start(String),
}

/// How a trace is replayed.
#[derive(Clone, Debug)]
pub struct Replay {
    /// The program that serves.
    pub program: PathBuf,
    /// The stand-in site.
    pub shape: Shape,
    /// Client connections.
    pub connections: usize,
    /// The trace's time runs so many times as fast, which multiplies its rate.
    pub speed: f64,
    /// What goes wrong, in real time from the start.
    pub faults: Vec<Fault>,
    /// For the site and the hosts' times.
    pub seed: u64,
    /// Whether progress is shown on standard error.
    pub progress: bool,
}

/// One class's figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassService {
    /// Its name.
    pub class: String,
    /// Requests sent.
    pub sent: u64,
    /// Served, and of these within the class's target.
    pub served: u64,
    /// Served within the target.
    pub on_time: u64,
    /// Refused.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Never answered.
    pub unanswered: u64,
    /// Of what was served, ms.
    pub p50_ms: f64,
    /// Of what was served, ms.
    pub p99_ms: f64,
    /// The worth that was earned, of the worth of all: on time in full.
    pub worth: [f64; 2],
    /// The trace's rate, the sample's rate, and by what part that differs.
    pub rate: (f64, f64, f64),
}

/// A moment of the plot.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Moment {
    /// Seconds from the start.
    pub at_s: f64,
    /// Requests sent, served, refused or failed in this part.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Refused or failed.
    pub lost: u64,
    /// Slowest answer of what was served, ms.
    pub slowest_ms: f64,
}

/// What a replay came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The trace's time that was played, s.
    pub trace_s: f64,
    /// The real time that it took, s.
    pub took_s: f64,
    /// How many times as fast.
    pub speed: f64,
    /// What became of the trace's rows, in words.
    pub rows: String,
    /// Slices that the sample is made of.
    pub slices: usize,
    /// By class.
    pub classes: Vec<ClassService>,
    /// Requests that reached the stand-in hosts, and those that were filled.
    pub upstream: (u64, u64),
    /// The faults, in words.
    pub faults: Vec<String>,
    /// Over time.
    pub moments: Vec<Moment>,
    /// How late the load tool sent at the worst, ms.
    pub behind_ms: f64,
}

/// A request's end, as a client saw it.
struct End {
    class: usize,
    sent: Duration,
    took: Duration,
    kind: Option<Answered>,
}

struct Proxy {
    child: Child,
    addr: SocketAddr,
    folder: PathBuf,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Proxy {
    fn start(program: &PathBuf, config: &str) -> Result<Self, ReplayError> {
        let folder = std::env::temp_dir().join(format!("dahliatrack-replay-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let file = folder.join("config.json");
        std::fs::write(&file, config)?;
        let mut child = Command::new(program)
            .args(["serve", "--config"])
            .arg(&file)
            .env("TMPDIR", &folder)
            .stderr(Stdio::piped())
            .spawn()?;
        let (told, lines) = channel();
        if let Some(log) = child.stderr.take() {
            // The log is read to its end, so that it never fills its pipe.
            thread::spawn(move || {
                for line in BufReader::new(log).lines().map_while(Result::ok) {
                    let _ = told.send(line);
                }
            });
        }
        let mut proxy = Proxy { child, addr: SocketAddr::from(([127, 0, 0, 1], 0)), folder };
        let until = Instant::now() + Duration::from_secs(10);
        let mut last = "it said nothing".to_owned();
        while let Ok(line) = lines.recv_timeout(until.saturating_duration_since(Instant::now())) {
            if let Some(addr) = line.split_once("listens on ").and_then(|(_, addr)| addr.parse().ok()) {
                proxy.addr = addr;
                // Nobody listens to the rest, which ends with the process.
                thread::spawn(move || lines.iter().for_each(drop));
                return Ok(proxy);
            }
            last = line;
        }
        Err(ReplayError::Start(last))
    }
}

/// Replays a trace.
///
/// # Errors
///
/// What keeps it from being played; what clients are answered is no error but the result.
pub fn replay(trace: &Trace, plan: &Replay) -> Result<Report, ReplayError> {
    let length = trace.length.as_secs_f64() / plan.speed;
    if trace.requests.len() > MOST || length > LONGEST.as_secs_f64() {
        return Err(ReplayError::Bound(trace.requests.len(), length));
    }
    let hosts = plan.shape.caches + plan.shape.hubs * plan.shape.parents + 1;
    let listeners = Caches::listen(hosts)?;
    let dials = addresses(&listeners)?;
    let feed = StandInFeed::default();
    let feed_addr = feed.serve()?;
    let mut site = config(&plan.shape, &feed_addr.to_string(), |n| dials[n].to_string());
    let first = site["known"]["events"][0].clone();
    let entries = first["members"]["hosts"].as_array().cloned().unwrap_or_default();
    feed.tell(first);
    site["known"] = feed.known();
    site["limits"]["sockets"] = 4096.into();
    // What the classes are worth, and by when.
    let grades = site["settings"]["grades"].as_array().cloned().unwrap_or_default();
    let rules = trace.classes.iter().map(|class| {
        let grade = grades.iter().find(|grade| grade["name"] == class.as_str());
        let grade = grade.ok_or_else(|| ReplayError::Class(class.clone()))?;
        let figure = |name: &str| grade[name].as_f64().unwrap_or(0.0);
        Ok::<_, ReplayError>([figure("target"), figure("deadline"), figure("points")])
    });
    let rules: Vec<[f64; 3]> = rules.collect::<Result<_, _>>()?;
    let proxy = Proxy::start(&plan.program, &site.to_string())?;
    let caches = Caches::serve(listeners, &entries, plan.shape.caches, &feed, &plan.faults, plan.seed);
    let begun = Instant::now();
    let ends = play(trace, plan, &rules, proxy.addr, begun)?;
    let took_s = begun.elapsed().as_secs_f64();
    let upstream = caches.counts();
    caches.stop();
    drop(proxy);
    let (ends, behind) = ends;
    Ok(report(trace, plan, &rules, &ends, took_s, upstream, behind))
}

/// Sends all at their times over the connections, and gathers the ends; gives how late it sent at the worst, too.
fn play(
    trace: &Trace,
    plan: &Replay,
    rules: &[[f64; 3]],
    addr: SocketAddr,
    begun: Instant,
) -> Result<(Vec<End>, Duration), ReplayError> {
    let (told, ends) = channel();
    let bar =
        if plan.progress { ProgressBar::new(trace.requests.len() as u64) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{elapsed} {wide_bar} {pos}/{len} requests, {eta} left") {
        bar.set_style(style);
    }
    let connections = plan.connections.max(1);
    let mut workers = Vec::new();
    for n in 0..connections {
        let mine: Vec<(usize, crate::trace::Played)> =
            trace.requests.iter().copied().enumerate().skip(n).step_by(connections).collect();
        let (told, bar, rules, speed, seed) =
            (told.clone(), bar.clone(), rules.to_vec(), plan.speed, plan.seed);
        let classes = trace.classes.clone();
        let worker = move || one(addr, &mine, &classes, &rules, speed, seed, begun, &told, &bar);
        workers.push(thread::spawn(worker));
    }
    drop(told);
    let ends: Vec<End> = ends.iter().collect();
    let mut behind = Duration::ZERO;
    for worker in workers {
        let late = worker.join().map_err(|_| io::Error::other("a client of the load tool panicked"))?;
        behind = behind.max(late);
    }
    bar.finish_and_clear();
    Ok((ends, behind))
}

type Open = Arc<Mutex<BTreeMap<i32, (usize, Duration)>>>;

/// One client: writes at the trace's times, reads in a thread of its own, connects again when a connection ends.
#[allow(clippy::too_many_arguments)]
fn one(
    addr: SocketAddr,
    mine: &[(usize, crate::trace::Played)],
    classes: &[String],
    rules: &[[f64; 3]],
    speed: f64,
    seed: u64,
    begun: Instant,
    told: &Sender<End>,
    bar: &ProgressBar,
) -> Duration {
    let mut conn: Option<(TcpStream, Open)> = None;
    let (mut seqid, mut behind) = (0, Duration::ZERO);
    let mut opens: Vec<Open> = Vec::new();
    for (number, request) in mine {
        let at = Duration::from_secs_f64(request.at.as_secs_f64() / speed);
        if let Some(wait) = at.checked_sub(begun.elapsed()) {
            thread::sleep(wait);
        }
        behind = behind.max(begun.elapsed().saturating_sub(at));
        bar.inc(1);
        let [_, deadline, _] = rules[request.class];
        let (object, patience) = (format!("{:016x}", request.object), (deadline as u64).to_string());
        let trace = format!("{:016x}", (seed << 32) + *number as u64 + 1);
        let fields = [
            ("route", classes[request.class].as_str()),
            ("trace", &trace),
            ("patience", &patience),
            ("entity", &object),
            ("slice", "0"),
            ("set", "17"),
        ];
        seqid += 1;
        let frame = thrift_client::invoke(
            seqid,
            &fields,
            if classes[request.class] == "result" { b"won" } else { b"" },
        );
        // A connection that has ended is told by the write; the request then goes by a new one, once.
        let sent = (0..2).any(|_| {
            if conn.is_none() {
                conn = connect(addr, begun, told);
                opens.extend(conn.iter().map(|(_, open)| Arc::clone(open)));
            }
            let Some((stream, open)) = &mut conn else { return false };
            let entry = (request.class, begun.elapsed());
            open.lock().unwrap_or_else(PoisonError::into_inner).insert(seqid, entry);
            let wrote = stream.write_all(&frame).is_ok();
            if !wrote {
                open.lock().unwrap_or_else(PoisonError::into_inner).remove(&seqid);
                conn = None;
            }
            wrote
        });
        if !sent {
            let _ = told.send(End { class: request.class, sent: at, took: Duration::ZERO, kind: None });
        }
    }
    let until = Instant::now() + AFTERWARDS;
    let open = |open: &Open| open.lock().unwrap_or_else(PoisonError::into_inner).len();
    while opens.iter().map(open).sum::<usize>() > 0 && Instant::now() < until {
        thread::sleep(Duration::from_millis(10));
    }
    if let Some((stream, _)) = conn {
        let _ = stream.shutdown(std::net::Shutdown::Both);
    }
    for open in opens {
        for (class, sent) in
            std::mem::take(&mut *open.lock().unwrap_or_else(PoisonError::into_inner)).into_values()
        {
            let _ = told.send(End { class, sent, took: Duration::ZERO, kind: None });
        }
    }
    behind
}

fn connect(addr: SocketAddr, begun: Instant, told: &Sender<End>) -> Option<(TcpStream, Open)> {
    let stream = TcpStream::connect(addr).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut reading = stream.try_clone().ok()?;
    let open: Open = Arc::default();
    let (theirs, told) = (Arc::clone(&open), told.clone());
    thread::spawn(move || {
        let (mut input, mut piece) = (Vec::new(), vec![0; 64 * 1024]);
        while let Ok(count) = reading.read(&mut piece) {
            if count == 0 {
                return;
            }
            input.extend_from_slice(&piece[..count]);
            while let Ok(Some(answer)) = thrift_client::take_answer(&mut input) {
                let ended = theirs.lock().unwrap_or_else(PoisonError::into_inner).remove(&answer.seqid);
                if let Some((class, sent)) = ended {
                    let took = begun.elapsed().saturating_sub(sent);
                    let _ = told.send(End { class, sent, took, kind: Some(answer.kind) });
                }
            }
        }
    });
    Some((stream, open))
}

fn report(
    trace: &Trace,
    plan: &Replay,
    rules: &[[f64; 3]],
    ends: &[End],
    took_s: f64,
    upstream: (u64, u64),
    behind: Duration,
) -> Report {
    let errors = trace.rates.compare();
    let length = trace.length.as_secs_f64() / plan.speed;
    let part = (length / POINTS as f64).max(1e-6);
    let mut moments: Vec<Moment> =
        (0..POINTS).map(|n| Moment { at_s: n as f64 * part, ..Moment::default() }).collect();
    for end in ends {
        let moment = &mut moments[((end.sent.as_secs_f64() / part) as usize).min(POINTS - 1)];
        moment.sent += 1;
        match end.kind {
            Some(Answered::Served) => {
                moment.served += 1;
                moment.slowest_ms = moment.slowest_ms.max(end.took.as_secs_f64() * 1000.0);
            }
            _ => moment.lost += 1,
        }
    }
    let of = |(number, class): (usize, &String)| {
        let [target, _, points] = rules[number];
        let mut service = ClassService { class: class.clone(), ..ClassService::default() };
        // A minute in microseconds is more than any deadline.
        let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).ok();
        for end in ends.iter().filter(|end| end.class == number) {
            service.sent += 1;
            match end.kind {
                Some(Answered::Served) => {
                    service.served += 1;
                    let us = end.took.as_micros().clamp(1, 60_000_000) as u64;
                    service.on_time += u64::from(us as f64 <= target * 1000.0);
                    if let Some(times) = &mut times {
                        times.saturating_record(us);
                    }
                }
                Some(Answered::Refused) => service.refused += 1,
                Some(Answered::Failed) => service.failed += 1,
                None => service.unanswered += 1,
            }
        }
        let at =
            |part: f64| times.as_ref().map_or(0.0, |times| times.value_at_quantile(part) as f64 / 1000.0);
        (service.p50_ms, service.p99_ms) = (at(0.5), at(0.99));
        service.worth = [service.on_time as f64 * points, service.sent as f64 * points];
        service.rate = errors.get(class).copied().unwrap_or_default().into();
        service
    };
    let faults =
        plan.faults.iter().map(|fault| format!("{:.1} s: {:?}", fault.at_ms as f64 / 1000.0, fault.what));
    Report {
        trace_s: trace.length.as_secs_f64(),
        took_s,
        speed: plan.speed,
        rows: trace.counts.to_string(),
        slices: trace.slices,
        classes: trace.classes.iter().enumerate().map(of).collect(),
        upstream,
        faults: faults.collect(),
        moments,
        behind_ms: behind.as_secs_f64() * 1000.0,
    }
}
