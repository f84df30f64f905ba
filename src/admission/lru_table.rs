//! A table of bounded size that drops the least recently touched entry when a new key is added to a full
//! table. Entries that were not touched for some time can be dropped too. The order is kept in a queue that
//! is compacted lazily, so each call costs amortised O(1) even in a flood of new keys.

use crate::interface::Instant;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::Hash;

/// Number of places that the queue may have in addition to twice the capacity, so that small tables are not
/// compacted at every call.
const QUEUE_SLACK: usize = 16;

/// The value of an entry, and when the entry was last touched.
#[derive(Debug)]
struct Entry<V> {
    touched_at: Instant,
    value: V,
}

/// The place of a key in the queue. It is stale if the key was touched again later.
#[derive(Clone, Copy, Debug)]
struct Touch<K> {
    at: Instant,
    key: K,
}

/// A table that holds the most recently touched entries.
#[derive(Debug)]
pub(super) struct LruTable<K, V> {
    entries: HashMap<K, Entry<V>>,
    /// Keys in the order in which they were touched. Only the last place of a key is valid.
    order: VecDeque<Touch<K>>,
    capacity: usize,
}

impl<K: Copy + Eq + Hash, V> LruTable<K, V> {
    /// Returns an empty table for at most `capacity` entries. A capacity of 0 is raised to 1.
    pub(super) fn new(capacity: usize) -> Self {
        LruTable { entries: HashMap::new(), order: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has an entry for a key.
    pub(super) fn contains(&self, key: &K) -> bool {
        self.entries.contains_key(key)
    }

    /// Sets the capacity. Entries that exceed it are dropped, the least recently touched first.
    pub(super) fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity.max(1);
        while self.entries.len() > self.capacity && self.pop_oldest().is_some() {}
    }

    /// Touches the entry of a key and returns its value. If there is no entry, one is added with the value of
    /// `make`; a full table first drops the least recently touched entry.
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

    /// Drops the entry of a key if it was not touched again since `touch`. Returns whether it was dropped.
    fn drop_unless_stale(&mut self, touch: Touch<K>) -> bool {
        let is_last = self.entries.get(&touch.key).is_some_and(|entry| entry.touched_at == touch.at);
        if is_last {
            self.entries.remove(&touch.key);
        }
        is_last
    }

    /// Removes the stale places from the queue.
    fn compact(&mut self) {
        let entries = &self.entries;
        self.order.retain(|touch| entries.get(&touch.key).is_some_and(|entry| entry.touched_at == touch.at));
        // Two touches at the same time leave two places that look valid. Only the later one is kept.
        let mut seen = HashSet::new();
        let mut kept: VecDeque<_> =
            self.order.iter().rev().filter(|touch| seen.insert(touch.key)).copied().collect();
        kept.make_contiguous().reverse();
        self.order = kept;
    }
}
