//! The queue of scheduled events of the hosts, and the thread that carries them out.

use super::{now, HostsState, StandInHosts};
use crate::interface::Instant;
use crate::standin::faults::FaultKind;
use crate::standin::fleet::Fleet;
use crate::standin::ids::{ConnectionId, HostId};
use crate::standin::line_protocol::GARBLED_ANSWER;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::PoisonError;
use std::time::Duration;

/// Longest wait for an event: the thread checks at least this often whether the hosts have stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_secs(1);

pub(super) enum ScheduledEvent {
    /// A host answers the attempt with this id on this connection.
    HostAnswers(HostId, ConnectionId, String),
    /// A fault starts.
    Fault(FaultKind),
    /// A killed host restarts.
    HostRestarts(HostId),
    /// The hosts drop all copies that are older than the purge of this time.
    PurgeSettles(Instant),
}

/// Scheduled events, ordered by time; events of the same time are in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Instant, u64), ScheduledEvent>,
    /// Number of events scheduled so far.
    count: u64,
}

impl EventQueue {
    fn next_time(&self) -> Option<Instant> {
        self.events.keys().next().map(|(at, _)| *at)
    }
}

impl StandInHosts {
    pub(super) fn schedule(&self, state: &mut HostsState, at: Instant, event: ScheduledEvent) {
        state.event_queue.count += 1;
        state.event_queue.events.insert((at, state.event_queue.count), event);
        self.0.changed.notify_one();
    }

    /// Carries out events when they are due, until the hosts stop; then closes all connections.
    pub(super) fn run_events(&self) {
        let mut state = self.lock();
        while !state.is_stopped {
            let wait = state.event_queue.next_time().map_or(STOP_CHECK_INTERVAL, |at| (at - now()).to_std());
            if !wait.is_zero() {
                let waited = self.0.changed.wait_timeout(state, wait.min(STOP_CHECK_INTERVAL));
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
                continue;
            }
            if let Some((_, event)) = state.event_queue.events.pop_first() {
                self.handle(&mut state, event);
            }
        }
        state.connections.clear();
    }

    fn handle(&self, state: &mut HostsState, event: ScheduledEvent) {
        let now = now();
        match event {
            ScheduledEvent::HostAnswers(host, connection_id, id) => {
                self.answer(state, host, connection_id, id, now)
            }
            ScheduledEvent::Fault(fault) => self.begin_fault(state, now, fault),
            ScheduledEvent::HostRestarts(host) => {
                state.fleet[host].restart(now);
                self.publish_health(state, host, "up");
            }
            ScheduledEvent::PurgeSettles(purged_at) => {
                for host in &mut state.fleet.hosts {
                    host.copies.retain(|_, handed_out| *handed_out >= purged_at);
                }
            }
        }
    }

    /// Answers an attempt, unless it was cancelled. A silent host answers when its silence ends.
    fn answer(
        &self,
        state: &mut HostsState,
        host: HostId,
        connection_id: ConnectionId,
        id: String,
        now: Instant,
    ) {
        let silent_until = state.silent_until[host.0];
        if silent_until > now {
            return self.schedule(state, silent_until, ScheduledEvent::HostAnswers(host, connection_id, id));
        }
        let Some(request) = state.fleet[host].open_requests.remove(&(connection_id, id.clone())) else {
            return;
        };
        if std::mem::take(&mut state.fleet[host].garbles_next_answer) {
            return state.send(connection_id, GARBLED_ANSWER);
        }
        let silent_until = &state.silent_until;
        let is_reachable = |fleet: &Fleet, host: HostId| !fleet[host].is_dead && silent_until[host.0] <= now;
        let answer = state.fleet.answer(host, &request, now, &is_reachable);
        state.send(connection_id, &answer.encode(&id));
    }
}

impl HostsState {
    /// Writes to a connection if it is still open. A failure is ignored, since the connection's reading
    /// thread sees it.
    pub(super) fn send(&mut self, connection_id: ConnectionId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&connection_id) {
            let _ = connection.stream.write_all(bytes);
        }
    }
}
