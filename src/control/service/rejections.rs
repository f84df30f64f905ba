//! Remembers the versions that clients rejected, by node, for their next streams.

use crate::control::session::Rejections;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The rejections of a limited number of nodes. Above the limit, the nodes with the smallest names are dropped.
pub(super) struct RejectionStore {
    max_nodes: usize,
    by_node: Mutex<BTreeMap<String, Rejections>>,
}

impl RejectionStore {
    pub(super) fn new(max_nodes: usize) -> Self {
        RejectionStore { max_nodes, by_node: Mutex::default() }
    }

    /// Returns the rejections of a node; `None` if there are none.
    pub(super) fn get(&self, node: &str) -> Option<Rejections> {
        self.lock().get(node).cloned()
    }

    /// Replaces the rejections of a node. Those of a node without a name are not remembered.
    pub(super) fn set(&self, node: &str, rejections: Rejections) {
        let mut by_node = self.lock();
        if rejections.is_empty() || node.is_empty() {
            by_node.remove(node);
            return;
        }
        by_node.insert(node.to_owned(), rejections);
        while by_node.len() > self.max_nodes {
            by_node.pop_first();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Rejections>> {
        self.by_node.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
