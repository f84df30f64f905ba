//! A point: its router and the resources that are published for its clients.

use super::hot::{placement, HotObject, Placement};
use super::purges::PurgeLog;
use super::registry::{ListChange, ServerRegistry};
use super::site::{EncodeFn, Site};
use crate::control::resource::{Content, PerType, Resource, ResourceType};
use crate::control::snapshot::{PointSnapshot, ResourceSet};
use crate::control::version::Sequence;
use crate::interface::{Class, Event, Instant, Purge, ServerId, Settings, Span, Topology, ZoneId};
use crate::{Router, SettingsError};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The contents of a point's resources, by type and name.
pub(super) type Contents = PerType<BTreeMap<String, Content>>;

/// A zone that has edge proxies.
pub(super) struct Point {
    pub(super) zone: ZoneId,
    pub(super) router: Router,
    /// The resources as they were published last.
    pub(super) published: Arc<PointSnapshot>,
    pub(super) placements: BTreeMap<HotObject, Placement>,
    /// The weights of the caches as they were published last.
    pub(super) weights: BTreeMap<ServerId, u32>,
}

impl Point {
    /// Creates a point whose router has received no event.
    pub(super) fn new(
        zone: ZoneId,
        settings: &Settings,
        seed: u64,
        now: Instant,
    ) -> Result<Self, SettingsError> {
        let topology = Topology { zone, ..settings.topology.clone() };
        let router = Router::new(Settings { topology, ..settings.clone() }, seed, now)?;
        Ok(Point {
            zone,
            router,
            published: Arc::default(),
            placements: BTreeMap::new(),
            weights: BTreeMap::new(),
        })
    }

    /// Passes a change of the endpoint list to the router.
    pub(super) fn apply_members(&mut self, now: Instant, change: &ListChange) {
        let event = Event::EndpointList { update: change.kind, endpoints: change.entries.clone() };
        self.router.handle(now, event, &mut Vec::new());
    }

    /// Passes a purge to the router; `age` is how long ago it was made.
    pub(super) fn apply_purge(&mut self, now: Instant, purge: Purge, age: Span) {
        self.router.handle(now, Event::Purged { purge, age }, &mut Vec::new());
    }

    /// Asks the router again for the placement of each hot object.
    pub(super) fn refresh_hot_objects(
        &mut self,
        now: Instant,
        hot: &[HotObject],
        classes: &[Class],
        next_request: &mut u64,
    ) {
        // Lets the router update its popularity thresholds and remove expired delegates.
        self.router.handle(now, Event::Timer(0), &mut Vec::new());
        self.placements.clear();
        for object in hot {
            let placement = placement(&mut self.router, now, *object, classes, next_request);
            self.placements.extend(placement.map(|placement| (*object, placement)));
        }
    }

    /// Returns the current contents of all resources.
    pub(super) fn contents(
        &mut self,
        now: Instant,
        site: &Site,
        registry: &ServerRegistry,
        hot: &[HotObject],
        purges: &PurgeLog,
    ) -> Contents {
        let name = site.zone_name(self.zone);
        let caches = format!("cache/{name}");
        let fill = format!("fill/{name}");
        let mut contents = Contents::default();

        let connect_timeout = site.names.connect_timeout;
        let clusters = contents.get_mut(ResourceType::Clusters);
        clusters.insert(caches.clone(), Content::Cluster { hashed: true, connect_timeout });
        clusters.insert(fill.clone(), Content::Cluster { hashed: false, connect_timeout });

        let endpoints = contents.get_mut(ResourceType::Endpoints);
        endpoints.insert(caches.clone(), Content::Endpoints(vec![self.cache_endpoints(now, site, registry)]));
        endpoints.insert(fill.clone(), Content::Endpoints(self.fill_levels(site, registry)));

        let routes = self.routes(site, registry, hot, purges);
        let routes = Content::Routes { cluster: caches, fill, routes };
        contents.get_mut(ResourceType::Routes).insert(format!("routes/{name}"), routes);
        contents
    }

    /// Publishes contents: each type that differs from what was published last gets the next sequence number. Returns
    /// the last sequence number in use.
    pub(super) fn publish(
        &mut self,
        contents: Contents,
        mut sequence: Sequence,
        encode: EncodeFn,
    ) -> Sequence {
        let mut published = PointSnapshot::clone(&self.published);
        let mut changed = false;
        for (resource_type, contents) in contents {
            let known = published.types.get_mut(resource_type);
            if let Some(next) = updated_set(known, contents, sequence.next(), encode) {
                sequence = next.version;
                *known = next;
                changed = true;
            }
        }
        if changed {
            self.published = Arc::new(published);
        }
        sequence
    }
}

/// Returns the resources of a type with new contents, where resources that differ get the new version; `None` if
/// nothing differs.
fn updated_set(
    known: &ResourceSet,
    contents: BTreeMap<String, Content>,
    version: Sequence,
    encode: EncodeFn,
) -> Option<ResourceSet> {
    let mut changed = known.resources.len() != contents.len();
    let mut resources = BTreeMap::new();
    for (name, content) in contents {
        let same = known.resources.get(&name).filter(|resource| resource.content == content);
        let resource = same.cloned().unwrap_or_else(|| {
            changed = true;
            let body = encode(&name, &content);
            Arc::new(Resource { name: name.clone(), version, content, body })
        });
        resources.insert(name, resource);
    }
    changed.then_some(ResourceSet { version, resources })
}
