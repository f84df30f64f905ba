//! Test support: a router on simulated time, its settings and its servers.

use dahliatrack::*;

pub const MICROSECOND: Span = Span::from_micros(1);
pub const MS: Span = Span::from_millis(1);
pub const SECOND: Span = Span::from_secs(1);
pub const CACHE: u16 = 0;
pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;

/// Returns settings with two routers in zones 0 and 2, their hub in zone 1, and one class of idempotent requests.
pub fn settings() -> Settings {
    let class = Class {
        latency_objective: 600 * MS,
        objective_stretch: 2.0,
        client_deadline: 5 * SECOND,
        priority_weight: 1.0,
        idempotency: Idempotency::Always,
        dedup_scope: DedupScope::All,
        dedup_window: SECOND,
        fresh_for: Span::ZERO,
        stale_for: Span::ZERO,
        uncached: false,
        retired: false,
    };
    Settings { topology: topology(), classes: vec![class], limits: limits(), protection: protection() }
}

fn topology() -> Topology {
    Topology {
        routers: 2,
        ordinal: 0,
        zone: ZoneId(0),
        routers_by_zone: vec![1, 0, 1],
        hub_by_zone: vec![ZoneId(1), ZoneId(1), ZoneId(1)],
        zone_link_kb_per_s: vec![0.0; 3],
        transfer_kb_per_s: 1000.0,
        weights_state_links: true,
        parent_kind: Some(PARENT),
        origin_kind: ORIGIN,
    }
}

fn limits() -> SiteLimits {
    SiteLimits {
        max_attempts: 8,
        parallel_attempts: false,
        cancellation: true,
        health_checks: true,
        peer_messages: false,
        retry_after: true,
        max_retry_after: 200 * MS,
        direct_to_source: false,
        join_fills: true,
        sibling_sources: SiblingSources::SameLocation,
        cache_status_detail: CacheStatusDetail::Full,
        polls_discovery: false,
    }
}

fn protection() -> ProtectionRules {
    ProtectionRules {
        cache_slow_start: SlowStartRules {
            initial_share: 0.25,
            full_after: 10 * SECOND,
            overload_multiple: 2.0,
        },
        parent_slow_start: SlowStartRules {
            initial_share: 0.1,
            full_after: 10 * SECOND,
            overload_multiple: 2.0,
        },
        overload_window: SECOND,
        purge_grace: 300 * MS,
        purge_settled_after: 6 * SECOND,
        max_list_age: 10 * SECOND,
    }
}

pub fn endpoint(server: u32, kind: u16, zone: u16) -> Endpoint {
    let state = ServerState::Ready;
    Endpoint {
        server: ServerId(server),
        started_at: None,
        weight: 100.0,
        kind,
        cell: 0,
        zone: ZoneId(zone),
        state,
    }
}

/// Returns three caches of the own location, one of another, two parents at the hub, and the origin.
pub fn endpoints() -> Vec<Endpoint> {
    let mut all: Vec<Endpoint> = (1..=3).map(|id| endpoint(id, CACHE, 0)).collect();
    all.extend([
        endpoint(9, CACHE, 2),
        endpoint(11, PARENT, 1),
        endpoint(12, PARENT, 1),
        endpoint(21, ORIGIN, 1),
    ]);
    all
}

pub fn request(id: u64, object: u64) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(0),
        tenant: 0,
        object: ObjectId(object),
        part: 0,
        group: GroupId(5),
        client_timeout: 5 * SECOND,
        size_kb: 100.0,
        is_retry: false,
        is_write: false,
    }
}

pub struct Harness {
    pub router: Router,
    pub now: Instant,
    pub next_id: u64,
}

impl Harness {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        let mut harness = Harness {
            router: Router::new(settings, 1, Instant::ZERO).expect("usable settings"),
            now: Instant::ZERO,
            next_id: 0,
        };
        harness.update_endpoints(ListUpdate::Full, endpoints);
        harness
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    pub fn update_endpoints(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        self.event(Event::EndpointList { update, endpoints });
    }

    pub fn send_request(&mut self, object: u64) -> (RequestId, Vec<Action>) {
        self.next_id += 1;
        let request = request(self.next_id, object);
        (request.id, self.event(Event::Request(request)))
    }

    /// Requests an object of the given size, KB; 0 if it is unknown.
    pub fn send_request_of_size(&mut self, object: u64, size_kb: f64) -> (RequestId, Vec<Action>) {
        self.next_id += 1;
        let request = Request { size_kb, ..request(self.next_id, object) };
        (request.id, self.event(Event::Request(request)))
    }

    pub fn first_attempt(&mut self, object: u64) -> FillAttempt {
        let (_, actions) = self.send_request(object);
        attempt_in(&actions).unwrap_or_else(|| panic!("no attempt in {actions:?}"))
    }

    pub fn end_attempt(
        &mut self,
        attempt: &FillAttempt,
        number: u8,
        result: AttemptResult,
        status: Option<CacheStatus>,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptOutcome {
            request: attempt.request,
            attempt: number,
            server: attempt.server,
            result,
            cache_status: status,
            elapsed: 100 * MS,
            fill_wait: 10 * MS,
            transfer_time: Span::ZERO,
            finished: result == AttemptResult::Ok,
            load_report: vec![],
        }))
    }

    pub fn serve(&mut self, object: u64) -> FillAttempt {
        let attempt = self.first_attempt(object);
        self.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
        attempt
    }

    /// Advances the time in ticks and returns the actions of all of them.
    pub fn advance(&mut self, span: Span) -> Vec<Action> {
        let until = self.now + span;
        let mut all = Vec::new();
        while self.now < until {
            self.now += 20 * MS;
            all.extend(self.event(Event::Timer(0)));
        }
        all
    }

    /// Makes an object popular and returns its home.
    pub fn make_popular(&mut self, object: u64) -> ServerId {
        let home = self.serve(object).server;
        for _ in 0..3 {
            self.serve(object);
        }
        home
    }
}

pub fn attempt_in(actions: &[Action]) -> Option<FillAttempt> {
    actions.iter().find_map(|action| match action {
        Action::SendWithFill(attempt) => Some(attempt.clone()),
        _ => None,
    })
}

pub fn retry_after_in(actions: &[Action]) -> Option<Span> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

/// Returns a router whose fetches have failed for a while, and its fetches in flight, which have reached the low
/// limit.
pub fn harness_with_low_fetch_limit(settings: Settings) -> (Harness, Vec<FillAttempt>) {
    // The minimum limit of all routers together is one fetch, so there is a single router here.
    let topology = Topology { routers: 1, ..settings.topology };
    let mut harness = Harness::new(Settings { topology, ..settings }, endpoints());
    for object in 1..80 {
        harness.now += 100 * MS;
        let attempt = harness.first_attempt(object);
        harness.end_attempt(&attempt, 0, AttemptResult::Error, Some(CacheStatus::OriginFailed));
    }
    let in_flight: Vec<FillAttempt> = (100..200)
        .map(|object| harness.first_attempt(object))
        .take_while(|attempt| !attempt.only_if_cached)
        .collect();
    assert!((1..10).contains(&in_flight.len()), "{} fetches may be in flight", in_flight.len());
    (harness, in_flight)
}
