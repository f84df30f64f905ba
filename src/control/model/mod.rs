//! The model: computes what other proxies are sent from the decisions of the decision module, as a snapshot of each
//! point with versions that only grow.
//!
//! Each point has its own [`Router`](crate::Router), which gets the endpoint list and the purges as that of an edge
//! proxy there would. A cache's weight is its [`capacity`](crate::Router::capacities) in that router. A hot object's
//! caches and fill sources are found by passing requests for the object to the router. The model uses no socket and no
//! clock: events and times are passed in.

mod endpoints;
mod hot;
mod point;
mod purges;
mod registry;
mod routes;
mod site;

use super::clock::Moment;
use super::debounce::Urgency;
use super::settings::ControlSettings;
use super::snapshot::Snapshot;
use super::version::{Epoch, PollNumber, Sequence};
use crate::config::events::{self, FeedBatch};
use crate::config::settings::SiteSettings;
use crate::interface::{GroupId, Instant, ObjectId, Purge, Settings, Span, UnixTime, ZoneId};
use crate::SettingsError;
pub use hot::HotError;
use hot::{hot_objects, HotObject};
use point::Point;
use purges::PurgeLog;
use registry::ServerRegistry;
pub use site::EncodeFn;
use site::Site;
use std::sync::Arc;

/// The interval at which the weights of caches that are warming up are computed again.
const WARM_UP_STEP: Span = Span::from_secs(1);

/// Why a model cannot be created or changed.
#[derive(Debug, thiserror::Error)]
pub enum ModelError {
    /// A router cannot be created from the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The file names hot objects of a class that is not defined or never cached.
    #[error(transparent)]
    Hot(#[from] HotError),
}

/// The state from which snapshots are made.
pub struct Model {
    site: Site,
    registry: ServerRegistry,
    points: Vec<Point>,
    hot: Vec<HotObject>,
    purges: PurgeLog,
    epoch: Epoch,
    sequence: Sequence,
    /// The interval at which the routers are queried for the caches of hot objects.
    refresh: Span,
    refresh_at: Instant,
    /// When the weights of caches that are warming up are computed next; `None` if no server is warming up.
    warm_up_at: Option<Instant>,
    next_request: u64,
}

impl Model {
    /// Creates a model without any events. `epoch` identifies this run of the service and must differ between runs.
    ///
    /// # Errors
    ///
    /// Returns an error if a router cannot be created from the settings, or if a hot object's class is not defined or
    /// never cached.
    pub fn new(
        parsed: SiteSettings,
        seed: u64,
        control: &ControlSettings,
        encode: EncodeFn,
        epoch: Epoch,
        now: Instant,
    ) -> Result<Self, ModelError> {
        let SiteSettings { policy: settings, program: names } = parsed;
        let hot = hot_objects(&settings, &names, control)?;
        let points = points(&settings, seed, now)?;
        // A purge is announced until all servers have dropped older copies, and for the same time again as a margin.
        let purges = PurgeLog::new(2 * settings.protection.purge_settled_after);
        Ok(Model {
            site: Site { settings, names, encode },
            registry: ServerRegistry::default(),
            points,
            hot,
            purges,
            epoch,
            sequence: Sequence(0),
            refresh: control.refresh.into(),
            refresh_at: now,
            warm_up_at: None,
            next_request: 0,
        })
    }

    /// Replaces the hot objects, for a reload on SIGHUP. The routers are queried for the new ones at the next tick.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if a hot object's class is not defined or never cached.
    pub fn set_hot_objects(&mut self, now: Instant, control: &ControlSettings) -> Result<(), ModelError> {
        self.hot = hot_objects(&self.site.settings, &self.site.names, control)?;
        self.refresh = control.refresh.into();
        self.refresh_at = now;
        Ok(())
    }

    /// Applies events of the control feed. Returns how soon the changes have to be published.
    pub fn apply(&mut self, moment: Moment, batch: &FeedBatch) -> Urgency {
        let mut urgency = Urgency::None;
        for event in &batch.events {
            if let Some(members) = &event.members {
                urgency = urgency.max(self.apply_members(moment, members));
            }
            if let Some(purge) = &event.purge {
                urgency = urgency.max(self.apply_purge(moment, purge));
            }
        }
        urgency
    }

    fn apply_members(&mut self, moment: Moment, members: &events::ListChange) -> Urgency {
        let change = self.registry.apply(moment, members, &self.site.names);
        for point in &mut self.points {
            point.apply_members(moment.now, &change);
        }
        // Asks for the hot objects again at once, since the routers immediately replace delegates on servers that left.
        self.refresh_at = self.refresh_at.min(moment.now);
        self.warm_up_at = Some(moment.now);
        if change.lost_ready {
            Urgency::Now
        } else {
            Urgency::Soon
        }
    }

    fn apply_purge(&mut self, moment: Moment, event: &events::FeedPurge) -> Urgency {
        let Some(purge) = parse_purge(event) else { return Urgency::None };
        let made_at = UnixTime::from_micros((event.at * 1000.0) as i64);
        self.purges.record(moment, purge, made_at);
        for point in &mut self.points {
            point.apply_purge(moment.now, purge, moment.age_of(made_at));
        }
        Urgency::Now
    }

    /// Returns when [`Self::tick`] is due next; [`Instant::MAX`] if nothing is scheduled.
    pub fn due(&self) -> Instant {
        let refresh_at = if self.hot.is_empty() { Instant::MAX } else { self.refresh_at };
        let warm_up_at = self.warm_up_at.unwrap_or(Instant::MAX);
        refresh_at.min(warm_up_at).min(self.purges.due())
    }

    /// Applies the changes that are due by time: caches warm up, hot objects' delegates expire, purges expire. Returns
    /// how soon the changes have to be published.
    pub fn tick(&mut self, now: Instant) -> Urgency {
        let warmed_up = self.tick_warm_up(now);
        let refreshed = self.tick_hot(now);
        let expired = self.purges.expire(now);
        if warmed_up || refreshed || expired {
            Urgency::Soon
        } else {
            Urgency::None
        }
    }

    fn tick_warm_up(&mut self, now: Instant) -> bool {
        if self.warm_up_at.is_none_or(|at| at > now) {
            return false;
        }
        let rules = &self.site.settings.protection;
        let warm_after = rules.cache_slow_start.full_after.max(rules.parent_slow_start.full_after);
        let warming_up = self.registry.any_started_after(now - warm_after);
        self.warm_up_at = warming_up.then_some(now + WARM_UP_STEP);
        true
    }

    fn tick_hot(&mut self, now: Instant) -> bool {
        if self.hot.is_empty() || self.refresh_at > now {
            return false;
        }
        self.refresh_at = now + self.refresh;
        for point in &mut self.points {
            point.refresh_hot_objects(now, &self.hot, &self.site.settings.classes, &mut self.next_request);
        }
        true
    }

    /// Makes a snapshot of all points now. `answered_poll` is the newest poll of the feed that was answered. Versions
    /// grow only where the content differs from the previous snapshot.
    pub fn snapshot(&mut self, now: Instant, answered_poll: PollNumber) -> Snapshot {
        for point in &mut self.points {
            let contents = point.contents(now, &self.site, &self.registry, &self.hot, &self.purges);
            self.sequence = point.publish(contents, self.sequence, self.site.encode);
        }
        let published = |point: &Point| (self.site.zone_name(point.zone), Arc::clone(&point.published));
        let points = self.points.iter().map(published).collect();
        Snapshot { epoch: self.epoch, sequence: self.sequence, answered_poll, points }
    }
}

/// Creates the points: one for each zone that has routers.
fn points(settings: &Settings, seed: u64, now: Instant) -> Result<Vec<Point>, SettingsError> {
    let mut points = Vec::new();
    for (zone, routers) in settings.topology.routers_by_zone.iter().enumerate() {
        if *routers > 0 {
            points.push(Point::new(ZoneId(zone as u16), settings, seed, now)?);
        }
    }
    Ok(points)
}

/// Returns the object or group that a purge event names; `None` if it names neither.
fn parse_purge(event: &events::FeedPurge) -> Option<Purge> {
    let object = event.key.as_ref().and_then(|key| u64::from_str_radix(key, 16).ok());
    let object = object.map(|object| Purge::Object(ObjectId(object)));
    object.or_else(|| event.group.map(|group| Purge::Group(GroupId(group))))
}
