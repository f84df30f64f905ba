//! All deadlines of the program, in one ordered structure.

use crate::interface::Instant;
use std::collections::BTreeMap;

/// Names one deadline, to take it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineHandle(Instant, u64);

/// Where a part of the program hangs its own kind of deadline, without knowing of the others' kinds.
pub trait Schedule<T> {
    /// Hangs a deadline.
    fn add(&mut self, at: Instant, what: T) -> DeadlineHandle;
    /// Takes a deadline back, if it is not over.
    fn remove(&mut self, handle: DeadlineHandle);
}

/// The deadlines, by time, and at one time in the order in which they were hung.
pub struct Deadlines<D> {
    due: BTreeMap<DeadlineHandle, D>,
    count: u64,
}

impl<D> Default for Deadlines<D> {
    fn default() -> Self {
        Deadlines { due: BTreeMap::new(), count: 0 }
    }
}

impl<D> Deadlines<D> {
    /// When the next one falls.
    pub fn next(&self) -> Option<Instant> {
        self.due.first_key_value().map(|(handle, _)| handle.0)
    }

    /// Takes the next one that has fallen by now.
    pub fn pop(&mut self, now: Instant) -> Option<D> {
        let first = self.due.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }
}

impl<T, D: From<T>> Schedule<T> for Deadlines<D> {
    fn add(&mut self, at: Instant, what: T) -> DeadlineHandle {
        self.count += 1;
        let handle = DeadlineHandle(at, self.count);
        self.due.insert(handle, what.into());
        handle
    }

    fn remove(&mut self, handle: DeadlineHandle) {
        self.due.remove(&handle);
    }
}

#[cfg(test)]
mod tests;
