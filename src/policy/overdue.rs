//! Overdue attempts: silent servers are ejected, and attempts that wait for them are hedged or retried
//! elsewhere.

use super::{attempt::Attempt, timing::SECOND, Router};
use crate::interface::{Action, CacheStatusDetail, Instant, RejectionReason, RequestId, ServerId, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Minimum number of overdue attempts in flight for a server to be silent: a single one may just have a large
/// answer.
const MIN_OVERDUE: usize = 2;
/// Minimum number of caches with overdue fills from a source for it to be silent.
const MIN_OVERDUE_CACHES: usize = 2;
/// Allowed time of an attempt beyond the smallest latency objective of any class, as a multiple of its
/// transfer time.
const TRANSFER_TIME_MULTIPLE: f64 = 2.0;

/// Refers to an attempt of an open request.
struct AttemptRef {
    request: RequestId,
    number: usize,
}

/// Result of a scan of the attempts in flight.
#[derive(Default)]
struct InFlightScan {
    /// Overdue attempts by server and by fill source.
    overdue: BTreeMap<ServerId, Vec<AttemptRef>>,
    /// Number of attempts in flight by fill source.
    in_flight: BTreeMap<ServerId, usize>,
    /// Requests whose client timeout has passed.
    expired: Vec<RequestId>,
}

impl Router {
    /// Checks the attempts in flight: ends expired requests, ejects silent servers and replaces the overdue
    /// attempts there.
    pub(super) fn on_tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.tick_scheduled = false;
        self.upkeep(now);
        let min_objective = self.smallest_objective();
        let scan = self.scan_in_flight(now, min_objective);
        let waited_too_long = self.take_expired_waiters(now);
        scan.expired
            .into_iter()
            .for_each(|id| self.reject_or_fail(now, id, RejectionReason::DeadlineExceeded, out));
        waited_too_long
            .into_iter()
            .for_each(|id| self.reject_or_fail(now, id, RejectionReason::FetchLimit, out));
        // Sources are checked first: an attempt that waits for a silent source does not count against its
        // cache.
        let (caches, sources): (Vec<_>, Vec<_>) =
            scan.overdue.into_iter().partition(|(server, _)| self.is_cache(*server));
        for (server, overdue) in sources.into_iter().chain(caches) {
            let in_flight = scan.in_flight.get(&server).copied().unwrap_or(0);
            self.check_silence(now, server, overdue, in_flight, min_objective, out);
        }
    }

    /// Returns the smallest latency objective of the classes in use.
    fn smallest_objective(&self) -> Span {
        let classes = self.settings.classes.iter().filter(|class| !class.retired);
        classes.map(|class| class.latency_objective).min().unwrap_or(SECOND)
    }

    /// Collects the overdue attempts and the expired requests.
    fn scan_in_flight(&self, now: Instant, min_objective: Span) -> InFlightScan {
        let mut scan = InFlightScan::default();
        for (id, open) in self.open_requests.iter().filter(|(_, open)| !open.finished && !open.streaming) {
            if open.arrived + open.request.client_timeout <= now {
                scan.expired.push(*id);
            }
            let usual = self.class_times(open.request.class).usual_limit();
            let transfer = self.transfer_time(&open.request);
            let allowed = Span::from_micros_f64(
                (min_objective.as_micros_f64() + TRANSFER_TIME_MULTIPLE * transfer).max(usual),
            );
            for (number, attempt) in open.attempts.iter().enumerate().filter(|(_, a)| a.in_flight) {
                *scan.in_flight.entry(attempt.source).or_default() += 1;
                if attempt.sent + allowed > now {
                    continue;
                }
                let source = Some(attempt.source).filter(|_| attempt.is_fill());
                for server in source.into_iter().chain([attempt.server]) {
                    let overdue = scan.overdue.entry(server).or_default();
                    overdue.push(AttemptRef { request: *id, number });
                }
            }
        }
        scan
    }

    /// Removes the requests from the fetch queue that may wait no longer, and returns them.
    fn take_expired_waiters(&mut self, now: Instant) -> Vec<RequestId> {
        let queue = std::mem::take(&mut self.fetch_limit.queue);
        let still_open = queue.into_iter().filter(|id| self.open_requests.contains_key(id));
        let (waiting, expired): (_, Vec<_>) =
            still_open.partition(|id| self.may_wait_for_fetch(now, &self.open_requests[id]));
        self.fetch_limit.queue = waiting;
        expired
    }

    /// Ejects a server if it is silent, and replaces its overdue attempts.
    fn check_silence(
        &mut self,
        now: Instant,
        server: ServerId,
        overdue: Vec<AttemptRef>,
        in_flight: usize,
        min_objective: Span,
        out: &mut Vec<Action>,
    ) {
        let is_cache = self.is_cache(server);
        let overdue = if is_cache { self.overdue_at_cache(overdue) } else { self.overdue_at_source(overdue) };
        let is_source_without_status =
            self.settings.limits.cache_status_detail == CacheStatusDetail::None && !is_cache;
        let Some(to) = self.servers.get_mut(&server) else { return };
        let is_silent = match is_source_without_status {
            true => 2 * overdue.len() > in_flight,
            false => to.silent_since + min_objective <= now,
        };
        let has_enough_overdue = overdue.len() >= MIN_OVERDUE || (to.ejected && !overdue.is_empty());
        if !is_silent || !has_enough_overdue {
            return;
        }
        if !to.ejected {
            let tier = if is_cache { "cache" } else { "source" };
            out.push(Action::Log(format!("{tier} {} silent, {} overdue", server.0, overdue.len())));
        }
        to.eject(now);
        for attempt in overdue {
            self.replace_overdue(now, attempt, is_cache, out);
        }
    }

    /// Returns the overdue attempts that count against a cache: not those that wait for an ejected source.
    fn overdue_at_cache(&self, mut overdue: Vec<AttemptRef>) -> Vec<AttemptRef> {
        let is_ejected = |server: ServerId| self.servers.get(&server).is_some_and(|server| server.ejected);
        overdue.retain(|attempt| {
            self.attempt(attempt).is_some_and(|attempt| attempt.is_delegate || !is_ejected(attempt.source))
        });
        overdue
    }

    /// Returns the overdue attempts that count against a source: none while all of them are at one cache.
    fn overdue_at_source(&self, overdue: Vec<AttemptRef>) -> Vec<AttemptRef> {
        let attempts = overdue.iter().filter_map(|attempt| self.attempt(attempt));
        let caches: BTreeSet<ServerId> = attempts.map(|attempt| attempt.server).collect();
        if caches.len() < MIN_OVERDUE_CACHES {
            return Vec::new();
        }
        overdue
    }

    /// Returns the attempt, or `None` if its request has ended.
    fn attempt(&self, attempt: &AttemptRef) -> Option<&Attempt> {
        self.open_requests.get(&attempt.request).map(|open| &open.attempts[attempt.number])
    }

    /// Replaces an overdue attempt: by a hedged request if the site allows parallel attempts, else by
    /// cancelling it, so that a retry follows.
    fn replace_overdue(
        &mut self,
        now: Instant,
        overdue: AttemptRef,
        is_cache_at_fault: bool,
        out: &mut Vec<Action>,
    ) {
        let AttemptRef { request, number } = overdue;
        let Some(open) = self.open_requests.get_mut(&request).filter(|open| !open.finished) else { return };
        let parallel = open.limits.parallel_attempts;
        let attempt = &mut open.attempts[number];
        if attempt.replaced || !(parallel || open.limits.cancellation) || !self.retry_budget.has_retry() {
            return;
        }
        attempt.replaced = true;
        attempt.cache_at_fault = is_cache_at_fault;
        self.retry_budget.spend();
        if parallel {
            self.dispatch(now, request, out);
        } else {
            out.push(Action::Cancel { request, attempt: number as u8 });
        }
    }
}
