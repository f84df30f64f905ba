//! Duties that one edge proxy holds at a time, as leases in the log with fencing tokens (Gray and Cheriton 1989; tokens as in
//! Burrows 2006). The holder counts from *before* it asked, on its own clock, and stops a guard time early; the leader
//! counts from when it saw the grant, with the drift that clocks are allowed; so two never hold at once, whatever the
//! network does. Whoever receives an act refuses a token lower than the highest it has seen.
//!
//! No I/O: time is passed in, microseconds of a clock that only goes forward while the process runs.

use super::state::{Command, State};
use super::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// Unanswered asks of one duty that are remembered; an older one that is granted after all counts for nothing.
const MOST_ASKS: usize = 8;

/// How leases run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A lease lasts so long, us.
    pub span: i64,
    /// Its holder stops so long before its end, us.
    pub guard: i64,
    /// Clocks run apart by this part at most.
    pub drift: f64,
}

impl Terms {
    /// How long the leader waits since it saw a lease, us: on the slowest holder's clock the span is over then, by the
    /// fastest leader's clock, too.
    pub fn patience(&self) -> i64 {
        (self.span as f64 * (1.0 + self.drift) / (1.0 - self.drift)).ceil() as i64
    }

    /// How often what was not answered is asked again, us.
    fn again(&self) -> i64 {
        (self.span / 20).max(1)
    }
}

#[derive(Debug, Default)]
struct Want {
    /// When each ask that is not answered was made.
    asked: BTreeMap<u64, i64>,
    again_at: i64,
    /// The token, and until when it may be acted under.
    held: Option<(u64, i64)>,
}

/// The duties that this member stands for, and those that it holds.
#[derive(Debug)]
pub struct Holder {
    id: MemberId,
    terms: Terms,
    wants: BTreeMap<String, Want>,
    /// The last ask's number. It begins at random: the log may hold asks of this member's processes before.
    asks: u64,
}

impl Holder {
    /// A member that stands for nothing yet; `first` is drawn at random by each process.
    pub fn new(id: MemberId, terms: Terms, first: u64) -> Self {
        Holder { id, terms, wants: BTreeMap::new(), asks: first }
    }

    /// Stands for these duties from now on; gives what is to be proposed for those that are left.
    pub fn stand(&mut self, wanted: &BTreeSet<String>) -> Vec<Command> {
        let left: Vec<String> = self.wants.keys().filter(|duty| !wanted.contains(*duty)).cloned().collect();
        let release = |duty: String| {
            let (token, _) = self.wants.remove(&duty)?.held?;
            Some(Command::Release { duty, id: self.id, token })
        };
        let released = left.into_iter().filter_map(release).collect();
        for duty in wanted {
            if !self.wants.contains_key(duty) {
                self.wants.insert(duty.clone(), Want::default());
            }
        }
        released
    }

    /// What is to be proposed now: asks for what is free, renewals of what is held.
    pub fn due(&mut self, now: i64, state: &State) -> Vec<Command> {
        self.look(state);
        let (id, terms) = (self.id, self.terms);
        let mut out = Vec::new();
        for (duty, want) in &mut self.wants {
            let lease = state.duties.get(duty);
            if want.again_at > now || lease.is_some_and(|lease| lease.holder != id) {
                continue;
            }
            // A third of its time before the end it is renewed.
            if want.held.is_some_and(|(_, until)| now < until - terms.span / 3) {
                continue;
            }
            self.asks = self.asks.wrapping_add(1);
            want.again_at = now + terms.again();
            if want.asked.len() >= MOST_ASKS {
                want.asked.pop_first();
            }
            want.asked.insert(self.asks, now);
            let (duty, ask) = (duty.clone(), self.asks);
            out.push(match lease {
                Some(lease) => Command::Renew { duty, id, token: lease.token, ask },
                None => Command::Acquire { duty, id, ask },
            });
        }
        out
    }

    /// Takes in what the log has made of the asks.
    pub fn look(&mut self, state: &State) {
        for (duty, want) in &mut self.wants {
            let lease = state.duties.get(duty).filter(|lease| lease.holder == self.id);
            let Some(lease) = lease else {
                want.held = None;
                continue;
            };
            if let Some(at) = want.asked.get(&lease.ask).copied() {
                want.held = Some((lease.token, at + self.terms.span - self.terms.guard));
                want.asked.retain(|_, asked| *asked >= at);
            } else if want.held.is_some_and(|(token, _)| token != lease.token) {
                want.held = None; // of a process before this one
            }
        }
    }

    /// The token under which a duty may be acted on now; to be asked before *each* act.
    pub fn token(&self, now: i64, duty: &str) -> Option<u64> {
        let (token, until) = self.wants.get(duty)?.held?;
        (now < until).then_some(token)
    }

    /// What is held, with tokens and ends.
    pub fn held(&self) -> BTreeMap<String, (u64, i64)> {
        self.wants.iter().filter_map(|(duty, want)| Some((duty.clone(), want.held?))).collect()
    }
}

/// The leader's side: which leases have run out.
#[derive(Debug)]
pub struct Grantor {
    terms: Terms,
    /// By duty: the token and ask that were seen, when, and when its end was last proposed.
    seen: BTreeMap<String, (u64, u64, i64, i64)>,
}

impl Grantor {
    /// One that has seen nothing.
    pub fn new(terms: Terms) -> Self {
        Grantor { terms, seen: BTreeMap::new() }
    }

    /// What is to be proposed now. A leader that is new counts every lease from now on, since it can't know when it began.
    pub fn due(&mut self, now: i64, state: &State, leads: bool) -> Vec<Command> {
        if !leads {
            self.seen.clear();
            return Vec::new();
        }
        self.seen.retain(|duty, _| state.duties.contains_key(duty));
        let mut out = Vec::new();
        for (duty, lease) in &state.duties {
            let new = (lease.token, lease.ask, now, i64::MIN);
            let seen = self.seen.entry(duty.clone()).or_insert(new);
            if (seen.0, seen.1) != (lease.token, lease.ask) {
                *seen = new;
            }
            let (token, ask, since, proposed) = *seen;
            if now - since >= self.terms.patience() && now.saturating_sub(proposed) >= self.terms.again() {
                seen.3 = now;
                out.push(Command::Expire { duty: duty.clone(), token, ask });
            }
        }
        out
    }
}

/// The receiver's side: no act under a token lower than the highest that was seen.
#[derive(Debug, Default)]
pub struct Fence {
    highest: BTreeMap<String, u64>,
}

impl Fence {
    /// Whether an act may count; the log's newest grant is seen as well.
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
        if self.highest.len() > super::state::MOST_DUTIES {
            self.highest.pop_first();
        }
        admitted
    }
}

#[cfg(test)]
mod tests;
