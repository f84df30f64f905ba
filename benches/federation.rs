//! How long a federation of whole programs is without a leader after a fault, and what the edge proxy's requests notice of
//! it: `cargo bench --bench federation`. A few minutes; not part of CI.

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
use std::time::Instant;

const ROUNDS: usize = 20;
const REQUESTS: usize = 3000;

/// The ticks and the silence of the deployed file's defaults.
fn defaults(text: String) -> String {
    text.replace("tick_ms = 20", "tick_ms = 50").replace("silent_ms = 600", "silent_ms = 2000")
}

fn told(what: &str, times: &Histogram<u64>, unit: &str) {
    let [p50, p99] = [0.5, 0.99].map(|q| times.value_at_quantile(q));
    println!("{what}: p50 {p50} p99 {p99} max {} {unit} ({} plays)", times.max(), times.len());
}

fn takeovers() {
    for fault in ["kill", "stop", "cut", "term"] {
        let mut times = Histogram::<u64>::new(3).expect("digits");
        let mut rig = Rig::with(&format!("bench-{fault}"), voters(1..=3), defaults);
        for _ in 0..ROUNDS {
            let leader = rig.agree(&[1, 2, 3]);
            let others = rig.others(leader);
            let since = Instant::now();
            match fault {
                "kill" => rig.kill(leader),
                "stop" => rig.signal(leader, "-STOP"),
                "cut" => rig.isolate(leader, Mode::Cut, (true, true)),
                _ => rig.signal(leader, "-TERM"),
            }
            rig.until(others[0], "another leader", |view| view["leader"] != 0 && view["leader"] != leader);
            times.record(since.elapsed().as_millis() as u64).expect("in range");
            match fault {
                "stop" => rig.signal(leader, "-CONT"),
                "cut" => rig.isolate(leader, Mode::Pass, (true, true)),
                _ => {
                    rig.kill(leader);
                    rig.start(leader);
                }
            }
        }
        told(&format!("leader after {fault}"), &times, "ms");
    }
    for fault in ["kill", "stop", "cut", "term"] {
        let mut times = Histogram::<u64>::new(3).expect("digits");
        let mut rig = Rig::with(&format!("bench-duty-{fault}"), voters(1..=3), defaults);
        for _ in 0..ROUNDS {
            rig.agree(&[1, 2, 3]);
            let lease = |view: &serde_json::Value| {
                let duty = view["duties"].as_array()?.first()?;
                Some((duty["holder"].as_u64()?, duty["token"].as_u64()?))
            };
            let (holder, token) =
                lease(&rig.until(1, "a holder", |view| lease(view).is_some())).expect("one");
            let others = rig.others(holder);
            let since = Instant::now();
            match fault {
                "kill" => rig.kill(holder),
                "stop" => rig.signal(holder, "-STOP"),
                "cut" => rig.isolate(holder, Mode::Cut, (true, true)),
                _ => rig.signal(holder, "-TERM"),
            }
            rig.until(others[0], "another holder", |view| lease(view).is_some_and(|(_, next)| next > token));
            times.record(since.elapsed().as_millis() as u64).expect("in range");
            match fault {
                "stop" => rig.signal(holder, "-CONT"),
                "cut" => rig.isolate(holder, Mode::Pass, (true, true)),
                _ => {
                    rig.kill(holder);
                    rig.start(holder);
                }
            }
        }
        told(&format!("holder after {fault}"), &times, "ms");
    }
}

fn requests() {
    let mut rig = Rig::with("bench-requests", voters(1..=3), defaults);
    let play = |what: &str, rig: &mut Rig, id: u64| {
        let mut times = Histogram::<u64>::new(3).expect("digits");
        for _ in 0..REQUESTS {
            let since = Instant::now();
            rig.serves(id);
            times.record(since.elapsed().as_micros() as u64).expect("in range");
        }
        told(&format!("requests, {what}"), &times, "us");
    };
    let leader = rig.agree(&[1, 2, 3]);
    let other = rig.others(leader)[0];
    play("at the leader", &mut rig, leader);
    play("at a follower", &mut rig, other);
    rig.others(other).into_iter().for_each(|id| rig.kill(id));
    rig.until(other, "no leader", |view| view["leader"] == 0);
    play("without a majority", &mut rig, other);
    let mut alone = Rig::empty("bench-alone");
    alone.start_alone(1);
    play("without a federation", &mut alone, 1);
}

fn main() {
    // Cargo asks a bench for its list, and runs it as a test, with arguments of its own.
    if std::env::args().any(|arg| arg == "--list" || arg == "--test") {
        return;
    }
    takeovers();
    requests();
}
