//! Rules that every run must keep, checked at each event; a breach states its rule and its time. Does no
//! I/O; what it checks is reported to it by calls of its methods.

use crate::interface::{Instant, Span};
use crate::standin::ids::{ConnectionId, HostId};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// Time within which a drain or removal must take effect after it was published (protocol page, with its
/// slack).
const DRAIN_BOUND: Span = Span::from_millis(1_050);
/// Longest time after the client's timeout at which an answer is still in time.
const ANSWER_GRACE: Span = Span::from_millis(550);
/// Longest time between the sending of bytes and their arrival that the rules allow for.
pub const MAX_TRANSIT: Span = Span::from_millis(45);
/// Longest time after a client has cancelled or disconnected at which an attempt for it may still begin.
const CANCEL_BOUND: Span = Span::from_millis(100);
/// Extra time that limits get where requests go over sockets (protocol page).
const SOCKET_SLACK: Span = Span::from_millis(50);

/// A broken rule, with the time and a description of the event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// Name of the rule, as printed in the summary.
    pub rule: &'static str,
    /// Time from the start of the run to the breach; serialized in microseconds.
    #[serde(serialize_with = "in_micros")]
    pub at: Span,
    /// Description of the event, with the request, host or member concerned.
    pub text: String,
}

fn in_micros<S: Serializer>(span: &Span, to: S) -> Result<S::Ok, S::Error> {
    span.as_micros().serialize(to)
}

/// A complete attempt that has reached a host.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAttempt<'a> {
    /// Host that received the attempt.
    pub host: HostId,
    /// Name of the host in the endpoint list.
    pub host_name: &'a str,
    /// Connection on which the attempt arrived.
    pub connection: ConnectionId,
    /// Trace id of the client's request.
    pub trace: &'a str,
    /// When its first byte was written. The rule for drains compares this time, not the time of arrival.
    pub sent: Instant,
    /// Whether the request is a write.
    pub is_write: bool,
}

/// Whether a write may have run at the host to which it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// It may have run; the attempt was written to the connection at this time.
    MayHaveRun(Instant),
    DidNotRun,
}

/// The rule that follows from a purge of one object.
#[derive(Clone, Copy, Debug)]
pub struct PurgeRule {
    /// Copies that the origin handed out before this time are void.
    pub purged_at: Instant,
    /// Requests that are sent after this time must not be served from a void copy.
    pub holds_from: Instant,
}

/// Checks the rules of one run; holds the reported state that they need and the breaches found.
#[derive(Debug, Default)]
pub struct Rules {
    start: Instant,
    /// First breach of each rule, in the order of time.
    pub breaches: Vec<Breach>,
    /// State of each write at every host and connection to which it was sent, by trace id.
    writes: BTreeMap<String, BTreeMap<(HostId, ConnectionId), WriteState>>,
    /// How long after its first attempt was written a write that may have run may be repeated; `None`: never.
    dedup_window: Option<Span>,
    /// When the client cancelled the request or closed its connection, by trace id.
    clients_left: BTreeMap<String, Instant>,
    /// Time from which a drained or removed host must not be sent new attempts, by host.
    drain_deadlines: BTreeMap<HostId, Instant>,
    /// Purges of each object, by object id.
    purges: BTreeMap<String, Vec<PurgeRule>>,
}

impl Rules {
    /// Creates the rules of a run that starts at `start`, in which a write that may have run is never
    /// repeated.
    pub fn new(start: Instant) -> Self {
        Rules { start, ..Rules::default() }
    }

    /// Sets how long a write that may have run may be repeated.
    pub fn with_dedup_window(self, dedup_window: Option<Span>) -> Self {
        Rules { dedup_window, ..self }
    }

    /// Records a breach, unless this rule was broken before.
    pub fn record_breach(&mut self, now: Instant, rule: &'static str, text: String) {
        if self.breaches.iter().all(|breach| breach.rule != rule) {
            self.breaches.push(Breach { rule, at: now - self.start, text });
        }
    }

    /// Records that the client of a request has cancelled it or closed its connection.
    pub fn client_left(&mut self, now: Instant, trace: &str) {
        self.clients_left.entry(trace.to_owned()).or_insert(now);
    }

    /// Records that a host was drained or removed; `stated` is the time from which the bound counts.
    pub fn host_drained(&mut self, host: HostId, stated: Instant) {
        self.drain_deadlines.entry(host).or_insert(stated + DRAIN_BOUND);
    }

    /// Records that a drained or removed host may be sent attempts again.
    pub fn host_up_again(&mut self, host: HostId) {
        self.drain_deadlines.remove(&host);
    }

    /// Records that the feed has been cut off since `since`. The bounds of drains and purges that it
    /// published since then count from `stated` at the earliest.
    pub fn feed_cut_off(&mut self, since: Instant, stated: Instant) {
        for deadline in self.drain_deadlines.values_mut().filter(|deadline| **deadline >= since + DRAIN_BOUND)
        {
            *deadline = (*deadline).max(stated + DRAIN_BOUND);
        }
        for purge in self.purges.values_mut().flatten().filter(|purge| purge.holds_from >= since) {
            purge.holds_from = purge.holds_from.max(stated);
        }
    }

    /// Records a purge of an object.
    pub fn purged(&mut self, object: &str, purge: PurgeRule) {
        self.purges.entry(object.to_owned()).or_default().push(purge);
    }

    /// Checks the rules for an attempt that has completely reached a host.
    pub fn attempt_received(&mut self, now: Instant, attempt: &ReceivedAttempt<'_>) {
        self.check_drain(now, attempt);
        self.check_client_left(now, attempt);
        if attempt.is_write {
            self.check_repeat(now, attempt);
        }
    }

    fn check_drain(&mut self, now: Instant, attempt: &ReceivedAttempt<'_>) {
        let ReceivedAttempt { host_name, trace, sent, .. } = *attempt;
        let deadline = self.drain_deadlines.get(&attempt.host);
        let Some(deadline) = deadline.filter(|deadline| sent > **deadline) else { return };
        let late = (sent - *deadline).as_millis();
        self.record_breach(
            now,
            "drain",
            format!("{trace} goes to {host_name} {late} ms after it had to stop"),
        );
    }

    fn check_client_left(&mut self, now: Instant, attempt: &ReceivedAttempt<'_>) {
        let ReceivedAttempt { host_name, trace, sent, .. } = *attempt;
        let left = self.clients_left.get(trace);
        let Some(left) = left.filter(|left| sent > **left + CANCEL_BOUND + MAX_TRANSIT) else { return };
        let late = (sent - *left).as_millis();
        let text = format!("{trace} goes to {host_name} {late} ms after its client left");
        self.record_breach(now, "after-leaving", text);
    }

    /// Checks that a write that may have run is not sent again, except within the time in which it may be
    /// repeated.
    fn check_repeat(&mut self, now: Instant, attempt: &ReceivedAttempt<'_>) {
        let ReceivedAttempt { host_name, trace, sent, .. } = *attempt;
        let states = self.writes.entry(trace.to_owned()).or_default();
        let may_have_run = states.iter().filter_map(|((host, _), state)| match state {
            WriteState::MayHaveRun(sent) => Some((*sent, *host)),
            WriteState::DidNotRun => None,
        });
        let first = may_have_run.min();
        states.insert((attempt.host, attempt.connection), WriteState::MayHaveRun(sent));
        let Some((first_sent, first_host)) = first else { return };
        let (rule, is_allowed) = match self.dedup_window {
            None => ("result-twice", false),
            Some(window) => ("late-repeat", sent <= first_sent + window + SOCKET_SLACK),
        };
        if !is_allowed {
            let after = (sent - first_sent).as_millis();
            let text =
                format!("{trace} goes to {host_name} {after} ms after it may have run at host {first_host}");
            self.record_breach(now, rule, text);
        }
    }

    /// Records that a host has stated that a request did not run there.
    pub fn did_not_run(&mut self, host: HostId, connection: ConnectionId, trace: &str) {
        if let Some(states) = self.writes.get_mut(trace) {
            states.insert((host, connection), WriteState::DidNotRun);
        }
    }

    /// Checks a request that was sent at `sent` and served from a copy that the origin handed out at
    /// `handed_out`.
    pub fn served(&mut self, now: Instant, object: &str, handed_out: Instant, sent: Instant) {
        let is_broken =
            |purge: &&PurgeRule| handed_out < purge.purged_at && sent > purge.holds_from + MAX_TRANSIT;
        let purges = self.purges.get(object);
        let Some(purge) = purges.and_then(|purges| purges.iter().find(is_broken)) else { return };
        let age = (purge.purged_at - handed_out).as_millis();
        self.record_breach(
            now,
            "purge",
            format!("{object} is served by a copy {age} ms older than its purge"),
        );
    }

    /// Checks that the answer to a request that was sent at `sent` came in time.
    pub fn answered(&mut self, now: Instant, trace: &str, sent: Instant, client_timeout: Span) {
        let late = now - sent - client_timeout;
        if late > ANSWER_GRACE + MAX_TRANSIT {
            self.record_breach(
                now,
                "late",
                format!("{trace} is answered {} ms after its time", late.as_millis()),
            );
        }
    }
}

#[cfg(test)]
mod tests;
