//! What the decision module is told, and the actions with which it answers.

use super::attempts::NewAttempt;
use super::{Command, Core, CoreDeadline, FinalAnswer};
use crate::deadlines::Schedule;
use crate::interface::{
    Action, AttemptResult, Endpoint, Event, Instant, ListUpdate, Purge, RejectionReason, RequestId, ServerId,
    ServerState, Span,
};
use crate::slots::Key;

impl Core {
    /// A probe was answered.
    pub fn health_checked(
        &mut self,
        now: Instant,
        server: ServerId,
        result: AttemptResult,
        elapsed: Span,
        load_report: Vec<f32>,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        self.events.push_back(Event::HealthChecked { server, result, elapsed, load_report });
        self.run_router(now, due);
    }

    /// News of the list of servers.
    pub fn update_endpoints(
        &mut self,
        now: Instant,
        kind: ListUpdate,
        entries: Vec<Endpoint>,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        if matches!(kind, ListUpdate::Cached | ListUpdate::Full) {
            self.server_states.clear();
        }
        self.server_states.extend(entries.iter().map(|member| (member.server, member.state)));
        self.server_states.retain(|_, state| *state != ServerState::Removed); // unknown is as good as gone
        self.events.push_back(Event::EndpointList { update: kind, endpoints: entries });
        self.run_router(now, due);
    }

    /// A purge, and the time at which it was made.
    pub fn purge(&mut self, now: Instant, what: Purge, at: Instant, due: &mut dyn Schedule<CoreDeadline>) {
        let kept = 2 * self.settings.protection.purge_settled_after;
        self.purge_times.retain(|_, at| *at + kept > now);
        let newest = self.purge_times.entry(what).or_insert(at);
        *newest = at.max(*newest);
        self.events.push_back(Event::Purged { purge: what, age: now - at });
        self.run_router(now, due);
    }

    /// A deadline of the core has fallen.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        what: CoreDeadline,
        due: &mut dyn Schedule<CoreDeadline>,
    ) {
        match what {
            CoreDeadline::RouterTimer(token) => self.events.push_back(Event::Timer(token)),
            CoreDeadline::AttemptTimeout(key) => self.time_out_attempt(now, key, due),
            CoreDeadline::ClientTimeout(key) => self.on_client_timeout(now, key, due),
            CoreDeadline::AuthorizationExpiry(key) => self.on_authorization_expiry(now, key, due),
        }
        self.run_router(now, due);
    }

    /// Feeds the module what has happened until it wants nothing more.
    pub(super) fn run_router(&mut self, now: Instant, due: &mut dyn Schedule<CoreDeadline>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, due);
            }
            self.actions = actions;
        }
    }

    pub(super) fn carry_out(&mut self, now: Instant, action: Action, due: &mut dyn Schedule<CoreDeadline>) {
        match action {
            Action::SendCacheOnly { request, server, timeout } => {
                self.begin_attempt(now, NewAttempt { request, server, timeout, fill: None }, due);
            }
            Action::SendWithFill(get) => {
                let (request, server, timeout) = (get.request, get.server, get.timeout);
                self.begin_attempt(now, NewAttempt { request, server, timeout, fill: Some(get) }, due);
            }
            Action::Reject { request, retry_after, reason: why } => {
                self.reject(now, request, retry_after, why)
            }
            Action::Fail(request) => {
                let late = self.is_timed_out(now, request);
                self.choose_answer(Key::from_number(request.0), FinalAnswer::Failed { late });
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(now, request, attempt, due),
            Action::Timer { token, after } => {
                due.add(now + after.max(Span::ZERO), CoreDeadline::RouterTimer(token));
            }
            Action::HealthCheck(server) => self.commands.push_back(Command::HealthCheck(server)),
            Action::CloseIdleConnections(server) => {
                self.commands.push_back(Command::CloseIdleConnections(server))
            }
            Action::Log(line) => self.commands.push_back(Command::Log(line)),
            // No platform of ours has messages between proxies or a list that must be asked for.
            Action::SendToPeer { .. } | Action::WatchEndpoints(_) | Action::PollEndpoints => {}
        }
    }

    fn reject(&mut self, now: Instant, request: RequestId, retry_after: Span, why: RejectionReason) {
        let late = self.is_timed_out(now, request);
        let answer =
            FinalAnswer::Rejected { retry_after: retry_after.max(Span::ZERO), timed_out: late, reason: why };
        self.choose_answer(Key::from_number(request.0), answer);
    }
}
