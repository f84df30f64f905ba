//! The processes, their listeners and their connections.

use super::network_event::NetworkEvent;
use super::state::{ListeningPort, NetworkState, Process, ReadySet};
use super::{trace, Fabric, VirtualListener, VirtualStream};
use crate::interface::Span;
use std::collections::{BTreeSet, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

impl Fabric {
    /// Adds a process that is alive.
    pub fn start_process(&self, process: u32) {
        let mut state = self.state();
        state.processes.insert(process, Process { is_alive: true, ..Process::default() });
    }

    /// Ends a process that has stopped or crashed, and breaks its connections.
    pub fn end_process(&self, process: u32) {
        let mut state = self.state();
        state.record((trace::entry_kind::PROCESS_ENDS, process));
        let Some(ended) = state.processes.get_mut(&process) else { return };
        ended.is_alive = false;
        for id in state.links_of(process) {
            state.schedule_break_at_actor(id);
            if let Some(link) = state.links.get_mut(&id) {
                link.is_closed_by_process = true;
            }
        }
        state.process_addresses.retain(|_, holder| *holder != process);
        // Connections that were handed over to the process and not taken yet are dropped with its messages.
        // Dropping them locks the state, so the lock is released first.
        let messages = state.processes.get_mut(&process).map(|ended| std::mem::take(&mut ended.messages));
        drop(state);
        drop(messages);
    }

    /// Whether a process is alive.
    pub fn is_alive(&self, process: u32) -> bool {
        self.state().processes.get(&process).is_some_and(|process| process.is_alive)
    }

    /// Returns the process that holds a connection; `None` if the connection is unknown.
    pub fn process_of(&self, link: u64) -> Option<u32> {
        self.state().links.get(&link).map(|link| link.process)
    }

    /// Returns the number of open connections that a process has registered.
    pub fn connection_count(&self, process: u32) -> usize {
        let state = self.state();
        let of_process = state.links.values().filter(|link| link.process == process);
        of_process.filter(|link| link.token.is_some() && !link.is_closed_by_process).count()
    }

    /// Listens on an address. The listener becomes ready as event source `source`.
    pub(in crate::net) fn listen(
        &self,
        process: u32,
        addr: SocketAddr,
        source: usize,
    ) -> io::Result<VirtualListener> {
        let mut state = self.state();
        let Some(holder) = state.processes.get_mut(&process) else { return Err(ErrorKind::NotFound.into()) };
        holder.ports.insert(addr, ListeningPort { source, backlog: VecDeque::new() });
        Ok(VirtualListener { fabric: self.clone(), process, addr })
    }

    /// Removes and returns the sources and connections of a process that are ready.
    pub(in crate::net) fn take_ready(&self, process: u32) -> ReadySet {
        let mut state = self.state();
        let Some(process) = state.processes.get_mut(&process) else { return ReadySet::default() };
        let sources = std::mem::take(&mut process.ready_sources);
        let connections = std::mem::take(&mut process.ready_connections);
        ReadySet { sources: sources.into_iter().collect(), connections: connections.into_values().collect() }
    }

    /// Starts to connect to a host.
    pub(in crate::net) fn connect(&self, process: u32, host: SocketAddr) -> io::Result<VirtualStream> {
        let mut state = self.state();
        let now = state.now;
        state.errors.check_interrupted(now)?;
        state.errors.check_connect(now, host)?;
        let id = state.new_link(process, host);
        let late = state.connect_delays.get(&host).filter(|late| now < late.until);
        let late = late.map_or(Span::ZERO, |late| late.delay);
        let round_trip = 2 * state.links[&id].delay;
        state.schedule(now + round_trip + late, NetworkEvent::ConnectCompletes(id));
        Ok(VirtualStream::new(self, id))
    }

    /// Assigns a connection to the process that it was handed over to.
    pub(super) fn adopt(&self, id: u64, process: u32) {
        if let Some(link) = self.state().links.get_mut(&id) {
            (link.process, link.token) = (process, None);
        }
    }
}

impl NetworkState {
    /// Returns the connections of a process that are established and not broken, and those that wait to be
    /// accepted.
    fn links_of(&self, process: u32) -> BTreeSet<u64> {
        let ports = self.processes.get(&process).into_iter().flat_map(|process| process.ports.values());
        let waiting = ports.flat_map(|port| port.backlog.iter().copied());
        let of_process = self.links.iter().filter(|(_, link)| link.process == process);
        let held = of_process.filter(|(_, link)| link.is_up && !link.is_closed_by_process && !link.is_broken);
        held.map(|(id, _)| *id).chain(waiting).collect()
    }
}
