//! The network's state: connections, processes and the agenda of what happens, by time.

use super::errors::Errors;
use super::{ActorEvent, HostBehaviour, ProcessMessage};
use crate::interface::{Instant, Span, UnixTime};
use crate::spread::next;
use rustix::io::Errno;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::Hash;
use std::net::SocketAddr;

/// Data of a held connection is tried again this long after its host is back.
const RESEND: Span = Span::from_millis(1);

pub(super) enum Due {
    /// A process's connection comes up, or is refused.
    Up(u64),
    /// A client's connection reaches the process.
    Arrives(u64),
    /// Bytes reach the process's end, or the actor's.
    ToProcess(u64, Vec<u8>),
    ToActor(u64, Vec<u8>, Instant),
    /// The end of what is written, in either direction.
    EndToProcess(u64),
    EndToActor(u64),
    /// The connection breaks at either end.
    BreakAtProcess(u64),
    BreakAtActor(u64),
    /// Messages wait for a process under this number.
    Mail(u32, usize),
}

#[derive(Debug)]
pub(super) struct Link {
    pub process: u32,
    pub token: Option<usize>,
    /// The actor's address; for a client's connection the client's.
    pub host: Option<SocketAddr>,
    pub up: bool,
    pub refused: bool,
    pub broken: bool,
    /// The process's end was given up.
    pub dropped: bool,
    pub input: VecDeque<u8>,
    pub ended: bool,
    pub shut: bool,
    pub under_way: usize,
    pub blocked: bool,
    pub delay: Span,
    /// Nothing overtakes what was sent before it: the last time of arrival in either direction.
    pub last: [Instant; 2],
    /// A client's: the port that it is for, and which of the processes that listen there gets it.
    pub wants: Option<(u16, u64)>,
    /// A client's that is gone before it is accepted.
    pub aborted: bool,
    /// What the process is told of a connection that is broken or was refused.
    pub error: Errno,
}

impl Link {
    fn new(process: u32, host: SocketAddr, delay: Span) -> Self {
        Link {
            process,
            token: None,
            host: Some(host),
            up: false,
            refused: false,
            broken: false,
            dropped: false,
            input: VecDeque::new(),
            ended: false,
            shut: false,
            under_way: 0,
            blocked: false,
            delay,
            last: [Instant::ZERO; 2],
            wants: None,
            aborted: false,
            error: Errno::CONNRESET,
        }
    }
}

/// A connection of a process on which something has happened.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadyConn {
    /// The number under which the process watches it.
    pub token: usize,
    /// It may be read from.
    pub read: bool,
    /// It may be written to.
    pub write: bool,
    /// The actor writes nothing more.
    pub closed: bool,
}

#[derive(Debug, Default)]
pub(super) struct Process {
    pub alive: bool,
    /// By number: a listener or another source that is ready.
    pub sources: BTreeSet<usize>,
    /// By token: connections on which something has happened.
    pub conns: BTreeMap<usize, ReadyConn>,
    /// By listener's address: its number, and connections that wait there.
    pub ports: BTreeMap<SocketAddr, (usize, VecDeque<u64>)>,
    pub mail: BTreeMap<u32, VecDeque<ProcessMessage>>,
}

#[derive(Default)]
pub(super) struct State {
    pub now: Instant,
    /// The processes' wall clock is ahead by so much.
    pub wall_offset: Span,
    /// With deadlines on the wall clock, a planted bug: the latest time that it has told.
    pub latest_wall: Option<UnixTime>,
    pub count: u64,
    pub agenda: BTreeMap<(Instant, u64), Due>,
    pub links: BTreeMap<u64, Link>,
    pub next_link: u64,
    pub reach: BTreeMap<SocketAddr, HostBehaviour>,
    /// By host: how late connections to it come up, and until when that holds.
    pub dial_delays: BTreeMap<SocketAddr, (Span, Instant)>,
    pub processes: BTreeMap<u32, Process>,
    /// Where the process that serves an address is found by the next one.
    pub places: BTreeMap<SocketAddr, u32>,
    pub signals: VecDeque<ActorEvent>,
    /// Draws the delays of connections: between these.
    pub delays: (Span, Span),
    pub random: u64,
    /// Errors of system calls that are planned.
    pub errors: Errors,
    pub trace: DefaultHasher,
    pub steps: u64,
}

impl State {
    pub(super) fn plan(&mut self, at: Instant, due: Due) {
        self.count += 1;
        self.agenda.insert((at.max(self.now), self.count), due);
    }

    /// The processes' wall clock: it tells the network's own time as Unix time until it is stepped.
    pub(super) fn wall_time(&self) -> UnixTime {
        UnixTime::from_micros((self.now + self.wall_offset).as_micros())
    }

    /// When something sent now on a connection arrives: 0 to the process, 1 to the actor.
    pub(super) fn arrival(&mut self, link: u64, way: usize) -> Instant {
        let now = self.now;
        let Some(link) = self.links.get_mut(&link) else { return now };
        link.last[way] = link.last[way].max(now + link.delay);
        link.last[way]
    }

    pub(super) fn note(&mut self, what: impl Hash) {
        (self.now, what).hash(&mut self.trace);
        self.steps += 1;
    }

    /// Until when nothing reaches a connection's host.
    pub(super) fn silent(&self, link: u64) -> Option<Instant> {
        let host = self.links.get(&link)?.host?;
        match self.reach.get(&host) {
            Some(HostBehaviour::SilentUntil(until)) if *until > self.now => Some(*until),
            _ => None,
        }
    }

    pub(super) fn wake(&mut self, link: u64, read: bool, write: bool) {
        let Some(one) = self.links.get(&link).filter(|one| !one.dropped) else { return };
        let (process, token, closed) = (one.process, one.token, one.ended || one.broken);
        if let (Some(process), Some(token)) = (self.processes.get_mut(&process), token) {
            let flags = process.conns.entry(token).or_insert(ReadyConn { token, ..ReadyConn::default() });
            flags.read |= read;
            flags.write |= write;
            flags.closed |= closed;
        }
    }

    pub(super) fn draw(&mut self) -> u64 {
        // It has to repeat, not to be good.
        next(&mut self.random)
    }

    pub(super) fn new_link(&mut self, process: u32, host: SocketAddr) -> u64 {
        self.next_link += 1;
        let (least, most) = (self.delays.0.as_micros(), self.delays.1.as_micros());
        // Whole milliseconds, so that what comes and what falls due meet more often than chance would have it.
        let delay = (least + (self.draw() % (most - least + 1).max(1) as u64) as i64) / 1000 * 1000;
        let delay = Span::from_micros(delay);
        self.links.insert(self.next_link, Link::new(process, host, delay));
        self.next_link
    }

    pub(super) fn happen(&mut self, due: Due) {
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
                self.signals.push_back(ActorEvent::Bytes { link: id, bytes, sent });
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
                self.signals.push_back(ActorEvent::Closed { link: id });
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
                self.signals.push_back(ActorEvent::Broken { link: id });
            }
            Due::Mail(process, number) => {
                self.note((7, process, number));
                if let Some(process) = self.processes.get_mut(&process) {
                    process.sources.insert(number);
                }
            }
        }
    }

    pub(super) fn up(&mut self, id: u64) {
        let Some(link) = self.links.get(&id).filter(|link| !link.dropped) else { return };
        let Some(host) = link.host else { return };
        let error = self.errors.late_connect(self.now, host);
        let refused =
            error.is_some() || self.reach.get(&host).is_none_or(|reach| *reach == HostBehaviour::Refusing);
        self.note((8, id, refused));
        if let Some(link) = self.links.get_mut(&id) {
            (link.up, link.refused) = (!refused, refused);
            link.error = error.unwrap_or(link.error);
        }
        if !refused {
            self.signals.push_back(ActorEvent::Opened { link: id, host });
        }
        self.wake(id, refused, true);
    }

    /// A client's connection reaches one of the processes that listen, or is refused.
    pub(super) fn arrives(&mut self, id: u64) {
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
            return self.signals.push_back(ActorEvent::Broken { link: id });
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
    pub(super) fn give_up(&mut self, id: u64) {
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
