//! The record of one exploration: its requests, and what the decision module decided for them.

use super::expectation::Answer;
use crate::interface::{ObjectId, ServerId};
use std::collections::BTreeMap;

/// An attempt that the module decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Decision {
    /// The request's number in the exploration, from 0.
    pub request: usize,
    /// The attempt's number, from 0.
    pub attempt: u8,
    /// The server to which the attempt goes.
    pub server: ServerId,
    /// The server from which a miss is filled; `None` if a miss is not filled.
    pub source: Option<ServerId>,
    /// The rank at which a copy is cached; 0: no copy is cached.
    pub rank: u8,
}

/// The requests of one exploration, and the module's decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The object of each request, by the request's number.
    pub objects: Vec<ObjectId>,
    /// Number of the first request after the scenario's change. Rules check the requests from here on; the
    /// earlier ones only prepare the module's state, such as delegates and measured times.
    pub first_checked: usize,
    /// All attempts, in the order in which they were decided.
    pub decisions: Vec<Decision>,
    /// The final answer of each request; `None` if there was none before the exploration ended.
    pub answers: Vec<Option<Answer>>,
}

impl Trace {
    /// Returns the decisions for the requests after the scenario's change.
    pub fn checked_decisions(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter().filter(|decision| self.is_checked(decision))
    }

    /// Returns the object that a decision's request asks for.
    pub fn object_of(&self, decision: &Decision) -> ObjectId {
        self.objects[decision.request]
    }

    /// Returns the home of each object before the change: the server of the first attempt of its first
    /// request.
    pub fn homes_before(&self) -> BTreeMap<ObjectId, ServerId> {
        self.homes(false)
    }

    /// Returns the home of each object after the change: the server of the first attempt of its first
    /// request.
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
