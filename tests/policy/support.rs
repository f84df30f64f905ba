//! A router on passed-in time, its settings and its servers.

use dahliatrack::*;

pub const MICROSECOND: Span = Span::from_micros(1);
pub const MS: Span = Span::from_millis(1);
pub const SECOND: Span = Span::from_secs(1);
pub const CACHE: u16 = 0;
pub const PARENT: u16 = 1;
pub const ORIGIN: u16 = 2;

/// Two routers in zones 0 and 2, with the hub between them, and one class of idempotent requests.
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

pub fn member(server: u32, kind: u16, zone: u16) -> Endpoint {
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

/// Three caches of the own location, one of another, two hub parents, the origin.
pub fn fleet() -> Vec<Endpoint> {
    let mut all: Vec<Endpoint> = (1..=3).map(|id| member(id, CACHE, 0)).collect();
    all.extend([member(9, CACHE, 2), member(11, PARENT, 1), member(12, PARENT, 1), member(21, ORIGIN, 1)]);
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

pub struct Bench {
    pub router: Router,
    pub now: Instant,
    pub next: u64,
}

impl Bench {
    pub fn new(settings: Settings, members: Vec<Endpoint>) -> Self {
        let mut bench = Bench {
            router: Router::new(settings, 1, Instant::ZERO).expect("usable"),
            now: Instant::ZERO,
            next: 0,
        };
        bench.list(ListUpdate::Full, members);
        bench
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.router.handle(self.now, event, &mut out);
        out
    }

    pub fn list(&mut self, kind: ListUpdate, entries: Vec<Endpoint>) {
        self.event(Event::EndpointList { update: kind, endpoints: entries });
    }

    pub fn ask(&mut self, object: u64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request = request(self.next, object);
        (request.id, self.event(Event::Request(request)))
    }

    /// Asks for an object whose size (KB) is told, or not (0).
    pub fn open(&mut self, object: u64, size_kb: f64) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let request = Request { size_kb, ..request(self.next, object) };
        (request.id, self.event(Event::Request(request)))
    }

    pub fn get(&mut self, object: u64) -> FillAttempt {
        let (_, actions) = self.ask(object);
        get_of(&actions).unwrap_or_else(|| panic!("no attempt in {actions:?}"))
    }

    pub fn end(
        &mut self,
        get: &FillAttempt,
        attempt: u8,
        result: AttemptResult,
        note: Option<CacheStatus>,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptOutcome {
            request: get.request,
            attempt,
            server: get.server,
            result,
            cache_status: note,
            elapsed: 100 * MS,
            fill_wait: 10 * MS,
            transfer_time: Span::ZERO,
            finished: result == AttemptResult::Ok,
            load_report: vec![],
        }))
    }

    pub fn served(&mut self, object: u64) -> FillAttempt {
        let get = self.get(object);
        self.end(&get, 0, AttemptResult::Ok, Some(CacheStatus::Hit));
        get
    }

    /// Lets time pass in ticks; gives the actions of all of them.
    pub fn pass(&mut self, span: Span) -> Vec<Action> {
        let until = self.now + span;
        let mut all = Vec::new();
        while self.now < until {
            self.now += 20 * MS;
            all.extend(self.event(Event::Timer(0)));
        }
        all
    }

    /// Makes an object popular and gives its home.
    pub fn popular(&mut self, object: u64) -> ServerId {
        let home = self.served(object).server;
        for _ in 0..3 {
            self.served(object);
        }
        home
    }
}

pub fn get_of(actions: &[Action]) -> Option<FillAttempt> {
    actions.iter().find_map(|action| match action {
        Action::SendWithFill(get) => Some(get.clone()),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> Option<Span> {
    actions.iter().find_map(|action| match action {
        Action::Reject { retry_after, .. } => Some(*retry_after),
        _ => None,
    })
}

/// A bench whose fetches have failed for a while: few may be out, and so many are.
pub fn slowed(settings: Settings) -> (Bench, Vec<FillAttempt>) {
    // The least of all routers together is one: here there is one.
    let topology = Topology { routers: 1, ..settings.topology };
    let mut bench = Bench::new(Settings { topology, ..settings }, fleet());
    for object in 1..80 {
        bench.now += 100 * MS;
        let get = bench.get(object);
        bench.end(&get, 0, AttemptResult::Error, Some(CacheStatus::OriginFailed));
    }
    let out: Vec<FillAttempt> =
        (100..200).map(|object| bench.get(object)).take_while(|get| !get.only_if_cached).collect();
    assert!((1..10).contains(&out.len()), "{} fetches may be out", out.len());
    (bench, out)
}
