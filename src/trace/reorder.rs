//! Puts rows in the order of time over a bounded span: what comes later than that is not dropped, but moved to the
//! time that has been reached, and counted.

use crate::interface::{Instant, Span};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A row that is held back.
struct HeldRow<T> {
    at: Instant,
    /// Its place in the file, which decides between equal times.
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

/// The window. Memory: the rows of one span, bounded by the most that it holds.
pub struct ReorderWindow<T> {
    span: Span,
    max_held: usize,
    held: BinaryHeap<Reverse<HeldRow<T>>>,
    /// Rows so far.
    pushed: u64,
    /// The latest time so far.
    newest: Instant,
    /// The time of the last row given out: nothing goes before it.
    last_released: Instant,
    /// Rows that came before one with a smaller time and were put in order.
    pub reordered: u64,
    /// Rows that came too late for that and were moved to the time reached.
    pub moved: u64,
    /// By how much at the most.
    pub max_moved: Span,
}

impl<T> ReorderWindow<T> {
    /// Orders over a span and holds so many rows at the most.
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

    /// Takes a row.
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

    /// A row that surely is next, if there is one: the window has passed it, or holds too many.
    pub fn pop_ready(&mut self) -> Option<(Instant, T)> {
        let Reverse(first) = self.held.peek()?;
        let passed = first.at <= self.newest.saturating_add(-self.span);
        if passed || self.held.len() > self.max_held {
            self.pop()
        } else {
            None
        }
    }

    /// The rest, in order, once the file is over.
    pub fn pop(&mut self) -> Option<(Instant, T)> {
        let Reverse(HeldRow { at, row, .. }) = self.held.pop()?;
        self.last_released = at;
        Some((at, row))
    }
}

#[cfg(test)]
mod tests;
