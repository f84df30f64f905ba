//! The state of one stand-in host: its cached copies, open requests and injected faults.

use super::ids::{ConnectionId, HostId};
use super::line_protocol::{FetchRequest, Item};
use crate::interface::{Instant, Span};
use serde_json::Value;
use std::collections::BTreeMap;

/// A host's place in the hierarchy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// A table cache.
    Cache,
    /// A parent at the hub.
    Parent,
    /// The origin.
    Origin,
}

impl Tier {
    /// Returns the tier of a host in a fleet with this number of caches and parents.
    pub fn of(host: HostId, caches: usize, parents: usize) -> Self {
        match host.0 {
            number if number < caches => Tier::Cache,
            number if number < caches + parents => Tier::Parent,
            _ => Tier::Origin,
        }
    }
}

/// A temporary increase of a host's service times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slowdown {
    /// Factor by which service times are multiplied; 1 leaves them unchanged.
    pub factor: i64,
    /// When the slowdown ends.
    pub until: Instant,
}

/// Received bytes that do not form a complete line yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialInput {
    /// The bytes, in the order in which they were received.
    pub bytes: Vec<u8>,
    /// When the first of the bytes was sent.
    pub first_sent: Instant,
}

/// A stand-in cache, parent or origin.
#[derive(Debug)]
pub struct Host {
    /// Number of transfers at top speed that the host's network link carries at once, whatever weight the
    /// endpoint list states.
    pub capacity: f64,
    /// Name in the endpoint list.
    pub name: String,
    /// Place in the hierarchy, which decides how a miss is filled.
    pub tier: Tier,
    /// Entry in the endpoint list.
    pub entry: Value,
    /// Cached copies, with the time at which the origin handed out each.
    pub copies: BTreeMap<Item, Instant>,
    /// Incomplete input of each open connection. Only the simulator fills it.
    pub partial_inputs: BTreeMap<ConnectionId, PartialInput>,
    /// Requests that have not been answered yet, by connection and request id.
    pub open_requests: BTreeMap<(ConnectionId, String), FetchRequest>,
    /// Latest increase of service times; has no effect once it has ended.
    pub slowdown: Slowdown,
    /// Every request is answered with an error until this time.
    pub fails_until: Instant,
    /// Whether the next answer is replaced by bytes that can't be parsed.
    pub garbles_next_answer: bool,
    /// Whether the next answer is sent twice.
    pub repeats_next_answer: bool,
    /// Whether the host's process is not running.
    pub is_dead: bool,
    /// Last start of the process; `None` if it has been running since before the run.
    pub started: Option<Instant>,
    /// Times of recently received requests while the host was warming up.
    pub warm_up_requests: Vec<Instant>,
}

impl Host {
    /// Returns a host that has been running since before the run, without cached copies.
    pub fn new(tier: Tier, entry: Value) -> Self {
        Host {
            capacity: entry["share"].as_f64().unwrap_or(1.0),
            name: entry["host"].as_str().unwrap_or_default().to_owned(),
            tier,
            entry,
            copies: BTreeMap::new(),
            partial_inputs: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            slowdown: Slowdown { factor: 1, until: Instant::ZERO },
            fails_until: Instant::ZERO,
            garbles_next_answer: false,
            repeats_next_answer: false,
            is_dead: false,
            started: None,
            warm_up_requests: Vec::new(),
        }
    }

    /// Returns when the origin handed out the cached copy that may answer a request; `None` if there is no
    /// copy, or only one older than the request allows.
    pub fn usable_copy(&self, request: &FetchRequest, now: Instant) -> Option<Instant> {
        let handed_out = *self.copies.get(&request.item)?;
        let is_fresh = request.max_age == Span::ZERO || now - handed_out <= request.max_age;
        is_fresh.then_some(handed_out)
    }

    /// Whether another host is needed to answer a request, since it is a write or no cached copy may answer
    /// it.
    pub fn needs_source(&self, request: &FetchRequest, now: Instant) -> bool {
        request.is_write() || self.usable_copy(request, now).is_none()
    }

    /// Whether every request is answered with an error now.
    pub fn fails(&self, now: Instant) -> bool {
        self.fails_until > now
    }

    /// Returns the service time of a request that takes `normal` without a slowdown.
    pub fn service_time(&self, normal: Span, now: Instant) -> Span {
        if self.slowdown.until > now {
            normal * self.slowdown.factor
        } else {
            normal
        }
    }

    /// Restarts the process and sets `born_ms` in the host's entry to the time of the start.
    pub fn restart(&mut self, now: Instant) {
        self.is_dead = false;
        self.started = Some(now);
        self.warm_up_requests.clear();
        self.entry["born_ms"] = unix_ms(now).into();
    }
}

/// Returns an instant as Unix time in milliseconds.
pub fn unix_ms(at: Instant) -> i64 {
    at.as_micros() / 1000
}
