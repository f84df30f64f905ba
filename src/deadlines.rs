//! All deadlines of the program, ordered by time.

use crate::interface::Instant;
use std::collections::BTreeMap;

/// Identifies one deadline, so that it can be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeadlineHandle(Instant, u64);

/// Adds and removes deadlines of one kind. Each part of the program uses it for its own kind and does not
/// depend on the kinds of the other parts.
pub trait Schedule<T> {
    /// Adds a deadline at a time.
    fn add(&mut self, at: Instant, what: T) -> DeadlineHandle;
    /// Removes a deadline; does nothing if it has passed and was taken already.
    fn remove(&mut self, handle: DeadlineHandle);
}

/// The deadlines, ordered by time; those at the same time are in the order in which they were added.
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
    /// Returns the time of the next deadline; `None` if there is none.
    pub fn next(&self) -> Option<Instant> {
        self.due.first_key_value().map(|(handle, _)| handle.0)
    }

    /// Removes and returns the next deadline that has passed by `now`; `None` if none has.
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
