//! What is scheduled, besides what the network and the processes do by themselves.

use super::process_id::ProcessId;
use super::{ClientId, HostId, RequestNumber};
use crate::interface::Instant;
use crate::standin::faults::FaultKind;
use crate::standin::ids::ConnectionId;
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
    HostAnswers(HostId, ConnectionId, String),
    /// A host sends an answer a second time.
    HostRepeats(ConnectionId, Vec<u8>),
    /// A poll at the feed has waited long enough.
    PollEnds(ConnectionId),
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
