//! Measurements from the end of an attempt: of its class, its cache, its fill source and the origin.

use super::{attempt::Attempt, fetch_limit::FetchSpeed, Router};
use crate::interface::{
    AttemptOutcome, AttemptResult, CacheStatus, CacheStatusDetail, Instant, Request, Span,
};

/// A fetch is slow if its first byte takes more than this share of its latency objective, or if the whole
/// answer is late.
const SLOW_FIRST_BYTE_SHARE: f64 = 0.8;

/// Times of an ended attempt, us.
struct AttemptTimes {
    /// Whether the outcome states the answer's transfer time; always false for uncached classes.
    is_transfer_known: bool,
    /// Transfer time at top speed: as stated, or else the estimate for the request.
    transfer: f64,
    /// Added to times before they are compared, since short times differ by chance.
    slack: f64,
    /// Elapsed time without the wait for the source, for which the cache is not at fault.
    own_time: f64,
    /// Natural logarithm of the ratio of the cache's own time to the expected time.
    deviation: f64,
}

impl AttemptTimes {
    fn new(router: &Router, outcome: &AttemptOutcome, request: &Request) -> Self {
        let class = router.class(request);
        let is_transfer_known = outcome.transfer_time > Span::ZERO && !class.uncached;
        let transfer = if is_transfer_known {
            outcome.transfer_time.as_micros_f64()
        } else {
            router.transfer_time(request)
        };
        let slack = class.latency_objective.as_micros_f64() / 4.0;
        let own_time = (outcome.elapsed - outcome.fill_wait).max(Span::ZERO).as_micros_f64();
        let deviation = ((own_time + slack) / (transfer + slack)).ln();
        AttemptTimes { is_transfer_known, transfer, slack, own_time, deviation }
    }
}

impl Router {
    /// Records the measurements of an ended attempt.
    pub(super) fn measure(
        &mut self,
        now: Instant,
        outcome: &AttemptOutcome,
        request: &Request,
        attempt: &Attempt,
    ) {
        let times = AttemptTimes::new(self, outcome, request);
        let is_served = outcome.result == AttemptResult::Ok;
        if is_served {
            self.class_times_mut(request.class).observe_answer(outcome.elapsed.as_micros_f64());
        }
        if is_served && !self.settings.topology.weights_state_links {
            self.measure_link(now, outcome, times.transfer, times.slack);
        }
        if attempt.is_fill() && !attempt.only_if_cached {
            let speed = self.fetch_speed(outcome, request, attempt, &times);
            let min_limit = 1.0 / f64::from(self.routers_sharing(false));
            self.fetch_limit.observe(now, speed, min_limit);
        }
        self.measure_transfer(outcome, request, &times);
        self.measure_cache(now, outcome, attempt, &times);
        if attempt.is_fill() {
            self.measure_source(now, outcome, attempt, &times);
        }
    }

    /// Returns what the end of a fetch shows about the speed of the origin.
    fn fetch_speed(
        &self,
        outcome: &AttemptOutcome,
        request: &Request,
        attempt: &Attempt,
        times: &AttemptTimes,
    ) -> FetchSpeed {
        use AttemptResult::{Cancelled, Error, Ok, Rejected, Timeout};
        let class = self.class(request);
        let target = class.latency_objective.as_micros_f64();
        let is_lost =
            matches!(outcome.result, Rejected | Timeout) || (outcome.result == Cancelled && attempt.replaced);
        // If answers do not name the origin, any fill may have come from it.
        let is_from_origin = match self.settings.limits.cache_status_detail {
            CacheStatusDetail::Full => outcome.cache_status == Some(CacheStatus::FilledByOrigin),
            CacheStatusDetail::Served => outcome.cache_status == Some(CacheStatus::Filled),
            CacheStatusDetail::None => outcome.cache_status.is_none() && outcome.result == Ok,
        };
        let is_late = times.is_transfer_known
            && outcome.elapsed.as_micros_f64() > target + class.objective_stretch * times.transfer;
        let is_slow_fill = is_late || outcome.fill_wait.as_micros_f64() > SLOW_FIRST_BYTE_SHARE * target;
        let is_status_unknown = self.settings.limits.cache_status_detail == CacheStatusDetail::None;
        let is_error = outcome.result == Error && (is_status_unknown || !attempt.errored);
        if is_lost || (is_from_origin && is_slow_fill) || is_error {
            FetchSpeed::Slow
        } else if is_from_origin {
            FetchSpeed::Fast
        } else {
            FetchSpeed::Unknown
        }
    }

    /// Records the transfer time of an answer whose size was unknown before.
    fn measure_transfer(&mut self, outcome: &AttemptOutcome, request: &Request, times: &AttemptTimes) {
        let is_informative = times.is_transfer_known || !is_filled(outcome) || self.class(request).uncached;
        if outcome.result == AttemptResult::Ok && request.size_kb <= 0.0 && is_informative {
            let transfer = if times.is_transfer_known { times.transfer } else { times.own_time };
            self.class_times_mut(request.class).observe_transfer(transfer);
        }
    }

    /// Records the effect of an outcome on the health and latency of the cache.
    fn measure_cache(
        &mut self,
        now: Instant,
        outcome: &AttemptOutcome,
        attempt: &Attempt,
        times: &AttemptTimes,
    ) {
        use AttemptResult::{ConnectFailed, Error, Miss, Ok, Rejected, Reset};
        let Some(cache) = self.servers.get_mut(&attempt.server) else { return };
        if outcome.result == Ok || (attempt.cache_at_fault && !matches!(outcome.result, Error | Reset)) {
            cache.count_success();
        }
        match outcome.result {
            Ok | Miss | Rejected => cache.on_response(now, times.deviation),
            ConnectFailed => cache.eject(now),
            Reset => cache.on_reset(now),
            _ => {}
        }
        if outcome.result == Ok && !is_filled(outcome) {
            cache.observe_deviation(times.deviation);
        }
    }

    /// Records the effect of an outcome on the health and first byte of the fill source.
    fn measure_source(
        &mut self,
        now: Instant,
        outcome: &AttemptOutcome,
        attempt: &Attempt,
        times: &AttemptTimes,
    ) {
        use AttemptResult::{Cancelled, Error, Miss, Ok, Rejected, Timeout};
        let is_status_unknown = self.settings.limits.cache_status_detail == CacheStatusDetail::None;
        let Some(source) = self.servers.get_mut(&attempt.source) else { return };
        let is_source_fault = matches!(
            outcome.cache_status,
            Some(CacheStatus::SourceUnreachable | CacheStatus::SourceRejected)
        );
        if is_filled(outcome) || (is_status_unknown && outcome.result == Ok) {
            let elapsed = outcome.elapsed.as_micros_f64();
            let first_byte = if is_status_unknown {
                (elapsed - times.transfer).max(0.0)
            } else {
                outcome.fill_wait.as_micros_f64()
            };
            source.on_fill(now, first_byte);
        } else if matches!(outcome.result, Timeout | Cancelled) {
            source.on_lost_fill(now, outcome.elapsed.as_micros_f64());
        } else if is_source_fault && matches!(outcome.result, Error | Rejected | Miss) {
            source.count_error();
            source.eject_as_source(now);
        }
    }
}

/// Whether the cache status states that the answer was filled.
fn is_filled(outcome: &AttemptOutcome) -> bool {
    matches!(outcome.cache_status, Some(CacheStatus::Filled | CacheStatus::FilledByOrigin))
}
