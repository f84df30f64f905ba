//! The exchange between the core and the upstream side: executes the core's commands, and reports the ends of
//! attempts to the core.

use super::attempt_encoder::AttemptEncoder;
use super::pending::Client;
use super::{translate, Server};
use crate::core::{AttemptKey, Command, RequestKey};
use crate::interface::{CacheStatus, ClassId, ServerId, Span};
use crate::slots::Key;
use crate::upstream::{JobEnd, JobId, QueueKind, QueuedRequest, UpstreamEvent};
use tracing::info;

impl Server {
    /// Executes the core's commands and reports the upstream side's events to it, until there are none left.
    /// Writes no attempt.
    pub(super) fn process_commands(&mut self) {
        while self.process_commands_once() {}
    }

    /// Does the same as [`Server::process_commands`], and writes the attempts for which connections have
    /// room.
    pub(super) fn process_commands_and_write(&mut self) {
        loop {
            self.process_commands();
            self.write_attempts();
            // If an attempt must not be written any more, the policy makes a new decision, which may add
            // commands.
            if !self.process_commands_once() {
                return;
            }
        }
    }

    /// Processes the events and commands that are queued now. Returns whether there were any.
    fn process_commands_once(&mut self) -> bool {
        let events = self.upstream.take_events();
        let mut is_busy = !events.is_empty();
        events.into_iter().for_each(|event| self.on_upstream_event(event));
        while let Some(command) = self.core.next_command() {
            is_busy = true;
            self.execute_command(command);
        }
        is_busy
    }

    fn write_attempts(&mut self) {
        // The times of attempts count from the moment when they are written.
        self.now = self.clock.now();
        let mut encoder = AttemptEncoder {
            now: self.now,
            core: &mut self.core,
            servers: &self.endpoints.names,
            pending: &self.pending,
            used_trace_ids: &mut self.used_trace_ids,
            settings: &self.config.settings,
        };
        self.upstream.dispatch(self.now, &mut self.net, &mut self.deadlines, &mut encoder);
    }

    fn on_upstream_event(&mut self, event: UpstreamEvent) {
        match event {
            UpstreamEvent::JobEnded { job, end } => self.on_attempt_ended(Key::from_number(job.0), end),
            UpstreamEvent::HealthChecked { server, end, elapsed } => {
                self.on_health_checked(server, end, elapsed);
            }
        }
    }

    fn on_attempt_ended(&mut self, attempt: AttemptKey, end: JobEnd) {
        let end = translate::attempt_end(end, &self.config.settings.program);
        // Only a copy that the origin generated for this attempt gives an upper bound of the wall clock.
        let is_new_copy = end.cache_status == Some(CacheStatus::FilledByOrigin);
        let written_at = self.core.written_at(attempt).filter(|_| is_new_copy);
        self.endpoints.unix_time.observe_copy(self.now, end.copy.generated_at_ms, written_at);
        self.core.attempt_ended(self.now, attempt, end, &mut self.deadlines);
    }

    fn on_health_checked(&mut self, server: ServerId, end: JobEnd, elapsed: Span) {
        let end = translate::attempt_end(end, &self.config.settings.program);
        self.core.health_checked(self.now, server, end.result, elapsed, end.load_report, &mut self.deadlines);
    }

    fn execute_command(&mut self, command: Command) {
        match command {
            Command::SendAttempt { attempt, request, server } => self.queue_attempt(attempt, request, server),
            Command::AbandonAttempt(attempt) => {
                self.upstream.cancel(self.now, JobId(attempt.number()), &mut self.net, &mut self.deadlines);
            }
            Command::AnswerRequest(request) => self.answer_request(request),
            Command::HealthCheck(server) => self.upstream.queue_health_check(self.now, server),
            Command::CloseIdleConnections(server) => {
                self.upstream.close_idle(self.now, server, &mut self.net, &mut self.deadlines);
            }
            Command::Log(line) => info!("module: {line}"),
        }
    }

    fn queue_attempt(&mut self, attempt: AttemptKey, request: RequestKey, server: ServerId) {
        let pending = self.pending.get(request);
        let wire_id = pending.map_or_else(String::new, |pending| pending.trace_id.clone());
        let class = pending.map_or(ClassId(0), |pending| pending.class);
        let class_info = self.config.settings.program.class_info(class);
        let is_write = class_info.is_some_and(|class| class.is_write);
        let queue = if is_write { QueueKind::Writes } else { QueueKind::Reads };
        let counted_class = Some(class).filter(|_| self.core.is_cache(server));
        let job = JobId(attempt.number());
        let queued = QueuedRequest { job, server, wire_id, queue, counted_class };
        self.upstream.queue_request(self.now, queued);
    }

    fn answer_request(&mut self, request: RequestKey) {
        match self.pending.get(request).map(|pending| pending.client) {
            Some(Client::Thrift { conn, seqid }) => {
                let Some(answer) = self.core.current_answer(self.now, request) else { return };
                self.on_answer_begun(request);
                self.answer_call(conn, seqid, translate::thrift_reply(answer));
            }
            Some(Client::Signed { conn }) => self.write_signed_answers(conn),
            None => {}
        }
    }
}
