//! Slow start: the budget of warming servers, which all routers share.

use crate::support::*;
use dahliatrack::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Returns the settings of the router with this ordinal.
fn with_ordinal(settings: &Settings, ordinal: u32) -> Settings {
    let topology = Topology { ordinal, ..settings.topology.clone() };
    Settings { topology, ..settings.clone() }
}

/// Plays ten seconds of routers that share a warming server. Returns the times (ms) of the requests that reached it.
fn sent_while_warming(routers: u32, list: &[Endpoint], warming: u32, as_source: bool) -> Vec<i64> {
    let mut custom = settings();
    custom.topology.routers = routers;
    custom.topology.routers_by_zone = vec![routers, 0, 0];
    let mut all: Vec<Harness> =
        (0..routers).map(|ordinal| Harness::new(with_ordinal(&custom, ordinal), list.to_vec())).collect();
    let mut sent = Vec::new();
    for step in 0..40 {
        for (ordinal, harness) in all.iter_mut().enumerate() {
            harness.now = Instant::ZERO + step * 250 * MS + ordinal as i64 % 250 * MS;
            let (_, actions) = harness.send_request(1 + step as u64 * 1000 + ordinal as u64);
            let Some(attempt) = attempt_in(&actions) else { continue };
            if attempt.server.0 == warming || (as_source && attempt.source.0 == warming) {
                sent.push((harness.now - Instant::ZERO) / MS);
            }
            harness.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
        }
    }
    sent
}

/// Returns the highest use of the budget in any window of one second: transfer time (0.1 s a request) over what the
/// warming server can take then.
fn peak_budget_use(sent: &[i64], initial_share: f64, weight: f64) -> f64 {
    let in_span = |from: i64| sent.iter().filter(|at| (from..from + 1000).contains(*at)).count() as f64;
    let capacity =
        |from: i64| 2.0 * weight * (initial_share + (1.0 - initial_share) * from as f64 / 10_000.0);
    sent.iter().map(|from| in_span(*from) * 0.1 / capacity(*from)).fold(0.0, f64::max)
}

#[test]
fn one_to_240_routers_keep_within_a_warm_up_budget_and_use_it() {
    for routers in [1, 4, 240] {
        let warming = |server, kind, zone| Endpoint {
            started_at: Some(Instant::ZERO),
            weight: 10.0,
            ..endpoint(server, kind, zone)
        };
        let parents =
            [endpoint(1, CACHE, 0), warming(11, PARENT, 1), endpoint(12, PARENT, 1), endpoint(21, ORIGIN, 1)];
        let sent = sent_while_warming(routers, &parents, 11, true);
        let peak = peak_budget_use(&sent, 0.1, 10.0);
        assert!(
            !sent.is_empty() && peak <= 1.0,
            "parent, {routers} routers: {} sends, {peak:.2}",
            sent.len()
        );
        let caches =
            [warming(1, CACHE, 0), endpoint(2, CACHE, 0), endpoint(11, PARENT, 1), endpoint(21, ORIGIN, 1)];
        let sent = sent_while_warming(routers, &caches, 1, false);
        let peak = peak_budget_use(&sent, 0.25, 10.0);
        assert!(!sent.is_empty() && peak <= 1.0, "cache, {routers} routers: {} sends, {peak:.2}", sent.len());
    }
}

#[test]
fn warming_cache_gets_at_most_its_budget_in_a_window() {
    let mut warming = endpoint(1, CACHE, 0);
    (warming.started_at, warming.weight) = (Some(Instant::ZERO), 10.0);
    let mut harness = Harness::new(settings(), vec![warming, endpoint(21, ORIGIN, 1)]);
    // 2 x (0.25 of 10) transfers x 1 s = 5 s of transfer time may reach it. The mean transfer time starts at the
    // latency objective, 0.6 s.
    let sent = (0..100).filter(|object| attempt_in(&harness.send_request(100 + object).1).is_some()).count();
    assert!((1..=50).contains(&sent), "{sent} of 0.1 s each");
    let before = sent;
    harness.now += SECOND + MICROSECOND;
    assert!(
        attempt_in(&harness.send_request(7).1).is_some(),
        "the window has passed, after {before} requests"
    );
}

#[test]
fn warming_parents_budget_is_shared_and_counts_possible_fills() {
    let mut warming = endpoint(11, PARENT, 1);
    (warming.started_at, warming.weight) = (Some(Instant::ZERO), 20.0);
    let mut harness = Harness::new(settings(), vec![endpoint(1, CACHE, 0), warming, endpoint(12, PARENT, 1)]);
    let fills = (0..400).filter(|object| harness.serve(*object).source.0 == 11).count();
    // 2 x (0.1 of 20) x 1 s over 2 routers = 2 s at most; each fill takes 0.1 s or more.
    assert!(fills > 0 && fills <= 20, "{fills}");
}

/// Guards against two processes of one router that each spend the whole budget of a warming cache.
#[test]
fn processes_of_one_router_share_a_warming_caches_budget() {
    let sent = |processes: u32| -> usize {
        let mut list = endpoints();
        list.retain(|m| m.kind != CACHE || m.server == ServerId(1));
        let mut harness = Harness::new(settings(), list.clone());
        harness.now = Instant::ZERO + SECOND;
        list[0].started_at = Some(harness.now);
        harness.update_endpoints(ListUpdate::Delta, vec![list[0]]);
        harness.router.set_process_share(processes, 0);
        let large = |id| Event::Request(Request { size_kb: 1000.0, ..request(id, id) });
        (0..200).filter(|id| attempt_in(&harness.event(large(*id))).is_some()).count()
    };
    let (alone, shared) = (sent(1), sent(2));
    assert!(shared > 0 && 2 * shared <= alone, "{alone} alone, {shared} shared");
}

/// The requests of several routers to one warming server. Each router has a Poisson stream of its own; the first has
/// four times the rate of the others, as at a busy location.
struct WarmingFleet {
    routers: u32,
    /// The warming server: a cache, or a parent that is a fill source.
    server: Endpoint,
    /// When it starts or joins.
    starts: Instant,
    /// When the request rate triples.
    burst: Instant,
    /// Whether each router is configured as if it were the only one.
    undivided: bool,
}

const FLEET_SECONDS: i64 = 8;
/// Transfer time of a request, s: 100 KB at 1000 KB/s.
const TRANSFER_S: f64 = 0.1;

impl WarmingFleet {
    /// Returns the times of the requests that reach the server, in order.
    fn sends(&self, seed: u64) -> Vec<Instant> {
        let count = if self.undivided { 1 } else { self.routers };
        let mut fleet_settings = settings();
        fleet_settings.topology.routers = count;
        fleet_settings.topology.routers_by_zone = vec![count, 0, 0];
        let settings_of = |ordinal| with_ordinal(&fleet_settings, if self.undivided { 0 } else { ordinal });
        let warming = Endpoint { started_at: Some(self.starts), ..self.server };
        let mut list = endpoints();
        list.retain(|known| known.server != warming.server && known.kind != warming.kind);
        list.push(Endpoint { server: ServerId(warming.server.0 + 1), started_at: None, ..warming });
        let mut sends = Vec::new();
        for ordinal in 0..self.routers {
            let mut random = ChaCha8Rng::seed_from_u64(seed << 8 | u64::from(ordinal));
            let mut harness = Harness::new(settings_of(ordinal), list.clone());
            let busy = if ordinal == 0 { 4.0 } else { 1.0 };
            let mut listed = false;
            loop {
                let burst = if harness.now >= self.burst { 3.0 } else { 1.0 };
                let rate = 60.0 * busy * burst / f64::from(self.routers);
                let gap = -random.random_range(f64::EPSILON..1.0_f64).ln() / rate;
                harness.now += Span::from_micros_f64(gap * SECOND.as_micros_f64()) + MICROSECOND;
                if harness.now > Instant::ZERO + FLEET_SECONDS * SECOND {
                    break;
                }
                if !listed && harness.now >= self.starts {
                    harness.update_endpoints(ListUpdate::Delta, vec![warming]);
                    listed = true;
                }
                let (_, actions) = harness.send_request(random.random_range(0..10_000));
                let Some(attempt) = attempt_in(&actions) else { continue };
                if attempt.server == warming.server || attempt.source == warming.server {
                    sends.push(harness.now);
                }
                harness.end_attempt(&attempt, 0, AttemptResult::Ok, Some(CacheStatus::Filled));
            }
        }
        sends.sort_unstable();
        sends
    }

    /// Returns the largest excess, in requests, of a window over N + 2 sqrt(N) + 2, where N is what the rules allow in
    /// the window.
    fn excess(&self, seed: u64) -> f64 {
        let rules = settings().protection;
        let slow_start = match self.server.kind {
            PARENT => rules.parent_slow_start,
            _ => rules.cache_slow_start,
        };
        let SlowStartRules { initial_share: share, full_after: warm, overload_multiple: multiple } =
            slow_start;
        let sends = self.sends(seed);
        assert!(!sends.is_empty(), "the server is used while it warms up");
        let over = |from: &Instant| {
            let capacity_share = share
                + (1.0 - share) * from.saturating_since(self.starts).as_micros_f64() / warm.as_micros_f64();
            let span = rules.overload_window.as_micros_f64() / SECOND.as_micros_f64();
            let allowed = multiple * capacity_share * self.server.weight * span / TRANSFER_S;
            let count = sends.iter().filter(|at| (*from..*from + rules.overload_window).contains(at)).count();
            count as f64 - (allowed + 2.0 * allowed.sqrt() + 2.0)
        };
        sends.iter().map(over).fold(f64::MIN, f64::max)
    }
}

/// Returns four cases: a warming cache or parent that starts at 0 s or joins at 2 s, with a burst of requests from 2 s
/// or 3 s on.
fn warming_fleets(routers: u32, undivided: bool) -> Vec<WarmingFleet> {
    let cache = Endpoint { weight: 1.0, ..endpoint(1, CACHE, 0) };
    let parent = Endpoint { weight: 2.0, ..endpoint(11, PARENT, 1) };
    let with = |server, starts, burst| {
        let (starts, burst) = (Instant::ZERO + starts, Instant::ZERO + burst);
        WarmingFleet { routers, server, starts, burst, undivided }
    };
    vec![
        with(cache, Span::ZERO, 2 * SECOND),
        with(cache, 2 * SECOND, 2 * SECOND),
        with(parent, Span::ZERO, 2 * SECOND),
        with(parent, 2 * SECOND, 3 * SECOND),
    ]
}

#[test]
fn routers_of_unequal_load_keep_within_a_warm_up_budget() {
    for routers in [5, 20, 30] {
        for (case, fleet) in warming_fleets(routers, false).iter().enumerate() {
            for seed in 0..5 {
                let excess = fleet.excess(seed);
                assert!(
                    excess <= 0.0,
                    "{routers} routers, case {case}, seed {seed}: {excess:.1} requests over the limit"
                );
            }
        }
    }
}

/// Shows that the check can fail: routers that each use the whole budget exceed it.
#[test]
fn budget_that_is_not_divided_is_exceeded() {
    for routers in [5, 20, 30] {
        for (case, fleet) in warming_fleets(routers, true).iter().enumerate() {
            let worst = (0..5).map(|seed| fleet.excess(seed)).fold(f64::MIN, f64::max);
            assert!(worst > 0.0, "{routers} routers, case {case}: {worst:.1}");
        }
    }
}
