//! What has to hold in every run, checked at each step: a breach names its rule and the moment. No I/O, and no state of
//! the world but what is reported here.

use crate::interface::{Instant, Span};
use crate::standin::ids::{ConnectionId, HostId};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// A drain, removal or purge takes effect within this time after it was stated (protocol page, with its slack).
const DRAIN_BOUND: Span = Span::from_millis(1_050);
/// An answer counts until this long after the client's timeout.
const ANSWER_GRACE: Span = Span::from_millis(550);
/// What is in flight may arrive this much later than it was sent.
pub const MAX_TRANSIT: Span = Span::from_millis(45);
/// No attempt begins for a client that left longer ago than this.
const CANCEL_BOUND: Span = Span::from_millis(100);
/// Time limits are this much longer on sockets (protocol page).
const SOCKET_SLACK: Span = Span::from_millis(50);

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// The rule's name.
    pub rule: &'static str,
    /// When, from the start of the run; serialized in microseconds.
    #[serde(serialize_with = "in_micros")]
    pub at: Span,
    /// What happened.
    pub text: String,
}

fn in_micros<S: Serializer>(span: &Span, to: S) -> Result<S::Ok, S::Error> {
    span.as_micros().serialize(to)
}

/// An attempt that has reached a host.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedAttempt<'a> {
    /// The host.
    pub host: HostId,
    /// The host's name in the endpoint list.
    pub host_name: &'a str,
    /// The connection.
    pub link: ConnectionId,
    /// The trace of the client's request.
    pub trace: &'a str,
    /// When its first byte was written, which is what drains count from.
    pub sent: Instant,
    /// Whether it writes.
    pub is_write: bool,
}

/// Whether a write ran where it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteState {
    /// It may have run; it was written then.
    MayHaveRun(Instant),
    DidNotRun,
}

/// A purge of one object.
#[derive(Clone, Copy, Debug)]
pub struct PurgeRule {
    /// Copies that are older than this are void.
    pub purged_at: Instant,
    /// From this time on, no request is served by one.
    pub holds_from: Instant,
}

/// The state that the rules need.
#[derive(Debug, Default)]
pub struct Rules {
    start: Instant,
    /// The first breach of each rule, in the order of time.
    pub breaches: Vec<Breach>,
    /// By trace: the write's state at each host and connection that it was sent to.
    writes: BTreeMap<String, BTreeMap<(HostId, ConnectionId), WriteState>>,
    /// A write that may have run may be repeated for this long after its first attempt was written; `None`: never.
    dedup_window: Option<Span>,
    /// By trace: when its client cancelled it or closed its connection.
    clients_left: BTreeMap<String, Instant>,
    /// When drained and removed hosts must no longer be sent anything.
    drain_deadlines: BTreeMap<HostId, Instant>,
    /// By object.
    purges: BTreeMap<String, Vec<PurgeRule>>,
}

impl Rules {
    /// Rules for a run that starts now.
    pub fn new(start: Instant) -> Self {
        Rules { start, ..Rules::default() }
    }

    /// The same rules where a write may be repeated for this long.
    pub fn with_dedup_window(self, dedup_window: Option<Span>) -> Self {
        Rules { dedup_window, ..self }
    }

    /// Records a breach, unless the rule was broken before.
    pub fn breach(&mut self, now: Instant, rule: &'static str, text: String) {
        if self.breaches.iter().all(|breach| breach.rule != rule) {
            self.breaches.push(Breach { rule, at: now - self.start, text });
        }
    }

    /// A client has cancelled a request or closed its connection.
    pub fn client_left(&mut self, now: Instant, trace: &str) {
        self.clients_left.entry(trace.to_owned()).or_insert(now);
    }

    /// A host was drained or removed, which counts as stated at `stated`.
    pub fn host_left(&mut self, host: HostId, stated: Instant) {
        self.drain_deadlines.entry(host).or_insert(stated + DRAIN_BOUND);
    }

    /// A host may be used again.
    pub fn host_returned(&mut self, host: HostId) {
        self.drain_deadlines.remove(&host);
    }

    /// The feed is cut off since `since`: what it stated after that counts as stated at `stated` at the earliest.
    pub fn feed_cut(&mut self, since: Instant, stated: Instant) {
        for deadline in self.drain_deadlines.values_mut().filter(|deadline| **deadline >= since + DRAIN_BOUND)
        {
            *deadline = (*deadline).max(stated + DRAIN_BOUND);
        }
        for purge in self.purges.values_mut().flatten().filter(|purge| purge.holds_from >= since) {
            purge.holds_from = purge.holds_from.max(stated);
        }
    }

    /// An object was purged.
    pub fn purged(&mut self, object: &str, purge: PurgeRule) {
        self.purges.entry(object.to_owned()).or_default().push(purge);
    }

    /// A complete request has reached a host.
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
        self.breach(now, "drain", format!("{trace} goes to {host_name} {late} ms after it had to stop"));
    }

    fn check_client_left(&mut self, now: Instant, attempt: &ReceivedAttempt<'_>) {
        let ReceivedAttempt { host_name, trace, sent, .. } = *attempt;
        let left = self.clients_left.get(trace);
        let Some(left) = left.filter(|left| sent > **left + CANCEL_BOUND + MAX_TRANSIT) else { return };
        let late = (sent - *left).as_millis();
        let text = format!("{trace} goes to {host_name} {late} ms after its client left");
        self.breach(now, "after-leaving", text);
    }

    /// Checks that a write was not sent elsewhere before, where it may have run and may not be repeated.
    fn check_repeat(&mut self, now: Instant, attempt: &ReceivedAttempt<'_>) {
        let ReceivedAttempt { host_name, trace, sent, .. } = *attempt;
        let states = self.writes.entry(trace.to_owned()).or_default();
        let may_have_run = states.iter().filter_map(|((host, _), state)| match state {
            WriteState::MayHaveRun(sent) => Some((*sent, *host)),
            WriteState::DidNotRun => None,
        });
        let first = may_have_run.min();
        states.insert((attempt.host, attempt.link), WriteState::MayHaveRun(sent));
        let Some((first_sent, first_host)) = first else { return };
        let (rule, is_allowed) = match self.dedup_window {
            None => ("result-twice", false),
            Some(window) => ("late-repeat", sent <= first_sent + window + SOCKET_SLACK),
        };
        if !is_allowed {
            let after = (sent - first_sent).as_millis();
            let text =
                format!("{trace} goes to {host_name} {after} ms after it may have run at host {first_host}");
            self.breach(now, rule, text);
        }
    }

    /// A host states that a request did not run there.
    pub fn did_not_run(&mut self, host: HostId, link: ConnectionId, trace: &str) {
        if let Some(states) = self.writes.get_mut(trace) {
            states.insert((host, link), WriteState::DidNotRun);
        }
    }

    /// A request that was sent at `sent` was served by a copy that the origin handed out at `handed_out`.
    pub fn served(&mut self, now: Instant, object: &str, handed_out: Instant, sent: Instant) {
        let is_broken =
            |purge: &&PurgeRule| handed_out < purge.purged_at && sent > purge.holds_from + MAX_TRANSIT;
        let purges = self.purges.get(object);
        let Some(purge) = purges.and_then(|purges| purges.iter().find(is_broken)) else { return };
        let age = (purge.purged_at - handed_out).as_millis();
        self.breach(now, "purge", format!("{object} is served by a copy {age} ms older than its purge"));
    }

    /// A request that was sent at `sent` got its answer.
    pub fn answered(&mut self, now: Instant, trace: &str, sent: Instant, client_timeout: Span) {
        let late = now - sent - client_timeout;
        if late > ANSWER_GRACE + MAX_TRANSIT {
            self.breach(now, "late", format!("{trace} is answered {} ms after its time", late.as_millis()));
        }
    }
}

#[cfg(test)]
mod tests;
