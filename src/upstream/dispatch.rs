//! The queues of jobs, and their writing: each job is worded when a connection takes its bytes, never before.

use super::pool::{Connection, Host, Job, JobRecord, Lane};
use super::{lines, ConnectionDeadline, JobEnd, Upstream, MOST_CONNECTIONS, PROVEN, SPREAD};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};
use bytes::Bytes;

/// Where the text of jobs comes from.
pub trait RequestEncoder<S> {
    /// A job's text at the very moment of its writing; `None` if it is not to be written any more.
    fn encode(&mut self, job: u64, due: &mut S) -> Option<lines::WireRequest>;

    /// The job that was worded last did not leave: it never ran, and is worded anew for its next writing.
    fn not_written(&mut self, job: u64);
}

/// What is to be done about the first job of a queue.
enum Step {
    /// Write it on this connection; whether a further connection is opened beside it.
    Write { key: ConnectionKey, more: bool },
    /// Open a connection; whether yet another is wanted.
    Connect { more: bool },
    /// End it: no connection can take it.
    Unsent,
    /// Wait for a connection.
    Wait,
}

/// How much of a job has left with the first write.
enum Written {
    /// Its line, at least: it may run.
    Line,
    /// Nothing, and nothing was kept: the connection takes no byte now.
    Blocked,
    /// Not its whole line: it never runs, and the connection is of no use.
    Cut(Reason),
    /// Its line, and then the connection broke.
    Broken(Reason),
}

impl Upstream {
    /// Queues a job for a server under its id on the wire; [`Upstream::dispatch`] writes it. A write shares no
    /// connection with reads.
    /// With a tally, its writing counts under that number.
    pub fn queue(&mut self, now: Instant, host: u32, job: u64, id: String, write: bool, tally: Option<u16>) {
        self.enqueue(now, host, Job::Fetch(job), id, usize::from(write), tally);
    }

    /// The jobs that were written whole, by their tally.
    pub fn written(&self, tally: u16) -> u64 {
        self.written.get(usize::from(tally)).copied().unwrap_or(0)
    }

    /// Queues a probe.
    pub fn health_check(&mut self, now: Instant, host: u32) {
        self.probes += 1;
        self.probed.insert(self.probes, now);
        self.enqueue(now, host, Job::Probe(self.probes), format!("p{}", self.probes), 0, None);
    }

    fn enqueue(&mut self, now: Instant, host: u32, job: Job, id: String, lane: usize, tally: Option<u16>) {
        self.jobs.insert(job, JobRecord { host, lane, id, connection: None, written: now, tally });
        match self.hosts.get_mut(&host).filter(|known| !known.gone) {
            Some(known) => known.lanes[lane].queue.push_back(job),
            None => self.end(now, job, JobEnd::NotConnected),
        }
    }

    /// Writes what is queued, as far as connections take it.
    pub fn dispatch<S: Schedule<ConnectionDeadline>>(
        &mut self,
        now: Instant,
        net: &mut Net,
        due: &mut S,
        wording: &mut impl RequestEncoder<S>,
    ) {
        let queued = |host: &Host, lane: usize| !host.lanes[lane].queue.is_empty();
        let hosts = self.hosts.iter().flat_map(|(id, host)| [(*id, 0, host), (*id, 1, host)]);
        let waiting: Vec<(u32, usize)> =
            hosts.filter(|(_, lane, host)| queued(host, *lane)).map(|(id, lane, _)| (id, lane)).collect();
        for (host, lane) in waiting {
            while self.dispatch_one(now, host, lane, net, due, wording) {}
        }
    }

    /// Does what can be done about the first job of a queue; whether to look again.
    fn dispatch_one<S: Schedule<ConnectionDeadline>>(
        &mut self,
        now: Instant,
        host: u32,
        lane: usize,
        net: &mut Net,
        due: &mut S,
        wording: &mut impl RequestEncoder<S>,
    ) -> bool {
        let Some(known) = self.lane_mut(host, lane) else { return false };
        let Some(job) = known.queue.front().copied() else { return false };
        if !self.jobs.contains_key(&job) {
            self.take_first(host, lane);
            return true;
        }
        match self.step(now, host, lane, job, net) {
            Step::Wait => false,
            Step::Connect { more } => self.connect(now, host, lane, net, due) && more,
            Step::Unsent => {
                self.take_first(host, lane);
                self.end(now, job, JobEnd::NotSent);
                true
            }
            Step::Write { key, more } => {
                // A write on a connection that its server has closed would have failed as one that may have run.
                if lane == 1 {
                    if let Err(reason) = self.read(now, key, net) {
                        self.drop_connection(now, key, reason, net, due);
                        return true;
                    }
                }
                self.take_first(host, lane);
                self.write_job(now, key, job, net, due, wording);
                if more {
                    self.connect(now, host, lane, net, due);
                }
                true
            }
        }
    }

    fn lane_mut(&mut self, host: u32, lane: usize) -> Option<&mut Lane> {
        self.hosts.get_mut(&host).map(|known| &mut known.lanes[lane])
    }

    fn take_first(&mut self, host: u32, lane: usize) {
        if let Some(lane) = self.lane_mut(host, lane) {
            lane.queue.pop_front();
        }
    }

    /// Chooses a connection for the first job of a queue.
    fn step(&self, now: Instant, host: u32, lane: usize, job: Job, net: &Net) -> Step {
        let known = self.hosts.get(&host).map(|known| &known.lanes[lane]);
        let (Some(known), Some(JobRecord { id, .. })) = (known, self.jobs.get(&job)) else {
            return Step::Wait;
        };
        let connections =
            || known.connections.iter().filter_map(|key| Some((*key, self.connections.get(key)?)));
        let full = known.connections.len() >= MOST_CONNECTIONS[lane];
        let streams = self.limits.max_jobs_per_connection;
        let fits = |connection: &Connection| {
            connection.up
                && !connection.blocked
                && connection.open.len() < streams
                && connection.takes(now, id)
        };
        // Where there can't be more, writes share.
        let fits =
            |connection: &Connection| fits(connection) && (lane == 0 || full || connection.is_sure(now));
        let sound = |connection: &Connection| fits(connection) && (full || !connection.silent(now));
        // Only where all written bytes have left: what is written now leaves now, and nothing queues behind
        // bytes that a drain or a purge could overtake.
        let free =
            |(key, connection): &(ConnectionKey, &Connection)| sound(connection) && net.unwritten(*key) == 0;
        let best = connections()
            .filter(free)
            .min_by_key(|(_, connection)| (connection.silent(now), connection.open.len()));
        let coming = connections().filter(|(_, connection)| !connection.up).count();
        if let Some((key, connection)) = best {
            let crowded = lane == 0 && connection.open.len() >= SPREAD;
            return Step::Write { key, more: crowded && coming == 0 && !full && known.backoff_until <= now };
        }
        // One id on every connection there is: such a job must not stand before all others for good.
        if full && lane == 0 && connections().all(|(_, connection)| !connection.takes(now, id)) {
            return Step::Unsent;
        }
        let wanted = known.queue.len().div_ceil(streams).min(MOST_CONNECTIONS[lane]);
        let soon = |connection: &Connection| lane == 1 && connection.up && now < connection.since + PROVEN;
        let held = connections().any(|(_, connection)| sound(connection) || soon(connection));
        match !held && coming < wanted && !full {
            true => Step::Connect { more: coming + 1 < wanted },
            false => Step::Wait,
        }
    }

    /// Words a job and writes it; what does not leave with its whole line goes back to the head of its queue.
    fn write_job<S: Schedule<ConnectionDeadline>>(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        job: Job,
        net: &mut Net,
        due: &mut S,
        wording: &mut impl RequestEncoder<S>,
    ) {
        let Some(JobRecord { host, lane, id, tally, .. }) = self.jobs.get(&job) else { return };
        let (host, lane, id, tally) = (*host, *lane, id.clone(), *tally);
        let parts = match job {
            Job::Probe(_) => vec![lines::stats(&id)],
            Job::Fetch(number) => match wording.encode(number, due) {
                Some(fetch) => vec![lines::fetch_head(&id, &fetch), fetch.body, "\r\n".into()],
                None => {
                    self.jobs.remove(&job);
                    return;
                }
            },
        };
        let written = write_line(key, parts, net);
        if let Written::Blocked | Written::Cut(_) = written {
            if let Job::Fetch(number) = job {
                wording.not_written(number);
            }
            if let Some(lane) = self.lane_mut(host, lane) {
                lane.queue.push_front(job);
            }
        } else if let (Some(record), Some(connection)) =
            (self.jobs.get_mut(&job), self.connections.get_mut(&key))
        {
            (record.connection, record.written) = (Some(key), now);
            connection.used = true;
            connection.tally = tally;
            connection.open.insert(id, job);
            connection.waiting.get_or_insert(now);
            connection.idle_deadline.take().into_iter().for_each(|handle| due.remove(handle));
        }
        match written {
            Written::Line => self.tally(key, net),
            Written::Blocked => {
                if let Some(connection) = self.connections.get_mut(&key) {
                    connection.blocked = true;
                }
            }
            Written::Cut(reason) | Written::Broken(reason) => {
                self.drop_connection(now, key, reason, net, due)
            }
        }
    }

    /// Counts the job that was written last once all of it has left.
    pub(super) fn tally(&mut self, key: ConnectionKey, net: &Net) {
        let Some(connection) = self.connections.get_mut(&key).filter(|_| net.unwritten(key) == 0) else {
            return;
        };
        let Some(tally) = connection.tally.take().map(usize::from) else { return };
        if self.written.len() <= tally {
            self.written.resize(tally + 1, 0);
        }
        self.written[tally] += 1;
    }
}

/// Writes a job whose first part is its line. What says how long its answer is waited for must leave now or not at
/// all: kept for later, it would promise more time than its client has left, or be sent for one that has gone.
fn write_line(key: ConnectionKey, parts: Vec<Bytes>, net: &mut Net) -> Written {
    let (before, line) = (net.wrote(key), parts.first().map_or(0, Bytes::len) as u64);
    let begun = net.begin(key, parts);
    let has_left = net.wrote(key) - before >= line;
    match begun {
        Ok(true) if has_left => Written::Line,
        Ok(true) => Written::Cut(Reason::Stalled),
        Ok(false) => Written::Blocked,
        Err(reason) if has_left => Written::Broken(reason),
        Err(reason) => Written::Cut(reason),
    }
}
