//! The decisions of the decision module in one exploration.

use super::expectation::Answer;
use crate::interface::{ObjectId, ServerId};
use std::collections::BTreeMap;

/// An attempt that the module decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// The request, by its number in the exploration.
    pub request: usize,
    /// The attempt's number, from 0.
    pub attempt: u8,
    /// The server that gets the attempt.
    pub server: ServerId,
    /// The server that fills a miss, if one does.
    pub source: Option<ServerId>,
    /// The rank at which a copy is cached; 0: none is.
    pub rank: u8,
}

/// The requests of one exploration, and the module's decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The object of each request, by number.
    pub objects: Vec<ObjectId>,
    /// The first request after the scenario's change; those before prepared it.
    pub first_checked: usize,
    /// The attempts, in the order of decision.
    pub decisions: Vec<Decision>,
    /// The final answer of each request; `None`: it got none before the exploration ended.
    pub answers: Vec<Option<Answer>>,
}

impl Trace {
    /// The decisions for requests after the scenario's change.
    pub fn checked_decisions(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter().filter(|decision| self.is_checked(decision))
    }

    /// The object that a decision is about.
    pub fn object_of(&self, decision: &Decision) -> ObjectId {
        self.objects[decision.request]
    }

    /// The home of each object as its first request before the change showed it.
    pub fn homes_before(&self) -> BTreeMap<ObjectId, ServerId> {
        self.homes(false)
    }

    /// The home of each object as its first request after the change showed it.
    pub fn homes_after(&self) -> BTreeMap<ObjectId, ServerId> {
        self.homes(true)
    }

    fn homes(&self, after_change: bool) -> BTreeMap<ObjectId, ServerId> {
        let mut homes = BTreeMap::new();
        let first_attempts = self.decisions.iter().filter(|decision| decision.attempt == 0);
        for decision in first_attempts.filter(|decision| self.is_checked(decision) == after_change) {
            homes.entry(self.object_of(decision)).or_insert(decision.server);
        }
        homes
    }

    fn is_checked(&self, decision: &Decision) -> bool {
        decision.request >= self.first_checked
    }
}
