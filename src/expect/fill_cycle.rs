//! Cycles of fills: servers each of which is filled from the next.

use super::decisions::Trace;
use crate::interface::{ObjectId, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// By server: the servers from which it is filled.
type Fills = BTreeMap<ServerId, BTreeSet<ServerId>>;

/// A cycle of one object's fills.
pub(super) struct FillCycle {
    pub(super) object: ObjectId,
    /// The servers, each filled from the next, the first one again at the end.
    pub(super) servers: Vec<ServerId>,
}

/// A cycle of the fills of one object, if there is one, taking the views of all these explorations together.
pub(super) fn find<'a>(traces: impl Iterator<Item = &'a Trace>) -> Option<FillCycle> {
    let mut fills_by_object: BTreeMap<ObjectId, Fills> = BTreeMap::new();
    for trace in traces {
        for decision in trace.checked_decisions() {
            let Some(source) = decision.source else { continue };
            let fills = fills_by_object.entry(trace.object_of(decision)).or_default();
            fills.entry(decision.server).or_default().insert(source);
        }
    }
    fills_by_object.into_iter().find_map(|(object, fills)| {
        let servers = Search::new(&fills).run()?;
        Some(FillCycle { object, servers })
    })
}

/// A depth-first search of a graph of few servers.
struct Search<'a> {
    fills: &'a Fills,
    /// The servers from the start to the present one.
    path: Vec<ServerId>,
    /// Servers from which the search has gone on once.
    visited: BTreeSet<ServerId>,
}

impl<'a> Search<'a> {
    fn new(fills: &'a Fills) -> Self {
        Search { fills, path: Vec::new(), visited: BTreeSet::new() }
    }

    fn run(mut self) -> Option<Vec<ServerId>> {
        self.fills.keys().find_map(|start| self.visit(*start))
    }

    fn visit(&mut self, server: ServerId) -> Option<Vec<ServerId>> {
        if let Some(start) = self.path.iter().position(|visited| *visited == server) {
            let mut cycle = self.path[start..].to_vec();
            cycle.push(server);
            return Some(cycle);
        }
        if !self.visited.insert(server) {
            return None;
        }
        self.path.push(server);
        let sources = self.fills.get(&server).into_iter().flatten();
        let found = sources.copied().find_map(|source| self.visit(source));
        self.path.pop();
        found
    }
}
