//! A request's next attempt: which server it goes to, which server supplies a miss, and what is recorded of
//! it.

use super::{
    attempt::{Attempt, OpenRequest},
    popularity::object_key,
    server::SentWork,
    timing::{PROBE_INTERVAL, SECOND},
    Router,
};
use crate::interface::{
    Action, ClassId, FillAttempt, Instant, RejectionReason, Request, RequestId, ServerId, Span,
};
use rand_core::RngCore;
use std::collections::BTreeSet;

/// Cache rank of an object that was requested before. A new object gets one less, so that it does not evict
/// repeated ones.
const REPEATED_RANK: u32 = 2;
/// Maximum duration of a request's attempts, as a multiple of its latency objective.
const MAX_OBJECTIVE_MULTIPLE: f64 = 1.2;

/// An attempt's server and fill source.
struct Route {
    server: ServerId,
    /// Server that supplies a miss; `None` if there is none.
    source: Option<ServerId>,
    /// Whether the server is a delegate of a popular object, or is to become one.
    is_delegate: bool,
    /// Whether the fill source may only answer from its cache.
    only_if_cached: bool,
    /// Whether `only_if_cached` is set only because the origin fetch limit is reached.
    waits_for_fetch: bool,
}

impl Router {
    /// Accepts a request and sends its first attempt; fails it if its class is unknown.
    pub(super) fn on_request(&mut self, now: Instant, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if usize::from(request.class.0) >= self.settings.classes.len() {
            return out.push(Action::Fail(id));
        }
        self.retry_budget.add_request();
        self.directory.count(object_key(&request));
        if request.size_kb > 0.0 {
            let transfer = self.transfer_time(&request);
            self.class_times_mut(request.class).observe_transfer(transfer);
        }
        self.open_requests.insert(id, OpenRequest::new(now, request, self.settings.limits.clone()));
        self.dispatch(now, id, out);
    }

    /// Sends a request's next attempt, or rejects or fails the request if no attempt can be sent.
    pub(super) fn dispatch(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let random = self.random.next_u64();
        let Some(open) = self.open_requests.get(&id).filter(|open| !open.finished) else { return };
        match self.route(now, open, random) {
            Err(reason) => self.reject_or_fail(now, id, reason, out),
            Ok(route) => {
                let fill = self.fill_attempt(now, open, &route);
                self.record_attempt(now, &fill, &route);
                out.push(Action::SendWithFill(fill));
            }
        }
    }

    /// Chooses the server and source of a request's next attempt, or returns the reason to reject it.
    fn route(&self, now: Instant, open: &OpenRequest, random: u64) -> Result<Route, RejectionReason> {
        if open.attempts.len() >= open.limits.max_attempts as usize {
            return Err(RejectionReason::AttemptsExhausted);
        }
        if self.attempt_deadline(open) <= now {
            return Err(RejectionReason::DeadlineExceeded);
        }
        let order = self.hash_order(now, object_key(&open.request));
        // An ejected cache is not used as the home of delegates: each of their fills would postpone its
        // probe, so that it would never recover.
        let healthy: Vec<_> = order.iter().copied().filter(|s| !self.servers[s].ejected).collect();
        let may_delegate = open.attempts.is_empty() && !self.is_uncached(&open.request);
        let delegate = if may_delegate { self.delegate(now, open, &healthy, random) } else { None };
        if let (Some(server), Some(home)) = (delegate, healthy.first()) {
            let source = Some(*home);
            return Ok(Route {
                server,
                source,
                is_delegate: true,
                only_if_cached: false,
                waits_for_fetch: false,
            });
        }
        let server = self.home_or_parent(now, open, &order)?;
        Ok(self.route_to(now, open, server))
    }

    /// Returns the route of an attempt at a server that is not a delegate: its fill source, and whether the
    /// source may only answer from its cache.
    fn route_to(&self, now: Instant, open: &OpenRequest, server: ServerId) -> Route {
        let source = if self.is_cache(server) { self.fill_source(now, open) } else { None };
        let origin_failed = open.attempts.iter().any(|attempt| attempt.origin_failed);
        let over_limit = open.attempts.is_empty()
            && !self.is_uncached(&open.request)
            && !self.fetch_limit.admits(open.request.id);
        let only_if_cached =
            source.is_some() && !self.is_uncached(&open.request) && (origin_failed || over_limit);
        // The origin holds every object, so limiting it to cached objects has no effect.
        let source = source.filter(|source| !only_if_cached || self.parents.contains(source));
        let waits_for_fetch = only_if_cached && !origin_failed;
        Route { server, source, is_delegate: false, only_if_cached, waits_for_fetch }
    }

    fn fill_attempt(&self, now: Instant, open: &OpenRequest, route: &Route) -> FillAttempt {
        let request = &open.request;
        let count = self.directory.count_of(object_key(request));
        let was_replaced_there = open.attempts.iter().any(|a| a.server == route.server && a.replaced);
        FillAttempt {
            request: request.id,
            server: route.server,
            timeout: self.attempt_deadline(open) - now,
            source: route.source.unwrap_or(route.server),
            cache_rank: if self.is_uncached(request) { 0 } else { count.min(REPEATED_RANK) as u8 },
            max_age: self.max_age(now, open),
            join_fill: self.settings.limits.join_fills && !was_replaced_there,
            only_if_cached: route.only_if_cached && route.source.is_some(),
            bypass_parent_cache: false,
            stale_while_revalidate: self.class(request).fresh_for > Span::ZERO,
        }
    }

    /// Whether answers to this request are never cached.
    fn is_uncached(&self, request: &Request) -> bool {
        self.class(request).uncached || request.is_write
    }

    /// Records a sent attempt with its request, its servers and the popular directory.
    fn record_attempt(&mut self, now: Instant, fill: &FillAttempt, route: &Route) {
        let (server, source) = (fill.server, fill.source);
        let attempt = Attempt {
            server,
            source,
            sent: now,
            is_delegate: route.is_delegate,
            only_if_cached: route.only_if_cached || route.source.is_none(),
            waits_for_fetch: route.waits_for_fetch,
            in_flight: true,
            ..Attempt::default()
        };
        self.fetch_limit.in_flight += usize::from(attempt.is_fetch());
        let Some(open) = self.open_requests.get_mut(&fill.request) else { return };
        open.attempts.push(attempt);
        let (class, object) = (open.request.class, object_key(&open.request));
        self.record_sent_work(now, class, BTreeSet::from([server, source]));
        if let Some(probed) = self.servers.get_mut(&source).filter(|source| source.ejected) {
            probed.ejected_until = now + PROBE_INTERVAL; // the fill is its probe
        }
        let smoothing_span = self.load_smoothing_span();
        if let Some(server) = self.servers.get_mut(&server) {
            server.on_attempt_sent(now, smoothing_span);
        }
        if let Some(entry) = self.directory.get_mut(object).filter(|_| route.is_delegate) {
            entry.on_delegated(now, server);
        }
    }

    /// Adds the class's mean transfer time to the recent work of the servers that the attempt uses.
    fn record_sent_work(&mut self, now: Instant, class: ClassId, servers: BTreeSet<ServerId>) {
        let work = self.class_times(class).transfer / SECOND.as_micros_f64();
        for server in servers {
            self.servers.entry(server).and_modify(|s| s.recent_work.push_back(SentWork { at: now, work }));
        }
    }

    /// Returns when attempts at a request end at the latest: at its client timeout, or shortly after its
    /// latency objective if its size is known. A later answer would be of no use.
    fn attempt_deadline(&self, open: &OpenRequest) -> Instant {
        let class = self.class(&open.request);
        let objective = class.latency_objective.as_micros_f64()
            + class.objective_stretch * self.transfer_time(&open.request);
        let is_size_known = open.request.size_kb > 0.0;
        let longest =
            if is_size_known { Span::from_micros_f64(objective * MAX_OBJECTIVE_MULTIPLE) } else { Span::MAX };
        open.arrived + longest.min(open.request.client_timeout)
    }
}
