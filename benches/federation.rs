//! Measures how long a federation of whole processes is without a leader or duty holder after a fault, and
//! request latency in several states of the federation. Run with `cargo bench --bench federation`; it takes a
//! few minutes and is not part of CI.

#[allow(dead_code)]
#[path = "../tests/federation/relay.rs"]
mod relay;
#[allow(dead_code)]
#[path = "../tests/federation/rig.rs"]
mod rig;
#[allow(dead_code)]
#[path = "../tests/sockets/stand_ins.rs"]
mod stand_ins;

use hdrhistogram::Histogram;
use relay::Mode;
use rig::{voters, Rig};
use serde_json::Value;
use std::time::Instant;

const ROUNDS: usize = 20;
const REQUESTS: usize = 3000;

/// Sets the tick and the silence timeout to their defaults, as in the deployed file.
fn defaults(text: String) -> String {
    text.replace("tick_ms = 40", "tick_ms = 50").replace("silent_ms = 1200", "silent_ms = 2000")
}

fn print_times(what: &str, times: &Histogram<u64>, unit: &str) {
    let [p50, p99] = [0.5, 0.99].map(|q| times.value_at_quantile(q));
    println!("{what}: p50 {p50} p99 {p99} max {} {unit} ({} plays)", times.max(), times.len());
}

/// Returns the leader and its term.
fn leader(view: &Value) -> Option<(u64, u64)> {
    Some((view["leader"].as_u64().filter(|id| *id != 0)?, view["term"].as_u64()?))
}

/// Returns the holder of the first duty, and its token.
fn holder(view: &Value) -> Option<(u64, u64)> {
    let duty = view["duties"].as_array()?.first()?;
    Some((duty["holder"].as_u64()?, duty["token"].as_u64()?))
}

/// Measures how long after each fault it takes until `holder_of` returns another member with a higher term or
/// token.
fn measure_takeovers(what: &str, holder_of: impl Fn(&Value) -> Option<(u64, u64)>) {
    for fault in ["kill", "stop", "cut", "term"] {
        let mut times = Histogram::<u64>::new(3).expect("a valid precision");
        let mut rig = Rig::with_files(&format!("bench-{what}-{fault}"), voters(1..=3), defaults);
        for _ in 0..ROUNDS {
            rig.wait_for_agreement(&[1, 2, 3]);
            let (id, number) =
                holder_of(&rig.wait_for_view(1, what, |view| holder_of(view).is_some())).expect("a holder");
            let others = rig.others(id);
            let since = Instant::now();
            match fault {
                "kill" => rig.kill(id),
                "stop" => rig.signal(id, "-STOP"),
                "cut" => rig.set_relay_modes(id, Mode::Cut, (true, true)),
                _ => rig.signal(id, "-TERM"),
            }
            rig.wait_for_view(others[0], "another", |view| {
                holder_of(view).is_some_and(|(next, n)| next != id && n > number)
            });
            times.record(since.elapsed().as_millis() as u64).expect("in range");
            match fault {
                "stop" => rig.signal(id, "-CONT"),
                "cut" => rig.set_relay_modes(id, Mode::Pass, (true, true)),
                _ => {
                    rig.kill(id);
                    rig.start(id);
                }
            }
        }
        print_times(&format!("{what} after {fault}"), &times, "ms");
    }
}

fn measure_requests() {
    let mut rig = Rig::with_files("bench-requests", voters(1..=3), defaults);
    let measure = |what: &str, rig: &mut Rig, id: u64| {
        let mut times = Histogram::<u64>::new(3).expect("a valid precision");
        for _ in 0..REQUESTS {
            let since = Instant::now();
            rig.assert_serves(id);
            times.record(since.elapsed().as_micros() as u64).expect("in range");
        }
        print_times(&format!("requests, {what}"), &times, "us");
    };
    let leader = rig.wait_for_agreement(&[1, 2, 3]);
    let other = rig.others(leader)[0];
    measure("at the leader", &mut rig, leader);
    measure("at a follower", &mut rig, other);
    rig.others(other).into_iter().for_each(|id| rig.kill(id));
    rig.wait_for_view(other, "no leader", |view| view["leader"] == 0);
    measure("without a majority", &mut rig, other);
    let mut alone = Rig::empty("bench-alone");
    alone.start_alone(1);
    measure("without a federation", &mut alone, 1);
}

fn main() {
    // Does nothing when Cargo runs it with `--list`, or with `--test` as a test.
    if std::env::args().any(|arg| arg == "--list" || arg == "--test") {
        return;
    }
    measure_takeovers("leader", leader);
    measure_takeovers("holder", holder);
    measure_requests();
}
