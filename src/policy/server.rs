//! A listed server with what this router has seen of it: its load, latency, errors and ejection.

use super::{
    attempt::Failure,
    timing::{smooth, MICROSECOND, PROBE_INTERVAL, SMOOTHING},
};
use crate::interface::{Endpoint, Instant, Span};
use std::collections::VecDeque;

/// Latency deviation beyond the median cache's that chance does not explain.
pub const MIN_DEVIATION: f64 = 0.5;
/// Latency deviation of a server that fails outright or falls silent.
const MAX_DEVIATION: f64 = 3.0;
/// Weight of a fill that never came in its source's smoothed first byte.
const LOST_FILL_WEIGHT: f64 = 0.3;
/// Weight of a new answer in a server's error rate.
const ERROR_RATE_WEIGHT: f64 = 0.25;
/// Over this error rate a cache is ejected...
const EJECTING_ERROR_RATE: f64 = 0.4;
/// ...until it is under this one.
const RECOVERED_ERROR_RATE: f64 = 0.1;
/// Over this error rate no write goes to a server, or is filled there, if it need not.
pub const UNRELIABLE_ERROR_RATE: f64 = 0.02;

/// Work that was sent to a server.
pub struct SentWork {
    pub at: Instant,
    /// Transfer time, s.
    pub work: f64,
}

/// A server of the list, with what this router has seen of it.
#[derive(Default)]
pub struct Server {
    pub endpoint: Endpoint,
    /// Own attempts in flight.
    pub in_flight: u32,
    /// Own attempts in flight, smoothed over time: with many routers a count of one tells little.
    smoothed_in_flight: f64,
    smoothed_at: Instant,
    /// Smoothed latency deviation of answers: natural log of a time over the time it should take.
    pub latency_deviation: f64,
    /// Smoothed part of errors of its own.
    pub error_rate: f64,
    /// When a connection to it broke last.
    connection_broke_at: Instant,
    /// Smoothed first byte as a source of fills.
    pub first_byte: Option<f64>,
    /// When it last filled something or failed to.
    pub first_byte_at: Instant,
    pub last_heard: Instant,
    /// Failed outright or silent: only probes until then.
    pub ejected: bool,
    pub ejected_until: Instant,
    /// Work sent recently: a server that is warming up has a budget of it.
    pub recent_work: VecDeque<SentWork>,
}

impl Server {
    /// A server that has just been listed.
    pub fn new(endpoint: Endpoint, now: Instant) -> Self {
        Server {
            endpoint,
            smoothed_at: now,
            first_byte_at: now,
            last_heard: now,
            ejected_until: now,
            connection_broke_at: now - MICROSECOND,
            ..Server::default()
        }
    }

    /// Forgets what was measured before its restart.
    pub fn on_restart(&mut self) {
        self.latency_deviation = 0.0;
        self.error_rate = 0.0;
        self.ejected = false;
        self.first_byte = None;
    }

    /// Own attempts in flight by now, smoothed over `smoothing_span`.
    pub fn smoothed_in_flight(&self, now: Instant, smoothing_span: Span) -> f64 {
        let decay = (-(now - self.smoothed_at).ratio(smoothing_span.max(MICROSECOND))).exp();
        f64::from(self.in_flight) + (self.smoothed_in_flight - f64::from(self.in_flight)) * decay
    }

    /// Counts an attempt that is sent to it.
    pub fn on_attempt_sent(&mut self, now: Instant, smoothing_span: Span) {
        self.update_smoothed_in_flight(now, smoothing_span);
        if self.in_flight == 0 {
            self.last_heard = now;
        }
        self.in_flight += 1;
    }

    /// Counts an attempt that has ended there.
    pub fn on_attempt_ended(&mut self, now: Instant, smoothing_span: Span) {
        self.update_smoothed_in_flight(now, smoothing_span);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Brings the smoothed number up to date before the number changes.
    fn update_smoothed_in_flight(&mut self, now: Instant, smoothing_span: Span) {
        self.smoothed_in_flight = self.smoothed_in_flight(now, smoothing_span);
        self.smoothed_at = now;
    }

    /// Ejects it until a probe succeeds: it failed outright or is silent.
    pub fn eject(&mut self, now: Instant) {
        self.latency_deviation = MAX_DEVIATION;
        self.eject_as_source(now);
    }

    /// Ejects it for what it did as a source, which says nothing of its latency.
    pub fn eject_as_source(&mut self, now: Instant) {
        self.ejected = true;
        self.ejected_until = now + PROBE_INTERVAL;
    }

    /// Records an error of its own.
    pub fn on_error(&mut self, now: Instant) {
        self.count_error();
        if self.error_rate > EJECTING_ERROR_RATE {
            self.eject(now);
        }
    }

    /// Records a failed fill from it. An error ejects it for a while; rejections only do where few fills
    /// succeed, since a cache without a place for a fill rejects in the same words.
    pub fn on_failed_fill(&mut self, now: Instant, failure: Failure) {
        self.count_error();
        if failure == Failure::Errored || self.error_rate > EJECTING_ERROR_RATE {
            self.eject_as_source(now);
        }
    }

    /// Records a broken connection. One answer that can't be read ends all that is open on its connection:
    /// it counts once.
    pub fn on_reset(&mut self, now: Instant) {
        if self.connection_broke_at != now {
            self.connection_broke_at = now;
            self.on_error(now);
        }
    }

    /// Records that it answered, in whatever way: a probe it had ends its ejection, unless it errs too
    /// often.
    pub fn on_response(&mut self, now: Instant, deviation: f64) {
        if self.ejected {
            self.latency_deviation = self.latency_deviation.min(deviation.max(MIN_DEVIATION));
        }
        self.last_heard = now;
        if self.error_rate < RECOVERED_ERROR_RATE || !self.ejected {
            self.ejected = false;
            self.ejected_until = now;
        }
    }

    /// Records how far the time of an answer of its own was off.
    pub fn observe_deviation(&mut self, deviation: f64) {
        smooth(&mut self.latency_deviation, SMOOTHING, deviation.min(MAX_DEVIATION));
    }

    /// Records the first byte of a fill that it supplied.
    pub fn on_fill(&mut self, now: Instant, first_byte: f64) {
        smooth(self.first_byte.get_or_insert(first_byte), SMOOTHING, first_byte);
        self.count_success();
        self.first_byte_at = now;
        self.last_heard = now;
        self.ejected = false;
    }

    /// Records a fill of which nothing came: that says more than an answer, and all of its time was waiting.
    pub fn on_lost_fill(&mut self, now: Instant, waited: f64) {
        let known = self.first_byte.get_or_insert(waited);
        smooth(known, LOST_FILL_WEIGHT, waited.max(*known));
        self.first_byte_at = now;
    }

    /// Raises its error rate.
    pub fn count_error(&mut self) {
        smooth(&mut self.error_rate, ERROR_RATE_WEIGHT, 1.0);
    }

    /// Lowers its error rate.
    pub fn count_success(&mut self) {
        smooth(&mut self.error_rate, ERROR_RATE_WEIGHT, 0.0);
    }

    /// Whether it is ejected and due for a probe.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.ejected && self.ejected_until <= now && self.in_flight == 0
    }
}
