//! A listed server and what this router has measured of it: load, latency, errors and ejection.

use super::{
    attempt::Failure,
    timing::{smooth, MICROSECOND, PROBE_INTERVAL, SMOOTHING},
};
use crate::interface::{Endpoint, Instant, Span};
use std::collections::VecDeque;

/// A latency deviation that exceeds the median of the caches by more than this is not explained by chance.
pub const MIN_DEVIATION: f64 = 0.5;
/// Latency deviation of a server that refuses connections, is silent or has been ejected for errors; also the
/// maximum of a sample.
const MAX_DEVIATION: f64 = 3.0;
/// Weight of a lost fill in the smoothed time to the first byte of its source.
const LOST_FILL_WEIGHT: f64 = 0.3;
/// Weight of a new answer in the error rate.
const ERROR_RATE_WEIGHT: f64 = 0.25;
/// A cache with a higher error rate is ejected.
const EJECTING_ERROR_RATE: f64 = 0.4;
/// An ejected server with an error rate under this is readmitted by its next response.
const RECOVERED_ERROR_RATE: f64 = 0.1;
/// Requests that are not always idempotent avoid servers and fill sources with this error rate or more, if
/// they can.
pub const UNRELIABLE_ERROR_RATE: f64 = 0.02;

pub struct SentWork {
    pub at: Instant,
    /// Mean transfer time of its class, s.
    pub work: f64,
}

/// A server of the endpoint list and its measurements.
#[derive(Default)]
pub struct Server {
    pub endpoint: Endpoint,
    /// Number of this router's attempts in flight.
    pub in_flight: u32,
    /// Smoothed `in_flight`: with many routers, a single count is a poor estimate of what the others have.
    smoothed_in_flight: f64,
    smoothed_at: Instant,
    /// Smoothed latency deviation: natural logarithm of the ratio of measured to expected time.
    pub latency_deviation: f64,
    /// Smoothed share of answers that are errors of the server's own.
    pub error_rate: f64,
    /// When a connection to it last broke.
    connection_broke_at: Instant,
    /// Smoothed time to the first byte of its fills, us; `None` before the first sample.
    pub first_byte: Option<f64>,
    /// When it last supplied or lost a fill.
    pub first_byte_at: Instant,
    /// When it last answered, supplied a fill, or was sent an attempt while none was in flight.
    pub silent_since: Instant,
    /// Whether it gets only probes, since it failed or is silent.
    pub ejected: bool,
    pub ejected_until: Instant,
    /// Work sent recently, which the budget of a warming server limits.
    pub recent_work: VecDeque<SentWork>,
}

impl Server {
    pub fn new(endpoint: Endpoint, now: Instant) -> Self {
        Server {
            endpoint,
            smoothed_at: now,
            first_byte_at: now,
            silent_since: now,
            ejected_until: now,
            connection_broke_at: now - MICROSECOND,
            ..Server::default()
        }
    }

    /// Resets what was measured before its restart.
    pub fn on_restart(&mut self) {
        self.latency_deviation = 0.0;
        self.error_rate = 0.0;
        self.ejected = false;
        self.first_byte = None;
    }

    /// Returns the own attempts in flight, smoothed over `smoothing_span`.
    pub fn smoothed_in_flight(&self, now: Instant, smoothing_span: Span) -> f64 {
        let decay = (-(now - self.smoothed_at).ratio(smoothing_span.max(MICROSECOND))).exp();
        f64::from(self.in_flight) + (self.smoothed_in_flight - f64::from(self.in_flight)) * decay
    }

    pub fn on_attempt_sent(&mut self, now: Instant, smoothing_span: Span) {
        self.update_smoothed_in_flight(now, smoothing_span);
        if self.in_flight == 0 {
            self.silent_since = now;
        }
        self.in_flight += 1;
    }

    pub fn on_attempt_ended(&mut self, now: Instant, smoothing_span: Span) {
        self.update_smoothed_in_flight(now, smoothing_span);
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Updates the smoothed number. Must be called before `in_flight` changes.
    fn update_smoothed_in_flight(&mut self, now: Instant, smoothing_span: Span) {
        self.smoothed_in_flight = self.smoothed_in_flight(now, smoothing_span);
        self.smoothed_at = now;
    }

    /// Ejects the server until a probe succeeds, since it failed or is silent.
    pub fn eject(&mut self, now: Instant) {
        self.latency_deviation = MAX_DEVIATION;
        self.eject_as_source(now);
    }

    /// Ejects the server for its failures as a fill source, which are no evidence about its latency.
    pub fn eject_as_source(&mut self, now: Instant) {
        self.ejected = true;
        self.ejected_until = now + PROBE_INTERVAL;
    }

    /// Records an error of the server's own; ejects the server at a high error rate.
    pub fn on_error(&mut self, now: Instant) {
        self.count_error();
        if self.error_rate > EJECTING_ERROR_RATE {
            self.eject(now);
        }
    }

    /// Records a failed fill from this source. An error ejects the source for a while. A rejection does so
    /// only at a high error rate, since a cache without a free fill slot gives the same answer.
    pub fn on_failed_fill(&mut self, now: Instant, failure: Failure) {
        self.count_error();
        if failure == Failure::Errored || self.error_rate > EJECTING_ERROR_RATE {
            self.eject_as_source(now);
        }
    }

    /// Records a broken connection. One unreadable answer ends all attempts on its connection at once, so
    /// resets at the same time count once.
    pub fn on_reset(&mut self, now: Instant) {
        if self.connection_broke_at != now {
            self.connection_broke_at = now;
            self.on_error(now);
        }
    }

    /// Records any answer. An answer to a probe ends the ejection, unless the error rate is still too high.
    pub fn on_response(&mut self, now: Instant, deviation: f64) {
        if self.ejected {
            self.latency_deviation = self.latency_deviation.min(deviation.max(MIN_DEVIATION));
        }
        self.silent_since = now;
        if self.error_rate < RECOVERED_ERROR_RATE || !self.ejected {
            self.ejected = false;
            self.ejected_until = now;
        }
    }

    /// Records the latency deviation of an answer that was not filled.
    pub fn observe_deviation(&mut self, deviation: f64) {
        smooth(&mut self.latency_deviation, SMOOTHING, deviation.min(MAX_DEVIATION));
    }

    /// Records the time to the first byte of a fill that this source supplied.
    pub fn on_fill(&mut self, now: Instant, first_byte: f64) {
        smooth(self.first_byte.get_or_insert(first_byte), SMOOTHING, first_byte);
        self.count_success();
        self.first_byte_at = now;
        self.silent_since = now;
        self.ejected = false;
    }

    /// Records a lost fill: an attempt with this fill source timed out or was cancelled after `waited`. It
    /// weighs more than a supplied fill, and its time to the first byte is taken as at least `waited`.
    pub fn on_lost_fill(&mut self, now: Instant, waited: f64) {
        let known = self.first_byte.get_or_insert(waited);
        smooth(known, LOST_FILL_WEIGHT, waited.max(*known));
        self.first_byte_at = now;
    }

    pub fn count_error(&mut self) {
        smooth(&mut self.error_rate, ERROR_RATE_WEIGHT, 1.0);
    }

    pub fn count_success(&mut self) {
        smooth(&mut self.error_rate, ERROR_RATE_WEIGHT, 0.0);
    }

    /// Whether the server is ejected and a probe is due.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.ejected && self.ejected_until <= now && self.in_flight == 0
    }
}
