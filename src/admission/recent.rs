//! A table of addresses with a bounded size: entries go when they are older than a window, and the oldest goes
//! when a new one comes to a full table. Order is kept in a queue that is compacted lazily, so that a flood of new
//! addresses costs O(1) amortised a call and never grows the table past its capacity.

use crate::interface::Instant;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Entries by key, each with the time it was last touched.
#[derive(Debug)]
pub struct Recent<K, V> {
    entries: HashMap<K, (Instant, V)>,
    /// Keys in the order in which they were touched; a key may stand here more than once, only its last place counts.
    order: VecDeque<(Instant, K)>,
    capacity: usize,
}

impl<K: Copy + Eq + Hash, V> Recent<K, V> {
    /// An empty table for at most `capacity` entries (at least one).
    pub fn new(capacity: usize) -> Self {
        Recent { entries: HashMap::new(), order: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The most entries held.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Takes a new capacity; entries over it go, oldest first.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
        while self.entries.len() > self.capacity && self.pop_oldest().is_some() {}
    }

    /// An entry and when it was last touched.
    pub fn get(&self, key: &K) -> Option<(Instant, &V)> {
        self.entries.get(key).map(|(at, value)| (*at, value))
    }

    /// An entry to change, without touching it.
    pub fn get_mut(&mut self, key: &K) -> Option<&mut V> {
        self.entries.get_mut(key).map(|(_, value)| value)
    }

    /// The entry of `key`, made by `make` if there is none, touched at `now`. A full table first drops the oldest.
    pub fn touch(&mut self, now: Instant, key: K, make: impl FnOnce() -> V) -> &mut V {
        if !self.entries.contains_key(&key) && self.entries.len() >= self.capacity {
            self.pop_oldest();
        }
        self.order.push_back((now, key));
        if self.order.len() > 2 * self.capacity + 16 {
            self.compact();
        }
        let entry = self.entries.entry(key).or_insert_with(|| (now, make()));
        entry.0 = entry.0.max(now);
        &mut entry.1
    }

    /// Drops the entries last touched before `before`.
    pub fn expire(&mut self, before: Instant) {
        while let Some(&(at, key)) = self.order.front() {
            if at >= before {
                break;
            }
            self.order.pop_front();
            if self.entries.get(&key).is_some_and(|(last, _)| *last == at) {
                self.entries.remove(&key);
            }
        }
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        self.entries.remove(key).map(|(_, value)| value)
    }

    fn pop_oldest(&mut self) -> Option<K> {
        while let Some((at, key)) = self.order.pop_front() {
            if self.entries.get(&key).is_some_and(|(last, _)| *last == at) {
                self.entries.remove(&key);
                return Some(key);
            }
        }
        None
    }

    /// Keeps each key's last place alone.
    fn compact(&mut self) {
        let entries = &self.entries;
        self.order.retain(|(at, key)| entries.get(key).is_some_and(|(last, _)| last == at));
        // Two touches at the same time leave two places: keep the later.
        let mut seen = std::collections::HashSet::new();
        let mut kept: VecDeque<_> =
            self.order.iter().rev().filter(|(_, key)| seen.insert(*key)).copied().collect();
        kept.make_contiguous().reverse();
        self.order = kept;
    }
}
