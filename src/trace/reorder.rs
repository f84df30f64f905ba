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
mod tests {
    use super::*;

    fn all(span: i64, most: usize, times: &[i64]) -> (Vec<i64>, [u64; 2], i64) {
        let mut window = Reorder::new(span, most);
        let mut out = Vec::new();
        for at in times {
            out.extend(window.push(*at, *at).map(|(at, _)| at));
            out.extend(std::iter::from_fn(|| window.ready()).map(|(at, _)| at));
        }
        out.extend(std::iter::from_fn(|| window.pop()).map(|(at, _)| at));
        (out, [window.reordered, window.moved], window.moved_most)
    }

    #[test]
    fn rows_come_in_order_and_none_is_lost() {
        assert_eq!(all(10, 99, &[5, 3, 4, 20, 18, 40]), (vec![3, 4, 5, 18, 20, 40], [3, 0], 0));
        // 3 comes when 20 has been given out: it is moved there, and told.
        assert_eq!(all(10, 99, &[5, 20, 40, 3]), (vec![5, 20, 20, 40], [0, 1], 17));
        assert_eq!(all(0, 99, &[2, 1, 3]), (vec![2, 2, 3], [0, 1], 1));
        // A window that is full gives out what it would rather keep.
        assert_eq!(all(1000, 2, &[5, 6, 7, 1]), (vec![5, 5, 6, 7], [0, 1], 4));
    }

    #[test]
    fn whatever_the_order_times_never_go_back_and_all_come_out() {
        for seed in 0..200_u64 {
            let mut state = seed;
            let mut draw = |n: u64| {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (state >> 33) % n
            };
            let times: Vec<i64> = (0..200).map(|n| n * 3 + draw(50) as i64).collect();
            let (out, [reordered, moved], most) = all(draw(60) as i64, 1 + draw(40) as usize, &times);
            assert_eq!(out.len(), times.len());
            assert!(out.windows(2).all(|pair| pair[0] <= pair[1]), "seed {seed}");
            let straight = times.windows(2).filter(|pair| pair[1] < pair[0]).count() as u64;
            assert!(reordered + moved >= straight && (moved == 0) == (most == 0), "seed {seed}");
        }
    }
}
