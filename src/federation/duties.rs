//! Duties that one edge proxy holds at a time, as leases in the log with fencing tokens (Gray and Cheriton 1989; tokens as in
//! Burrows 2006). The holder counts from *before* its request, on its own clock, and stops a guard time early; the leader
//! counts from when it saw the grant, with the drift that clocks are allowed; so two never hold at once, whatever the
//! network does. The receiver of an act rejects a fencing token lower than the highest it has seen.
//!
//! No I/O: time is passed in, of a clock that only goes forward while the process runs.

use super::state::{Command, Lease, State};
use super::MemberId;
use crate::interface::{Instant, Span};
use std::collections::{BTreeMap, BTreeSet};

/// Unanswered requests of one duty that are remembered; an older one that is granted after all is not used.
const MAX_REQUESTS: usize = 8;

/// How long leases last, and by which clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTerms {
    /// A lease lasts so long.
    pub span: Span,
    /// Its holder stops so long before its end.
    pub guard: Span,
    /// Clocks run apart by this part at most.
    pub drift: f64,
}

impl LeaseTerms {
    /// How long the leader waits since it saw a lease: on the slowest holder's clock the span is over then, by the
    /// fastest leader's clock, too.
    pub fn expiry_timeout(&self) -> Span {
        Span::from_micros_f64((self.span.as_micros_f64() * (1.0 + self.drift) / (1.0 - self.drift)).ceil())
    }

    /// How long before its end a lease is renewed.
    fn renewal_window(&self) -> Span {
        self.span / 3
    }

    /// The pause before an unanswered proposal is retried.
    fn retry_interval(&self) -> Span {
        (self.span / 20).max(Span::from_micros(1))
    }
}

/// A lease that this member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The fencing token.
    pub token: u64,
    /// Until when it may be acted under, on this member's clock.
    pub until: Instant,
}

/// A duty that this member stands for.
#[derive(Debug, Default)]
struct Candidacy {
    /// When each request that is not answered was made.
    requested: BTreeMap<u64, Instant>,
    next_request_at: Instant,
    held: Option<Held>,
}

/// The duties that this member stands for, and those that it holds.
#[derive(Debug)]
pub struct Holder {
    id: MemberId,
    terms: LeaseTerms,
    candidacies: BTreeMap<String, Candidacy>,
    /// The last request's number. It begins at random: the log may hold requests of earlier processes of this member.
    requests: u64,
}

impl Holder {
    /// A member that stands for nothing yet; `first` is drawn at random by each process.
    pub fn new(id: MemberId, terms: LeaseTerms, first: u64) -> Self {
        Holder { id, terms, candidacies: BTreeMap::new(), requests: first }
    }

    /// Stands for these duties from now on; gives the releases of the others that are to be proposed.
    pub fn stand_for(&mut self, wanted: &BTreeSet<String>) -> Vec<Command> {
        let left: Vec<String> =
            self.candidacies.keys().filter(|duty| !wanted.contains(*duty)).cloned().collect();
        let release = |duty: String| {
            let Held { token, .. } = self.candidacies.remove(&duty)?.held?;
            Some(Command::Release { duty, id: self.id, token })
        };
        let released = left.into_iter().filter_map(release).collect();
        for duty in wanted {
            if !self.candidacies.contains_key(duty) {
                self.candidacies.insert(duty.clone(), Candidacy::default());
            }
        }
        released
    }

    /// The commands that are to be proposed now: requests for free duties, renewals of leases that are held.
    pub fn due(&mut self, now: Instant, state: &State) -> Vec<Command> {
        self.observe(state);
        let (id, terms) = (self.id, self.terms);
        let mut out = Vec::new();
        for (duty, candidacy) in &mut self.candidacies {
            let lease = state.duties.get(duty);
            if candidacy.next_request_at > now || lease.is_some_and(|lease| lease.holder != id) {
                continue;
            }
            if candidacy.held.is_some_and(|held| now < held.until - terms.renewal_window()) {
                continue;
            }
            self.requests = self.requests.wrapping_add(1);
            candidacy.next_request_at = now + terms.retry_interval();
            if candidacy.requested.len() >= MAX_REQUESTS {
                candidacy.requested.pop_first();
            }
            candidacy.requested.insert(self.requests, now);
            let (duty, request) = (duty.clone(), self.requests);
            out.push(match lease {
                Some(lease) => Command::Renew { duty, id, token: lease.token, request },
                None => Command::Acquire { duty, id, request },
            });
        }
        out
    }

    /// Takes over what the log has made of the requests.
    pub fn observe(&mut self, state: &State) {
        for (duty, candidacy) in &mut self.candidacies {
            let lease = state.duties.get(duty).filter(|lease| lease.holder == self.id);
            let Some(lease) = lease else {
                candidacy.held = None;
                continue;
            };
            if let Some(at) = candidacy.requested.get(&lease.request).copied() {
                candidacy.held =
                    Some(Held { token: lease.token, until: at + self.terms.span - self.terms.guard });
                candidacy.requested.retain(|_, requested_at| *requested_at >= at);
            } else if candidacy.held.is_some_and(|held| held.token != lease.token) {
                candidacy.held = None; // of an earlier process
            }
        }
    }

    /// The token under which a duty may be acted on now; to be asked before *each* act.
    pub fn token(&self, now: Instant, duty: &str) -> Option<u64> {
        let held = self.candidacies.get(duty)?.held?;
        (now < held.until).then_some(held.token)
    }

    /// The leases that are held, by duty.
    pub fn held(&self) -> BTreeMap<String, Held> {
        self.candidacies
            .iter()
            .filter_map(|(duty, candidacy)| Some((duty.clone(), candidacy.held?)))
            .collect()
    }
}

/// A lease as the leader saw it.
#[derive(Clone, Copy, Debug)]
struct Observed {
    token: u64,
    request: u64,
    /// When this token and request were seen first.
    since: Instant,
    /// When its end was proposed last.
    expiry_proposed_at: Option<Instant>,
}

/// The leader's side: which leases have run out.
#[derive(Debug)]
pub struct Grantor {
    terms: LeaseTerms,
    /// By duty.
    observed: BTreeMap<String, Observed>,
}

impl Grantor {
    /// One that has seen no lease.
    pub fn new(terms: LeaseTerms) -> Self {
        Grantor { terms, observed: BTreeMap::new() }
    }

    /// What is to be proposed now. A new leader counts every lease from now on, since it cannot know when it began.
    pub fn due(&mut self, now: Instant, state: &State, leads: bool) -> Vec<Command> {
        if !leads {
            self.observed.clear();
            return Vec::new();
        }
        self.observed.retain(|duty, _| state.duties.contains_key(duty));
        let expire = |(duty, lease): (&String, &Lease)| self.expire(now, duty, lease);
        state.duties.iter().filter_map(expire).collect()
    }

    /// The end of a lease that ran out, if it is to be proposed now.
    fn expire(&mut self, now: Instant, duty: &str, lease: &Lease) -> Option<Command> {
        let Lease { token, request, .. } = *lease;
        let new = Observed { token, request, since: now, expiry_proposed_at: None };
        let observed = self.observed.entry(duty.to_owned()).or_insert(new);
        if (observed.token, observed.request) != (token, request) {
            *observed = new;
        }
        let expired = now - observed.since >= self.terms.expiry_timeout();
        let retry = observed.expiry_proposed_at.is_none_or(|at| now - at >= self.terms.retry_interval());
        if !expired || !retry {
            return None;
        }
        observed.expiry_proposed_at = Some(now);
        Some(Command::Expire { duty: duty.to_owned(), token, request })
    }
}

/// The receiver's side: rejects acts under a token lower than the highest that was seen.
#[derive(Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
}

impl Fence {
    /// Whether an act is admitted; the newest lease of the log counts as seen.
    pub fn admits(&mut self, state: &State, duty: &str, from: MemberId, token: u64) -> bool {
        if let Some(lease) = state.duties.get(duty) {
            if token < lease.token || (token == lease.token && from != lease.holder) {
                return false;
            }
        }
        let highest = self.highest.entry(duty.to_owned()).or_insert(0);
        let admitted = token >= *highest;
        *highest = (*highest).max(token);
        // Duties come and go with the caches that they name; the tokens of all come from one count.
        if self.highest.len() > super::state::MAX_DUTIES {
            self.highest.pop_first();
        }
        admitted
    }
}

#[cfg(test)]
mod tests;
