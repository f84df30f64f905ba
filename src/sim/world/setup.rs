//! Sets up a run: draws its site, and creates its world and hosts.

use super::clients::Client;
use super::event_queue::{EventQueue, ScheduledEvent};
use super::faults::DescriptorShortage;
use super::feed::Feed;
use super::processes::Processes;
use super::{host_address, numbered_address, AnswerCounts, PlantedBug, World, FEED, FRONT, START};
use crate::interface::Span;
use crate::net::fabric::{Fabric, HostBehaviour};
use crate::sim::rules::Rules;
use crate::sim::site_variant::{SiteVariant, DEDUP_WINDOW_MS, WRITE_CLASS};
use crate::standin::faults::RunPlan;
use crate::standin::fleet::Fleet;
use crate::standin::host::{Host, Tier};
use crate::standin::ids::HostId;
use crate::standin::site::{config, Shape};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// Shortest and longest one-way delay of a connection.
const DELAYS: RangeInclusive<Span> = Span::from_millis(1)..=Span::from_millis(20);
/// Mixed into the seed of the network, so that its random numbers are independent of those of the traffic.
const NETWORK_SALT: u64 = 0x5eed;
/// Time between the end of the requests and the end of the run, so that answers can still arrive.
const END_DELAY: Span = Span::from_secs(1);
/// Window for repeated writes that `PlantedBug::LongWindow` puts into the edge proxy's settings, in ms.
const PLANTED_BUG_WINDOW_MS: i64 = 60_000;

/// Site of a run: the edge proxy's configuration and the hosts.
struct Site {
    /// Configuration of the edge proxy.
    config: Value,
    /// Event with the first endpoint list.
    first_event: Value,
    /// Capacity of each host's network link, as the number of answers that it can send at once at top speed.
    /// It stays the same if the variant hides it from the endpoint list.
    capacities: Vec<f64>,
    /// Time for which a write may be repeated; `None`: never.
    dedup_window: Option<Span>,
    variant: SiteVariant,
}

impl Site {
    fn draw(plan: &RunPlan, seed: u64, planted_bug: Option<PlantedBug>) -> Self {
        let shape =
            Shape { points: 1, proxies: 1, caches: plan.caches, hubs: 1, parents: plan.parents, seed };
        let feed = numbered_address(FEED).to_string();
        let mut config = config(&shape, &feed, |number| host_address(HostId(number)).to_string());
        config["listen"] = numbered_address(FRONT).to_string().into();
        config["limits"] = json!({"cores": 1.0, "memory_mb": 48, "sockets": 128});
        // A repeated `result` would take effect twice, so it must not be retried.
        config["settings"]["grades"][WRITE_CLASS]["effect"] = "side_effect".into();
        let mut first_event = config["known"]["events"][0].clone();
        let hosts = &mut first_event["members"]["hosts"];
        let capacity = |entry: &Value| entry["share"].as_f64().unwrap_or(1.0);
        let capacities: Vec<f64> = hosts.as_array().into_iter().flatten().map(capacity).collect();
        let variant = SiteVariant::draw(seed);
        variant.apply(&mut config["settings"], hosts);
        let dedup_window = variant.keyed_writes.then_some(Span::from_millis(DEDUP_WINDOW_MS));
        let mut site = Site { config, first_event, capacities, dedup_window, variant };
        site.plant_bug(planted_bug);
        site
    }

    /// Plants a bug that consists of wrong settings; other bugs are planted where they take effect.
    fn plant_bug(&mut self, planted_bug: Option<PlantedBug>) {
        let write_class = &mut self.config["settings"]["grades"][WRITE_CLASS];
        match planted_bug {
            Some(PlantedBug::ResultTwice) => {
                write_class["effect"] = "pure".into();
                self.dedup_window = None;
            }
            Some(PlantedBug::LongWindow) => write_class["window"] = json!(PLANTED_BUG_WINDOW_MS),
            _ => {}
        }
    }

    /// Returns the hosts' entries in the first endpoint list.
    fn entries(&self) -> Vec<Value> {
        self.first_event["members"]["hosts"].as_array().cloned().unwrap_or_default()
    }
}

impl<'a> World<'a> {
    /// Creates the world of a run at its start: one process runs, and all requests and the end of the run are
    /// scheduled.
    pub(super) fn new(plan: &'a RunPlan, seed: u64, planted_bug: Option<PlantedBug>) -> Self {
        let site = Site::draw(plan, seed, planted_bug);
        let fabric = Fabric::new(START, seed ^ NETWORK_SALT, DELAYS);
        if planted_bug == Some(PlantedBug::WallDeadlines) {
            fabric.run_deadlines_on_wall_clock();
        }
        let mut world = World {
            plan,
            planted_bug,
            seed,
            fabric,
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            event_queue: EventQueue::default(),
            requests: Vec::new(),
            clients: (0..plan.clients).map(|_| Client::default()).collect(),
            fleet: Fleet { served_status_only: site.variant.cache_status_if_served, ..Fleet::default() },
            host_ids: BTreeMap::new(),
            feed: Feed::default(),
            processes: Processes::default(),
            descriptor_shortage: DescriptorShortage::default(),
            rules: Rules::new(START).with_dedup_window(site.dedup_window),
            answers: AnswerCounts::default(),
            is_ending: false,
            base_config: Value::Null,
        };
        world.add_hosts(&site);
        world.base_config = site.config;
        world.feed.events.push(site.first_event);
        world.draw_requests();
        world.start_process();
        let end = START + Span::from_millis(plan.duration_ms) + END_DELAY;
        world.event_queue.schedule(end, ScheduledEvent::EndRun);
        world
    }

    fn add_hosts(&mut self, site: &Site) {
        for (number, entry) in site.entries().into_iter().enumerate() {
            let host = HostId(number);
            let tier = Tier::of(host, self.plan.caches, self.plan.parents);
            self.fabric.set_host_behaviour(host_address(host), HostBehaviour::Up);
            self.host_ids.insert(host_address(host), host);
            self.fleet.hosts.push(Host { capacity: site.capacities[number], ..Host::new(tier, entry) });
        }
        self.fabric.set_host_behaviour(numbered_address(FEED), HostBehaviour::Up);
    }
}
