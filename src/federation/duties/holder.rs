//! The holder's side: requests and renews leases, and tracks until when this member may act under each.

use super::LeaseTiming;
use crate::federation::state::{Command, State};
use crate::federation::MemberId;
use crate::interface::Instant;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum number of unanswered requests that are remembered for each duty. A grant of an older request
/// is not used.
const MAX_REQUESTS: usize = 8;

/// A lease that this member holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token, which must accompany each act.
    pub token: u64,
    /// When this member must stop acting under the lease, on its own clock.
    pub expires_at: Instant,
}

/// A duty that this member is a candidate for.
#[derive(Debug, Default)]
struct Candidacy {
    /// The time of each unanswered request, by its number.
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
    /// The number of the last request. Numbers start at a random value, since the log may hold requests of
    /// earlier processes of this member.
    last_request: u64,
}

impl LeaseHolder {
    /// Returns a holder without candidacies. Its requests are numbered from the one after `last_request`,
    /// which each process must draw at random.
    pub fn new(id: MemberId, timing: LeaseTiming, last_request: u64) -> Self {
        LeaseHolder { id, timing, candidacies: BTreeMap::new(), last_request }
    }

    /// Sets the duties that this member is a candidate for. Returns the commands that release its leases of
    /// all other duties.
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

    /// Returns the commands to propose now: requests for free duties, and renewals of held leases.
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

    /// Updates the held leases from the replicated state.
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

    /// Returns the fencing token of a duty if this member may perform it now; callers must check this before
    /// *each* act.
    pub fn token(&self, now: Instant, duty: &str) -> Option<u64> {
        let held = self.candidacies.get(duty)?.held?;
        (now < held.expires_at).then_some(held.token)
    }

    /// Returns the held leases, by the duty's name.
    pub fn held(&self) -> BTreeMap<String, HeldLease> {
        self.candidacies
            .iter()
            .filter_map(|(duty, candidacy)| Some((duty.clone(), candidacy.held?)))
            .collect()
    }
}
