//! The routes of a point: for purges, hot objects and classes.

use super::hot::{HotObject, Placement};
use super::point::Point;
use super::purges::PurgeLog;
use super::registry::ServerRegistry;
use super::site::Site;
use crate::control::resource::{Route, RouteCache};
use crate::interface::{Class, ClassId, Idempotency, Purge, ServerId};

/// The cache rank of copies, unless a router has chosen another one.
const DEFAULT_RANK: u8 = 2;

/// A class with the route for its requests.
struct ClassRoute {
    class: ClassId,
    cached: bool,
    route: Route,
}

impl Point {
    /// Returns the routes in the order in which they are matched. Purges come first, since they apply to hot objects
    /// too; then hot objects; then the classes.
    pub(super) fn routes(
        &self,
        site: &Site,
        registry: &ServerRegistry,
        hot: &[HotObject],
        purges: &PurgeLog,
    ) -> Vec<Route> {
        let classes = class_routes(site);
        let mut routes = Vec::new();
        for (purge, newer_than_ms) in purges.newer_than_ms() {
            for class in classes.iter().filter(|class| class.cached) {
                let route = self.purge_route(registry, class, purge);
                routes.push(Route { newer_than_ms, ..route });
            }
        }
        for object in hot {
            let class = classes.iter().find(|known| known.class == object.class);
            routes.extend(class.and_then(|class| self.hot_route(registry, class, *object)));
        }
        routes.extend(classes.into_iter().map(|class| class.route));
        routes
    }

    /// Returns a class's route for a purged object or group.
    fn purge_route(&self, registry: &ServerRegistry, class: &ClassRoute, purge: Purge) -> Route {
        let hot = match purge {
            Purge::Object(object) => {
                self.hot_route(registry, class, HotObject { class: class.class, object })
            }
            Purge::Group(_) => None,
        };
        let route = hot.unwrap_or_else(|| class.route.clone());
        Route { purge: Some(purge), ..route }
    }

    /// Returns a hot object's own route; `None` if no cache of its placement can be sent requests.
    fn hot_route(&self, registry: &ServerRegistry, class: &ClassRoute, hot: HotObject) -> Option<Route> {
        let placement = self.placements.get(&hot)?;
        let caches = route_caches(registry, placement);
        if caches.is_empty() {
            return None;
        }
        let object = Some(hot.object);
        Some(Route { object, caches, rank: placement.rank, ..class.route.clone() })
    }
}

/// Returns the caches of a placement to which requests can be sent.
fn route_caches(registry: &ServerRegistry, placement: &Placement) -> Vec<RouteCache> {
    let name_of = |server: ServerId| registry.usable(server).map(|server| server.name.clone());
    let mut route_caches = Vec::new();
    for (cache, source) in &placement.caches {
        let Some(name) = name_of(*cache) else { continue };
        let fill = source.and_then(name_of);
        route_caches.push(RouteCache { name, fill });
    }
    route_caches
}

/// Returns the routes of all classes that are not retired.
fn class_routes(site: &Site) -> Vec<ClassRoute> {
    let classes = site.settings.classes.iter().enumerate();
    let live = classes.filter(|(_, class)| !class.retired);
    live.map(|(number, class)| class_route(site, number, class)).collect()
}

fn class_route(site: &Site, number: usize, class: &Class) -> ClassRoute {
    let cached = !class.uncached;
    let route = Route {
        class: site.names.classes[number].name.clone(),
        object: None,
        purge: None,
        caches: Vec::new(),
        rank: if cached { DEFAULT_RANK } else { 0 },
        newer_than_ms: 0,
        deadline: class.client_deadline,
        fresh: class.fresh_for,
        idempotent: class.idempotency == Idempotency::Always,
        attempts: site.settings.limits.max_attempts,
    };
    ClassRoute { class: ClassId(number as u16), cached, route }
}
