//! Puts rows in the order of time over a bounded span: what comes later than that is not dropped, but moved to the
//! time that has been reached, and counted.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A row with its time and its place in the file, which decides between equal times.
struct Held<T>(i64, u64, T);

impl<T> PartialEq for Held<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl<T> Eq for Held<T> {}

impl<T> PartialOrd for Held<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Held<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// The window. Memory: the rows of one span, `most` at the most.
pub struct Reorder<T> {
    span: i64,
    most: usize,
    held: BinaryHeap<Reverse<Held<T>>>,
    count: u64,
    newest: i64,
    /// The time of the last row given out: nothing goes before it.
    reached: i64,
    /// Rows that came before one with a smaller time and were put in order.
    pub reordered: u64,
    /// Rows that came too late for that and were moved to the time reached.
    pub moved: u64,
    /// By how much at the most, us.
    pub moved_most: i64,
}

impl<T> Reorder<T> {
    /// Orders over a span, us, and holds so many rows at the most.
    pub fn new(span: i64, most: usize) -> Self {
        let (newest, reached) = (i64::MIN, i64::MIN);
        let held = BinaryHeap::new();
        Reorder {
            span,
            most: most.max(1),
            held,
            count: 0,
            newest,
            reached,
            reordered: 0,
            moved: 0,
            moved_most: 0,
        }
    }

    /// Takes a row, and gives one that surely is next, if there is one.
    pub fn push(&mut self, at: i64, row: T) -> Option<(i64, T)> {
        let mut time = at;
        if at < self.reached {
            self.moved += 1;
            self.moved_most = self.moved_most.max(self.reached - at);
            time = self.reached;
        } else if at < self.newest {
            self.reordered += 1;
        }
        self.newest = self.newest.max(at);
        self.count += 1;
        self.held.push(Reverse(Held(time, self.count, row)));
        self.ready()
    }

    /// One more that surely is next: the window has passed it, or holds too many.
    pub fn ready(&mut self) -> Option<(i64, T)> {
        let first = self.held.peek()?.0 .0;
        let passed = first <= self.newest.saturating_sub(self.span);
        if passed || self.held.len() > self.most {
            self.pop()
        } else {
            None
        }
    }

    /// The rest, in order, once the file is over.
    pub fn pop(&mut self) -> Option<(i64, T)> {
        let Reverse(Held(at, _, row)) = self.held.pop()?;
        self.reached = at;
        Some((at, row))
    }
}

#[cfg(test)]
mod tests;
