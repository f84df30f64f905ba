//! A table of bounded size: entries are dropped when they were not touched for a window, and the oldest is dropped when
//! a new one comes to a full table. The order is kept in a queue that is compacted lazily, so a flood of new keys costs
//! O(1) amortised a call.

use crate::interface::Instant;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;

/// Stale places that the queue may hold beyond the capacity, so that small tables are not compacted at every call.
const QUEUE_SLACK: usize = 16;

/// An entry's value, and when it was last touched.
#[derive(Debug)]
struct Entry<V> {
    touched_at: Instant,
    value: V,
}

/// A key's place in the queue; it is stale if the key was touched again.
#[derive(Clone, Copy, Debug)]
struct Touch<K> {
    at: Instant,
    key: K,
}

/// A table that holds its most recently touched entries.
#[derive(Debug)]
pub(super) struct LruTable<K, V> {
    entries: HashMap<K, Entry<V>>,
    /// Keys in the order in which they were touched; only the last place of a key counts.
    order: VecDeque<Touch<K>>,
    capacity: usize,
}

impl<K: Copy + Eq + Hash, V> LruTable<K, V> {
    /// An empty table for at most `capacity` entries (at least one).
    pub(super) fn new(capacity: usize) -> Self {
        LruTable { entries: HashMap::new(), order: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// How many entries there are.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is an entry of a key.
    pub(super) fn contains(&self, key: &K) -> bool {
        self.entries.contains_key(key)
    }

    /// Sets the capacity; entries over it are dropped, the oldest first.
    pub(super) fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
        while self.entries.len() > self.capacity && self.pop_oldest().is_some() {}
    }

    /// Touches the entry of a key, made by `make` if there is none. A full table first drops its oldest entry.
    pub(super) fn touch(&mut self, now: Instant, key: K, make: impl FnOnce() -> V) -> &mut V {
        if !self.entries.contains_key(&key) && self.entries.len() >= self.capacity {
            self.pop_oldest();
        }
        self.order.push_back(Touch { at: now, key });
        if self.order.len() > 2 * self.capacity + QUEUE_SLACK {
            self.compact();
        }
        let entry = self.entries.entry(key).or_insert_with(|| Entry { touched_at: now, value: make() });
        entry.touched_at = entry.touched_at.max(now);
        &mut entry.value
    }

    /// Drops the entries that were last touched before an instant.
    pub(super) fn expire(&mut self, before: Instant) {
        while self.order.front().is_some_and(|first| first.at < before) {
            if let Some(touch) = self.order.pop_front() {
                self.drop_unless_stale(touch);
            }
        }
    }

    fn pop_oldest(&mut self) -> Option<K> {
        while let Some(touch) = self.order.pop_front() {
            if self.drop_unless_stale(touch) {
                return Some(touch.key);
            }
        }
        None
    }

    /// Drops a key's entry if it was not touched again. Returns whether it was dropped.
    fn drop_unless_stale(&mut self, touch: Touch<K>) -> bool {
        let is_last = self.entries.get(&touch.key).is_some_and(|entry| entry.touched_at == touch.at);
        if is_last {
            self.entries.remove(&touch.key);
        }
        is_last
    }

    /// Drops the stale places of the queue.
    fn compact(&mut self) {
        let entries = &self.entries;
        self.order.retain(|touch| entries.get(&touch.key).is_some_and(|entry| entry.touched_at == touch.at));
        // Two touches at the same time leave two places: keep the later.
        let mut seen = HashSet::new();
        let mut kept: VecDeque<_> =
            self.order.iter().rev().filter(|touch| seen.insert(touch.key)).copied().collect();
        kept.make_contiguous().reverse();
        self.order = kept;
    }
}
