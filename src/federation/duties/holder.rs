//! The holder's side: requests leases, renews them, and knows until when each may be acted under.

use super::LeaseTiming;
use crate::federation::state::{Command, State};
use crate::federation::MemberId;
use crate::interface::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of unanswered requests of one duty that are remembered; an older one that is granted after all is
/// not used.
const MAX_REQUESTS: usize = 8;

/// A lease that this member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: u64,
    /// When it may no longer be acted under, on this member's clock.
    pub expires_at: Instant,
}

/// A duty that this member is a candidate for.
#[derive(Debug, Default)]
struct Candidacy {
    /// When each unanswered request was made, by its number.
    requested: BTreeMap<u64, Instant>,
    next_request_at: Instant,
    held: Option<HeldLease>,
}

/// The duties that this member is a candidate for, and the leases that it holds.
#[derive(Debug)]
pub struct LeaseHolder {
    id: MemberId,
    timing: LeaseTiming,
    candidacies: BTreeMap<String, Candidacy>,
    /// The number of the last request. Numbers start at random, since the log may hold requests of earlier processes of
    /// this member.
    last_request: u64,
}

impl LeaseHolder {
    /// A holder without candidacies; each process draws `first` at random.
    pub fn new(id: MemberId, timing: LeaseTiming, first: u64) -> Self {
        LeaseHolder { id, timing, candidacies: BTreeMap::new(), last_request: first }
    }

    /// Sets the duties that this member is a candidate for, and returns the releases to propose of the others.
    pub fn set_candidacies(&mut self, wanted: &BTreeSet<String>) -> Vec<Command> {
        let left: Vec<String> =
            self.candidacies.keys().filter(|duty| !wanted.contains(*duty)).cloned().collect();
        let release = |duty: String| {
            let HeldLease { token, .. } = self.candidacies.remove(&duty)?.held?;
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

    /// The commands to propose now: requests for free duties, and renewals of leases that are held.
    pub fn due_requests(&mut self, now: Instant, state: &State) -> Vec<Command> {
        self.observe(state);
        let (id, timing) = (self.id, self.timing);
        let mut out = Vec::new();
        for (duty, candidacy) in &mut self.candidacies {
            let lease = state.duties.get(duty);
            if candidacy.next_request_at > now || lease.is_some_and(|lease| lease.holder != id) {
                continue;
            }
            if candidacy.held.is_some_and(|held| now < held.expires_at - timing.renewal_window()) {
                continue;
            }
            self.last_request = self.last_request.wrapping_add(1);
            candidacy.next_request_at = now + timing.retry_interval();
            if candidacy.requested.len() >= MAX_REQUESTS {
                candidacy.requested.pop_first();
            }
            candidacy.requested.insert(self.last_request, now);
            let (duty, request) = (duty.clone(), self.last_request);
            out.push(match lease {
                Some(lease) => Command::Renew { duty, id, token: lease.token, request },
                None => Command::Acquire { duty, id, request },
            });
        }
        out
    }

    /// Updates the leases that are held from the replicated state.
    pub fn observe(&mut self, state: &State) {
        for (duty, candidacy) in &mut self.candidacies {
            let lease = state.duties.get(duty).filter(|lease| lease.holder == self.id);
            let Some(lease) = lease else {
                candidacy.held = None;
                continue;
            };
            if let Some(at) = candidacy.requested.get(&lease.request).copied() {
                candidacy.held = Some(HeldLease {
                    token: lease.token,
                    expires_at: at + self.timing.duration - self.timing.guard,
                });
                candidacy.requested.retain(|_, requested_at| *requested_at >= at);
            } else if candidacy.held.is_some_and(|held| held.token != lease.token) {
                candidacy.held = None; // granted to an earlier process
            }
        }
    }

    /// The fencing token under which a duty may be acted on now; callers check it before *each* act.
    pub fn token(&self, now: Instant, duty: &str) -> Option<u64> {
        let held = self.candidacies.get(duty)?.held?;
        (now < held.expires_at).then_some(held.token)
    }

    /// The leases that are held, by duty.
    pub fn held(&self) -> BTreeMap<String, HeldLease> {
        self.candidacies
            .iter()
            .filter_map(|(duty, candidacy)| Some((duty.clone(), candidacy.held?)))
            .collect()
    }
}
