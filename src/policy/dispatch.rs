//! A request's next attempt: which server it goes to, who supplies a miss, and the books that are kept of it.

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

/// Rank of a copy asked for before; one seen first gets one less, and pushes out nothing wanted again.
const REPEATED_RANK: u32 = 2;
/// An attempt is let run for this many times its request's latency objective.
const LONGEST_PART_OF_OBJECTIVE: f64 = 1.2;

/// Where an attempt goes.
struct Route {
    server: ServerId,
    /// Who supplies a miss; `None`: nobody.
    source: Option<ServerId>,
    /// The server is a delegate of a popular object, or is to become one.
    delegate: bool,
    /// Fills are held back.
    only_held: bool,
    /// Only for want of a fetch.
    waits_for_fetch: bool,
}

impl Router {
    /// Takes in a client's request and sends its first attempt.
    pub(super) fn on_request(&mut self, now: Instant, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        if usize::from(request.class.0) >= self.settings.classes.len() {
            return out.push(Action::Fail(id));
        }
        self.retries.add_request();
        self.directory.count(object_key(&request));
        if request.size_kb > 0.0 {
            let sending = self.sending_time(&request);
            self.times_mut(request.class).observe_sending(sending);
        }
        self.open.insert(id, OpenRequest::new(now, request, self.settings.limits.clone()));
        self.dispatch(now, id, out);
    }

    /// Sends a request's next attempt, or answers it if there is nowhere to send it.
    pub(super) fn dispatch(&mut self, now: Instant, id: RequestId, out: &mut Vec<Action>) {
        let random = self.random.next_u64();
        let Some(open) = self.open.get(&id).filter(|open| !open.finished) else { return };
        match self.route(now, open, random) {
            Err(why) => self.give_up(now, id, why, out),
            Ok(route) => {
                let get = self.get(now, open, &route);
                self.record_attempt(now, &get, &route);
                out.push(Action::SendWithFill(get));
            }
        }
    }

    /// Where a request's next attempt goes, or what stands in its way.
    fn route(&self, now: Instant, open: &OpenRequest, random: u64) -> Result<Route, RejectionReason> {
        if open.attempts.len() >= open.limits.max_attempts as usize {
            return Err(RejectionReason::AttemptsExhausted);
        }
        if self.worth_until(open) <= now {
            return Err(RejectionReason::DeadlineExceeded);
        }
        let order = self.hash_order(now, object_key(&open.request));
        // An ejected cache is no home for delegates: what they ask of it would put its probe off for good.
        let healthy: Vec<_> = order.iter().copied().filter(|s| !self.servers[s].ejected).collect();
        let may_delegate = open.attempts.is_empty() && !self.is_uncached(&open.request);
        let delegate = if may_delegate { self.delegate(now, open, &healthy, random) } else { None };
        if let (Some(server), Some(home)) = (delegate, healthy.first()) {
            let source = Some(*home);
            return Ok(Route { server, source, delegate: true, only_held: false, waits_for_fetch: false });
        }
        let server = self.home_or_parent(now, open, &order)?;
        Ok(self.route_to(now, open, server))
    }

    /// An attempt at a server that is no delegate: its source, and whether fills are held back.
    fn route_to(&self, now: Instant, open: &OpenRequest, server: ServerId) -> Route {
        let source = if self.is_cache(server) { self.fill_source(now, open) } else { None };
        let origin_failed = open.attempts.iter().any(|attempt| attempt.origin_failed);
        let over_limit = open.attempts.is_empty()
            && !self.is_uncached(&open.request)
            && !self.fetches.admits(open.request.id);
        let only_held = source.is_some() && !self.is_uncached(&open.request) && (origin_failed || over_limit);
        // The origin holds all, so it is not asked for what it holds only.
        let source = source.filter(|source| !only_held || self.parents.contains(source));
        let waits_for_fetch = only_held && !origin_failed;
        Route { server, source, delegate: false, only_held, waits_for_fetch }
    }

    /// The attempt as it is sent.
    fn get(&self, now: Instant, open: &OpenRequest, route: &Route) -> FillAttempt {
        let request = &open.request;
        let count = self.directory.count_of(object_key(request));
        let rescued_there = open.attempts.iter().any(|a| a.server == route.server && a.rescued);
        FillAttempt {
            request: request.id,
            server: route.server,
            timeout: self.worth_until(open) - now,
            source: route.source.unwrap_or(route.server),
            cache_rank: if self.is_uncached(request) { 0 } else { count.min(REPEATED_RANK) as u8 },
            max_age: self.max_age(now, open),
            join_fill: self.settings.limits.join_fills && !rescued_there,
            only_if_cached: route.only_held && route.source.is_some(),
            bypass_parent_cache: false,
            stale_while_revalidate: self.class(request).fresh_for > Span::ZERO,
        }
    }

    /// Whether no cache keeps what a request asks for.
    fn is_uncached(&self, request: &Request) -> bool {
        self.class(request).uncached || request.is_write
    }

    /// Books an attempt that is sent.
    fn record_attempt(&mut self, now: Instant, get: &FillAttempt, route: &Route) {
        let (server, source) = (get.server, get.source);
        let attempt = Attempt {
            server,
            source,
            sent: now,
            delegate: route.delegate,
            only_held: route.only_held || route.source.is_none(),
            waits_for_fetch: route.waits_for_fetch,
            in_flight: true,
            ..Attempt::default()
        };
        self.fetches.in_flight += usize::from(attempt.is_fetch());
        let Some(open) = self.open.get_mut(&get.request) else { return };
        open.attempts.push(attempt);
        let (class, object) = (open.request.class, object_key(&open.request));
        self.record_sent_work(now, class, BTreeSet::from([server, source]));
        if let Some(probed) = self.servers.get_mut(&source).filter(|source| source.ejected) {
            probed.ejected_until = now + PROBE_INTERVAL; // this is its probe
        }
        let memory = self.load_memory();
        if let Some(server) = self.servers.get_mut(&server) {
            server.on_attempt_sent(now, memory);
        }
        if let Some(entry) = self.directory.get_mut(object).filter(|_| route.delegate) {
            entry.on_delegated(now, server);
        }
    }

    /// Books the mean work of a class against the servers that do it.
    fn record_sent_work(&mut self, now: Instant, class: ClassId, servers: BTreeSet<ServerId>) {
        let work = self.times(class).sending / SECOND.as_micros_f64();
        for server in servers {
            self.servers.entry(server).and_modify(|s| s.recent_work.push_back(SentWork { at: now, work }));
        }
    }

    /// Until when a request is worth trying for: not long past its objective, where the size is told.
    fn worth_until(&self, open: &OpenRequest) -> Instant {
        let class = self.class(&open.request);
        let objective = class.latency_objective.as_micros_f64()
            + class.objective_stretch * self.sending_time(&open.request);
        let is_size_told = open.request.size_kb > 0.0;
        let longest = if is_size_told {
            Span::from_micros_f64(objective * LONGEST_PART_OF_OBJECTIVE)
        } else {
            Span::MAX
        };
        open.arrived + longest.min(open.request.client_timeout)
    }
}
