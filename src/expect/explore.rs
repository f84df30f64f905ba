//! Runs one exploration: a [`Router`] on a virtual clock gets the endpoint list, requests, and the results of
//! its attempts on simulated servers, some of which may be down. It uses no sockets, threads or real time.

use super::decisions::Trace;
use super::expectation::{Reweighting, Scenario};
use super::site::Site;
use super::world::{DueItem, World};
use crate::interface::{
    Class, ClassId, Endpoint, Event, GroupId, Instant, ListUpdate, ObjectId, Request, RequestId, ServerId,
    ServerState, Span, ZoneId,
};
use crate::{Router, SettingsError};
use std::collections::BTreeMap;

/// Time between two requests, in which the first one is usually answered.
const REQUEST_INTERVAL: Span = Span::from_millis(100);
/// How long an exploration continues after the last request, in which it can get its final answer.
const AFTER_LAST_REQUEST: Span = Span::from_secs(30);
/// An object that is requested first, so that the module has measured how long an answer of the class takes.
/// Without that it would treat the cache with the fewest answers as the slowest.
const WARM_UP_OBJECT: ObjectId = ObjectId(0x9e37_79b9_7f4a_7c15);
/// Number of requests for the warm-up object.
const WARM_UP_REQUESTS: usize = 2;
/// Maximum number of events in one exploration, as a guard against an endless loop.
const MAX_EVENTS: usize = 2_000_000;

/// The requests of one exploration.
#[derive(Clone, Copy, Debug)]
pub struct ExploreInput<'a> {
    /// The point whose edge proxy handles the requests.
    pub point: ZoneId,
    /// The class of all requests.
    pub class: ClassId,
    /// The objects that are requested, in this order.
    pub objects: &'a [ObjectId],
    /// Number of requests for each object before the change, and again after it.
    pub repeats: usize,
    /// The seed of the decision module's random choices.
    pub seed: u64,
}

/// Returns the endpoint list after a scenario's change.
pub fn changed_servers(site: &Site, scenario: &Scenario) -> BTreeMap<ServerId, Endpoint> {
    let mut servers = site.servers.clone();
    let mut change = |server: &ServerId, change: &dyn Fn(&mut Endpoint)| {
        servers.entry(*server).and_modify(change);
    };
    for server in &scenario.cold {
        change(server, &|endpoint| endpoint.started_at = Some(site.now));
    }
    for Reweighting { server, weight } in &scenario.reweighted {
        change(server, &|endpoint| endpoint.weight = *weight);
    }
    for server in &scenario.drained {
        change(server, &|endpoint| endpoint.state = ServerState::Draining);
    }
    for server in &scenario.removed {
        change(server, &|endpoint| endpoint.state = ServerState::Removed);
    }
    servers
}

/// Returns the part of a scenario that matters to an edge proxy at a point. Changes to other points' table
/// caches are left out, since the module's homes and delegates are caches of its own location (design page,
/// "Popular Directory"). Two scenarios with the same result lead to the same decisions; a test checks this
/// against the module.
pub fn scenario_at_point(site: &Site, scenario: &Scenario, point: ZoneId) -> Scenario {
    let is_relevant = |server: &ServerId| {
        let endpoint = site.servers.get(server);
        endpoint.is_some_and(|endpoint| endpoint.zone == point || !site.is_cache(endpoint))
    };
    let kept = |list: &[ServerId]| list.iter().copied().filter(is_relevant).collect::<Vec<_>>();
    let mut here = Scenario {
        label: scenario.label.clone(),
        drained: kept(&scenario.drained),
        removed: kept(&scenario.removed),
        down: kept(&scenario.down),
        cold: kept(&scenario.cold),
        reweighted: scenario
            .reweighted
            .iter()
            .filter(|changed| is_relevant(&changed.server))
            .copied()
            .collect(),
        late: scenario.late,
    };
    // Without a change, late edge proxies have the same endpoint list as the others.
    here.late &= !here.changes_nothing();
    here
}

/// Runs the requests through the module, first without the scenario's change, then with it.
///
/// # Errors
///
/// Returns an error if no router can start with the settings.
pub fn explore(site: &Site, scenario: &Scenario, input: ExploreInput<'_>) -> Result<Trace, SettingsError> {
    let mut settings = site.settings.clone();
    settings.topology.zone = input.point;
    let class = settings.classes[usize::from(input.class.0)].clone();
    let schedule = Schedule::new(site, input);
    let mut router = Router::new(settings, input.seed, schedule.start)?;
    let mut world = schedule.world(site, &class);
    let mut actions = Vec::new();
    for _ in 0..MAX_EVENTS {
        let Some((now, next)) = world.take_due(schedule.end) else { break };
        let event = match next {
            DueItem::Event(event) => event,
            DueItem::Change => apply_change(site, scenario, &mut world),
        };
        router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            world.apply_action(now, action, &class);
        }
    }
    Ok(world.into_trace())
}

/// Applies a scenario's change to the world, and returns the endpoint list update for the router.
fn apply_change(site: &Site, scenario: &Scenario, world: &mut World<'_>) -> Event {
    let servers = changed_servers(site, scenario).into_values();
    let is_new = |endpoint: &Endpoint| site.servers.get(&endpoint.server) != Some(endpoint);
    let entries = servers.filter(is_new).collect();
    world.apply_change(scenario);
    Event::EndpointList { update: ListUpdate::Delta, endpoints: entries }
}

/// The times of one exploration.
struct Schedule<'a> {
    input: ExploreInput<'a>,
    /// When the router starts.
    start: Instant,
    /// When the scenario's change happens: at the site's `now`, which is also when its cold servers restart.
    change: Instant,
    end: Instant,
}

impl<'a> Schedule<'a> {
    fn new(site: &Site, input: ExploreInput<'a>) -> Self {
        let phase = (input.objects.len() * input.repeats) as i64 * REQUEST_INTERVAL;
        let change = site.now;
        Schedule {
            input,
            start: change - phase - 4 * REQUEST_INTERVAL,
            change,
            end: change + REQUEST_INTERVAL + phase + AFTER_LAST_REQUEST,
        }
    }

    /// Returns the object of each request of one phase, in the order of the requests. The phase before the
    /// change and the one after it are alike.
    fn phase(&self) -> impl Iterator<Item = ObjectId> + '_ {
        let objects = self.input.objects.iter();
        objects.flat_map(|object| std::iter::repeat_n(*object, self.input.repeats))
    }

    /// Returns a world in which the endpoint list, the change and all requests are scheduled.
    fn world<'s>(&self, site: &'s Site, class: &Class) -> World<'s> {
        let before: Vec<ObjectId> =
            std::iter::repeat_n(WARM_UP_OBJECT, WARM_UP_REQUESTS).chain(self.phase()).collect();
        let first_checked = before.len();
        let objects: Vec<ObjectId> = before.into_iter().chain(self.phase()).collect();
        let mut world = World::new(site, objects.clone(), first_checked);
        let entries = site.servers.values().copied().collect();
        world.plan(
            self.start,
            DueItem::Event(Event::EndpointList { update: ListUpdate::Full, endpoints: entries }),
        );
        world.plan(self.change, DueItem::Change);
        for (number, object) in objects.into_iter().enumerate() {
            let (since, nth) = match number.checked_sub(first_checked) {
                None => (self.start, number),
                Some(nth) => (self.change, nth),
            };
            let at = since + (nth as i64 + 1) * REQUEST_INTERVAL;
            let request = self.request(RequestId(number as u64), object, class);
            world.plan(at, DueItem::Event(Event::Request(request)));
        }
        world
    }

    fn request(&self, id: RequestId, object: ObjectId, class: &Class) -> Request {
        Request {
            id,
            class: self.input.class,
            tenant: 0,
            object,
            part: 0,
            group: GroupId(0),
            client_timeout: class.client_deadline,
            size_kb: 0.0,
            is_retry: false,
            is_write: class.uncached,
        }
    }
}
