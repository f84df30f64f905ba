//! Every decision of the router, one module each. Its types are in `src/interface/mod.rs`.
//!
//! Tuned values are constants at the top of the modules that use them. The algorithm is Fongta and Somchit's
//! Popular Directory; docs/design.md lists the deviations from it and when they apply. `Router::handle`
//! passes each event to one of:
//!
//! - `dispatch`: a request's next attempt. It uses `home` (choice of the cache), `delegates` (choice of
//!   another cache for a popular object), `fill_source` (choice of the server that supplies a miss),
//!   `freshness` (how old a copy may be), `idempotency` (what may be sent again), `load` (which server is
//!   overloaded) and `slow_start` (which server is still warming up).
//! - `outcomes`: the end of an attempt; `attribution` and `measurements` record what it shows.
//! - `final_answers`: rejection, failure, and the end of a request.
//! - `overdue`: checks for attempts that take too long, hedged requests, ejection of silent servers.
//! - `endpoints`: changes of the endpoint list.
//! - `upkeep`: removal of expired state.
//!
//! The other modules each hold one part of the router's state and do not depend on the router: `attempt`,
//! `class_times`, `fetch_limit`, `popularity`, `rendezvous`, `retry_budget`, `server`, `timing`.

mod attempt;
mod attribution;
mod class_times;
mod delegates;
mod dispatch;
mod endpoints;
mod fetch_limit;
mod fill_source;
mod final_answers;
mod freshness;
mod home;
mod idempotency;
mod load;
mod measurements;
mod outcomes;
mod overdue;
mod popularity;
mod rendezvous;
mod retry_budget;
mod server;
mod slow_start;
mod timing;
mod upkeep;

use crate::interface::{
    Action, Class, ClassId, Event, Instant, Purge, Request, RequestId, ServerId, Settings,
};
use crate::SettingsError;
use attempt::OpenRequest;
use class_times::ClassTimes;
pub use endpoints::CacheCounts;
use fetch_limit::FetchLimit;
use popularity::PopularDirectory;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use retry_budget::RetryBudget;
use server::Server;
use std::collections::BTreeMap;
use timing::{SECOND, TICK_INTERVAL, UPKEEP_INTERVAL};

/// Token of the timer that renews a failed subscription to the endpoint list. All other timers are ticks.
const WATCH_RETRY_TIMER: u32 = 1;

/// The processes that serve as one router, and the position of this one.
struct ProcessShare {
    processes: u32,
    /// From 0 to `processes` - 1.
    position: u32,
}

/// Decides what a router does, as a pure state machine: events go in with the current time, actions come out.
pub struct Router {
    settings: Settings,
    process_share: ProcessShare,
    random: Pcg64Mcg,
    servers: BTreeMap<ServerId, Server>,
    /// Ready caches of the router's own location; recomputed with each update of the endpoint list.
    caches: Vec<ServerId>,
    /// Ready parents of all zones; recomputed with each update of the endpoint list.
    parents: Vec<ServerId>,
    origin: Option<ServerId>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    directory: PopularDirectory,
    upkeep_at: Instant,
    tick_scheduled: bool,
    /// Indexed by class.
    class_times: Vec<ClassTimes>,
    /// Answers at top speed that the caches' links were measured to carry per unit of weight. Used where
    /// weights do not state the capacity of links.
    measured_link_per_weight: Option<f64>,
    /// Time of the latest purge of each object and group.
    purges: BTreeMap<Purge, Instant>,
    retry_budget: RetryBudget,
    fetch_limit: FetchLimit,
}

impl Router {
    /// Returns a router without servers or requests, or an error if the settings are unusable.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Result<Self, SettingsError> {
        settings.check()?;
        Ok(Router {
            random: Pcg64Mcg::seed_from_u64(seed),
            process_share: ProcessShare { processes: 1, position: 0 },
            servers: BTreeMap::new(),
            caches: Vec::new(),
            parents: Vec::new(),
            origin: None,
            open_requests: BTreeMap::new(),
            directory: PopularDirectory::new(now),
            upkeep_at: now + UPKEEP_INTERVAL,
            tick_scheduled: false,
            class_times: settings.classes.iter().map(ClassTimes::initial).collect(),
            measured_link_per_weight: None,
            purges: BTreeMap::new(),
            retry_budget: RetryBudget::full(),
            fetch_limit: FetchLimit::new(now),
            settings,
        })
    }

    /// Applies new settings, in which every earlier class must keep its number and its rules. Open requests
    /// keep their limits.
    pub fn reconfigure(&mut self, settings: Settings) {
        let added = settings.classes.iter().skip(self.class_times.len());
        self.class_times.extend(added.map(ClassTimes::initial));
        self.settings = settings;
    }

    /// Sets how many processes serve as this router and the position of this one among them. The processes
    /// share the warm-up budgets of servers.
    pub fn set_process_share(&mut self, processes: u32, position: u32) {
        self.process_share = ProcessShare { processes: processes.max(1), position };
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Instant, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { update, endpoints } => self.on_endpoint_list(now, update, endpoints, out),
            Event::Request(request) => self.on_request(now, request, out),
            Event::FirstByte { request, .. } => self.on_first_byte(request),
            Event::AttemptEnded(outcome) => self.on_attempt_ended(now, outcome, out),
            Event::RequestCancelled(id) => self.finish(id, out),
            Event::Timer(WATCH_RETRY_TIMER) if self.settings.limits.polls_discovery => {
                out.push(Action::WatchEndpoints(true))
            }
            Event::Timer(_) => self.on_tick(now, out),
            Event::HealthChecked { .. } | Event::PeerMessage { .. } => {}
            Event::Purged { purge, age } => self.on_purged(now, purge, age),
        }
        while let Some(id) = self.fetch_limit.next_admitted() {
            self.dispatch(now, id, out);
        }
        self.schedule_tick(out);
    }

    /// Sets the timer of the next tick while requests are open.
    fn schedule_tick(&mut self, out: &mut Vec<Action>) {
        if !self.tick_scheduled && !self.open_requests.is_empty() {
            self.tick_scheduled = true;
            out.push(Action::Timer { token: 0, after: TICK_INTERVAL });
        }
    }

    fn class(&self, request: &Request) -> &Class {
        &self.settings.classes[usize::from(request.class.0)]
    }

    fn class_times(&self, class: ClassId) -> &ClassTimes {
        &self.class_times[usize::from(class.0)]
    }

    fn class_times_mut(&mut self, class: ClassId) -> &mut ClassTimes {
        &mut self.class_times[usize::from(class.0)]
    }

    /// Returns the request's transfer time at top speed, in us; if its size is unknown, the mean of its
    /// class.
    fn transfer_time(&self, request: &Request) -> f64 {
        if request.size_kb > 0.0 && self.settings.topology.transfer_kb_per_s > 0.0 {
            return request.size_kb / self.settings.topology.transfer_kb_per_s * SECOND.as_micros_f64();
        }
        self.class_times(request.class).transfer
    }
}
