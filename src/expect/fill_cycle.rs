//! Finds cycles of fills, in which each server is filled from the next one.

use super::decisions::Trace;
use crate::interface::{ObjectId, ServerId};
use std::collections::{BTreeMap, BTreeSet};

/// The servers from which a server is filled, by that server.
type Fills = BTreeMap<ServerId, BTreeSet<ServerId>>;

/// A cycle of one object's fills.
pub(super) struct FillCycle {
    pub(super) object: ObjectId,
    /// The servers, each filled from the next one; the first server is repeated at the end.
    pub(super) servers: Vec<ServerId>,
}

/// Returns a cycle among the fills of one object, if there is one. The fills of all traces are taken
/// together, since edge proxies with different endpoint lists can form a cycle that no single view has.
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

/// A depth-first search for a cycle. The graph has few servers, so the recursion is shallow.
struct Search<'a> {
    fills: &'a Fills,
    /// The servers from the start of the search to the current one.
    path: Vec<ServerId>,
    /// Servers whose fill sources have been searched or are being searched; they are not searched again.
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
