//! Tests of the pure parts, which get the time as an argument: the model's snapshots and versions, a client's stream,
//! the settings.

mod model;
mod session;
mod settings;

use super::clock::Moment;
use super::debounce::Urgency;
use super::model::Model;
use super::resource::{Content, ResourceType, Route};
use super::settings::ControlSettings;
use super::snapshot::Snapshot;
use super::version::{Epoch, PollNumber};
use super::wire;
use crate::config::events::FeedBatch;
use crate::config::hcl_document::HclDocument;
use crate::config::Config;
use crate::interface::{Instant, Span, UnixTime};
use crate::standin::site::{config, Shape};
use serde_json::{json, Value};
use std::collections::BTreeMap;

const SECOND: Span = Span::from_secs(1);
const START: Instant = Instant::from_micros(1_000_000 * SECOND.as_micros());
/// The epoch of all models in these tests.
const EPOCH: Epoch = Epoch(0xe);
/// The poll number of tests that do not wait for a poll of the feed.
const NO_POLL: PollNumber = PollNumber(0);
const HOT: &str = "7f3a9c21e0b4d655";

fn parse_settings(extra: &str) -> ControlSettings {
    let text = format!("control {{\n listen = \"127.0.0.1:0\"\n {extra}\n}}");
    ControlSettings::parse(HclDocument { file: "c.hcl", text: &text }).expect("valid settings")
}

struct Fixture {
    model: Model,
    hosts: Vec<Value>,
    now: Instant,
    /// The total of the wall clock's steps.
    wall_step: Span,
}

impl Fixture {
    /// Creates a model with three points of four caches each, two hubs of two parents each, the origin and one hot
    /// object.
    fn new() -> Self {
        let site = config(&Shape::default(), "127.0.0.1:1", |n| format!("127.0.0.1:{}", 10 + n));
        let read = Config::parse(site.to_string().as_bytes()).expect("valid settings");
        let hosts =
            site["known"]["events"][0]["members"]["hosts"].as_array().cloned().expect("a list of hosts");
        let hot = parse_settings(&format!("hot \"piece\" {{\n objects = [\"{HOT}\"]\n }}"));
        let mut model = Model::new(read.settings, 7, &hot, wire::encode, EPOCH, START).expect("a model");
        model.apply(Moment { now: START, unix: unix(START) }, &read.initial_events);
        model.tick(START);
        Fixture { model, hosts, now: START, wall_step: Span::ZERO }
    }

    fn moment(&self) -> Moment {
        Moment { now: self.now, unix: unix(self.now) + self.wall_step }
    }

    /// Returns the Unix time of the wall clock in ms.
    fn unix_ms(&self) -> i64 {
        self.moment().unix.as_millis()
    }

    fn apply(&mut self, event: Value) -> Urgency {
        let batch: FeedBatch = serde_json::from_value(json!({"n": 2, "events": [event]})).expect("a batch");
        let urgency = self.model.apply(self.moment(), &batch);
        urgency.max(self.model.tick(self.now))
    }

    fn set_health(&mut self, host: &Value, health: &str) -> Urgency {
        let mut host = host.clone();
        host["health"] = health.into();
        self.apply(json!({"n": 2, "members": {"whole": false, "hosts": [host]}}))
    }

    fn snapshot(&mut self) -> Snapshot {
        self.model.snapshot(self.now, NO_POLL)
    }

    /// Returns the weights of the caches at the point `north`, by name.
    fn north_weights(&mut self) -> BTreeMap<String, u32> {
        let snapshot = self.snapshot();
        let resource = &snapshot.points["north"].get(ResourceType::Endpoints).resources["cache/north"];
        let Content::Endpoints(levels) = &resource.content else { panic!("{resource:?}") };
        levels.iter().flatten().map(|endpoint| (endpoint.name.clone(), endpoint.weight)).collect()
    }

    fn routes(&mut self) -> Vec<Route> {
        let snapshot = self.snapshot();
        let resource = &snapshot.points["north"].get(ResourceType::Routes).resources["routes/north"];
        let Content::Routes { routes, .. } = &resource.content else { panic!("{resource:?}") };
        routes.clone()
    }

    fn cache(&self, n: usize) -> Value {
        let north = self.hosts.iter().filter(|host| host["site"] == "north");
        north.clone().nth(n).cloned().expect("a cache")
    }
}

/// Returns the Unix time of a wall clock that was never stepped.
fn unix(now: Instant) -> UnixTime {
    UnixTime::from_micros(now.as_micros())
}

fn name(host: &Value) -> String {
    host["host"].as_str().expect("a name").to_owned()
}
