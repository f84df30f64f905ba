//! What a replay came to: figures by class and over time.

use super::clients::ClientResults;
use super::request_outcome::RequestOutcome;
use super::{ClassObjectives, ReplayPlan};
use crate::lab::hosts::HostCounts;
use crate::standin::thrift_client::Answered;
use crate::trace::sample::RateComparison;
use crate::trace::Trace;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Points of the plot.
const PLOT_POINTS: usize = 60;
/// The shortest part of the replay that is a point of the plot, s.
const MIN_POINT_S: f64 = 1e-6;
/// The longest time that is recorded, us; more than any deadline.
const MAX_RECORDED_US: u64 = 60_000_000;
/// The significant digits with which times are recorded.
const RECORDED_DIGITS: u8 = 3;

/// One class's figures.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassResults {
    /// Its name.
    pub class: String,
    /// Requests sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Served within the class's latency objective.
    pub on_time: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Never answered.
    pub unanswered: u64,
    /// The median time of served requests, ms.
    pub p50_ms: f64,
    /// The 99th percentile of the time of served requests, ms.
    pub p99_ms: f64,
    /// The value of the requests that were served in time, and of all.
    #[serde(rename = "worth")]
    pub value: EarnedValue,
    /// The rate of the trace against that of the sample.
    #[serde(serialize_with = "as_list")]
    pub rate: RateComparison,
}

fn as_list<S: serde::Serializer>(rate: &RateComparison, to: S) -> Result<S::Ok, S::Error> {
    <(f64, f64, f64)>::from(*rate).serialize(to)
}

/// The value that was earned, of what could be; serialized as a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct EarnedValue {
    /// The value earned.
    pub earned: f64,
    /// The value of all requests.
    pub possible: f64,
}

impl From<EarnedValue> for [f64; 2] {
    fn from(value: EarnedValue) -> Self {
        [value.earned, value.possible]
    }
}

impl EarnedValue {
    /// The earned part; 0 where nothing could be earned.
    pub fn earned_share(&self) -> f64 {
        if self.possible > 0.0 {
            self.earned / self.possible
        } else {
            0.0
        }
    }
}

/// A point of the plot: requests by the part of the replay in which they were sent.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlotInterval {
    /// When the part begins, seconds from the start.
    pub at_s: f64,
    /// Requests sent.
    pub sent: u64,
    /// Served.
    pub served: u64,
    /// Rejected, failed or not answered.
    pub lost: u64,
    /// The longest time of a served request, ms.
    pub slowest_ms: f64,
}

/// What a replay came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The trace's time that was played, s.
    pub trace_s: f64,
    /// The real time that it took, s.
    pub took_s: f64,
    /// How many times as fast the trace's time ran.
    pub speed: f64,
    /// What became of the trace's rows, in words.
    pub rows: String,
    /// Slices that the sample is made of.
    pub slices: usize,
    /// By class.
    pub classes: Vec<ClassResults>,
    /// Requests that reached the stand-in hosts.
    #[serde(rename = "upstream")]
    pub host_counts: HostCounts,
    /// The faults, in words.
    pub faults: Vec<String>,
    /// Over time.
    pub moments: Vec<PlotInterval>,
    /// How late a request was sent at the worst, ms.
    #[serde(rename = "behind_ms")]
    pub max_lateness_ms: f64,
}

/// What was measured.
pub(super) struct Measurement {
    pub(super) played: ClientResults,
    pub(super) took: Duration,
    pub(super) hosts: HostCounts,
}

impl Report {
    /// The report of a replay, with the terms of the trace's classes.
    pub(super) fn new(
        trace: &Trace,
        plan: &ReplayPlan,
        objectives: &[ClassObjectives],
        measured: &Measurement,
    ) -> Self {
        let outcomes = &measured.played.outcomes;
        let rates = trace.rates.compare();
        let classes =
            trace.classes.iter().zip(objectives).enumerate().map(|(number, (class, objectives))| {
                let rate = rates.get(class).copied().unwrap_or_default();
                let outcomes = outcomes.iter().filter(|outcome| outcome.class == number);
                ClassResults { class: class.clone(), rate, ..class_results(outcomes, objectives) }
            });
        let seconds = |at_ms: i64| at_ms as f64 / 1000.0;
        let faults =
            plan.faults.iter().map(|fault| format!("{:.1} s: {:?}", seconds(fault.at_ms), fault.kind));
        Report {
            trace_s: trace.length.as_secs_f64(),
            took_s: measured.took.as_secs_f64(),
            speed: plan.speed,
            rows: trace.counts.to_string(),
            slices: trace.slices,
            classes: classes.collect(),
            host_counts: measured.hosts,
            faults: faults.collect(),
            moments: plot_intervals(outcomes, trace.length.as_secs_f64() / plan.speed),
            max_lateness_ms: measured.played.max_lateness.as_secs_f64() * 1000.0,
        }
    }
}

/// The requests over time, of a replay of this length in seconds.
fn plot_intervals(outcomes: &[RequestOutcome], length_s: f64) -> Vec<PlotInterval> {
    let part = (length_s / PLOT_POINTS as f64).max(MIN_POINT_S);
    let at = |number| PlotInterval { at_s: number as f64 * part, ..PlotInterval::default() };
    let mut moments: Vec<PlotInterval> = (0..PLOT_POINTS).map(at).collect();
    for outcome in outcomes {
        let number = (outcome.sent.as_secs_f64() / part) as usize;
        let moment = &mut moments[number.min(PLOT_POINTS - 1)];
        moment.sent += 1;
        if outcome.answer == Some(Answered::Served) {
            moment.served += 1;
            moment.slowest_ms = moment.slowest_ms.max(outcome.latency.as_secs_f64() * 1000.0);
        } else {
            moment.lost += 1;
        }
    }
    moments
}

/// The figures of a class's requests, without its name and rate.
fn class_results<'a>(
    outcomes: impl Iterator<Item = &'a RequestOutcome>,
    objectives: &ClassObjectives,
) -> ClassResults {
    let mut service = ClassResults::default();
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, RECORDED_DIGITS).ok();
    let latency_objective_us = objectives.latency_objective_ms * 1000.0;
    for outcome in outcomes {
        service.sent += 1;
        match outcome.answer {
            Some(Answered::Served) => {
                service.served += 1;
                let us = outcome.latency.as_micros().clamp(1, u128::from(MAX_RECORDED_US)) as u64;
                service.on_time += u64::from(us as f64 <= latency_objective_us);
                if let Some(times) = &mut times {
                    times.saturating_record(us);
                }
            }
            Some(Answered::Refused) => service.rejected += 1,
            Some(Answered::Failed) => service.failed += 1,
            None => service.unanswered += 1,
        }
    }
    let percentile_ms =
        |part: f64| times.as_ref().map_or(0.0, |times| times.value_at_quantile(part) as f64 / 1000.0);
    service.p50_ms = percentile_ms(0.5);
    service.p99_ms = percentile_ms(0.99);
    service.value.earned = service.on_time as f64 * objectives.priority_weight;
    service.value.possible = service.sent as f64 * objectives.priority_weight;
    service
}
