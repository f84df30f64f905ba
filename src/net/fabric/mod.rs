//! A network in memory with a clock of its own: what [`super::Net`] runs on in the simulator, in place of the
//! system's sockets. Whoever owns it decides when the clock moves; everything that happens has a time and a place in
//! one order, so that a run repeats bit for bit.
//!
//! The processes (edge proxies) use it by `Net`; the other side (table caches, clients, the control feed) is played
//! by its owner: it is told what came by [`ActorEvent`]s and answers by [`Fabric::send`] and the like. A host can be up,
//! refusing or silent; what is under way to or from a silent one is held until it is back, as resends would.

mod endpoint;
mod errors;
mod state;

pub use endpoint::{VirtualListener, VirtualStream};
pub(super) use state::ReadyConn;

use crate::interface::{Instant, Span, UnixTime};
use errors::FailedConnect;
use rustix::io::Errno;
use state::{Due, Process, State};
use std::collections::{BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::io::{self, ErrorKind};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What an actor is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ActorEvent {
    /// A process has connected to this host.
    Opened {
        /// The connection.
        link: u64,
        /// The host's address.
        host: SocketAddr,
    },
    /// Bytes have come from the process.
    Bytes {
        /// The connection.
        link: u64,
        /// What came.
        bytes: Vec<u8>,
        /// When it was written: what a silent host holds back comes late.
        sent: Instant,
    },
    /// The process writes nothing more.
    Closed {
        /// The connection.
        link: u64,
    },
    /// The connection has broken, or never came up.
    Broken {
        /// The connection.
        link: u64,
    },
}

/// How a host behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostBehaviour {
    /// Connections come up.
    Up,
    /// They are refused.
    Refusing,
    /// Nothing gets there or comes from there until then.
    SilentUntil(Instant),
}

/// A message between two processes of one edge proxy.
#[derive(Debug)]
pub enum ProcessMessage {
    /// How many clients' connections the other one holds.
    Clients(usize),
    /// A connection that is handed on, with what was read there and not used.
    Connection(VirtualStream, Vec<u8>),
}

/// The network; clones are the same one.
#[derive(Clone, Default)]
pub struct Fabric(Arc<Mutex<State>>);

impl std::fmt::Debug for Fabric {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Fabric")
    }
}

impl Fabric {
    /// A network at this time, whose connections have delays between these, drawn from a seed.
    pub fn new(now: Instant, seed: u64, delays: (Span, Span)) -> Self {
        Fabric(Arc::new(Mutex::new(State { now, random: seed, delays, ..State::default() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time.
    pub fn now(&self) -> Instant {
        self.state().now
    }

    /// The wall clock of the host on which the processes run: Unix time. The actors' own clocks are never stepped
    /// and tell [`Fabric::now`].
    pub fn wall_time(&self) -> UnixTime {
        self.state().wall_time()
    }

    /// Steps the processes' wall clock forward, or back.
    pub fn step_wall_clock(&self, by: Span) {
        let mut state = self.state();
        state.note((12, by));
        state.wall_offset += by;
    }

    /// By how much the processes' wall clock is ahead.
    pub fn wall_offset(&self) -> Span {
        self.state().wall_offset
    }

    /// Plants a bug: the processes' deadlines run on the wall clock, kept from going back.
    pub fn run_deadlines_on_wall_clock(&self) {
        self.state().latest_wall = Some(UnixTime::from_micros(i64::MIN));
    }

    /// What the processes' monotonic clock reads.
    pub(super) fn process_time(&self) -> Instant {
        let mut state = self.state();
        let (now, wall) = (state.now, state.wall_time());
        match &mut state.latest_wall {
            Some(latest) => {
                *latest = wall.max(*latest);
                Instant::from_micros(latest.as_micros())
            }
            None => now,
        }
    }

    /// When the next thing happens by itself.
    pub fn next(&self) -> Option<Instant> {
        self.state().agenda.keys().next().map(|(at, _)| *at)
    }

    /// Moves the clock, which never goes back.
    pub fn advance(&self, to: Instant) {
        let mut state = self.state();
        state.now = state.now.max(to);
    }

    /// Lets happen what is due by now, in its order.
    pub fn happen(&self) {
        let mut state = self.state();
        while state.agenda.keys().next().is_some_and(|(at, _)| *at <= state.now) {
            if let Some((_, due)) = state.agenda.pop_first() {
                state.happen(due);
            }
        }
    }

    /// What actors have to be told, in order.
    pub fn signals(&self) -> Vec<ActorEvent> {
        self.state().signals.drain(..).collect()
    }

    /// Says how a host behaves from now on; a host that was never named refuses.
    pub fn set_reach(&self, host: SocketAddr, reach: HostBehaviour) {
        let mut state = self.state();
        state.note((10, host.port(), matches!(reach, HostBehaviour::Up)));
        state.reach.insert(host, reach);
    }

    /// Lets the connections to a host that are begun before a time come up late.
    pub fn delay_dials(&self, host: SocketAddr, late: Span, until: Instant) {
        self.state().dial_delays.insert(host, (late, until));
    }

    /// Until when a host is silent; a time that has passed, if it is not.
    pub fn silent_until(&self, host: SocketAddr) -> Instant {
        match self.state().reach.get(&host) {
            Some(HostBehaviour::SilentUntil(until)) => *until,
            _ => Instant::from_micros(i64::MIN),
        }
    }

    /// A client connects from an address to a port that processes listen on.
    pub fn dial(&self, from: SocketAddr, to: SocketAddr) -> u64 {
        let mut state = self.state();
        let draw = state.draw();
        let id = state.new_link(0, from);
        let at = state.arrival(id, 1);
        if let Some(link) = state.links.get_mut(&id) {
            link.wants = Some((to.port(), draw));
        }
        state.reach.entry(from).or_insert(HostBehaviour::Up);
        state.plan(at, Due::Arrives(id));
        id
    }

    /// An actor sends bytes to the process.
    pub fn send(&self, link: u64, bytes: &[u8]) {
        let mut state = self.state();
        // A client may write at once: what is sent before the connection is up comes right behind it.
        let pending = state.links.get(&link).is_some_and(|l| !l.up && !l.refused);
        let at = if pending { state.links[&link].last[1] } else { state.arrival(link, 0) };
        state.plan(at, Due::ToProcess(link, bytes.to_vec()));
    }

    /// An actor writes nothing more and takes nothing more.
    pub fn close(&self, link: u64) {
        let mut state = self.state();
        let at = state.arrival(link, 0);
        state.plan(at, Due::EndToProcess(link));
    }

    /// An actor breaks a connection.
    pub fn reset(&self, link: u64) {
        let mut state = self.state();
        let at = state.arrival(link, 0);
        state.plan(at, Due::BreakAtProcess(link));
    }

    /// A client that is gone before it is accepted: the accept that would give its connection fails with this error.
    pub fn dial_aborted(&self, from: SocketAddr, to: SocketAddr, error: Errno) {
        let link = self.dial(from, to);
        if let Some(link) = self.state().links.get_mut(&link) {
            (link.aborted, link.error) = (true, error);
        }
    }

    /// Breaks a connection as [`Fabric::reset`] does; the process sees this error in place of a reset.
    pub fn fail(&self, link: u64, error: Errno) {
        if let Some(link) = self.state().links.get_mut(&link) {
            link.error = error;
        }
        self.reset(link);
    }

    /// Until a time processes get no descriptor for a connection: accepting and connecting fail with this error.
    pub fn exhaust(&self, error: Errno, until: Instant) {
        self.state().errors.exhausted = Some((error, until));
    }

    /// Until a time connecting to a host fails with this error, at once or as the connection would have come up.
    pub fn fail_connects(&self, host: SocketAddr, error: Errno, at_once: bool, until: Instant) {
        self.state().errors.connects.insert(host, FailedConnect { error, at_once, until });
    }

    /// Until a time reads and writes of the processes take so many bytes at most.
    pub fn shorten(&self, most: usize, until: Instant) {
        self.state().errors.short = Some((most.max(1), until));
    }

    /// Until a time every other call of the processes is interrupted by a signal.
    pub fn interrupt(&self, until: Instant) {
        self.state().errors.interrupted_until = until;
    }

    /// A process begins.
    pub fn start_process(&self, process: u32) {
        let mut state = self.state();
        state.processes.insert(process, Process { alive: true, ..Process::default() });
    }

    /// A process has ended, by whatever way: its connections break.
    pub fn end_process(&self, process: u32) {
        let mut state = self.state();
        state.note((11, process));
        let Some(ended) = state.processes.get_mut(&process) else { return };
        ended.alive = false;
        let waiting: Vec<u64> =
            ended.ports.values().flat_map(|(_, waiting)| waiting.iter().copied()).collect();
        let held =
            state.links.iter().filter(|(_, l)| l.process == process && l.up && !l.dropped && !l.broken);
        let held: BTreeSet<u64> = held.map(|(id, _)| *id).chain(waiting).collect();
        for id in held {
            let at = state.arrival(id, 1);
            state.plan(at, Due::BreakAtActor(id));
            if let Some(link) = state.links.get_mut(&id) {
                link.dropped = true;
            }
        }
        state.places.retain(|_, holder| *holder != process);
        // What was handed on to it and not taken goes with it; its ends lock the state as they go.
        let mail = state.processes.get_mut(&process).map(|ended| std::mem::take(&mut ended.mail));
        drop(state);
        drop(mail);
    }

    /// Whether a process is there.
    pub fn is_alive(&self, process: u32) -> bool {
        self.state().processes.get(&process).is_some_and(|process| process.alive)
    }

    /// The process that has a connection's other end.
    pub fn process_of(&self, link: u64) -> Option<u32> {
        self.state().links.get(&link).map(|link| link.process)
    }

    /// Connections that a process holds.
    pub fn held(&self, process: u32) -> usize {
        let state = self.state();
        state
            .links
            .values()
            .filter(|link| link.process == process && link.token.is_some() && !link.dropped)
            .count()
    }

    /// A number for all that has happened: equal runs have equal ones. And how many things have.
    pub fn trace(&self) -> (u64, u64) {
        let state = self.state();
        (state.trace.finish(), state.steps)
    }

    /// Adds something to that number that did not happen on the network.
    pub fn note(&self, what: impl Hash) {
        self.state().note(what);
    }

    // ---- For Net and the handover.

    pub(super) fn listen(
        &self,
        process: u32,
        addr: SocketAddr,
        number: usize,
    ) -> io::Result<VirtualListener> {
        let mut state = self.state();
        let Some(holder) = state.processes.get_mut(&process) else { return Err(ErrorKind::NotFound.into()) };
        holder.ports.insert(addr, (number, VecDeque::new()));
        Ok(VirtualListener { fabric: self.clone(), process, addr })
    }

    pub(super) fn ready(&self, process: u32) -> (Vec<usize>, Vec<ReadyConn>) {
        let mut state = self.state();
        let Some(process) = state.processes.get_mut(&process) else { return (Vec::new(), Vec::new()) };
        let conns = std::mem::take(&mut process.conns);
        (std::mem::take(&mut process.sources).into_iter().collect(), conns.into_values().collect())
    }

    pub(super) fn connect(&self, process: u32, host: SocketAddr) -> io::Result<VirtualStream> {
        let mut state = self.state();
        let now = state.now;
        state.errors.call(now)?;
        state.errors.connect(now, host)?;
        let id = state.new_link(process, host);
        // The call and its answer.
        let late = state
            .dial_delays
            .get(&host)
            .filter(|(_, until)| now < *until)
            .map_or(Span::ZERO, |(late, _)| *late);
        let at = now + 2 * state.links[&id].delay + late;
        state.plan(at, Due::Up(id));
        Ok(VirtualStream::new(self, id))
    }

    /// Takes the place at which the next process finds this one; gives the process that had it, if it lives.
    pub fn take_place(&self, addr: SocketAddr, process: u32) -> Option<u32> {
        let mut state = self.state();
        let before = state.places.insert(addr, process)?;
        let alive = before != process && state.processes.get(&before).is_some_and(|process| process.alive);
        alive.then_some(before)
    }

    /// The process that is found at a place.
    pub fn at_place(&self, addr: SocketAddr) -> Option<u32> {
        self.state().places.get(&addr).copied()
    }

    /// Sends a message to another process, which is told of it as a source under `number`; gives it back if there is
    /// nobody.
    ///
    /// # Errors
    ///
    /// The other process has ended.
    pub fn send_message(
        &self,
        from: u32,
        to: u32,
        number: usize,
        mail: ProcessMessage,
    ) -> Result<(), ProcessMessage> {
        let mut state = self.state();
        let Some(process) = state.processes.get_mut(&to).filter(|process| process.alive) else {
            return Err(mail);
        };
        process.mail.entry(from).or_default().push_back(mail);
        let at = state.now;
        state.plan(at, Due::Mail(to, number));
        Ok(())
    }

    /// Tells a process that something is ready under a number.
    pub fn wake_source(&self, process: u32, number: usize) {
        let mut state = self.state();
        let at = state.now;
        state.plan(at, Due::Mail(process, number));
    }

    /// The messages that came from another process.
    pub fn take_messages(&self, from: u32, to: u32) -> Vec<ProcessMessage> {
        let mut state = self.state();
        let mail = state.processes.get_mut(&to).and_then(|process| process.mail.remove(&from));
        mail.unwrap_or_default().into()
    }

    /// Whether `process` may take the connection under way to it: it then holds it.
    fn adopt(&self, id: u64, process: u32) {
        if let Some(link) = self.state().links.get_mut(&id) {
            (link.process, link.token) = (process, None);
        }
    }
}

/// The loopback address of a host of the simulation, by number.
pub fn host(number: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 1, 1]), 10_000 + number)
}

#[cfg(test)]
mod tests;
