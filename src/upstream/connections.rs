//! Connections of the pool: opened, settled when idle, and closed with what was open there.

use super::answers::Reader;
use super::pool::{Connection, Host, Job};
use super::{ConnectionDeadline, JobEnd, Upstream};
use crate::deadlines::Schedule;
use crate::interface::{Instant, Span};
use crate::net::{is_local, ConnectionKey, Net, Reason, Role};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// After a connection did not come up no further one is opened beside others for this long: a server that
/// takes no more of them is not pressed.
const DIAL_BACKOFF: Span = Span::from_secs(1);
/// A connection that is reset before it is up proves nothing of its server: it is tried anew this often.
pub(super) const DIAL_RETRIES: u32 = 2;
/// A connection for a write that is not needed any more is closed after this long.
const UNUSED_WRITE_IDLE: Span = Span::from_millis(250);
/// The shortest idle time of servers that is believed; some close sooner than the settings say.
const LEAST_IDLE: Span = Span::from_millis(300);
/// The part of the servers' idle time after which an idle connection is closed from here: before the peer.
const IDLE_PART: f64 = 0.6;

impl Upstream {
    /// Closes idle connections while there are more than may be held.
    pub fn trim(&mut self, now: Instant, net: &mut Net, due: &mut dyn Schedule<ConnectionDeadline>) {
        let over = net.count(Role::Upstream).saturating_sub(self.limits.max_connections);
        (0..over).for_each(|_| self.drop_idlest(now, net, due));
    }

    /// Closes a server's idle connections.
    pub fn close_idle(
        &mut self,
        now: Instant,
        host: u32,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let connections = self.hosts.get(&host).map(Host::connections).unwrap_or_default();
        for connection in connections {
            if self.connections.get(&connection).is_some_and(|l| l.up && l.open.is_empty()) {
                self.drop_connection(now, connection, Reason::Idle, net, due);
            }
        }
    }

    pub(super) fn connect(
        &mut self,
        now: Instant,
        host: u32,
        lane: usize,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) -> bool {
        if net.count(Role::Upstream) >= self.limits.max_connections {
            self.drop_idlest(now, net, due);
        }
        let Some(known) = self.hosts.get_mut(&host) else { return false };
        let room = net.count(Role::Upstream) < self.limits.max_connections;
        let connected = room.then(|| net.connect(now, known.addr, Role::Upstream));
        let key = match connected {
            Some(Ok(key)) => key,
            Some(Err(error)) if !is_local(&error) => {
                self.connect_failed(now, host, lane, JobEnd::NotConnected);
                return false;
            }
            // For want of a descriptor or the like here: that says nothing of the server.
            Some(Err(_)) | None => {
                self.connect_failed(now, host, lane, JobEnd::NotSent);
                return false;
            }
        };
        known.lanes[lane].connections.push(key);
        let connect_deadline =
            Some(due.add(now + self.limits.connect_timeout, ConnectionDeadline::Connect(key)));
        let connection = Connection {
            host,
            lane,
            up: false,
            blocked: false,
            open: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            answered: VecDeque::new(),
            reader: Reader::default(),
            waiting: None,
            unanswered: 0,
            since: now,
            used: false,
            idle_since: now,
            connect_deadline,
            idle_deadline: None,
            answer_deadline: None,
            answer_since: None,
            tally: None,
        };
        self.connections.insert(key, connection);
        true
    }

    /// Closes the connection that has been idle longest, if one is.
    pub(super) fn drop_idlest(
        &mut self,
        now: Instant,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let idle =
            self.connections.iter().filter(|(_, connection)| connection.up && connection.open.is_empty());
        let idlest = idle.min_by_key(|(key, connection)| (connection.idle_since, **key)).map(|(key, _)| *key);
        if let Some(key) = idlest {
            self.drop_connection(now, key, Reason::Evicted, net, due);
        }
    }

    /// A connection failed to come up: what is queued ends unless another may still take it.
    pub(super) fn connect_failed(&mut self, now: Instant, host: u32, lane: usize, ending: JobEnd) {
        let Some(known) = self.hosts.get_mut(&host).map(|known| &mut known.lanes[lane]) else { return };
        known.backoff_until = now + DIAL_BACKOFF;
        let hope = |key: &ConnectionKey| {
            self.connections
                .get(key)
                .is_some_and(|connection| if connection.up { !connection.silent(now) } else { true })
        };
        if known.connections.iter().any(hope) {
            return;
        }
        let queue = std::mem::take(&mut known.queue);
        queue.into_iter().for_each(|job| self.end(now, job, ending.clone()));
    }

    /// Looks after a connection on which nothing waits any more.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) =
            self.connections.get_mut(&key).filter(|connection| connection.open.is_empty() && connection.up)
        else {
            return;
        };
        if self.hosts.get(&connection.host).is_none_or(|host| host.gone) {
            return self.drop_connection(now, key, Reason::Replaced, net, due);
        }
        if connection.silent(now) {
            return self.drop_connection(now, key, Reason::Silent, net, due);
        }
        if connection.lane == 1 && connection.used {
            return self.drop_connection(now, key, Reason::Done, net, due);
        }
        connection.waiting = None;
        if connection.idle_deadline.is_none() {
            connection.idle_since = now;
            let idle = if connection.lane == 1 {
                UNUSED_WRITE_IDLE
            } else {
                Span::from_micros_f64(self.limits.idle_timeout.as_micros_f64() * IDLE_PART)
            };
            connection.idle_deadline = Some(due.add(now + idle, ConnectionDeadline::Idle(key)));
        }
    }

    pub(super) fn close_connections(
        &mut self,
        now: Instant,
        host: u32,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let connections = self.hosts.get(&host).map(Host::connections).unwrap_or_default();
        connections
            .into_iter()
            .for_each(|connection| self.drop_connection(now, connection, reason, net, due));
    }

    pub(super) fn drop_connection(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        reason: Reason,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) = self.connections.remove(&key) else { return };
        connection
            .connect_deadline
            .into_iter()
            .chain(connection.idle_deadline)
            .chain(connection.answer_deadline)
            .for_each(|handle| due.remove(handle));
        net.close(now, key, reason);
        if reason == Reason::PeerClosed && connection.up && connection.open.is_empty() {
            self.limits.idle_timeout =
                self.limits.idle_timeout.min((now - connection.idle_since).max(LEAST_IDLE));
        }
        let mut again = false;
        if let Some(host) = self.hosts.get_mut(&connection.host) {
            let lane = &mut host.lanes[connection.lane];
            lane.connections.retain(|known| *known != key);
            again = !connection.up
                && reason == Reason::PeerReset
                && lane.dial_retries < DIAL_RETRIES
                && !host.gone;
            lane.dial_retries += u32::from(again);
            if host.gone && host.connections().is_empty() {
                self.hosts.remove(&connection.host);
            }
        }
        let mut open: Vec<Job> = connection.open.into_values().collect();
        open.sort_by_key(|job| match job {
            Job::Fetch(number) | Job::Probe(number) => *number,
        });
        open.into_iter().for_each(|job| self.end(now, job, JobEnd::Reset));
        if again {
            self.connect(now, connection.host, connection.lane, net, due);
        } else if !connection.up {
            self.connect_failed(now, connection.host, connection.lane, JobEnd::NotConnected);
        }
    }
}

#[cfg(test)]
mod tests;
