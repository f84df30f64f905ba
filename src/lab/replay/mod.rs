//! Replays a trace over the edge proxy's real front: stand-in hosts and feed on loopback, the edge proxy as a process
//! of its own, and clients that send at the trace's times whatever the answers do (an open loop). Bounded in count
//! and time.
//!
//! - `proxy`: the edge proxy's process.
//! - `clients`: the clients, with one `connection` at a time each.
//! - `report`: what a replay came to; `render` prints it.

mod clients;
mod connection;
mod proxy;
mod render;
mod report;
mod request_outcome;

pub use report::{ClassResults, EarnedValue, PlotInterval, Report};

use super::hosts::{HostListeners, HostsPlan, StandInHosts};
use crate::standin::faults::Fault;
use crate::standin::feed::StandInFeed;
use crate::standin::site::{config, Shape};
use crate::trace::Trace;
use clients::{run_clients, ReplayContext};
use indicatif::{ProgressBar, ProgressStyle};
use proxy::ProxyProcess;
use report::Measurement;
use serde_json::Value;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The most requests of one replay.
const MAX_REQUESTS: usize = 2_000_000;
/// The longest real time of one replay.
const MAX_DURATION: Duration = Duration::from_secs(3600);
/// The sockets that the edge proxy may have.
const PROXY_SOCKETS: u64 = 4096;

/// Why a replay was not played.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// Files, sockets or the edge proxy's process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The map names a class that the site lacks.
    #[error("no class {0:?}; the stand-in site has piece, replay, standing and result")]
    UnknownClass(String),
    /// The trace is longer than a replay may be: its requests, and its length in seconds.
    #[error("{0} requests in {1:.0} s: at most {MAX_REQUESTS} requests and an hour")]
    TraceTooLong(usize, f64),
    /// The edge proxy did not start; with the last line of its log.
    #[error("the edge proxy did not start: {0}")]
    ProxyStart(String),
}

/// How a trace is replayed.
#[derive(Clone, Debug)]
pub struct ReplayPlan {
    /// The program that serves.
    pub program: PathBuf,
    /// The stand-in site.
    pub shape: Shape,
    /// Client connections.
    pub connections: usize,
    /// How many times as fast the trace's time runs, which multiplies its rate.
    pub speed: f64,
    /// What goes wrong, in real time from the start.
    pub faults: Vec<Fault>,
    /// The seed of the site and of the hosts' service times.
    pub seed: u64,
    /// Whether progress is shown on standard error.
    pub progress: bool,
}

/// What a class's answers are worth, and by when.
#[derive(Clone, Copy, Debug)]
struct ClassObjectives {
    latency_objective_ms: f64,
    deadline_ms: f64,
    priority_weight: f64,
}

impl ClassObjectives {
    fn read(grade: &Value) -> Self {
        let number = |name: &str| grade[name].as_f64().unwrap_or(0.0);
        ClassObjectives {
            latency_objective_ms: number("target"),
            deadline_ms: number("deadline"),
            priority_weight: number("points"),
        }
    }
}

/// The terms of a trace's classes in a site's settings.
fn class_objectives(trace: &Trace, site: &Value) -> Result<Vec<ClassObjectives>, ReplayError> {
    let grades = site["settings"]["grades"].as_array().cloned().unwrap_or_default();
    let objectives = trace.classes.iter().map(|class| {
        let grade = grades.iter().find(|grade| grade["name"] == class.as_str());
        grade.map(ClassObjectives::read).ok_or_else(|| ReplayError::UnknownClass(class.clone()))
    });
    objectives.collect()
}

/// Replays a trace.
///
/// # Errors
///
/// What keeps it from being played; how clients are answered is no error but the result.
pub fn replay(trace: &Trace, plan: &ReplayPlan) -> Result<Report, ReplayError> {
    let length = trace.length.as_secs_f64() / plan.speed;
    if trace.requests.len() > MAX_REQUESTS || length > MAX_DURATION.as_secs_f64() {
        return Err(ReplayError::TraceTooLong(trace.requests.len(), length));
    }
    let listeners = HostListeners::bind(plan.shape.servers())?;
    let addresses = listeners.addresses()?;
    let feed = StandInFeed::default();
    let feed_address = feed.serve()?.to_string();
    let mut site = config(&plan.shape, &feed_address, |number| addresses[number].to_string());
    let list = site["known"]["events"][0].clone();
    let entries = list["members"]["hosts"].as_array().cloned().unwrap_or_default();
    feed.publish(list);
    site["known"] = feed.known();
    site["limits"]["sockets"] = PROXY_SOCKETS.into();
    let objectives = class_objectives(trace, &site)?;
    let proxy = ProxyProcess::start(&plan.program, &site.to_string())?;
    let caches = plan.shape.caches;
    let hosts_plan = HostsPlan { entries: &entries, caches, faults: &plan.faults, seed: plan.seed };
    let hosts = StandInHosts::serve(listeners, &feed, &hosts_plan);
    let started = Instant::now();
    let progress = progress_bar(plan, trace.requests.len());
    let context = ReplayContext {
        trace,
        plan,
        objectives: &objectives,
        target: proxy.address,
        started,
        progress: &progress,
    };
    let played = run_clients(&context)?;
    progress.finish_and_clear();
    let measured = Measurement { played, took: started.elapsed(), hosts: hosts.counts() };
    hosts.stop();
    Ok(Report::new(trace, plan, &objectives, &measured))
}

fn progress_bar(plan: &ReplayPlan, requests: usize) -> ProgressBar {
    let bar = if plan.progress { ProgressBar::new(requests as u64) } else { ProgressBar::hidden() };
    let style = ProgressStyle::with_template("{elapsed} {wide_bar} {pos}/{len} requests, {eta} left");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}
