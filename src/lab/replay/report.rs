//! The results of a replay, by class and over time.

use super::clients::ClientResults;
use super::request_outcome::RequestOutcome;
use super::{ClassObjectives, ReplayPlan};
use crate::lab::hosts::HostCounts;
use crate::standin::thrift_client::AnswerKind;
use crate::trace::sample::RateComparison;
use crate::trace::Trace;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::time::Duration;

/// Number of points of the plot.
const PLOT_POINTS: usize = 60;
/// Shortest interval that a point of the plot stands for, in s.
const MIN_POINT_S: f64 = 1e-6;
/// Longest latency that is recorded, in us; more than any deadline.
const MAX_RECORDED_US: u64 = 60_000_000;
/// Significant digits of recorded latencies.
const RECORDED_DIGITS: u8 = 3;

/// The results of one class.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassResults {
    /// Name of the class.
    pub class: String,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of served requests.
    pub served: u64,
    /// Number of requests served within the class's latency objective.
    pub on_time: u64,
    /// Number of rejected requests.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of failed requests.
    pub failed: u64,
    /// Number of requests that were never answered.
    pub unanswered: u64,
    /// Median latency of served requests, in ms.
    pub p50_ms: f64,
    /// 99th percentile of the latency of served requests, in ms.
    pub p99_ms: f64,
    /// Priority weight of the requests served within the latency objective, and of all requests.
    #[serde(rename = "worth")]
    pub value: EarnedValue,
    /// Rate of the sample compared with that of the trace.
    #[serde(serialize_with = "as_list")]
    pub rate: RateComparison,
}

fn as_list<S: serde::Serializer>(rate: &RateComparison, to: S) -> Result<S::Ok, S::Error> {
    <(f64, f64, f64)>::from(*rate).serialize(to)
}

/// Sums of the priority weight of requests; serialized as a list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "[f64; 2]")]
pub struct EarnedValue {
    /// Weight of the requests served within their class's latency objective.
    pub earned: f64,
    /// Weight of all requests.
    pub possible: f64,
}

impl From<EarnedValue> for [f64; 2] {
    fn from(value: EarnedValue) -> Self {
        [value.earned, value.possible]
    }
}

impl EarnedValue {
    /// Returns the earned share of the possible value, 0 if nothing was possible.
    pub fn earned_share(&self) -> f64 {
        if self.possible > 0.0 {
            self.earned / self.possible
        } else {
            0.0
        }
    }
}

/// A point of the plot: the requests that were sent in one interval of the replay.
#[derive(Clone, Debug, Default, Serialize)]
pub struct PlotInterval {
    /// Start of the interval, in seconds from the start of the replay.
    pub at_s: f64,
    /// Number of requests sent.
    pub sent: u64,
    /// Number of served requests.
    pub served: u64,
    /// Number of requests that were rejected, failed or not answered.
    pub lost: u64,
    /// Longest latency of a served request, in ms.
    pub slowest_ms: f64,
}

/// The report of a replay.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Length of the trace's sample that was replayed, in seconds of the trace's time.
    pub trace_s: f64,
    /// Real time that the replay took, in s.
    pub took_s: f64,
    /// Factor by which the trace's time was sped up.
    pub speed: f64,
    /// Text that counts the trace's rows by what became of them.
    pub rows: String,
    /// Number of slices of the trace that the sample consists of.
    pub slices: usize,
    /// Results by class, in the map's order.
    pub classes: Vec<ClassResults>,
    /// Numbers of requests that reached the stand-in hosts.
    #[serde(rename = "upstream")]
    pub host_counts: HostCounts,
    /// The faults as texts, each with its time.
    pub faults: Vec<String>,
    /// The points of the plot, ordered by time.
    pub moments: Vec<PlotInterval>,
    /// How much later than planned a request was sent, at most, in ms.
    #[serde(rename = "behind_ms")]
    pub max_lateness_ms: f64,
}

/// The measured data of a replay.
pub(super) struct Measurement {
    pub(super) client_results: ClientResults,
    pub(super) took: Duration,
    pub(super) hosts: HostCounts,
}

impl Report {
    /// Makes the report of a replay; `objectives` are those of the trace's classes, in the same order.
    pub(super) fn new(
        trace: &Trace,
        plan: &ReplayPlan,
        objectives: &[ClassObjectives],
        measured: &Measurement,
    ) -> Self {
        let outcomes = &measured.client_results.outcomes;
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
            max_lateness_ms: measured.client_results.max_lateness.as_secs_f64() * 1000.0,
        }
    }
}

/// Returns the points of the plot for a replay of `length_s` seconds.
fn plot_intervals(outcomes: &[RequestOutcome], length_s: f64) -> Vec<PlotInterval> {
    let interval_s = (length_s / PLOT_POINTS as f64).max(MIN_POINT_S);
    let at = |number| PlotInterval { at_s: number as f64 * interval_s, ..PlotInterval::default() };
    let mut intervals: Vec<PlotInterval> = (0..PLOT_POINTS).map(at).collect();
    for outcome in outcomes {
        let number = (outcome.sent.as_secs_f64() / interval_s) as usize;
        let interval = &mut intervals[number.min(PLOT_POINTS - 1)];
        interval.sent += 1;
        if outcome.answer == Some(AnswerKind::Served) {
            interval.served += 1;
            interval.slowest_ms = interval.slowest_ms.max(outcome.latency.as_secs_f64() * 1000.0);
        } else {
            interval.lost += 1;
        }
    }
    intervals
}

/// Returns the results of a class from the outcomes of its requests, without the class's name and rate.
fn class_results<'a>(
    outcomes: impl Iterator<Item = &'a RequestOutcome>,
    objectives: &ClassObjectives,
) -> ClassResults {
    let mut results = ClassResults::default();
    let mut times = Histogram::<u64>::new_with_bounds(1, MAX_RECORDED_US, RECORDED_DIGITS).ok();
    let latency_objective_us = objectives.latency_objective_ms * 1000.0;
    for outcome in outcomes {
        results.sent += 1;
        match outcome.answer {
            Some(AnswerKind::Served) => {
                results.served += 1;
                let us = outcome.latency.as_micros().clamp(1, u128::from(MAX_RECORDED_US)) as u64;
                results.on_time += u64::from(us as f64 <= latency_objective_us);
                if let Some(times) = &mut times {
                    times.saturating_record(us);
                }
            }
            Some(AnswerKind::Rejected) => results.rejected += 1,
            Some(AnswerKind::Failed) => results.failed += 1,
            None => results.unanswered += 1,
        }
    }
    let percentile_ms =
        |quantile: f64| times.as_ref().map_or(0.0, |times| times.value_at_quantile(quantile) as f64 / 1000.0);
    results.p50_ms = percentile_ms(0.5);
    results.p99_ms = percentile_ms(0.99);
    results.value.earned = results.on_time as f64 * objectives.priority_weight;
    results.value.possible = results.sent as f64 * objectives.priority_weight;
    results
}
