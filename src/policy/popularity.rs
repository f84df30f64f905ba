//! The popular directory: counts of recent requests by object, and the delegates of popular objects.

use super::timing::PROBE_INTERVAL;
use crate::{
    interface::{Instant, Request, ServerId, Span},
    splitmix64::mix,
};
use std::collections::BTreeMap;

/// Maximum number of objects that the directory counts.
const MAX_OBJECTS: usize = 4096;
/// Interval at which counts are halved (docs/design.md).
const HALVING_INTERVAL: Span = Span::from_secs(10);
/// One in this many counted objects is popular: the top 1% (docs/design.md).
const POPULAR_DIVISOR: usize = 100;
/// Minimum threshold for popularity, however few objects are counted.
const MIN_THRESHOLD: u32 = 4;
/// Maximum number of delegates that a router starts for one object (docs/design.md).
const MAX_DELEGATES: usize = 2;
/// Time after which a delegate expires (docs/design.md).
const DELEGATE_LIFETIME: Span = Span::from_secs(30);

/// Identifies what a cache stores as one unit: an object, or one part of it.
pub type ObjectKey = u64;

/// Returns the key of the object, or part of it, that a request asks for.
pub fn object_key(request: &Request) -> ObjectKey {
    request.object.0 ^ if request.part > 0 { mix(u64::from(request.part)) } else { 0 }
}

/// A cache that serves a popular object in addition to its home.
pub struct Delegate {
    pub server: ServerId,
    /// Number of requests sent to it; starts at the smallest count of the other delegates.
    distribute_count: u32,
    expires: Instant,
}

/// A counted object.
#[derive(Default)]
pub struct PopularObject {
    pub count: u32,
    /// No delegate is started before this time: one is being started, or one has failed.
    no_new_delegate_until: Instant,
    pub delegates: Vec<Delegate>,
}

impl PopularObject {
    /// Returns the delegates that have not expired.
    pub fn live_delegates(&self, now: Instant) -> Vec<&Delegate> {
        self.delegates.iter().filter(|delegate| delegate.expires > now).collect()
    }

    /// Counts a request that is sent to a delegate, or to a cache that is to become one.
    pub fn on_delegated(&mut self, now: Instant, server: ServerId) {
        match self.delegates.iter_mut().find(|delegate| delegate.server == server) {
            Some(known) => known.distribute_count += 1,
            None => self.no_new_delegate_until = now + PROBE_INTERVAL, // one at a time is started
        }
    }

    /// Records the end of an attempt at a delegate. If it was served, the cache becomes or stays a delegate;
    /// otherwise it is removed.
    pub fn on_delegate_ended(&mut self, now: Instant, server: ServerId, served: bool) {
        if !served {
            self.delegates.retain(|delegate| delegate.server != server);
            self.no_new_delegate_until = now + PROBE_INTERVAL;
        } else if self.delegates.iter().all(|delegate| delegate.server != server) {
            let distribute_count =
                self.delegates.iter().map(|delegate| delegate.distribute_count).min().unwrap_or(0);
            self.delegates.push(Delegate { server, distribute_count, expires: now + DELEGATE_LIFETIME });
            self.no_new_delegate_until = now;
        }
    }
}

/// Returns the servers of those delegates that have the smallest distribute count.
pub fn least_distributed(delegates: &[&Delegate]) -> Vec<ServerId> {
    let Some(least) = delegates.iter().map(|delegate| delegate.distribute_count).min() else {
        return Vec::new();
    };
    let has_least = |delegate: &&&Delegate| delegate.distribute_count == least;
    delegates.iter().filter(has_least).map(|delegate| delegate.server).collect()
}

/// The counted objects, and the count above which an object is popular.
pub struct PopularDirectory {
    objects: BTreeMap<ObjectKey, PopularObject>,
    threshold: u32,
    halve_at: Instant,
}

impl PopularDirectory {
    pub fn new(now: Instant) -> Self {
        let objects = BTreeMap::new();
        PopularDirectory { objects, threshold: MIN_THRESHOLD, halve_at: now + HALVING_INTERVAL }
    }

    /// A counted object.
    pub fn get(&self, object: ObjectKey) -> Option<&PopularObject> {
        self.objects.get(&object)
    }

    pub fn get_mut(&mut self, object: ObjectKey) -> Option<&mut PopularObject> {
        self.objects.get_mut(&object)
    }

    /// Returns the number of recent requests for an object.
    pub fn count_of(&self, object: ObjectKey) -> u32 {
        self.objects.get(&object).map_or(0, |entry| entry.count)
    }

    /// Counts a request. If the directory is full, a new object replaces the one with the smallest count.
    pub fn count(&mut self, object: ObjectKey) {
        if self.objects.len() >= MAX_OBJECTS && !self.objects.contains_key(&object) {
            let least = self.objects.iter().min_by_key(|(_, entry)| entry.count).map(|(object, _)| *object);
            least.and_then(|object| self.objects.remove(&object));
        }
        self.objects.entry(object).or_default().count += 1;
    }

    /// Whether another delegate may be started for an object.
    pub fn wants_delegate(&self, now: Instant, entry: &PopularObject) -> bool {
        let live = entry.live_delegates(now).len();
        entry.no_new_delegate_until <= now && entry.count > self.threshold && live < MAX_DELEGATES
    }

    /// Drops the delegates that are not in the list of ready caches.
    pub fn retain_delegates(&mut self, caches: &[ServerId]) {
        for entry in self.objects.values_mut() {
            entry.delegates.retain(|delegate| caches.contains(&delegate.server));
        }
    }

    /// Halves the counts when that is due, updates the threshold, and drops expired delegates.
    pub fn upkeep(&mut self, now: Instant) {
        if now >= self.halve_at {
            self.halve_at = now + HALVING_INTERVAL;
            self.objects.values_mut().for_each(|entry| entry.count /= 2);
            self.objects.retain(|_, entry| entry.count > 0 || !entry.delegates.is_empty());
        }
        let mut counts: Vec<u32> = self.objects.values().map(|entry| entry.count).collect();
        counts.sort_unstable_by(|a, b| b.cmp(a));
        let popular = counts.get(counts.len() / POPULAR_DIVISOR).copied().unwrap_or(0);
        self.threshold = popular.max(MIN_THRESHOLD);
        self.objects.values_mut().for_each(|entry| entry.delegates.retain(|d| d.expires > now));
    }
}
