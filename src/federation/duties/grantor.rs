//! The leader's side: finds leases that have expired.

use super::LeaseTiming;
use crate::federation::state::{Command, Lease, State};
use crate::interface::Instant;
use std::collections::BTreeMap;

/// A lease as observed by the leader.
#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    token: u64,
    request: u64,
    /// When this token and request were first observed.
    since: Instant,
    /// When its expiry was last proposed.
    expiry_proposed_at: Option<Instant>,
}

/// Measures the age of the leases in the replicated state, on the leader.
#[derive(Debug)]
pub struct LeaseGrantor {
    timing: LeaseTiming,
    /// The observed leases, by the duty's name.
    observed: BTreeMap<String, ObservedLease>,
}

impl LeaseGrantor {
    /// Returns a grantor that has not observed any lease yet.
    pub fn new(timing: LeaseTiming) -> Self {
        LeaseGrantor { timing, observed: BTreeMap::new() }
    }

    /// Returns the expiries to propose now. A new leader measures every lease from its first call, since it
    /// cannot know when the lease began.
    pub fn due_expiries(&mut self, now: Instant, state: &State, leads: bool) -> Vec<Command> {
        if !leads {
            self.observed.clear();
            return Vec::new();
        }
        self.observed.retain(|duty, _| state.duties.contains_key(duty));
        let expire = |(duty, lease): (&String, &Lease)| self.expire(now, duty, lease);
        state.duties.iter().filter_map(expire).collect()
    }

    /// Returns the command that ends this lease, if the lease has expired and the command is due.
    fn expire(&mut self, now: Instant, duty: &str, lease: &Lease) -> Option<Command> {
        let Lease { token, request, .. } = *lease;
        let new = ObservedLease { token, request, since: now, expiry_proposed_at: None };
        let observed = self.observed.entry(duty.to_owned()).or_insert(new);
        if (observed.token, observed.request) != (token, request) {
            *observed = new;
        }
        let expired = now - observed.since >= self.timing.expiry_timeout();
        let retry = observed.expiry_proposed_at.is_none_or(|at| now - at >= self.timing.retry_interval());
        if !expired || !retry {
            return None;
        }
        observed.expiry_proposed_at = Some(now);
        Some(Command::Expire { duty: duty.to_owned(), token, request })
    }
}
