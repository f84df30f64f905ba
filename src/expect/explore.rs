//! Asks the decision module what it would do: a [`Router`] on a clock of its own, given the list, requests, and
//! the endings of its attempts in a world where some servers are not there. No socket, no thread, no real time.

use super::decisions::Trace;
use super::expectation::Scenario;
use super::site::Site;
use super::world::{ScheduledStep, World};
use crate::interface::{
    Class, ClassId, Endpoint, Event, GroupId, Instant, ListUpdate, ObjectId, Request, RequestId, ServerId,
    ServerState, Span, ZoneId,
};
use crate::{Router, SettingsError};
use std::collections::BTreeMap;

/// The time between two requests: none crowds, and what was asked for has come.
const REQUEST_INTERVAL: Span = Span::from_millis(100);
/// How long an exploration continues after the last request.
const SETTLING_TIME: Span = Span::from_secs(30);
/// Asked for first, so that the module has seen how long an answer of the class takes by itself. Without that it would
/// take whichever cache has answered least for the slowest one.
const PRIMER: ObjectId = ObjectId(0x9e37_79b9_7f4a_7c15);
/// Requests for the primer.
const PRIMER_REQUESTS: usize = 2;
/// The maximum number of events of one exploration: more mean an endless loop.
const MAX_EVENTS: usize = 2_000_000;

/// What is asked for in one exploration.
#[derive(Clone, Copy, Debug)]
pub struct ExploredRequests<'a> {
    /// The point whose edge proxy decides.
    pub point: ZoneId,
    /// The class of all requests.
    pub class: ClassId,
    /// The objects.
    pub objects: &'a [ObjectId],
    /// How often each is asked for, before the change and after it.
    pub repeats: usize,
    /// The seed of the module's random choices.
    pub seed: u64,
}

/// The endpoint list after a scenario's change.
pub fn changed(site: &Site, scenario: &Scenario) -> BTreeMap<ServerId, Endpoint> {
    let mut servers = site.servers.clone();
    let mut change = |server: &ServerId, change: &dyn Fn(&mut Endpoint)| {
        servers.entry(*server).and_modify(change);
    };
    for server in &scenario.cold {
        change(server, &|member| member.started_at = Some(site.now));
    }
    for (server, weight) in &scenario.reweighted {
        change(server, &|member| member.weight = *weight);
    }
    for server in &scenario.drained {
        change(server, &|member| member.state = ServerState::Draining);
    }
    for server in &scenario.removed {
        change(server, &|member| member.state = ServerState::Removed);
    }
    servers
}

/// A scenario as far as an edge proxy at a point can tell: what happens to other points' table caches is left out,
/// since the module's homes and delegates are caches of its own location (design page, "Popular Directory"). Two
/// scenarios that come out alike here are decided alike, which a test holds against the module.
pub fn at_point(site: &Site, scenario: &Scenario, point: ZoneId) -> Scenario {
    let counts = |server: &ServerId| {
        let member = site.servers.get(server);
        member.is_some_and(|member| member.zone == point || !site.is_cache(member))
    };
    let kept = |list: &[ServerId]| list.iter().copied().filter(counts).collect::<Vec<_>>();
    let mut here = Scenario {
        label: scenario.label.clone(),
        drained: kept(&scenario.drained),
        removed: kept(&scenario.removed),
        down: kept(&scenario.down),
        cold: kept(&scenario.cold),
        reweighted: scenario.reweighted.iter().filter(|(server, _)| counts(server)).copied().collect(),
        late: scenario.late,
    };
    // With nothing to be late about, all views are one.
    here.late &= !here.is_calm();
    here
}

/// Explores what the module decides for these requests, first without the scenario's change, then with it.
///
/// # Errors
///
/// Settings with which no router can start.
pub fn explore(
    site: &Site,
    scenario: &Scenario,
    asked: ExploredRequests<'_>,
) -> Result<Trace, SettingsError> {
    let mut settings = site.settings.clone();
    settings.topology.zone = asked.point;
    let class = settings.classes[usize::from(asked.class.0)].clone();
    let plan = Plan::new(site, asked);
    let mut router = Router::new(settings, asked.seed, plan.start)?;
    let mut world = plan.world(site, &class);
    let mut actions = Vec::new();
    for _ in 0..MAX_EVENTS {
        let Some((now, next)) = world.next_until(plan.end) else { break };
        let event = match next {
            ScheduledStep::Event(event) => event,
            ScheduledStep::Change => apply_change(site, scenario, &mut world),
        };
        router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            world.act(now, action, &class);
        }
    }
    Ok(world.into_trace())
}

/// Applies a scenario's change to the world; returns the event that the router receives.
fn apply_change(site: &Site, scenario: &Scenario, world: &mut World<'_>) -> Event {
    let servers = changed(site, scenario).into_values();
    let is_new = |member: &Endpoint| site.servers.get(&member.server) != Some(member);
    let entries = servers.filter(is_new).collect();
    world.change(scenario);
    Event::EndpointList { update: ListUpdate::Delta, endpoints: entries }
}

/// The schedule of one exploration.
struct Plan<'a> {
    asked: ExploredRequests<'a>,
    /// When the router starts.
    start: Instant,
    /// When the scenario's change comes: at the site's `now`, so that a cold start is one of this moment.
    change: Instant,
    end: Instant,
}

impl<'a> Plan<'a> {
    fn new(site: &Site, asked: ExploredRequests<'a>) -> Self {
        let phase = (asked.objects.len() * asked.repeats) as i64 * REQUEST_INTERVAL;
        let change = site.now;
        Plan {
            asked,
            start: change - phase - 4 * REQUEST_INTERVAL,
            change,
            end: change + REQUEST_INTERVAL + phase + SETTLING_TIME,
        }
    }

    /// The objects of one phase, in the order in which they are asked for.
    fn phase(&self) -> impl Iterator<Item = ObjectId> + '_ {
        let objects = self.asked.objects.iter();
        objects.flat_map(|object| std::iter::repeat_n(*object, self.asked.repeats))
    }

    /// The world in which all requests, the list and the change are due.
    fn world<'s>(&self, site: &'s Site, class: &Class) -> World<'s> {
        let before: Vec<ObjectId> =
            std::iter::repeat_n(PRIMER, PRIMER_REQUESTS).chain(self.phase()).collect();
        let judged_from = before.len();
        let objects: Vec<ObjectId> = before.into_iter().chain(self.phase()).collect();
        let mut world = World::new(site, objects.clone(), judged_from);
        let entries = site.servers.values().copied().collect();
        world.plan(
            self.start,
            ScheduledStep::Event(Event::EndpointList { update: ListUpdate::Full, endpoints: entries }),
        );
        world.plan(self.change, ScheduledStep::Change);
        for (number, object) in objects.into_iter().enumerate() {
            let (since, nth) = match number.checked_sub(judged_from) {
                None => (self.start, number),
                Some(nth) => (self.change, nth),
            };
            let at = since + (nth as i64 + 1) * REQUEST_INTERVAL;
            let request = self.request(RequestId(number as u64), object, class);
            world.plan(at, ScheduledStep::Event(Event::Request(request)));
        }
        world
    }

    fn request(&self, id: RequestId, object: ObjectId, class: &Class) -> Request {
        Request {
            id,
            class: self.asked.class,
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
