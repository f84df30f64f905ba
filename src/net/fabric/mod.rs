//! A network in memory with a clock of its own: what [`super::Net`] runs on in the simulator, in place of the
//! system's sockets. Whoever owns it decides when the clock moves; everything that happens has a time and a place in
//! one order, so that a run repeats bit for bit.
//!
//! The processes (edge proxies) use it by `Net`; the other side (table caches, clients, the control feed) is played
//! by its owner: it is told what came by [`Signal`]s and answers by [`Fabric::send`] and the like. A host can be up,
//! refusing or silent; what is under way to or from a silent one is held until it is back, as resends would.

use crate::spread::next;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::io::{self, ErrorKind, IoSlice};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that may be under way to a peer on one connection.
const WINDOW: usize = 256 * 1024;
/// Data of a held connection is tried again this long after its host is back, us.
const RESEND: i64 = 1_000;

/// What an actor is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Signal {
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
        /// When it was written, us: what a silent host holds back comes late.
        sent: i64,
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
pub enum Reach {
    /// Connections come up.
    Up,
    /// They are refused.
    Refusing,
    /// Nothing gets there or comes from there until then.
    SilentUntil(i64),
}

/// A message between two processes of one edge proxy.
#[derive(Debug)]
pub enum Mail {
    /// How many clients' connections the other one holds.
    Clients(usize),
    /// A connection that is handed on, with what was read there and not used.
    Connection(End, Vec<u8>),
}

enum Due {
    /// A process's connection comes up, or is refused.
    Up(u64),
    /// A client's connection reaches the process.
    Arrives(u64),
    /// Bytes reach the process's end, or the actor's.
    ToProcess(u64, Vec<u8>),
    ToActor(u64, Vec<u8>, i64),
    /// The end of what is written, in either direction.
    EndToProcess(u64),
    EndToActor(u64),
    /// The connection breaks at either end.
    BreakAtProcess(u64),
    BreakAtActor(u64),
    /// Messages wait for a process under this number.
    Mail(u32, usize),
}

#[derive(Debug, Default)]
struct Link {
    process: u32,
    token: Option<usize>,
    /// The actor's address; for a client's connection the client's.
    host: Option<SocketAddr>,
    up: bool,
    refused: bool,
    broken: bool,
    /// The process's end was given up.
    dropped: bool,
    input: VecDeque<u8>,
    ended: bool,
    shut: bool,
    under_way: usize,
    blocked: bool,
    delay: i64,
    /// Nothing overtakes what was sent before it: the last time of arrival in either direction.
    last: [i64; 2],
    /// A client's: the port that it is for, and which of the processes that listen there gets it.
    wants: Option<(u16, u64)>,
}

#[derive(Debug, Default)]
struct Process {
    alive: bool,
    /// By number: a listener or another source that is ready.
    sources: BTreeSet<usize>,
    /// By token: connections that may be read, written.
    conns: BTreeMap<usize, (bool, bool)>,
    /// By listener's address: its number, and connections that wait there.
    ports: BTreeMap<SocketAddr, (usize, VecDeque<u64>)>,
    mail: BTreeMap<u32, VecDeque<Mail>>,
}

#[derive(Default)]
struct State {
    now: i64,
    count: u64,
    agenda: BTreeMap<(i64, u64), Due>,
    links: BTreeMap<u64, Link>,
    next_link: u64,
    reach: BTreeMap<SocketAddr, Reach>,
    processes: BTreeMap<u32, Process>,
    /// Where the process that serves an address is found by the next one.
    places: BTreeMap<SocketAddr, u32>,
    signals: VecDeque<Signal>,
    /// Draws the delays of connections: between these, us.
    delays: (i64, i64),
    random: u64,
    trace: DefaultHasher,
    steps: u64,
}

/// The network; clones are the same one.
#[derive(Clone, Default)]
pub struct Fabric(Arc<Mutex<State>>);

impl std::fmt::Debug for Fabric {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Fabric")
    }
}

impl State {
    fn plan(&mut self, at: i64, due: Due) {
        self.count += 1;
        self.agenda.insert((at.max(self.now), self.count), due);
    }

    /// When something sent now on a connection arrives: 0 to the process, 1 to the actor.
    fn arrival(&mut self, link: u64, way: usize) -> i64 {
        let now = self.now;
        let Some(link) = self.links.get_mut(&link) else { return now };
        link.last[way] = link.last[way].max(now + link.delay);
        link.last[way]
    }

    fn note(&mut self, what: impl Hash) {
        (self.now, what).hash(&mut self.trace);
        self.steps += 1;
    }

    /// Until when nothing reaches a connection's host.
    fn silent(&self, link: u64) -> Option<i64> {
        let host = self.links.get(&link)?.host?;
        match self.reach.get(&host) {
            Some(Reach::SilentUntil(until)) if *until > self.now => Some(*until),
            _ => None,
        }
    }

    fn wake(&mut self, link: u64, read: bool, write: bool) {
        let Some(one) = self.links.get(&link).filter(|one| !one.dropped) else { return };
        let (process, token) = (one.process, one.token);
        if let (Some(process), Some(token)) = (self.processes.get_mut(&process), token) {
            let flags = process.conns.entry(token).or_default();
            *flags = (flags.0 || read, flags.1 || write);
        }
    }

    fn draw(&mut self) -> u64 {
        // It has to repeat, not to be good.
        next(&mut self.random)
    }

    fn new_link(&mut self, process: u32, host: SocketAddr) -> u64 {
        self.next_link += 1;
        let (least, most) = self.delays;
        // Whole milliseconds, so that what comes and what falls due meet more often than chance would have it.
        let delay = (least + (self.draw() % (most - least + 1).max(1) as u64) as i64) / 1000 * 1000;
        let link = Link { process, host: Some(host), delay, ..Link::default() };
        self.links.insert(self.next_link, link);
        self.next_link
    }

    fn happen(&mut self, due: Due) {
        let link = match &due {
            Due::Up(link) | Due::Arrives(link) | Due::ToProcess(link, _) | Due::ToActor(link, ..) => {
                Some(*link)
            }
            Due::EndToProcess(link) | Due::EndToActor(link) => Some(*link),
            Due::BreakAtProcess(_) | Due::BreakAtActor(_) | Due::Mail(..) => None,
        };
        if let Some(until) = link.and_then(|link| self.silent(link)) {
            return self.plan(until + RESEND, due);
        }
        match due {
            Due::Up(id) => self.up(id),
            Due::Arrives(id) => self.arrives(id),
            Due::ToProcess(id, bytes) => {
                self.note((1, id, &bytes));
                if let Some(link) = self.links.get_mut(&id).filter(|link| !link.broken && !link.dropped) {
                    link.input.extend(bytes);
                    self.wake(id, true, false);
                }
            }
            Due::ToActor(id, bytes, sent) => {
                self.note((2, id, &bytes));
                let Some(link) = self.links.get_mut(&id).filter(|link| !link.broken) else { return };
                link.under_way = link.under_way.saturating_sub(bytes.len());
                let wake = std::mem::take(&mut link.blocked);
                self.signals.push_back(Signal::Bytes { link: id, bytes, sent });
                if wake {
                    self.wake(id, false, true);
                }
            }
            Due::EndToProcess(id) => {
                self.note((3, id));
                if let Some(link) = self.links.get_mut(&id) {
                    link.ended = true;
                }
                self.wake(id, true, false);
            }
            Due::EndToActor(id) => {
                self.note((4, id));
                self.signals.push_back(Signal::Closed { link: id });
            }
            Due::BreakAtProcess(id) => {
                self.note((5, id));
                if let Some(link) = self.links.get_mut(&id) {
                    link.broken = true;
                    link.input.clear();
                }
                self.wake(id, true, true);
            }
            Due::BreakAtActor(id) => {
                self.note((6, id));
                if let Some(link) = self.links.get_mut(&id) {
                    link.broken = true;
                }
                self.signals.push_back(Signal::Broken { link: id });
            }
            Due::Mail(process, number) => {
                self.note((7, process, number));
                if let Some(process) = self.processes.get_mut(&process) {
                    process.sources.insert(number);
                }
            }
        }
    }

    fn up(&mut self, id: u64) {
        let Some(link) = self.links.get(&id).filter(|link| !link.dropped) else { return };
        let Some(host) = link.host else { return };
        let refused = self.reach.get(&host).is_none_or(|reach| *reach == Reach::Refusing);
        self.note((8, id, refused));
        if let Some(link) = self.links.get_mut(&id) {
            (link.up, link.refused) = (!refused, refused);
        }
        if !refused {
            self.signals.push_back(Signal::Opened { link: id, host });
        }
        self.wake(id, refused, true);
    }

    /// A client's connection reaches one of the processes that listen, or is refused.
    fn arrives(&mut self, id: u64) {
        let Some((port, draw)) = self.links.get(&id).and_then(|link| link.wants) else { return };
        let listening = |(number, process): (&u32, &Process)| {
            let port = process.ports.keys().find(|addr| addr.port() == port)?;
            process.alive.then_some((*number, *port))
        };
        let open: Vec<(u32, SocketAddr)> = self.processes.iter().filter_map(listening).collect();
        self.note((9, id, open.len()));
        let Some((process, addr)) = open.get((draw % open.len().max(1) as u64) as usize).copied() else {
            if let Some(link) = self.links.get_mut(&id) {
                link.broken = true;
            }
            return self.signals.push_back(Signal::Broken { link: id });
        };
        if let Some(link) = self.links.get_mut(&id) {
            (link.process, link.up) = (process, true);
        }
        if let Some(process) = self.processes.get_mut(&process) {
            if let Some((number, waiting)) = process.ports.get_mut(&addr) {
                waiting.push_back(id);
                process.sources.insert(*number);
            }
        }
    }

    /// The process's end is given up: the peer sees an end, or a break where bytes were left unread.
    fn give_up(&mut self, id: u64) {
        let Some(link) = self.links.get_mut(&id).filter(|link| !link.dropped) else { return };
        link.dropped = true;
        let (unread, known) = (!link.input.is_empty(), link.up && !link.broken && !link.shut);
        if !link.up && !link.refused {
            return; // it never came up: nobody there knows of it
        }
        if unread && known {
            let at = self.arrival(id, 1);
            self.plan(at, Due::BreakAtActor(id));
        } else if known {
            let at = self.arrival(id, 1);
            self.plan(at, Due::EndToActor(id));
        }
    }
}

impl Fabric {
    /// A network at this time, us, whose connections have delays between these, drawn from a seed.
    pub fn new(now: i64, seed: u64, delays: (i64, i64)) -> Self {
        Fabric(Arc::new(Mutex::new(State { now, random: seed, delays, ..State::default() })))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time, us.
    pub fn now(&self) -> i64 {
        self.state().now
    }

    /// When the next thing happens by itself.
    pub fn next(&self) -> Option<i64> {
        self.state().agenda.keys().next().map(|(at, _)| *at)
    }

    /// Moves the clock, which never goes back.
    pub fn advance(&self, to: i64) {
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
    pub fn signals(&self) -> Vec<Signal> {
        self.state().signals.drain(..).collect()
    }

    /// Says how a host behaves from now on; a host that was never named refuses.
    pub fn set_reach(&self, host: SocketAddr, reach: Reach) {
        let mut state = self.state();
        state.note((10, host.port(), matches!(reach, Reach::Up)));
        state.reach.insert(host, reach);
    }

    /// Until when a host is silent; a time that has passed, if it is not.
    pub fn silent_until(&self, host: SocketAddr) -> i64 {
        match self.state().reach.get(&host) {
            Some(Reach::SilentUntil(until)) => *until,
            _ => i64::MIN,
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
        state.reach.entry(from).or_insert(Reach::Up);
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

    pub(super) fn listen(&self, process: u32, addr: SocketAddr, number: usize) -> io::Result<Port> {
        let mut state = self.state();
        let Some(holder) = state.processes.get_mut(&process) else { return Err(ErrorKind::NotFound.into()) };
        holder.ports.insert(addr, (number, VecDeque::new()));
        Ok(Port { fabric: self.clone(), process, addr })
    }

    pub(super) fn ready(&self, process: u32) -> (Vec<usize>, Vec<(usize, bool, bool)>) {
        let mut state = self.state();
        let Some(process) = state.processes.get_mut(&process) else { return (Vec::new(), Vec::new()) };
        let conns = std::mem::take(&mut process.conns);
        let conns = conns.into_iter().map(|(token, (read, write))| (token, read, write)).collect();
        (std::mem::take(&mut process.sources).into_iter().collect(), conns)
    }

    pub(super) fn connect(&self, process: u32, host: SocketAddr) -> End {
        let mut state = self.state();
        let id = state.new_link(process, host);
        // The call and its answer.
        let at = state.now + 2 * state.links[&id].delay;
        state.plan(at, Due::Up(id));
        End::new(self, id)
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
    pub fn mail(&self, from: u32, to: u32, number: usize, mail: Mail) -> Result<(), Mail> {
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
    pub fn take_mail(&self, from: u32, to: u32) -> Vec<Mail> {
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

/// A listener of a process.
#[derive(Debug)]
pub struct Port {
    fabric: Fabric,
    process: u32,
    addr: SocketAddr,
}

impl Port {
    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Takes the next connection.
    ///
    /// # Errors
    ///
    /// `WouldBlock`: none waits.
    pub fn accept(&self) -> io::Result<(End, SocketAddr)> {
        let mut state = self.fabric.state();
        let process = state.processes.get_mut(&self.process);
        let waiting = process.and_then(|process| process.ports.get_mut(&self.addr)?.1.pop_front());
        let id = waiting.ok_or(ErrorKind::WouldBlock)?;
        let peer = state.links.get(&id).and_then(|link| link.host).ok_or(ErrorKind::ConnectionAborted)?;
        Ok((End::new(&self.fabric, id), peer))
    }
}

impl Drop for Port {
    fn drop(&mut self) {
        let mut state = self.fabric.state();
        let process = state.processes.get_mut(&self.process);
        let Some((_, waiting)) = process.and_then(|process| process.ports.remove(&self.addr)) else { return };
        for id in waiting {
            // Nobody accepted it: the system breaks it.
            let at = state.arrival(id, 1);
            state.plan(at, Due::BreakAtActor(id));
        }
    }
}

/// A process's end of a connection; it is closed as it is dropped.
#[derive(Debug)]
pub struct End {
    fabric: Fabric,
    id: u64,
    passed: AtomicBool,
}

impl End {
    /// Watches it under a token; what it has already is told at once.
    pub fn register(&self, token: usize) {
        let mut state = self.fabric.state();
        let Some(link) = state.links.get_mut(&self.id) else { return };
        link.token = Some(token);
        let (read, write) = (!link.input.is_empty() || link.ended || link.broken, link.up || link.refused);
        if read || write {
            state.wake(self.id, read, write);
        }
    }

    /// Whether it is up.
    ///
    /// # Errors
    ///
    /// Refused, or reset after it was up.
    pub fn connected(&self) -> Result<bool, super::Reason> {
        let state = self.fabric.state();
        match state.links.get(&self.id) {
            Some(link) if link.refused => Err(super::Reason::ConnectRefused),
            Some(link) if link.broken => Err(super::Reason::PeerReset),
            Some(link) => Ok(link.up),
            None => Err(super::Reason::PeerReset),
        }
    }

    /// Reads.
    ///
    /// # Errors
    ///
    /// `WouldBlock`: nothing is there; `ConnectionReset`: it broke.
    pub fn read(&self, into: &mut [u8]) -> io::Result<usize> {
        let mut state = self.fabric.state();
        let Some(link) = state.links.get_mut(&self.id) else { return Err(ErrorKind::ConnectionReset.into()) };
        if link.broken || link.refused {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if link.input.is_empty() {
            return if link.ended { Ok(0) } else { Err(ErrorKind::WouldBlock.into()) };
        }
        let count = into.len().min(link.input.len());
        for (to, byte) in into.iter_mut().zip(link.input.drain(..count)) {
            *to = byte;
        }
        Ok(count)
    }

    /// Writes.
    ///
    /// # Errors
    ///
    /// `NotConnected`: not up yet; `WouldBlock`: as much as may be is under way; `ConnectionReset`: it broke.
    pub fn write(&self, slices: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut state = self.fabric.state();
        let Some(link) = state.links.get_mut(&self.id) else { return Err(ErrorKind::ConnectionReset.into()) };
        if link.broken || link.refused || link.shut {
            return Err(ErrorKind::ConnectionReset.into());
        }
        if !link.up {
            return Err(ErrorKind::NotConnected.into());
        }
        let room = WINDOW.saturating_sub(link.under_way);
        if room == 0 {
            link.blocked = true;
            return Err(ErrorKind::WouldBlock.into());
        }
        let bytes: Vec<u8> = slices.iter().flat_map(|slice| slice.iter().copied()).take(room).collect();
        let count = bytes.len();
        link.under_way += count;
        let at = state.arrival(self.id, 1);
        let sent = state.now;
        state.plan(at, Due::ToActor(self.id, bytes, sent));
        Ok(count)
    }

    /// Writes nothing more.
    pub fn shutdown(&self) {
        let mut state = self.fabric.state();
        let up = state.links.get(&self.id).is_some_and(|link| link.up && !link.shut && !link.broken);
        if up {
            if let Some(link) = state.links.get_mut(&self.id) {
                link.shut = true;
            }
            let at = state.arrival(self.id, 1);
            state.plan(at, Due::EndToActor(self.id));
        }
    }

    /// The peer's address.
    pub fn peer(&self) -> Option<SocketAddr> {
        self.fabric.state().links.get(&self.id).and_then(|link| link.host)
    }

    /// The same connection for another process: this end no longer is one, and nothing is said to the peer.
    pub fn pass(&self, to: u32) -> End {
        self.passed.store(true, Ordering::SeqCst);
        self.fabric.adopt(self.id, to);
        End::new(&self.fabric, self.id)
    }

    fn new(fabric: &Fabric, id: u64) -> End {
        End { fabric: fabric.clone(), id, passed: AtomicBool::new(false) }
    }
}

impl Drop for End {
    fn drop(&mut self) {
        if !self.passed.load(Ordering::SeqCst) {
            self.fabric.state().give_up(self.id);
        }
    }
}

/// The loopback address of a host of the simulation, by number.
pub fn host(number: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::from([127, 0, 1, 1]), 10_000 + number)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A network with one process, whose connections take 1 ms each way.
    fn fabric() -> Fabric {
        let fabric = Fabric::new(0, 1, (1000, 1000));
        fabric.start_process(1);
        fabric
    }

    fn pass(fabric: &Fabric, to: i64) -> Vec<Signal> {
        fabric.advance(to);
        fabric.happen();
        fabric.signals()
    }

    fn read(end: &End) -> Result<String, ErrorKind> {
        let mut bytes = [0; 64];
        let read = end.read(&mut bytes).map_err(|error| error.kind())?;
        Ok(String::from_utf8_lossy(&bytes[..read]).into_owned())
    }

    #[test]
    fn bytes_come_in_order_and_a_silent_host_holds_them_back() {
        let (fabric, there) = (fabric(), host(1));
        fabric.set_reach(there, Reach::Up);
        let end = fabric.connect(1, there);
        end.register(7);
        assert_eq!(end.write(&[IoSlice::new(b"a")]).map_err(|e| e.kind()), Err(ErrorKind::NotConnected));
        assert_eq!(pass(&fabric, 1999), []);
        assert_eq!(pass(&fabric, 2000), [Signal::Opened { link: 1, host: there }]);
        assert_eq!((fabric.ready(1).1, end.connected()), (vec![(7, false, true)], Ok(true)));
        end.write(&[IoSlice::new(b"a"), IoSlice::new(b"b")]).expect("written");
        fabric.send(1, b"x");
        fabric.send(1, b"y");
        assert_eq!(pass(&fabric, 3000), [Signal::Bytes { link: 1, bytes: b"ab".to_vec(), sent: 2000 }]);
        assert_eq!((fabric.ready(1).1, read(&end)), (vec![(7, true, false)], Ok("xy".into())));
        assert_eq!(read(&end), Err(ErrorKind::WouldBlock));
        fabric.set_reach(there, Reach::SilentUntil(50_000));
        fabric.send(1, b"z");
        end.write(&[IoSlice::new(b"c")]).expect("written");
        assert_eq!((pass(&fabric, 49_999), read(&end)), (vec![], Err(ErrorKind::WouldBlock)));
        assert_eq!(pass(&fabric, 52_000), [Signal::Bytes { link: 1, bytes: b"c".to_vec(), sent: 3000 }]);
        assert_eq!(read(&end), Ok("z".into()));
        fabric.close(1);
        pass(&fabric, 60_000);
        assert_eq!(read(&end), Ok(String::new()));
        drop(end);
        assert_eq!(pass(&fabric, 70_000), [Signal::Closed { link: 1 }]);
    }

    #[test]
    fn refusals_resets_and_windows_are_seen_as_on_a_socket() {
        let (fabric, there, nobody) = (fabric(), host(1), host(2));
        fabric.set_reach(there, Reach::Up);
        let (refused, end) = (fabric.connect(1, nobody), fabric.connect(1, there));
        refused.register(7);
        end.register(8);
        pass(&fabric, 2000);
        assert_eq!(
            (refused.connected(), read(&refused)),
            (Err(super::super::Reason::ConnectRefused), Err(ErrorKind::ConnectionReset))
        );
        let much = vec![0; WINDOW + 5];
        assert_eq!(end.write(&[IoSlice::new(&much)]).ok(), Some(WINDOW));
        assert_eq!(end.write(&[IoSlice::new(b"a")]).map_err(|e| e.kind()), Err(ErrorKind::WouldBlock));
        fabric.ready(1);
        pass(&fabric, 3000);
        assert_eq!(fabric.ready(1).1, [(8, false, true)], "there is room again");
        fabric.reset(2);
        pass(&fabric, 4000);
        assert_eq!(
            (read(&end), end.connected()),
            (Err(ErrorKind::ConnectionReset), Err(super::super::Reason::PeerReset))
        );
    }

    #[test]
    fn a_connection_that_is_passed_on_outlives_the_process_that_had_it() {
        let fabric = fabric();
        fabric.start_process(2);
        let front = host(9);
        let port = fabric.listen(1, front, 0).expect("a port");
        let link = fabric.dial("127.0.2.1:40000".parse().expect("an address"), front);
        fabric.send(link, b"ping");
        pass(&fabric, 1000);
        assert_eq!(fabric.ready(1).0, [0]);
        let (end, _) = port.accept().expect("one waits");
        assert!(fabric.mail(1, 2, 5, Mail::Connection(end.pass(2), b"pi".to_vec())).is_ok());
        drop(end);
        drop(port);
        fabric.end_process(1);
        assert_eq!(pass(&fabric, 2000), [], "the client notices nothing");
        assert_eq!(fabric.ready(2).0, [5]);
        let [Mail::Connection(end, unused)] = &fabric.take_mail(1, 2)[..] else { panic!("one message") };
        assert_eq!((read(end), &unused[..]), (Ok("ping".into()), &b"pi"[..]));
        // A process that dies with a connection under way to it breaks it.
        let port = fabric.listen(2, front, 0).expect("a port");
        let other = fabric.dial("127.0.2.2:40000".parse().expect("an address"), front);
        pass(&fabric, 3000);
        let (end, _) = port.accept().expect("one waits");
        fabric.start_process(3);
        assert!(fabric.mail(2, 3, 5, Mail::Connection(end.pass(3), Vec::new())).is_ok());
        fabric.end_process(3);
        assert_eq!(pass(&fabric, 5000), [Signal::Broken { link: other }]);
        assert!(fabric.mail(2, 3, 5, Mail::Clients(1)).is_err());
    }
}
