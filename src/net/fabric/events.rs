//! The effects of the scheduled events of the network.

use super::link::{Direction, Link};
use super::network_event::NetworkEvent;
use super::state::{NetworkState, Process};
use super::trace::entry_kind;
use super::{ActorEvent, HostBehaviour};
use crate::interface::{Instant, Span};
use std::net::SocketAddr;

/// Time from the end of a host's silence to the arrival of the delayed events.
const RESEND_DELAY: Span = Span::from_millis(1);

impl NetworkState {
    /// Applies an event. If its host is silent, schedules it again for [`RESEND_DELAY`] after the silence.
    pub fn apply(&mut self, event: NetworkEvent) {
        if let Some(until) = event.delayable_link().and_then(|link| self.silent_until(link)) {
            return self.schedule(until + RESEND_DELAY, event);
        }
        match event {
            NetworkEvent::ConnectCompletes(id) => self.complete_connect(id),
            NetworkEvent::ClientArrives(id) => self.client_arrives(id),
            NetworkEvent::BytesAtProcess(id, bytes) => self.bytes_at_process(id, bytes),
            NetworkEvent::BytesAtActor(id, bytes, sent) => self.bytes_at_actor(id, bytes, sent),
            NetworkEvent::EndAtProcess(id) => self.end_at_process(id),
            NetworkEvent::EndAtActor(id) => {
                self.record((entry_kind::END_AT_ACTOR, id));
                self.actor_events.push_back(ActorEvent::Closed { link: id });
            }
            NetworkEvent::BreakAtProcess(id) => self.break_at_process(id),
            NetworkEvent::BreakAtActor(id) => {
                self.record((entry_kind::BREAK_AT_ACTOR, id));
                self.break_for_actor(id);
            }
            NetworkEvent::SourceReady { process, source } => self.source_ready(process, source),
        }
    }

    /// Establishes or refuses a connection that a process started.
    fn complete_connect(&mut self, id: u64) {
        let Some(link) = self.links.get(&id).filter(|link| !link.is_closed_by_process) else { return };
        let Some(host) = link.host else { return };
        let error = self.errors.late_connect_error(self.now, host);
        let behaviour = self.host_behaviours.get(&host);
        let is_refused =
            error.is_some() || behaviour.is_none_or(|behaviour| *behaviour == HostBehaviour::Refusing);
        self.record((entry_kind::CONNECT_COMPLETES, id, is_refused));
        if let Some(link) = self.links.get_mut(&id) {
            (link.is_up, link.is_refused) = (!is_refused, is_refused);
            link.error = error.unwrap_or(link.error);
        }
        if !is_refused {
            self.actor_events.push_back(ActorEvent::Opened { link: id, host });
        }
        self.mark_ready(id, is_refused, true);
    }

    /// Adds a client's connection to the backlog of one of the processes that listen on its port. Without a
    /// listener, the connection is refused.
    fn client_arrives(&mut self, id: u64) {
        let Some(dialed) = self.links.get(&id).and_then(|link| link.dialed) else { return };
        let listeners = self.listeners(dialed.port);
        self.record((entry_kind::CLIENT_ARRIVES, id, listeners.len()));
        let selected = (dialed.draw % listeners.len().max(1) as u64) as usize;
        let Some((process, addr)) = listeners.get(selected).copied() else {
            return self.break_for_actor(id);
        };
        if let Some(link) = self.links.get_mut(&id) {
            (link.process, link.is_up) = (process, true);
        }
        let Some(process) = self.processes.get_mut(&process) else { return };
        if let Some(port) = process.ports.get_mut(&addr) {
            port.backlog.push_back(id);
            process.ready_sources.insert(port.source);
        }
    }

    /// Returns the live processes that listen on a port, each with its listening address.
    fn listeners(&self, port: u16) -> Vec<(u32, SocketAddr)> {
        let listening = |(number, process): (&u32, &Process)| {
            let addr = process.ports.keys().find(|addr| addr.port() == port)?;
            process.is_alive.then_some((*number, *addr))
        };
        self.processes.iter().filter_map(listening).collect()
    }

    fn bytes_at_process(&mut self, id: u64, bytes: Vec<u8>) {
        self.record((entry_kind::BYTES_AT_PROCESS, id, &bytes));
        let can_receive = |link: &&mut Link| !link.is_broken && !link.is_closed_by_process;
        if let Some(link) = self.links.get_mut(&id).filter(can_receive) {
            link.input.extend(bytes);
            self.mark_ready(id, true, false);
        }
    }

    fn bytes_at_actor(&mut self, id: u64, bytes: Vec<u8>, sent: Instant) {
        self.record((entry_kind::BYTES_AT_ACTOR, id, &bytes));
        let Some(link) = self.links.get_mut(&id).filter(|link| !link.is_broken) else { return };
        link.in_flight_bytes = link.in_flight_bytes.saturating_sub(bytes.len());
        let was_blocked = std::mem::take(&mut link.is_write_blocked);
        self.actor_events.push_back(ActorEvent::Bytes { link: id, bytes, sent });
        if was_blocked {
            self.mark_ready(id, false, true);
        }
    }

    fn end_at_process(&mut self, id: u64) {
        self.record((entry_kind::END_AT_PROCESS, id));
        if let Some(link) = self.links.get_mut(&id) {
            link.has_actor_ended = true;
        }
        self.mark_ready(id, true, false);
    }

    fn break_at_process(&mut self, id: u64) {
        self.record((entry_kind::BREAK_AT_PROCESS, id));
        if let Some(link) = self.links.get_mut(&id) {
            link.is_broken = true;
            link.input.clear();
        }
        self.mark_ready(id, true, true);
    }

    fn break_for_actor(&mut self, id: u64) {
        if let Some(link) = self.links.get_mut(&id) {
            link.is_broken = true;
        }
        self.actor_events.push_back(ActorEvent::Broken { link: id });
    }

    fn source_ready(&mut self, process: u32, source: usize) {
        self.record((entry_kind::SOURCE_READY, process, source));
        if let Some(process) = self.processes.get_mut(&process) {
            process.ready_sources.insert(source);
        }
    }

    /// Schedules a break of a connection at the actor, for the arrival time of an event that is sent now.
    pub fn schedule_break_at_actor(&mut self, id: u64) {
        let at = self.arrival(id, Direction::ToActor);
        self.schedule(at, NetworkEvent::BreakAtActor(id));
    }
}
