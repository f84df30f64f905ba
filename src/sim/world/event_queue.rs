//! Queue of scheduled events, besides those of the virtual network and the processes' own deadlines.

use super::process_id::ProcessId;
use super::{ClientId, HostId, RequestNumber};
use crate::interface::Instant;
use crate::standin::faults::FaultKind;
use crate::standin::ids::ConnectionId;
use std::collections::BTreeMap;

/// An event that is scheduled for a time of the run; handled in `scheduled_events`.
pub(super) enum ScheduledEvent {
    /// A client sends its request.
    SendRequest(RequestNumber),
    /// A client cancels the request with this sequence number.
    CancelRequest(ClientId, i32),
    /// Checks that the request with this sequence number has its answer.
    CheckAnswered(ClientId, i32),
    /// A host answers the attempt with this id.
    HostAnswers(HostId, ConnectionId, String),
    /// A host sends the same answer a second time.
    HostRepeats(ConnectionId, Vec<u8>),
    /// The waiting time of a poll at the feed is over.
    PollEnds(ConnectionId),
    /// A fault begins.
    Fault(FaultKind),
    /// A killed host starts again.
    HostRestarts(HostId),
    /// The process of a removed host ends.
    HostDies(HostId),
    /// All hosts drop copies that are older than a purge: those of one object, or of all if `None`.
    PurgeSettles(Option<String>, Instant),
    /// A process gets SIGTERM.
    Terminate(ProcessId),
    /// A process is killed.
    Kill(ProcessId),
    /// A process is started, unless one is running or the run is ending.
    StartProcess,
    /// The run ends: all processes get SIGTERM.
    EndRun,
    /// Does nothing but let the processes run, so that one that has not ended in time is noticed.
    WakeUp,
}

/// Scheduled events in the order of time; events of the same time stay in the order in which they were
/// scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Instant, u64), ScheduledEvent>,
    count: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Instant, event: ScheduledEvent) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    /// Returns the time of the next event; `None` if the queue is empty.
    pub(super) fn next_time(&self) -> Option<Instant> {
        self.events.keys().next().map(|(at, _)| *at)
    }

    /// Removes and returns the next event if it is due.
    pub(super) fn take_due(&mut self, now: Instant) -> Option<ScheduledEvent> {
        self.next_time().filter(|at| *at <= now)?;
        self.events.pop_first().map(|(_, event)| event)
    }
}
