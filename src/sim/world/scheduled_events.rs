//! Handles the scheduled events.

use super::event_queue::ScheduledEvent;
use super::processes::MAX_SHUTDOWN;
use super::World;
use crate::interface::Span;

impl World<'_> {
    /// Schedules an event for this long from now.
    pub(super) fn schedule_in(&mut self, after: Span, event: ScheduledEvent) {
        self.event_queue.schedule(self.now + after, event);
    }

    /// Handles a scheduled event that is due.
    pub(super) fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::SendRequest(request) => self.send_request(request, false),
            ScheduledEvent::CancelRequest(client, seqid) => self.cancel_request(client, seqid),
            ScheduledEvent::CheckAnswered(client, seqid) => self.check_answered(client, seqid),
            ScheduledEvent::HostAnswers(host, connection, id) => self.answer_attempt(host, connection, &id),
            ScheduledEvent::HostRepeats(connection, bytes) => self.fabric.send(connection.0, &bytes),
            ScheduledEvent::PollEnds(connection) => self.answer_poll(connection),
            ScheduledEvent::Fault(fault) => self.begin_fault(fault),
            ScheduledEvent::HostRestarts(host) => self.restart_host(host),
            ScheduledEvent::HostDies(host) => self.kill_host(host),
            ScheduledEvent::PurgeSettles(object, purged_at) => self.drop_copies(object.as_deref(), purged_at),
            ScheduledEvent::Terminate(process) => self.processes.terminate(process, self.now),
            ScheduledEvent::Kill(process) => self.kill_process(process),
            ScheduledEvent::StartProcess => {
                if self.processes.is_empty() && !self.is_ending {
                    self.start_process();
                }
            }
            ScheduledEvent::EndRun => {
                self.is_ending = true;
                self.processes.terminate_all(self.now);
                self.schedule_in(MAX_SHUTDOWN + Span::from_secs(1), ScheduledEvent::WakeUp);
            }
            ScheduledEvent::WakeUp => {}
        }
    }
}
