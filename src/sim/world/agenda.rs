//! What is scheduled, besides what the network and the processes do by themselves.

use super::processes::{ProcessId, MAX_SHUTDOWN};
use super::{ClientId, HostId, RequestNumber, World};
use crate::interface::{Instant, Span};
use crate::standin::faults::FaultKind;
use crate::standin::ids::LinkId;
use std::collections::BTreeMap;

/// A scheduled event.
pub(super) enum ScheduledEvent {
    /// A client sends its request.
    SendRequest(RequestNumber),
    /// A client cancels the request of a sequence number.
    CancelRequest(ClientId, i32),
    /// A request must have its answer by now.
    CheckAnswered(ClientId, i32),
    /// A host answers an attempt, by its id.
    HostAnswers(HostId, LinkId, String),
    /// A host sends an answer a second time.
    HostRepeats(LinkId, Vec<u8>),
    /// A poll at the feed has waited long enough.
    PollEnds(LinkId),
    /// A fault begins.
    Fault(FaultKind),
    /// A killed host starts anew.
    HostRestarts(HostId),
    /// A host's process ends.
    HostDies(HostId),
    /// Copies older than a purge are gone: of an object, or of all.
    PurgeSettles(Option<String>, Instant),
    /// A process gets SIGTERM.
    Terminate(ProcessId),
    /// A process is killed.
    Kill(ProcessId),
    /// A process is started, unless one is running.
    StartProcess,
    /// The run ends: all processes get SIGTERM.
    EndRun,
    /// Processes get a turn, so that one that has not ended in time is noticed.
    WakeUp,
}

/// Scheduled events, in the order of time; those of one time in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct Agenda {
    events: BTreeMap<(Instant, u64), ScheduledEvent>,
    count: u64,
}

impl Agenda {
    pub(super) fn schedule(&mut self, at: Instant, event: ScheduledEvent) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// The time of the next event.
    pub(super) fn next_time(&self) -> Option<Instant> {
        self.events.keys().next().map(|(at, _)| *at)
    }

    /// Removes the next event, if it is due.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<ScheduledEvent> {
        self.next_time().filter(|at| *at <= now)?;
        self.events.pop_first().map(|(_, event)| event)
    }
}

impl World<'_> {
    /// Schedules an event this long from now.
    pub(super) fn schedule_in(&mut self, after: Span, event: ScheduledEvent) {
        self.agenda.schedule(self.now + after, event);
    }

    /// Carries out a scheduled event.
    pub(super) fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::SendRequest(request) => self.send_request(request, false),
            ScheduledEvent::CancelRequest(client, seqid) => self.cancel_request(client, seqid),
            ScheduledEvent::CheckAnswered(client, seqid) => self.check_answered(client, seqid),
            ScheduledEvent::HostAnswers(host, link, id) => self.answer_attempt(host, link, &id),
            ScheduledEvent::HostRepeats(link, bytes) => self.fabric.send(link.0, &bytes),
            ScheduledEvent::PollEnds(link) => self.answer_poll(link),
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
