//! The clients of a measurement and their logs.

use super::delays::DrainDelays;
use super::MeasurePlan;
use crate::control::resource::ResourceType;
use crate::control::service::{ControlError, Running};
use crate::control::session::Variant;
use crate::interface::{Instant, Span};
use crate::lab::views::{find_breaches, Breach, ClientEvent, FeedChange, FeedEvent, LogEntry, View};
use crate::lab::xds::client::run_client;
use crate::lab::xds::log_clock::log_time;
use crate::lab::xds::site::StartedSite;
use crate::lab::xds::stream::ClientPlan;
use crate::standin::feed::StandInFeed;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The drain deadline: how long after a drain a client may still have the cache.
const DRAIN_BOUND: Span = Span::from_secs(1);
/// Class of table caches in a stand-in site's endpoint list.
const CACHE_CLASS: &str = "std";

/// The running clients, and what they have logged so far.
pub(super) struct MeasuredClients {
    /// Point of each client.
    client_points: Vec<String>,
    entries: mpsc::UnboundedReceiver<LogEntry>,
    stop: watch::Sender<bool>,
    log: Vec<LogEntry>,
    /// By client and resource type, the servers of the last view.
    servers: BTreeMap<String, BTreeMap<ResourceType, BTreeSet<String>>>,
    feed_events: Vec<FeedEvent>,
}

impl MeasuredClients {
    /// Starts all clients.
    pub(super) fn start(plan: &MeasurePlan, site: &StartedSite) -> Self {
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
                ClientPlan { target: site.running.addr, name, point, variant, required_server: None };
            tokio::spawn(run_client(client, log.clone(), stopping.clone()));
        }
        MeasuredClients {
            client_points,
            entries,
            stop,
            log: Vec::new(),
            servers: BTreeMap::new(),
            feed_events: Vec::new(),
        }
    }

    /// Returns the number of clients that have views of all types.
    pub(super) fn ready(&self) -> usize {
        let types = ResourceType::ALL.len();
        self.servers.values().filter(|servers| servers.len() == types).count()
    }

    /// Waits until all clients have views of all types. Gives up when `timeout` has passed since `started`,
    /// which is checked after each entry, or when no entry was received for `timeout`.
    pub(super) async fn wait_until_ready(&mut self, timeout: Duration, started: std::time::Instant) {
        while self.ready() < self.client_points.len() && started.elapsed() < timeout {
            if let Ok(Some(entry)) = tokio::time::timeout(timeout, self.entries.recv()).await {
                self.record(entry);
            }
        }
    }

    /// Adds an entry to the log and updates the servers of the client's last view.
    fn record(&mut self, entry: LogEntry) {
        if let ClientEvent::Received(view) = &entry.event {
            let servers = self.servers.entry(entry.client.clone()).or_default();
            servers.insert(view.resource_type, view.servers.clone());
        }
        self.log.push(entry);
    }

    /// Whether a client's last view of endpoints lists a server.
    fn lists(&self, client: &str, server: &str) -> bool {
        let servers = self.servers.get(client);
        let endpoints = servers.and_then(|servers| servers.get(&ResourceType::Endpoints));
        endpoints.is_some_and(|endpoints| endpoints.contains(server))
    }

    /// Returns the number of clients whose last view of endpoints lists a server.
    fn count_listing(&self, server: &str) -> usize {
        self.servers.keys().filter(|client| self.lists(client, server)).count()
    }

    /// Drains caches one after another; each is restored before the next one is drained.
    pub(super) async fn drain_caches(
        &mut self,
        plan: &MeasurePlan,
        feed: &StandInFeed,
        hosts: &[Value],
    ) -> Result<DrainDelays, ControlError> {
        let caches: Vec<&Value> = hosts.iter().filter(|host| host["class"] == CACHE_CLASS).collect();
        let mut delays = DrainDelays::new()?;
        for cache in caches.iter().cycle().take(plan.drains) {
            self.drain(feed, cache, plan.timeout, &mut delays).await;
            self.restore(feed, cache, plan.timeout).await;
        }
        Ok(delays)
    }

    /// Drains a cache, and records how long each client and the last one took to receive a view without it.
    async fn drain(&mut self, feed: &StandInFeed, host: &Value, timeout: Duration, delays: &mut DrainDelays) {
        let server = server_name(host);
        let drained_at = self.set_health(feed, host, "draining", FeedChange::ServerUnusable(server.clone()));
        let mut slowest = 1;
        while self.count_listing(&server) > 0 {
            let Some(entry) = self.next_entry(drained_at, timeout).await else { break };
            if self.is_removal(&entry, &server) {
                let delay = (entry.at - drained_at).as_micros().max(1) as u64;
                slowest = slowest.max(delay);
                delays.each_client.saturating_record(delay);
            }
            self.record(entry);
        }
        delays.last_client.saturating_record(slowest);
    }

    /// Sets a drained cache to `up`, and waits until all clients of its point have it again.
    async fn restore(&mut self, feed: &StandInFeed, host: &Value, timeout: Duration) {
        let server = server_name(host);
        let returned_at = self.set_health(feed, host, "up", FeedChange::ServerUsable(server.clone()));
        let point = host["site"].as_str().unwrap_or_default();
        let expected = self.client_points.iter().filter(|client_point| *client_point == point).count();
        while self.count_listing(&server) != expected {
            let Some(entry) = self.next_entry(returned_at, timeout).await else { break };
            self.record(entry);
        }
    }

    /// Publishes a server's new health on the feed and returns the time of the event.
    fn set_health(&mut self, feed: &StandInFeed, host: &Value, health: &str, change: FeedChange) -> Instant {
        let at = log_time();
        feed.publish_health(host, health);
        self.feed_events.push(FeedEvent { at, change });
        at
    }

    /// Waits for the next log entry of any client; `None` if none was received within `timeout` after
    /// `since`.
    async fn next_entry(&mut self, since: Instant, timeout: Duration) -> Option<LogEntry> {
        let waited = log_time() - since;
        let remaining = timeout.saturating_sub(waited.to_std());
        tokio::time::timeout(remaining, self.entries.recv()).await.ok().flatten()
    }

    /// Whether an entry is a client's first view of endpoints without a server.
    fn is_removal(&self, entry: &LogEntry, server: &str) -> bool {
        let ClientEvent::Received(view) = &entry.event else { return false };
        is_endpoints_without(view, server) && self.lists(&entry.client, server)
    }

    /// Stops the clients and the service, and returns the breaches in the logs.
    pub(super) async fn stop(mut self, running: Running) -> Result<Vec<Breach>, ControlError> {
        let _ = self.stop.send(true);
        running.stop().await?;
        while let Some(entry) = self.entries.recv().await {
            self.log.push(entry);
        }
        Ok(find_breaches(&self.log, &self.feed_events, DRAIN_BOUND))
    }
}

fn is_endpoints_without(view: &View, server: &str) -> bool {
    view.resource_type == ResourceType::Endpoints && !view.servers.contains(server)
}

fn server_name(host: &Value) -> String {
    host["host"].as_str().unwrap_or_default().to_owned()
}

/// Returns the points that have caches, sorted.
fn points(hosts: &[Value]) -> Vec<String> {
    let caches = hosts.iter().filter(|host| host["class"] == CACHE_CLASS);
    let points: BTreeSet<&str> = caches.filter_map(|host| host["site"].as_str()).collect();
    points.into_iter().map(str::to_owned).collect()
}
