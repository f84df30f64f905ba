//! Stand-in caches, parents and origin: they receive attempts, answer them, and are killed and restarted.

use super::event_queue::ScheduledEvent;
use super::{host_address, World};
use crate::interface::{Instant, Span};
use crate::net::fabric::{Fabric, HostBehaviour};
use crate::sim::rules::ReceivedAttempt;
use crate::standin::fleet::Fleet;
use crate::standin::host::{PartialInput, Tier};
use crate::standin::ids::{ConnectionId, HostId};
use crate::standin::line_protocol::{take_lines, FetchRequest, HostLine, GARBLED_ANSWER, HEALTHY};
use rand::Rng;

/// Time between an answer and its repetition, where a host answers twice.
const REPEATED_ANSWER_DELAY: Span = Span::from_millis(8);
/// Timeout of a host's fill from a fill source that is not reachable.
const SOURCE_TIMEOUT: Span = Span::from_millis(300);
/// Time that a host takes for a request, in ms.
const SERVICE_TIME_MS: std::ops::RangeInclusive<i64> = 2..=12;
/// Work that a request causes at a host that is warming up, in seconds.
const WARM_UP_COST_S: f64 = 0.02;

impl World<'_> {
    pub(super) fn host_connected(&mut self, host: HostId, connection: ConnectionId) {
        let input = PartialInput { bytes: Vec::new(), first_sent: self.now };
        self.fleet[host].partial_inputs.insert(connection, input);
    }

    /// Returns the host to which a connection belongs.
    pub(super) fn host_of(&self, connection: ConnectionId) -> Option<HostId> {
        self.fleet.hosts.iter().position(|host| host.partial_inputs.contains_key(&connection)).map(HostId)
    }

    pub(super) fn host_disconnected(&mut self, connection: ConnectionId) {
        for host in &mut self.fleet.hosts {
            if host.partial_inputs.remove(&connection).is_some() {
                host.open_requests.retain(|(open_connection, _), _| *open_connection != connection);
            }
        }
    }

    /// Handles bytes that were sent at `sent` and have reached a host.
    pub(super) fn host_received(
        &mut self,
        id: HostId,
        connection: ConnectionId,
        bytes: &[u8],
        sent: Instant,
    ) {
        let host = &mut self.fleet[id];
        let Some(input) = host.partial_inputs.get_mut(&connection).filter(|_| !host.is_dead) else { return };
        // An incomplete line that is left over was first sent with earlier bytes.
        let first_sent = if input.bytes.is_empty() { sent } else { input.first_sent };
        input.first_sent = sent;
        input.bytes.extend_from_slice(bytes);
        let lines = match take_lines(&mut input.bytes) {
            Ok(lines) => lines,
            Err(error) => return self.rules.record_breach(self.now, "host-protocol", error.to_string()),
        };
        for line in lines {
            match line {
                HostLine::Fetch(request) => self.attempt_received(id, connection, request, first_sent),
                HostLine::Cancel(attempt) => {
                    drop(self.fleet[id].open_requests.remove(&(connection, attempt)))
                }
                HostLine::HealthCheck(tag) => self.fabric.send(connection.0, &HEALTHY.encode(&tag)),
            }
        }
    }

    fn attempt_received(
        &mut self,
        id: HostId,
        connection: ConnectionId,
        request: FetchRequest,
        sent: Instant,
    ) {
        let host = &self.fleet[id];
        let attempt = ReceivedAttempt {
            host: id,
            host_name: &host.name,
            connection,
            trace: &request.id,
            sent,
            is_write: request.is_write(),
        };
        self.rules.attempt_received(self.now, &attempt);
        if host.open_requests.contains_key(&(connection, request.id.clone())) {
            let text = format!("{} comes twice on one connection", request.id);
            self.rules.record_breach(self.now, "same-id", text);
        }
        self.check_warm_up(id);
        let answered_after = self.answering_time(id, &request);
        let attempt = request.id.clone();
        self.fleet[id].open_requests.insert((connection, attempt.clone()), request);
        self.schedule_in(answered_after, ScheduledEvent::HostAnswers(id, connection, attempt));
    }

    /// Draws how long a host takes to answer a request, including the fill if it needs one.
    fn answering_time(&mut self, host: HostId, request: &FetchRequest) -> Span {
        let own = self.service_time(host);
        if !self.fleet[host].needs_source(request, self.now) {
            return own;
        }
        match self.fleet.source(request) {
            None => own,
            Some(source) if self.is_reachable(source) => own + self.service_time(source),
            Some(_) => own + SOURCE_TIMEOUT,
        }
    }

    fn service_time(&mut self, host: HostId) -> Span {
        let usual = Span::from_millis(self.random.random_range(SERVICE_TIME_MS));
        self.fleet[host].service_time(usual, self.now)
    }

    /// Checks that a host that is warming up is sent no more work than its rule allows, since more would
    /// overload it.
    fn check_warm_up(&mut self, id: HostId) {
        let rules = &self.base_config["settings"]["rules"];
        let figure = |name: &str| rules[name].as_f64().unwrap_or(0.0);
        let now = self.now;
        let warm_up_us = figure("warm_after") * 1000.0;
        let host = &mut self.fleet[id];
        let started = host.started.filter(|started| now - *started < Span::from_micros_f64(warm_up_us));
        let Some(started) = started else { return };
        let elapsed = (now - started).as_micros_f64() / warm_up_us;
        let warmth = figure("cold_share") + (1.0 - figure("cold_share")) * elapsed;
        let window = Span::from_micros_f64(figure("overload_for") * 1000.0);
        host.warm_up_requests.retain(|at| *at > now - window);
        host.warm_up_requests.push(now);
        let max_work = figure("fall_multiple") * warmth * host.capacity * window.as_micros_f64() / 1e6;
        let work = host.warm_up_requests.len() as f64 * WARM_UP_COST_S;
        if work > max_work {
            let (name, window_us) = (&host.name, window.as_micros());
            let text = format!("{name} is sent {work:.2} s of work in {window_us} us, of {max_work:.2}");
            self.rules.record_breach(now, "cold", text);
        }
    }

    /// Whether a host's process runs and other hosts can reach it.
    fn is_reachable(&self, host: HostId) -> bool {
        is_reachable(&self.fabric, self.now, &self.fleet, host)
    }

    /// Answers an attempt, unless it was cancelled or the host's process has ended.
    pub(super) fn answer_attempt(&mut self, id: HostId, connection: ConnectionId, attempt: &str) {
        let Some(request) = self.fleet[id].open_requests.remove(&(connection, attempt.to_owned())) else {
            return;
        };
        if self.fleet[id].is_dead {
            return;
        }
        if std::mem::take(&mut self.fleet[id].garbles_next_answer) {
            return self.fabric.send(connection.0, GARBLED_ANSWER);
        }
        let (fabric, now) = (&self.fabric, self.now);
        let is_reachable = |fleet: &Fleet, host: HostId| is_reachable(fabric, now, fleet, host);
        let answer = self.fleet.answer(id, &request, now, &is_reachable);
        if answer.proves_not_run() {
            self.rules.did_not_run(id, connection, attempt);
        }
        let bytes = answer.encode(attempt);
        self.fabric.send(connection.0, &bytes);
        if std::mem::take(&mut self.fleet[id].repeats_next_answer) {
            self.schedule_in(REPEATED_ANSWER_DELAY, ScheduledEvent::HostRepeats(connection, bytes));
        }
    }

    /// Drops the copies of one object, or of all objects if `None`, that are older than a purge.
    pub(super) fn drop_copies(&mut self, object: Option<&str>, purged_at: Instant) {
        for host in &mut self.fleet.hosts {
            host.copies.retain(|item, handed_out| {
                *handed_out >= purged_at || object.is_some_and(|object| object != item.object)
            });
        }
    }

    /// Kills a host's process: its connections are reset, its copies are lost, and new connects are refused.
    pub(super) fn kill_host(&mut self, host: HostId) {
        self.reset_connections(host);
        self.fleet[host].copies.clear();
        self.fleet[host].is_dead = true;
        self.fabric.set_host_behaviour(host_address(host), HostBehaviour::Refusing);
    }

    /// Starts a host's process unless it runs. A host that is removed from the endpoint list is started only
    /// if it was started before, at an earlier time.
    pub(super) fn restart_host(&mut self, id: HostId) {
        let host = &mut self.fleet[id];
        let is_removed = host.entry["health"] == "removed";
        let restarted_now = host.started.is_none_or(|started| started == self.now);
        if !host.is_dead || is_removed && restarted_now {
            return;
        }
        host.restart(self.now);
        let publishes = host.entry["health"] == "up" && host.tier != Tier::Origin;
        self.fabric.set_host_behaviour(host_address(id), HostBehaviour::Up);
        if publishes {
            self.publish_health(id, "up");
        }
    }

    pub(super) fn reset_connections(&mut self, host: HostId) {
        for connection in self.remove_connections(host) {
            self.fabric.reset(connection.0);
        }
    }

    /// Drops a host's connections and open requests from its state; returns the connections.
    pub(super) fn remove_connections(&mut self, host: HostId) -> Vec<ConnectionId> {
        let host = &mut self.fleet[host];
        host.open_requests.clear();
        std::mem::take(&mut host.partial_inputs).into_keys().collect()
    }
}

/// Whether a host's process runs and the host is not silent.
fn is_reachable(fabric: &Fabric, now: Instant, fleet: &Fleet, host: HostId) -> bool {
    !fleet[host].is_dead && fabric.silent_until(host_address(host)) <= now
}
