//! Puts rows in order of time over a bounded span. A row that comes later than that is not dropped: it is moved to the
//! time of the last released row, and counted.

use crate::interface::{Instant, Span};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A row in the window. Rows are ordered by time, rows of equal time by their order in the file.
struct HeldRow<T> {
    at: Instant,
    /// Number of the row in the order of the file.
    row_number: u64,
    row: T,
}

impl<T> HeldRow<T> {
    fn key(&self) -> (Instant, u64) {
        (self.at, self.row_number)
    }
}

impl<T> PartialEq for HeldRow<T> {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl<T> Eq for HeldRow<T> {}

impl<T> PartialOrd for HeldRow<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for HeldRow<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// A window over the newest rows. It holds the rows of one span, and at most `max_held` of them if the caller calls
/// [`ReorderWindow::pop_ready`] after each row until it returns `None`.
pub struct ReorderWindow<T> {
    span: Span,
    max_held: usize,
    held: BinaryHeap<Reverse<HeldRow<T>>>,
    /// Number of rows that were pushed.
    pushed: u64,
    /// The latest time of a pushed row.
    newest: Instant,
    /// The time of the last released row. Later releases never have an earlier time.
    last_released: Instant,
    /// Number of rows that came after a row of a later time and were put in order.
    pub reordered: u64,
    /// Number of rows that came too late to be reordered and were moved to the time of the last released row.
    pub moved: u64,
    /// The largest span by which a row was moved; zero if none was.
    pub max_moved: Span,
}

impl<T> ReorderWindow<T> {
    /// Returns an empty window that orders rows over `span` and releases the first row when it holds more than
    /// `max_held`.
    pub fn new(span: Span, max_held: usize) -> Self {
        ReorderWindow {
            span,
            max_held: max_held.max(1),
            held: BinaryHeap::new(),
            pushed: 0,
            newest: Instant::MIN,
            last_released: Instant::MIN,
            reordered: 0,
            moved: 0,
            max_moved: Span::ZERO,
        }
    }

    /// Adds the next row of the file.
    pub fn push(&mut self, at: Instant, row: T) {
        if at < self.last_released {
            self.moved += 1;
            self.max_moved = self.max_moved.max(self.last_released - at);
        } else if at < self.newest {
            self.reordered += 1;
        }
        self.newest = self.newest.max(at);
        self.pushed += 1;
        self.held.push(Reverse(HeldRow { at: at.max(self.last_released), row_number: self.pushed, row }));
    }

    /// Releases the first row if the newest one is at least a span later, or if the window holds too many rows.
    pub fn pop_ready(&mut self) -> Option<(Instant, T)> {
        let Reverse(first) = self.held.peek()?;
        let passed = first.at <= self.newest.saturating_add(-self.span);
        if passed || self.held.len() > self.max_held {
            self.pop()
        } else {
            None
        }
    }

    /// Releases the first row. Called until the window is empty after the end of the file.
    pub fn pop(&mut self) -> Option<(Instant, T)> {
        let Reverse(HeldRow { at, row, .. }) = self.held.pop()?;
        self.last_released = at;
        Some((at, row))
    }
}

#[cfg(test)]
mod tests;
