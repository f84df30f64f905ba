//! What has to hold in every run, checked as things happen: a breach names its rule and the moment. No I/O, no state
//! of the world but what is told here.

use crate::interface::{Instant, Span};
use serde::{Serialize, Serializer};
use std::collections::BTreeMap;

/// A drain, removal or purge takes effect within this long after it was told (protocol page, with its slack).
const DRAIN: Span = Span::from_millis(1_050);
/// An answer counts until this long after the request's time.
const LATE: Span = Span::from_millis(550);
/// What is under way may be seen so much later than it was sent.
pub const WAY: Span = Span::from_millis(45);

/// No attempt begins for a client that left longer ago than this.
const LEFT: Span = Span::from_millis(100);
/// Time limits are this much longer on sockets (protocol page).
const SLACK: Span = Span::from_millis(50);

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Breach {
    /// The rule's word.
    pub rule: &'static str,
    /// When, from the start; in microseconds where it is written.
    #[serde(serialize_with = "in_micros")]
    pub at: Span,
    /// What happened.
    pub text: String,
}

fn in_micros<S: Serializer>(span: &Span, to: S) -> Result<S::Ok, S::Error> {
    span.as_micros().serialize(to)
}

/// How a host stands with what it was sent for one `result`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ran {
    /// It may have; it was written then.
    Maybe(Instant),
    Never,
}

/// Keeps what the rules need to know.
#[derive(Debug, Default)]
pub struct Rules {
    start: Instant,
    /// The first breach of each kind, in the order of time.
    pub breaches: Vec<Breach>,
    /// By trace, then host and connection: whether it may have run there.
    results: BTreeMap<String, BTreeMap<(usize, u64), Ran>>,
    /// A `result` that may have run may be repeated for this long after its first attempt was written; `None`: never.
    window: Option<Span>,
    /// By trace: when its client gave it up.
    clients_left: BTreeMap<String, Instant>,
    /// By host: from when on it may no longer be sent anything.
    gone: BTreeMap<usize, Instant>,
    /// By object: the purges, as what time copies must be newer than, and since when that holds.
    purges: BTreeMap<String, Vec<(Instant, Instant)>>,
}

impl Rules {
    /// Rules for a run that starts now.
    pub fn new(start: Instant) -> Self {
        Rules { start, ..Rules::default() }
    }

    /// The same where a `result` may be repeated for this long.
    pub fn with_window(self, window: Option<Span>) -> Self {
        Rules { window, ..self }
    }

    /// A client has cancelled a request or closed its connection.
    pub fn client_left(&mut self, now: Instant, trace: &str) {
        self.clients_left.entry(trace.to_owned()).or_insert(now);
    }

    /// Books a breach; each rule's first one is enough.
    pub fn broken(&mut self, now: Instant, rule: &'static str, text: String) {
        if self.breaches.iter().all(|breach| breach.rule != rule) {
            self.breaches.push(Breach { rule, at: now - self.start, text });
        }
    }

    /// A host may no longer be used, which counts as told at `told`.
    pub fn left(&mut self, host: usize, told: Instant) {
        self.gone.entry(host).or_insert(told + DRAIN);
    }

    /// The feed was cut off from `since` on: what it told from then on counts as told at `told` at the earliest.
    pub fn feed_cut(&mut self, since: Instant, told: Instant) {
        for deadline in self.gone.values_mut().filter(|deadline| **deadline >= since + DRAIN) {
            *deadline = (*deadline).max(told + DRAIN);
        }
        for (_, holds) in self.purges.values_mut().flatten().filter(|(_, holds)| *holds >= since) {
            *holds = (*holds).max(told);
        }
    }

    /// A host may be used again.
    pub fn came(&mut self, host: usize) {
        self.gone.remove(&host);
    }

    /// An object was purged at a time; no older copy may be served to what comes `grace` after it was told.
    pub fn purged(&mut self, object: &str, at: Instant, told: Instant, grace: Span) {
        self.purges.entry(object.to_owned()).or_default().push((at, told + grace));
    }

    /// A request has come whole to a host; its first byte was written at `sent`, which is what drains count from.
    pub fn fetched(
        &mut self,
        now: Instant,
        sent: Instant,
        (host, name): (usize, &str),
        link: u64,
        trace: &str,
        is_result: bool,
    ) {
        if let Some(deadline) = self.gone.get(&host).filter(|deadline| sent > **deadline) {
            let late = (sent - *deadline).as_millis();
            self.broken(now, "drain", format!("{trace} goes to {name} {late} ms after it had to stop"));
        }
        if let Some(at) = self.clients_left.get(trace).filter(|at| sent > **at + LEFT + WAY) {
            let late = (sent - *at).as_millis();
            self.broken(
                now,
                "after-leaving",
                format!("{trace} goes to {name} {late} ms after its client left"),
            );
        }
        if !is_result {
            return;
        }
        let known = self.results.entry(trace.to_owned()).or_default();
        let ran = known.iter().filter_map(|((host, _), ran)| match ran {
            Ran::Maybe(at) => Some((*at, *host)),
            Ran::Never => None,
        });
        let first = ran.min();
        known.insert((host, link), Ran::Maybe(sent));
        let Some((at, other)) = first else { return };
        let (rule, allowed) = match self.window {
            None => ("result-twice", false),
            Some(window) => ("late-repeat", sent <= at + window + SLACK),
        };
        if !allowed {
            let after = (sent - at).as_millis();
            let text = format!("{trace} goes to {name} {after} ms after it may have run at host {other}");
            self.broken(now, rule, text);
        }
    }

    /// A host says that a request never ran there.
    pub fn never_ran(&mut self, host: usize, link: u64, trace: &str) {
        if let Some(known) = self.results.get_mut(trace) {
            known.insert((host, link), Ran::Never);
        }
    }

    /// A client was served: by a copy of this time, for a request sent at that time.
    pub fn served(&mut self, now: Instant, object: &str, born: Instant, sent: Instant) {
        let older = |(at, holds): &&(Instant, Instant)| born < *at && sent > *holds + WAY;
        if let Some((at, _)) = self.purges.get(object).and_then(|purges| purges.iter().find(older)) {
            let by = (*at - born).as_millis();
            self.broken(now, "purge", format!("{object} is served by a copy {by} ms older than its purge"));
        }
    }

    /// A request got its answer, or its client waits no longer: it was sent at one time with a patience.
    pub fn answered(&mut self, now: Instant, what: &str, sent: Instant, patience: Span) {
        let late = now - sent - patience;
        if late > LATE + WAY {
            self.broken(now, "late", format!("{what} is answered {} ms after its time", late.as_millis()));
        }
    }
}

#[cfg(test)]
mod tests;
