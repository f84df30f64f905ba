//! Replays a trace over the edge proxy's real front. Stand-in hosts and a stand-in feed run on loopback, and
//! the edge proxy runs in a process of its own. The clients send requests at the trace's times, however
//! slowly these are answered (an open loop). The number of requests and the time are bounded.
//!
//! - `proxy`: the edge proxy's process.
//! - `clients`: the clients, each with one `connection` at a time.
//! - `report`: the results of a replay; `render` prints them.

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

/// Maximum number of requests in a replay.
const MAX_REQUESTS: usize = 2_000_000;
/// Maximum real time of a replay.
const MAX_DURATION: Duration = Duration::from_secs(3600);
/// Limit of the edge proxy's sockets.
const PROXY_SOCKETS: u64 = 4096;

/// Why a trace was not replayed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// Files, sockets or the edge proxy's process failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The map names a class that the stand-in site does not have.
    #[error("class {0:?} is not defined in the stand-in site, which has piece, replay, standing and result")]
    UnknownClass(String),
    /// The replay would exceed a bound; holds its number of requests and its length in seconds.
    #[error(
        "the replay has {0} requests in {1:.0} s, at most {MAX_REQUESTS} requests and 3600 s are allowed"
    )]
    TraceTooLong(usize, f64),
    /// The edge proxy did not start; holds the last line of its log.
    #[error("the edge proxy did not start: {0}")]
    ProxyStart(String),
}

/// How a trace is replayed.
#[derive(Clone, Debug)]
pub struct ReplayPlan {
    /// Path of the edge proxy's program.
    pub program: PathBuf,
    /// Size and seed of the stand-in site.
    pub shape: Shape,
    /// Number of clients, each with one connection at a time.
    pub connections: usize,
    /// Factor by which the trace's time is sped up; it multiplies the request rate.
    pub speed: f64,
    /// Faults; their times are real time from the start.
    pub faults: Vec<Fault>,
    /// Seed of the trace ids and of the hosts' service times.
    pub seed: u64,
    /// Whether progress is shown on standard error.
    pub progress: bool,
}

/// Latency objective, deadline and priority weight of a class.
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

/// Returns the objectives of a trace's classes from a site's settings.
fn class_objectives(trace: &Trace, site: &Value) -> Result<Vec<ClassObjectives>, ReplayError> {
    let grades = site["settings"]["grades"].as_array().cloned().unwrap_or_default();
    let objectives = trace.classes.iter().map(|class| {
        let grade = grades.iter().find(|grade| grade["name"] == class.as_str());
        grade.map(ClassObjectives::read).ok_or_else(|| ReplayError::UnknownClass(class.clone()))
    });
    objectives.collect()
}

/// Replays a trace and returns the report.
///
/// # Errors
///
/// Returns an error if the trace cannot be replayed. Rejected, failed and unanswered requests are not errors;
/// the report counts them.
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
    site["known"] = feed.initial_events();
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
    let client_results = run_clients(&context)?;
    progress.finish_and_clear();
    let measured = Measurement { client_results, took: started.elapsed(), hosts: hosts.counts() };
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
