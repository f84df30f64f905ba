//! Connections to table caches, parents and the origin: pooled, with many requests on each. A request is a
//! numbered job here, which is worded only when its bytes can leave; a job once written never moves.

mod connections;
pub mod lines;
mod pool;

use crate::deadlines::Schedule;
use crate::net::{ConnKey, Net, Reason};
use lines::{Answer, Fetch};
use pool::{Host, Job, Link, Place};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes that are taken in at a time, besides those of the answer under way.
const INPUT: usize = 64 * 1024;
/// A whole line must fit, or its connection would be read for ever without coming further.
const _: () = assert!(INPUT > 2 * lines::LONGEST_LINE);
/// A connection on which this many jobs in a row were given up unanswered is not to be trusted, if each had waited
/// this long, us: clients that leave at once by the hundred say nothing of a server.
const UNHEARD: u32 = 3;
const UNHEARD_AFTER: i64 = 300_000;
/// A connection on which jobs wait and nothing was heard for this long is silent, us.
const SILENT: i64 = 1_200_000;
/// An answer that has begun and of which nothing more comes for this long has stopped short, us: its connection is
/// of no use, and what else is open there would wait for nothing.
const STOPPED: i64 = 600_000;
/// Connections to one server by lane, silent ones included.
const LINKS: [usize; 2] = [6, 8];
/// A further connection is opened beside one that has this many reads: an answer that can't be read ends its
/// connection and all that is open there, so not everything rides on one, and no write beside a read.
const SPREAD: usize = 2;
/// Ids given up that a connection remembers.
const GIVEN_UP: usize = 4096;
/// A second answer comes within this long of the first, if one does, us: a repeat takes another connection until then,
/// and not for longer, since connections are scarce.
const SECOND_ANSWER: i64 = 50_000;
/// Ids answered that a connection remembers at most.
const ANSWERED: usize = 64;
/// A write goes by a connection of its own that has stood this long, us: on one that is reset while new, or that its
/// server gives up at the moment of its next use, it may have run and has failed.
const PROVEN: i64 = 3_000;

/// What falls due for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// It has not come up in time.
    Connect(ConnKey),
    /// It has been idle for too long.
    Idle(ConnKey),
    /// Nothing more of an answer came.
    Stopped(ConnKey),
    /// It has stood for a while.
    Proven,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Ending {
    /// It was answered.
    Answer(Answer),
    /// No connection came up; it never left.
    NotConnected,
    /// It can't be sent beside what is open, which says nothing of its server.
    Unsent,
    /// The connection broke after it may have left.
    Reset,
}

/// What the connections have to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum Happening {
    /// A job has ended.
    Ended {
        /// The job.
        job: u64,
        /// How.
        ending: Ending,
    },
    /// A probe has ended.
    Probed {
        /// The server.
        host: u32,
        /// How.
        ending: Ending,
        /// Time since it was asked for.
        elapsed: i64,
    },
}

/// The figures that the settings give.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    /// A connection that is not up by then has failed, us.
    pub connect_timeout: i64,
    /// The servers close idle connections after this, us.
    pub idle: i64,
    /// Jobs that one connection carries.
    pub streams: usize,
    /// Connections in all.
    pub most: usize,
    /// Bytes that all buffers may hold.
    pub bytes: usize,
}

/// The pool.
pub struct Upstream {
    figures: Figures,
    hosts: BTreeMap<u32, Host>,
    links: BTreeMap<ConnKey, Link>,
    /// Where a job is.
    jobs: BTreeMap<Job, Place>,
    probes: u64,
    probed: BTreeMap<u64, i64>,
    happened: Vec<Happening>,
    elsewhere: usize,
    /// Jobs written whole, by tally.
    written: Vec<u64>,
}

impl Upstream {
    /// Tells how many bytes of the budget are held by others than connections.
    pub fn held_elsewhere(&mut self, bytes: usize) {
        self.elsewhere = bytes;
    }

    /// An empty pool.
    pub fn new(figures: Figures) -> Self {
        Upstream {
            figures,
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            jobs: BTreeMap::new(),
            probes: 0,
            probed: BTreeMap::new(),
            happened: Vec::new(),
            elsewhere: 0,
            written: Vec::new(),
        }
    }

    /// Sets the figures that hold from now on. A shorter idle time that a server was seen to keep stays.
    pub fn set_figures(&mut self, figures: Figures) {
        let idle = figures.idle.min(self.figures.idle);
        self.figures = Figures { idle, ..figures };
    }

    /// What has happened since the last call.
    pub fn happened(&mut self) -> Vec<Happening> {
        std::mem::take(&mut self.happened)
    }

    /// Names a server's address. Where the address was another server's, or the server started anew, the
    /// old connections lead to a process that is no more and are closed.
    pub fn set_host(
        &mut self,
        now: i64,
        host: u32,
        addr: SocketAddr,
        since: Option<i64>,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) {
        let others: Vec<u32> =
            self.hosts.iter().filter(|(id, h)| **id != host && h.addr == addr).map(|(id, _)| *id).collect();
        for other in others {
            self.close_links(now, other, Reason::Replaced, net, due);
            if let Some(mut old) = self.hosts.remove(&other) {
                old.take_queue().into_iter().for_each(|job| self.end(now, job, Ending::NotConnected));
            }
        }
        let moved = self.hosts.get(&host).is_some_and(|known| known.addr != addr || known.since != since);
        if moved {
            self.close_links(now, host, Reason::Replaced, net, due);
        }
        let new = Host { addr, since, lanes: Default::default(), gone: false };
        let known = self.hosts.entry(host).or_insert(new);
        (known.addr, known.since, known.gone) = (addr, since, false);
    }

    /// A server is gone: nothing is queued for it any more, and its connections are closed once they are idle.
    pub fn remove_host(&mut self, now: i64, host: u32, net: &mut Net, due: &mut dyn Schedule<Due>) {
        let Some(known) = self.hosts.get_mut(&host) else { return };
        known.gone = true;
        let (queue, links) = (known.take_queue(), known.links());
        if links.is_empty() {
            self.hosts.remove(&host);
        }
        queue.into_iter().for_each(|job| self.end(now, job, Ending::NotConnected));
        for link in links {
            if self.links.get(&link).is_some_and(|l| l.open.is_empty()) {
                self.drop_link(now, link, Reason::Replaced, net, due);
            }
        }
    }

    /// Queues a job for a server under its id on the wire; [`Upstream::dispatch`] writes it. A write shares no
    /// connection with reads.
    /// With a tally, its writing counts under that number.
    pub fn queue(&mut self, now: i64, host: u32, job: u64, id: String, write: bool, tally: Option<u16>) {
        self.enqueue(now, host, Job::Fetch(job), id, usize::from(write), tally);
    }

    /// The jobs that were written whole, by their tally.
    pub fn written(&self, tally: u16) -> u64 {
        self.written.get(usize::from(tally)).copied().unwrap_or(0)
    }

    /// Queues a probe.
    pub fn probe(&mut self, now: i64, host: u32) {
        self.probes += 1;
        self.probed.insert(self.probes, now);
        self.enqueue(now, host, Job::Probe(self.probes), format!("p{}", self.probes), 0, None);
    }

    fn enqueue(&mut self, now: i64, host: u32, job: Job, id: String, lane: usize, tally: Option<u16>) {
        self.jobs.insert(job, Place { host, lane, id, link: None, written: now, tally });
        match self.hosts.get_mut(&host).filter(|known| !known.gone) {
            Some(known) => known.lanes[lane].queue.push_back(job),
            None => self.end(now, job, Ending::NotConnected),
        }
    }

    /// Gives a job up: it is not written, or its server is told to stop; nothing is heard of it any more.
    pub fn give_up(&mut self, now: i64, job: u64, net: &mut Net, due: &mut dyn Schedule<Due>) {
        let id = Job::Fetch(job);
        let Some(Place { host, lane, id: name, link, written, .. }) = self.jobs.remove(&id) else { return };
        let Some(key) = link else {
            if let Some(host) = self.hosts.get_mut(&host) {
                host.lanes[lane].queue.retain(|queued| *queued != id);
            }
            return;
        };
        let Some(link) = self.links.get_mut(&key) else { return };
        link.open.remove(&name);
        link.unheard += u32::from(written + UNHEARD_AFTER <= now);
        let abort = lines::abort(&name);
        if link.given_up.len() >= GIVEN_UP {
            link.given_up.clear(); // whose answers would be late by more than any deadline
        }
        link.given_up.insert(name);
        match net.write(key, [abort]) {
            Ok(()) => self.settle(now, key, net, due),
            Err(reason) => self.drop_link(now, key, reason, net, due),
        }
    }

    /// Closes everything.
    pub fn stop(&mut self, now: i64, net: &mut Net, due: &mut dyn Schedule<Due>) {
        for key in self.links.keys().copied().collect::<Vec<_>>() {
            self.drop_link(now, key, Reason::Stopping, net, due);
        }
    }

    /// Writes what is queued, as far as connections take it. `word` gives a job's text at the very moment
    /// of its writing, or `None` if it is not to be written any more.
    pub fn dispatch<S: Schedule<Due>>(
        &mut self,
        now: i64,
        net: &mut Net,
        due: &mut S,
        word: &mut dyn FnMut(u64, &mut S) -> Option<Fetch>,
    ) {
        let queued = |host: &Host, lane: usize| !host.lanes[lane].queue.is_empty();
        let hosts = self.hosts.iter().flat_map(|(id, host)| [(*id, 0, host), (*id, 1, host)]);
        let waiting: Vec<(u32, usize)> =
            hosts.filter(|(_, lane, host)| queued(host, *lane)).map(|(id, lane, _)| (id, lane)).collect();
        for (host, lane) in waiting {
            while self.dispatch_one(now, host, lane, net, due, word) {}
        }
    }

    fn dispatch_one<S: Schedule<Due>>(
        &mut self,
        now: i64,
        host: u32,
        lane: usize,
        net: &mut Net,
        due: &mut S,
        word: &mut dyn FnMut(u64, &mut S) -> Option<Fetch>,
    ) -> bool {
        let Some(known) = self.hosts.get_mut(&host).map(|known| &mut known.lanes[lane]) else { return false };
        let Some(job) = known.queue.front().copied() else { return false };
        let Some(Place { id, .. }) = self.jobs.get(&job) else {
            known.queue.pop_front();
            return true;
        };
        let links = || known.links.iter().filter_map(|key| Some((*key, self.links.get(key)?)));
        let full = known.links.len() >= LINKS[lane];
        let fits = |link: &Link| link.up && link.open.len() < self.figures.streams && link.takes(now, id);
        // Where there can't be more, writes share.
        let fits = |link: &Link| fits(link) && (lane == 0 || full || link.is_sure(now));
        let sound = |link: &Link| fits(link) && (full || !link.silent(now));
        // Only where all written bytes have left: what is written now leaves now, and nothing queues behind
        // bytes that a drain or a purge could overtake.
        let free = |(key, link): &(ConnKey, &Link)| sound(link) && net.unwritten(*key) == 0;
        let best = links().filter(free).min_by_key(|(_, link)| (link.silent(now), link.open.len()));
        let coming = links().filter(|(_, link)| !link.up).count();
        let Some((key, link)) = best else {
            let wanted = known.queue.len().div_ceil(self.figures.streams).min(LINKS[lane]);
            let soon = |link: &Link| lane == 1 && link.up && now < link.since + PROVEN;
            let held = links().any(|(_, link)| sound(link) || soon(link));
            if full && links().all(|(_, link)| !link.takes(now, id) && lane == 0) {
                // One id on every connection there is: such a job must not stand before all others for good.
                known.queue.pop_front();
                self.end(now, job, Ending::Unsent);
                return true;
            }
            if !held && coming < wanted && !full {
                return self.connect(now, host, lane, net, due) && coming + 1 < wanted;
            }
            return false;
        };
        let more = lane == 0 && link.open.len() >= SPREAD && coming == 0 && !full && known.rest_until <= now;
        // A write on a connection that its server has closed would have failed as one that may have run.
        if lane == 1 {
            if let Err(reason) = self.read(now, key, net) {
                self.drop_link(now, key, reason, net, due);
                return true;
            }
        }
        let Some(known) = self.hosts.get_mut(&host).map(|known| &mut known.lanes[lane]) else { return false };
        known.queue.pop_front();
        let Some(id) = self.jobs.get(&job).map(|place| place.id.clone()) else { return true };
        let parts = match job {
            Job::Probe(_) => vec![lines::stats(&id)],
            Job::Fetch(number) => match word(number, due) {
                Some(fetch) => vec![lines::fetch_head(&id, &fetch), fetch.body, "\r\n".into()],
                None => {
                    self.jobs.remove(&job);
                    return true;
                }
            },
        };
        let before = net.wrote(key);
        let written = net.write(key, parts);
        let Some(place) = self.jobs.get_mut(&job) else { return true };
        if written.is_err() && net.wrote(key) == before {
            // Not a byte of it has left: it never ran, and goes by another connection.
            if let Some(known) = self.hosts.get_mut(&host) {
                known.lanes[lane].queue.push_front(job);
            }
        } else if let Some(link) = self.links.get_mut(&key) {
            (place.link, place.written) = (Some(key), now);
            link.used = true;
            link.tally = place.tally;
            link.open.insert(place.id.clone(), job);
            link.waiting.get_or_insert(now);
            link.idle.take().into_iter().for_each(|handle| due.remove(handle));
        }
        match written {
            Ok(()) => self.tally(key, net),
            Err(reason) => self.drop_link(now, key, reason, net, due),
        }
        if more {
            self.connect(now, host, lane, net, due);
        }
        true
    }

    /// Counts the job that was written last once all of it has left.
    fn tally(&mut self, key: ConnKey, net: &Net) {
        let Some(link) = self.links.get_mut(&key).filter(|_| net.unwritten(key) == 0) else { return };
        let Some(tally) = link.tally.take().map(usize::from) else { return };
        if self.written.len() <= tally {
            self.written.resize(tally + 1, 0);
        }
        self.written[tally] += 1;
    }

    /// A connection may be read from, or written to.
    pub fn ready(
        &mut self,
        now: i64,
        key: ConnKey,
        read: bool,
        write: bool,
        net: &mut Net,
        due: &mut dyn Schedule<Due>,
    ) {
        let Some(link) = self.links.get_mut(&key) else { return };
        if !link.up {
            match net.connected(key) {
                Ok(false) => return,
                Ok(true) => {
                    link.up = true;
                    (link.since, link.rests) = (now, now);
                    if link.lane == 1 {
                        due.add(now + PROVEN, Due::Proven);
                    }
                    link.connect.take().into_iter().for_each(|handle| due.remove(handle));
                    if let Some(host) = self.hosts.get_mut(&link.host) {
                        host.lanes[link.lane].tries = 0;
                    }
                    self.settle(now, key, net, due);
                }
                Err(reason) => return self.drop_link(now, key, reason, net, due),
            }
        }
        if write {
            if let Err(reason) = net.flush(key) {
                return self.drop_link(now, key, reason, net, due);
            }
            self.tally(key, net);
        }
        if read {
            if let Err(reason) = self.read(now, key, net) {
                return self.drop_link(now, key, reason, net, due);
            }
            let Some(link) = self.links.get_mut(&key) else { return };
            let part = link.reader.is_midway() || net.input(key, |input| !input.is_empty()).unwrap_or(false);
            link.part.take().into_iter().for_each(|handle| due.remove(handle));
            link.part = part.then(|| due.add(now + STOPPED, Due::Stopped(key)));
            self.settle(now, key, net, due);
        }
    }

    fn read(&mut self, now: i64, key: ConnKey, net: &mut Net) -> Result<(), Reason> {
        loop {
            let wanted = self.links.get(&key).map_or(0, |link| link.reader.wanted());
            let got = net.read(key, wanted + INPUT);
            let room = self.figures.bytes.saturating_sub(net.held() + self.elsewhere);
            let Some(link) = self.links.get_mut(&key) else { return Ok(()) };
            let mut answers = Vec::new();
            let read = net.input(key, |input| {
                while let Some(answer) = link.reader.next(input, room)? {
                    answers.push(answer);
                }
                Ok(())
            });
            if got.is_ok_and(|got| got.bytes > 0) {
                (link.unheard, link.waiting) = (0, Some(now));
            }
            for answer in answers {
                // An id that is not open was given up: its answer came late.
                match self.links.get_mut(&key).and_then(|link| link.answered(now, &answer.id)) {
                    Some(job) => self.end(now, job, Ending::Answer(answer)),
                    None => drop(answer),
                }
            }
            if let Some(Err(lines::Bad)) = read {
                return Err(Reason::BadMessage);
            }
            match got? {
                got if got.end => return Err(Reason::PeerClosed),
                got if !got.more => return Ok(()),
                _ => {}
            }
        }
    }

    /// A connection's deadline has fallen.
    pub fn due(&mut self, now: i64, what: Due, net: &mut Net, due: &mut dyn Schedule<Due>) {
        match what {
            Due::Connect(key) => {
                if let Some(link) = self.links.get_mut(&key).filter(|link| !link.up) {
                    link.connect = None;
                    self.drop_link(now, key, Reason::ConnectTimeout, net, due);
                }
            }
            Due::Proven => {} // what waits for it is written by the next dispatch
            Due::Stopped(key) => {
                if let Some(link) = self.links.get_mut(&key) {
                    link.part = None;
                    self.drop_link(now, key, Reason::Stalled, net, due);
                }
            }
            Due::Idle(key) => {
                if let Some(link) = self.links.get_mut(&key).filter(|link| link.open.is_empty()) {
                    link.idle = None;
                    self.drop_link(now, key, Reason::Idle, net, due);
                }
            }
        }
    }

    fn end(&mut self, now: i64, job: Job, ending: Ending) {
        let Some(Place { host, .. }) = self.jobs.remove(&job) else { return };
        self.happened.push(match job {
            Job::Fetch(job) => Happening::Ended { job, ending },
            Job::Probe(number) => {
                let asked = self.probed.remove(&number).unwrap_or(now);
                Happening::Probed { host, ending, elapsed: now - asked }
            }
        });
    }
}

#[cfg(test)]
mod tests;
