//! One stand-in host: its copies, its open requests, and the faults that it shows.

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
    /// The tier of a host in a fleet of so many caches and parents.
    pub fn of(host: HostId, caches: usize, parents: usize) -> Self {
        match host.0 {
            number if number < caches => Tier::Cache,
            number if number < caches + parents => Tier::Parent,
            _ => Tier::Origin,
        }
    }
}

/// Multiplies a host's service times for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slowdown {
    /// How many times as long requests take.
    pub factor: i64,
    /// When it ends.
    pub until: Instant,
}

/// Received bytes that are no complete line yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartialInput {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// When the first of them was sent.
    pub first_sent: Instant,
}

/// A stand-in cache, parent or origin.
#[derive(Debug)]
pub struct Host {
    /// Full-pace answers that its link bears, whatever the endpoint list states.
    pub capacity: f64,
    /// Its name in the endpoint list.
    pub name: String,
    /// Its tier.
    pub tier: Tier,
    /// Its entry in the endpoint list.
    pub entry: Value,
    /// When the origin handed out each cached copy.
    pub copies: BTreeMap<Item, Instant>,
    /// Unread input by connection.
    pub partial_inputs: BTreeMap<ConnectionId, PartialInput>,
    /// Open requests, by connection and id.
    pub open_requests: BTreeMap<(ConnectionId, String), FetchRequest>,
    /// Requests take longer for a while.
    pub slowdown: Slowdown,
    /// Every answer is an error until then.
    pub fails_until: Instant,
    /// The next answer can't be read.
    pub garbles_next_answer: bool,
    /// The next answer comes twice.
    pub repeats_next_answer: bool,
    /// Its process is not running.
    pub dead: bool,
    /// Its last start, if that was within this run.
    pub started: Option<Instant>,
    /// When it received requests of late while it was warming up.
    pub warm_up_requests: Vec<Instant>,
}

impl Host {
    /// A host that has been up since before the run.
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
            dead: false,
            started: None,
            warm_up_requests: Vec::new(),
        }
    }

    /// When the origin handed out the cached copy that answers a request, if there is one.
    pub fn usable_copy(&self, request: &FetchRequest, now: Instant) -> Option<Instant> {
        let handed_out = *self.copies.get(&request.item)?;
        let is_fresh = request.max_age == Span::ZERO || now - handed_out <= request.max_age;
        is_fresh.then_some(handed_out)
    }

    /// Whether a request needs another host: it writes, or no cached copy answers it.
    pub fn needs_source(&self, request: &FetchRequest, now: Instant) -> bool {
        request.is_write() || self.usable_copy(request, now).is_none()
    }

    /// Whether it answers everything with an error.
    pub fn fails(&self, now: Instant) -> bool {
        self.fails_until > now
    }

    /// How long a request takes that usually takes this long.
    pub fn service_time(&self, normal: Span, now: Instant) -> Span {
        if self.slowdown.until > now {
            normal * self.slowdown.factor
        } else {
            normal
        }
    }

    /// Starts the process anew: its entry states the start in milliseconds of Unix time.
    pub fn restart(&mut self, now: Instant) {
        self.dead = false;
        self.started = Some(now);
        self.warm_up_requests.clear();
        self.entry["born_ms"] = unix_ms(now).into();
    }
}

/// What a clock of Unix time reads at an instant, in milliseconds.
pub fn unix_ms(at: Instant) -> i64 {
    at.as_micros() / 1000
}
