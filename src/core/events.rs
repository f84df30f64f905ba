//! Passes the program's reports to the router as events, and carries out the router's actions.

use super::attempts::NewAttempt;
use super::{Command, Core, CoreDeadline, FinalAnswer};
use crate::deadlines::Schedule;
use crate::interface::{
    Action, AttemptResult, Endpoint, Event, Instant, ListUpdate, Purge, RejectionReason, RequestId, ServerId,
    ServerState, Span,
};
use crate::slots::Key;

/// How long purges are remembered, as a multiple of the time after which all servers have dropped older copies.
const PURGE_MEMORY_FACTOR: i64 = 2;

impl Core {
    /// Reports the end of a health check.
    pub fn health_checked(
        &mut self,
        now: Instant,
        server: ServerId,
        result: AttemptResult,
        elapsed: Span,
        load_report: Vec<f32>,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        self.events.push_back(Event::HealthChecked { server, result, elapsed, load_report });
        self.run_router(now, deadlines);
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(
        &mut self,
        now: Instant,
        update: ListUpdate,
        endpoints: Vec<Endpoint>,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        if matches!(update, ListUpdate::Cached | ListUpdate::Full) {
            self.server_states.clear();
        }
        self.server_states.extend(endpoints.iter().map(|endpoint| (endpoint.server, endpoint.state)));
        self.server_states.retain(|_, state| *state != ServerState::Removed);
        self.events.push_back(Event::EndpointList { update, endpoints });
        self.run_router(now, deadlines);
    }

    /// Applies a purge that was made at `made_at`.
    pub fn purge(
        &mut self,
        now: Instant,
        purge: Purge,
        made_at: Instant,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        let remembered_for = PURGE_MEMORY_FACTOR * self.settings.protection.purge_settled_after;
        self.purge_times.retain(|_, made_at| *made_at + remembered_for > now);
        let newest = self.purge_times.entry(purge).or_insert(made_at);
        *newest = made_at.max(*newest);
        self.events.push_back(Event::Purged { purge, age: now - made_at });
        self.run_router(now, deadlines);
    }

    /// Handles a deadline of the core that has passed.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        deadline: CoreDeadline,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        match deadline {
            CoreDeadline::RouterTimer(token) => self.events.push_back(Event::Timer(token)),
            CoreDeadline::AttemptTimeout(key) => self.time_out_attempt(now, key, deadlines),
            CoreDeadline::ClientTimeout(key) => self.on_client_timeout(now, key, deadlines),
            CoreDeadline::AuthorizationExpiry(key) => self.on_authorization_expiry(now, key, deadlines),
        }
        self.run_router(now, deadlines);
    }

    /// Passes all queued events to the router, including those that result from its actions.
    pub(super) fn run_router(&mut self, now: Instant, deadlines: &mut dyn Schedule<CoreDeadline>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, deadlines);
            }
            self.actions = actions;
        }
    }

    /// Carries out an action of the router.
    pub(super) fn carry_out(
        &mut self,
        now: Instant,
        action: Action,
        deadlines: &mut dyn Schedule<CoreDeadline>,
    ) {
        match action {
            Action::SendCacheOnly { request, server, timeout } => {
                self.begin_attempt(now, NewAttempt { request, server, timeout, fill: None }, deadlines);
            }
            Action::SendWithFill(fill) => {
                let (request, server, timeout) = (fill.request, fill.server, fill.timeout);
                self.begin_attempt(now, NewAttempt { request, server, timeout, fill: Some(fill) }, deadlines);
            }
            Action::Reject { request, retry_after, reason } => self.reject(now, request, retry_after, reason),
            Action::Fail(request) => self.fail(now, request),
            Action::Cancel { request, attempt } => self.cancel_attempt(now, request, attempt, deadlines),
            Action::Timer { token, after } => {
                deadlines.add(now + after.max(Span::ZERO), CoreDeadline::RouterTimer(token));
            }
            Action::HealthCheck(server) => self.commands.push_back(Command::HealthCheck(server)),
            Action::CloseIdleConnections(server) => {
                self.commands.push_back(Command::CloseIdleConnections(server));
            }
            Action::Log(line) => self.commands.push_back(Command::Log(line)),
            // No platform has messages between edge proxies, or an endpoint list that must be polled.
            Action::SendToPeer { .. } | Action::WatchEndpoints(_) | Action::PollEndpoints => {}
        }
    }

    fn reject(&mut self, now: Instant, request: RequestId, retry_after: Span, reason: RejectionReason) {
        let timed_out = self.is_timed_out(now, request);
        let retry_after = retry_after.max(Span::ZERO);
        let answer = FinalAnswer::Rejected { retry_after, timed_out, reason };
        self.choose_answer(Key::from_number(request.0), answer);
    }

    fn fail(&mut self, now: Instant, request: RequestId) {
        let timed_out = self.is_timed_out(now, request);
        self.choose_answer(Key::from_number(request.0), FinalAnswer::Failed { timed_out });
    }
}
