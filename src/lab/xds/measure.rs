//! The measurement: clients come up, caches are drained one after another, and each client's view is awaited.

use super::client::run_client;
use super::log_clock::log_time;
use super::process::{processor_time, raise_descriptor_limit, resident_bytes};
use super::site::{SiteSetup, StartedSite};
use super::stream::ClientPlan;
use crate::control::resource::ResourceType;
use crate::control::service::{ControlError, Running};
use crate::control::session::Variant;
use crate::interface::{Instant, Span};
use crate::lab::views::{check, Breach, ClientEvent, FeedChange, FeedEvent, LogEntry, View};
use crate::standin::feed::StandInFeed;
use crate::standin::site::Shape;
use hdrhistogram::Histogram;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// How long after a drain a client may still have the cache: the platform's bound.
const DRAIN_BOUND: Span = Span::from_secs(1);
/// The class of table caches in a made-up site's list.
const CACHE_CLASS: &str = "std";
/// The longest time that is recorded, us.
const MAX_RECORDED: u64 = 600_000_000;
/// The significant digits with which times are recorded.
const RECORDED_DIGITS: u8 = 3;
/// The breaches that a report lists.
const LISTED_BREACHES: usize = 5;

/// How the control service is measured.
#[derive(Clone, Debug)]
pub struct MeasurePlan {
    /// Clients, half of each variant, assigned to the points in turn.
    pub clients: usize,
    /// The site.
    pub shape: Shape,
    /// Caches drained one after another, each of which returns before the next.
    pub drains: usize,
    /// The longest that one drain is waited for.
    pub wait: Duration,
}

/// What was measured.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// From a drain to each client's view without the cache, us.
    pub each_client: Histogram<u64>,
    /// From a drain to the last client's view without the cache, us.
    pub last_client: Histogram<u64>,
    /// What the logs break.
    pub breaches: Vec<Breach>,
    /// Memory of the process beyond what it had before clients came, bytes by client: both ends of each connection.
    pub memory_by_client: u64,
    /// Processor time of the process during the drains, by snapshot: both ends.
    pub processor_time_by_snapshot: Duration,
    /// Snapshots that were published meanwhile.
    pub snapshots: u64,
    /// Responses that were sent meanwhile.
    pub sent: u64,
    /// Clients that had views of all types in time.
    pub ready_clients: usize,
    /// How long until the last of them had.
    pub ready_after: Duration,
}

/// Measures a control service in this process, with stand-in clients in it too.
///
/// # Errors
///
/// The service does not start, or the measurement's histograms can't be had.
pub async fn measure(plan: &MeasurePlan) -> Result<Measurement, ControlError> {
    raise_descriptor_limit();
    let feed = StandInFeed::default();
    let max_clients = plan.clients.max(1);
    let control = format!("control {{\n listen = \"127.0.0.1:0\"\n most_clients = {max_clients}\n}}");
    let site = SiteSetup::new(plan.shape, &control, &feed).start().await?;
    let memory_before = resident_bytes();
    let started = std::time::Instant::now();
    let mut fleet = Fleet::start(plan, &site);
    fleet.wait_until_ready(plan.wait, started).await;
    let ready_clients = fleet.ready();
    let ready_after = started.elapsed();
    let memory_by_client = resident_bytes().saturating_sub(memory_before) / max_clients as u64;

    let before = Counters::read(&site.running);
    let delays = fleet.drain_caches(plan, &feed, &site.hosts).await?;
    let used = Counters::read(&site.running).since(&before);

    let StartedSite { running, .. } = site;
    let breaches = fleet.stop(running).await?;
    Ok(Measurement {
        each_client: delays.each_client,
        last_client: delays.last_client,
        breaches,
        memory_by_client,
        processor_time_by_snapshot: used.processor_time
            / u32::try_from(used.snapshots.max(1)).unwrap_or(u32::MAX),
        snapshots: used.snapshots,
        sent: used.sent,
        ready_clients,
        ready_after,
    })
}

/// What the process has used and the service has done so far.
struct Counters {
    processor_time: Duration,
    snapshots: u64,
    sent: u64,
}

impl Counters {
    fn read(running: &Running) -> Self {
        Counters {
            processor_time: processor_time(),
            snapshots: running.metrics.snapshots.load(Ordering::Relaxed),
            sent: running.metrics.sent.load(Ordering::Relaxed),
        }
    }

    fn since(&self, before: &Counters) -> Counters {
        Counters {
            processor_time: self.processor_time.saturating_sub(before.processor_time),
            snapshots: self.snapshots - before.snapshots,
            sent: self.sent - before.sent,
        }
    }
}

/// How long drains took to reach the clients, us.
struct DrainDelays {
    each_client: Histogram<u64>,
    last_client: Histogram<u64>,
}

impl DrainDelays {
    fn new() -> Result<Self, ControlError> {
        Ok(DrainDelays { each_client: histogram()?, last_client: histogram()? })
    }
}

fn histogram() -> Result<Histogram<u64>, ControlError> {
    let histogram = Histogram::new_with_bounds(1, MAX_RECORDED, RECORDED_DIGITS);
    Ok(histogram.map_err(std::io::Error::other)?)
}

/// The clients, and what they have logged so far.
struct Fleet {
    /// Each client's point.
    client_points: Vec<String>,
    entries: mpsc::UnboundedReceiver<LogEntry>,
    stop: watch::Sender<bool>,
    log: Vec<LogEntry>,
    /// By client and resource type: the servers of the last view.
    servers: BTreeMap<String, BTreeMap<ResourceType, BTreeSet<String>>>,
    feed_events: Vec<FeedEvent>,
}

impl Fleet {
    /// Starts all clients.
    fn start(plan: &MeasurePlan, site: &StartedSite) -> Self {
        let points = points(&site.hosts);
        let (log, entries) = mpsc::unbounded_channel();
        let (stop, stopping) = watch::channel(false);
        let mut client_points = Vec::new();
        for number in 0..plan.clients {
            let variant = if number % 2 == 0 { Variant::StateOfTheWorld } else { Variant::Incremental };
            let point = points[number / 2 % points.len()].clone();
            client_points.push(point.clone());
            let name = format!("client-{number}");
            let client =
                ClientPlan { target: site.running.addr, name, point, variant, rejects_without: None };
            tokio::spawn(run_client(client, log.clone(), stopping.clone()));
        }
        Fleet {
            client_points,
            entries,
            stop,
            log: Vec::new(),
            servers: BTreeMap::new(),
            feed_events: Vec::new(),
        }
    }

    /// Clients that have views of all types.
    fn ready(&self) -> usize {
        let types = ResourceType::ALL.len();
        self.servers.values().filter(|servers| servers.len() == types).count()
    }

    async fn wait_until_ready(&mut self, wait: Duration, started: std::time::Instant) {
        while self.ready() < self.client_points.len() && started.elapsed() < wait {
            if let Ok(Some(entry)) = tokio::time::timeout(wait, self.entries.recv()).await {
                self.take(entry);
            }
        }
    }

    fn take(&mut self, entry: LogEntry) {
        if let ClientEvent::Received(view) = &entry.event {
            let servers = self.servers.entry(entry.client.clone()).or_default();
            servers.insert(view.resource_type, view.servers.clone());
        }
        self.log.push(entry);
    }

    /// Whether a client's last view of endpoints has a server.
    fn has(&self, client: &str, server: &str) -> bool {
        let servers = self.servers.get(client);
        let endpoints = servers.and_then(|servers| servers.get(&ResourceType::Endpoints));
        endpoints.is_some_and(|endpoints| endpoints.contains(server))
    }

    /// Clients whose last view of endpoints has a server.
    fn count_with(&self, server: &str) -> usize {
        self.servers.keys().filter(|client| self.has(client, server)).count()
    }

    /// Drains caches one after another, each of which returns before the next.
    async fn drain_caches(
        &mut self,
        plan: &MeasurePlan,
        feed: &StandInFeed,
        hosts: &[Value],
    ) -> Result<DrainDelays, ControlError> {
        let caches: Vec<&Value> = hosts.iter().filter(|host| host["class"] == CACHE_CLASS).collect();
        let mut delays = DrainDelays::new()?;
        for cache in caches.iter().cycle().take(plan.drains) {
            self.drain(feed, cache, plan.wait, &mut delays).await;
            self.restore(feed, cache, plan.wait).await;
        }
        Ok(delays)
    }

    /// Drains a cache and records how long its clients' views without it took.
    async fn drain(&mut self, feed: &StandInFeed, host: &Value, wait: Duration, delays: &mut DrainDelays) {
        let server = server_name(host);
        let drained_at = self.set_health(feed, host, "draining", FeedChange::ServerLeft(server.clone()));
        let mut slowest = 1;
        while self.count_with(&server) > 0 {
            let Some(entry) = self.next_entry(drained_at, wait).await else { break };
            if self.loses(&entry, &server) {
                let delay = (entry.at - drained_at).as_micros().max(1) as u64;
                slowest = slowest.max(delay);
                delays.each_client.saturating_record(delay);
            }
            self.take(entry);
        }
        delays.last_client.saturating_record(slowest);
    }

    /// Lets a cache return, and waits until all clients of its point have it.
    async fn restore(&mut self, feed: &StandInFeed, host: &Value, wait: Duration) {
        let server = server_name(host);
        let returned_at = self.set_health(feed, host, "up", FeedChange::ServerReturned(server.clone()));
        let point = host["site"].as_str().unwrap_or_default();
        let concerned = self.client_points.iter().filter(|client_point| *client_point == point).count();
        while self.count_with(&server) != concerned {
            let Some(entry) = self.next_entry(returned_at, wait).await else { break };
            self.take(entry);
        }
    }

    /// States a server's new health over the feed; returns when.
    fn set_health(&mut self, feed: &StandInFeed, host: &Value, health: &str, change: FeedChange) -> Instant {
        let at = log_time();
        feed.publish_health(host, health);
        self.feed_events.push(FeedEvent { at, change });
        at
    }

    /// The next entry of any client's log; `None`: none came within `wait` after `since`.
    async fn next_entry(&mut self, since: Instant, wait: Duration) -> Option<LogEntry> {
        let waited = log_time() - since;
        let rest = wait.saturating_sub(waited.to_std());
        tokio::time::timeout(rest, self.entries.recv()).await.ok().flatten()
    }

    /// Whether an entry is a client's first view of endpoints without a server.
    fn loses(&self, entry: &LogEntry, server: &str) -> bool {
        let ClientEvent::Received(view) = &entry.event else { return false };
        is_endpoints_without(view, server) && self.has(&entry.client, server)
    }

    /// Stops clients and service; returns what the logs break.
    async fn stop(mut self, running: Running) -> Result<Vec<Breach>, ControlError> {
        let _ = self.stop.send(true);
        running.stop().await?;
        while let Some(entry) = self.entries.recv().await {
            self.log.push(entry);
        }
        Ok(check(&self.log, &self.feed_events, DRAIN_BOUND))
    }
}

fn is_endpoints_without(view: &View, server: &str) -> bool {
    view.resource_type == ResourceType::Endpoints && !view.servers.contains(server)
}

fn server_name(host: &Value) -> String {
    host["host"].as_str().unwrap_or_default().to_owned()
}

/// The points that have caches, sorted.
fn points(hosts: &[Value]) -> Vec<String> {
    let caches = hosts.iter().filter(|host| host["class"] == CACHE_CLASS);
    let points: BTreeSet<&str> = caches.filter_map(|host| host["site"].as_str()).collect();
    points.into_iter().map(str::to_owned).collect()
}

impl fmt::Display for Measurement {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let ready_ms = self.ready_after.as_secs_f64() * 1000.0;
        writeln!(formatter, "{} clients had all views after {ready_ms:.0} ms", self.ready_clients)?;
        write_delays(formatter, "each client's view", &self.each_client)?;
        write_delays(formatter, "the last client's view", &self.last_client)?;
        writeln!(formatter, "memory by client, both ends: {} KB", self.memory_by_client / 1024)?;
        let processor_ms = self.processor_time_by_snapshot.as_secs_f64() * 1000.0;
        writeln!(
            formatter,
            "{} snapshots, {} responses; CPU by snapshot, both ends: {processor_ms:.1} ms",
            self.snapshots, self.sent,
        )?;
        let breaches = self.breaches.len();
        write!(formatter, "{breaches} breaches of the drain deadline of 1 s or of the order of versions")?;
        let listed = &self.breaches[..breaches.min(LISTED_BREACHES)];
        listed.iter().try_for_each(|breach| write_breach(formatter, breach))
    }
}

/// Writes a breach on a line of its own, its span in microseconds.
fn write_breach(formatter: &mut fmt::Formatter, breach: &Breach) -> fmt::Result {
    let Breach::StaleServer { client, server, after } = breach else {
        return write!(formatter, "\n  {breach:?}");
    };
    let after_us = after.as_micros();
    write!(formatter, "\n  StaleServer {{ client: {client:?}, server: {server:?}, after: {after_us} }}")
}

fn write_delays(formatter: &mut fmt::Formatter, whose: &str, delays: &Histogram<u64>) -> fmt::Result {
    let ms = |micros: u64| micros as f64 / 1000.0;
    let p50 = ms(delays.value_at_quantile(0.5));
    let p99 = ms(delays.value_at_quantile(0.99));
    let max = ms(delays.max());
    let count = delays.len();
    writeln!(
        formatter,
        "from a drain to {whose} without it, ms: p50 {p50:.1}, p99 {p99:.1}, max {max:.1} ({count})"
    )
}
