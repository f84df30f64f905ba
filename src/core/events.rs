//! What the decision module is told, and the actions with which it answers.

use super::attempts::NewAttempt;
use super::{Command, Core, Due, Final};
use crate::deadlines::Schedule;
use crate::interface::{
    Action, AttemptResult, Event, ListUpdate, Endpoint, Micros, Purge, RequestId, ServerId, ServerState, RejectionReason,
};
use crate::slots::Key;

impl Core {
    /// A probe was answered.
    pub fn probed(
        &mut self,
        now: Micros,
        server: ServerId,
        result: AttemptResult,
        elapsed: Micros,
        load: Vec<f32>,
        due: &mut dyn Schedule<Due>,
    ) {
        self.events.push_back(Event::HealthChecked { server, result, elapsed, load });
        self.run(now, due);
    }

    /// News of the list of servers.
    pub fn members(
        &mut self,
        now: Micros,
        kind: ListUpdate,
        entries: Vec<Endpoint>,
        due: &mut dyn Schedule<Due>,
    ) {
        if matches!(kind, ListKind::Cached | ListKind::Full) {
            self.states.clear();
        }
        self.states.extend(entries.iter().map(|member| (member.server, member.state)));
        self.states.retain(|_, state| *state != ServerState::Removed); // unknown is as good as gone
        self.events.push_back(Event::EndpointList { update: kind, endpoints: entries });
        self.run(now, due);
    }

    /// A purge, and the time at which it was made.
    pub fn purge(&mut self, now: Micros, what: Purge, at: Micros, due: &mut dyn Schedule<Due>) {
        let kept = 2 * self.settings.protection.purge_settled_after;
        self.purged.retain(|_, at| *at + kept > now);
        let newest = self.purged.entry(what).or_insert(at);
        *newest = at.max(*newest);
        self.events.push_back(Event::Purged { purge: what, age: now - at });
        self.run(now, due);
    }

    /// A deadline of the core has fallen.
    pub fn due(&mut self, now: Micros, what: Due, due: &mut dyn Schedule<Due>) {
        match what {
            Due::Timer(token) => self.events.push_back(Event::Timer(token)),
            Due::Attempt(key) => self.time_out(now, key, due),
            Due::Patience(key) => self.on_patience(now, key, due),
            Due::Expiry(key) => self.on_expiry(now, key, due),
        }
        self.run(now, due);
    }

    /// Feeds the module what has happened until it wants nothing more.
    pub(super) fn run(&mut self, now: Micros, due: &mut dyn Schedule<Due>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.router.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, due);
            }
            self.actions = actions;
        }
    }

    pub(super) fn carry_out(&mut self, now: Micros, action: Action, due: &mut dyn Schedule<Due>) {
        match action {
            Action::SendCacheOnly { request, server, timeout } => {
                self.begin_attempt(now, NewAttempt { request, server, timeout, get: None }, due);
            }
            Action::SendWithFill(get) => {
                let (request, server, timeout) = (get.request, get.server, get.timeout);
                self.begin_attempt(now, NewAttempt { request, server, timeout, get: Some(get) }, due);
            }
            Action::Reject { request, retry_after, reason: why } => self.reject(now, request, retry_after, why),
            Action::Fail(request) => {
                let late = self.is_late(now, request);
                self.answer(Key::from_number(request.0), Final::Failed { late });
            }
            Action::Cancel { request, attempt } => self.cancel_attempt(now, request, attempt, due),
            Action::Timer { token, after } => {
                due.add(now + after.max(0), Due::Timer(token));
            }
            Action::HealthCheck(server) => self.commands.push_back(Command::Probe(server)),
            Action::CloseIdleConnections(server) => self.commands.push_back(Command::CloseIdle(server)),
            Action::Log(line) => self.commands.push_back(Command::Log(line)),
            // No platform of ours has messages between proxies or a list that must be asked for.
            Action::SendToPeer { .. } | Action::WatchEndpoints(_) | Action::PollEndpoints => {}
        }
    }

    fn reject(&mut self, now: Micros, request: RequestId, retry_after: Micros, why: RejectionReason) {
        let late = self.is_late(now, request);
        let answer = Final::Refused { pause: retry_after.max(0), late, why };
        self.answer(Key::from_number(request.0), answer);
    }
}
