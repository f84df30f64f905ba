//! One simulated run: processes of the edge proxy (the program's own server, unchanged) on a virtual clock,
//! with stand-in clients, hosts and control feed, and a script of faults. Every random choice is drawn from
//! the seed.
//!
//! - `setup`: draws the site of a run and creates its world; `traffic`: draws its requests.
//! - `event_queue`: events that are scheduled besides those of the network and the processes;
//!   `scheduled_events` handles them.
//! - `network`: passes what arrives on the network to `clients`, `hosts` and `feed`; `answers` checks what
//!   clients get.
//! - `processes`: starts, runs and ends the edge proxy's processes.
//! - `faults`: begins the faults, by kind.
//! - `outcome`: the result of a run.

mod answers;
mod clients;
mod event_queue;
mod faults;
mod feed;
mod hosts;
mod network;
mod outcome;
mod process_id;
mod processes;
mod scheduled_events;
mod setup;
mod traffic;

pub use outcome::{AnswerCounts, RunOutcome};

use super::rules::Rules;
use crate::interface::{Instant, Span};
use crate::net::fabric::{host as numbered_address, Fabric, TraceSummary};
use crate::net::Ready;
use crate::standin::faults::{Fault, RunPlan};
use crate::standin::fleet::Fleet;
use crate::standin::ids::{ClientId, HostId};
use clients::Client;
use event_queue::{EventQueue, ScheduledEvent};
use faults::DescriptorShortage;
use feed::Feed;
use processes::Processes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use traffic::{PlannedRequest, RequestNumber};

/// Unix time at which runs start, since the virtual clock reads Unix time.
const START: Instant = Instant::from_micros(1_700_000_000_000_000);
/// Numbers of the virtual addresses of the edge proxy's listener for clients and of the control feed. Hosts
/// are numbered from 0.
const FRONT: u16 = 1_000;
const FEED: u16 = 900;
/// Largest number of steps of a run; a run that needs more is taken for an endless loop, a breach of the rule
/// "spins".
const MAX_STEPS: usize = 1_000_000;
/// Random stream that draws the order of events that happen at the same time.
const ORDER_STREAM: u64 = 3;

/// A bug that is planted on purpose, to show that the rules find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum PlantedBug {
    /// The edge proxy treats `result` as an idempotent class, and retries it after a reset
    ResultTwice,
    /// The control feed withholds drains and removals from the edge proxy
    DeafToDrains,
    /// The control feed withholds purges from the edge proxy
    DeafToPurges,
    /// Clients neither send cancellations nor close their connections
    DeafToClients,
    /// The edge proxy's settings state a far longer window for repeated writes than the rules allow
    LongWindow,
    /// The edge proxy's deadlines run on the wall clock instead of the monotonic clock
    WallDeadlines,
}

/// State of a run in progress.
struct World<'a> {
    plan: &'a RunPlan,
    planted_bug: Option<PlantedBug>,
    seed: u64,
    fabric: Fabric,
    now: Instant,
    /// Draws the hosts' service times.
    random: ChaCha8Rng,
    event_queue: EventQueue,
    requests: Vec<PlannedRequest>,
    /// Clients, indexed by their ids.
    clients: Vec<Client>,
    fleet: Fleet,
    host_ids: BTreeMap<SocketAddr, HostId>,
    feed: Feed,
    /// Configuration of each process, without its seed and the events that are known when it starts.
    base_config: Value,
    processes: Processes,
    descriptor_shortage: DescriptorShortage,
    rules: Rules,
    answers: AnswerCounts,
    /// Whether the run is ending: all processes got SIGTERM, and no process, upgrade or request is started
    /// any more.
    is_ending: bool,
}

/// Plays one run of a plan with a seed and the given faults, and returns its outcome.
pub fn run(plan: &RunPlan, seed: u64, faults: &[Fault], planted_bug: Option<PlantedBug>) -> RunOutcome {
    let mut world = World::new(plan, seed, planted_bug);
    for fault in faults {
        let at = START + Span::from_millis(fault.at_ms);
        world.event_queue.schedule(at, ScheduledEvent::Fault(fault.kind));
    }
    let ties = world.play();
    let TraceSummary { digest: trace, steps } = world.fabric.trace();
    RunOutcome {
        breaches: world.rules.breaches,
        trace,
        steps,
        answers: world.answers,
        ties,
        processes: world.processes.started(),
    }
}

/// Times of the next events.
struct NextMoment {
    /// Earliest deadline of a process.
    deadline: Option<Instant>,
    /// Earliest arrival on the network or scheduled event.
    arrival: Option<Instant>,
}

impl NextMoment {
    fn time(&self) -> Option<Instant> {
        self.deadline.into_iter().chain(self.arrival).min()
    }

    /// Whether a deadline has expired and something has arrived by this time.
    fn is_tie(&self, now: Instant) -> bool {
        let is_due = |at: Instant| at <= now;
        self.deadline.is_some_and(is_due) && self.arrival.is_some_and(is_due)
    }
}

impl World<'_> {
    /// Plays until all processes have ended. Returns the number of ties: moments at which something arrived
    /// and a deadline expired at the same time.
    fn play(&mut self) -> u64 {
        let mut ready: Vec<Ready> = Vec::new();
        let mut order = random_stream(self.seed, ORDER_STREAM);
        let mut ties = 0;
        for step in 0.. {
            let next = self.next_moment();
            let Some(time) = next.time() else { break };
            if step == MAX_STEPS {
                self.rules.record_breach(self.now, "spins", format!("{MAX_STEPS} steps"));
                break;
            }
            self.now = self.now.max(time);
            self.fabric.advance(self.now);
            let is_tie = next.is_tie(self.now);
            ties += u64::from(is_tie);
            // In service a process may handle the deadline before or after what arrives at the same moment,
            // so the order is drawn.
            if is_tie && order.random_range(0..2) == 0 {
                self.turn_processes(&mut ready);
            }
            self.step(&mut ready);
            if self.is_ending && self.processes.is_empty() {
                break;
            }
        }
        if !self.processes.is_empty() {
            self.rules.record_breach(self.now, "not-stopped", "a process has not ended".into());
        }
        ties
    }

    fn next_moment(&self) -> NextMoment {
        let deadline = self.processes.next_deadline().map(|at| at - self.deadline_clock_lead());
        let arrival = self.fabric.next_event_at().into_iter().chain(self.event_queue.next_time()).min();
        NextMoment { deadline, arrival }
    }

    /// Handles all events that are due now, and lets the processes handle what has arrived.
    fn step(&mut self, ready: &mut Vec<Ready>) {
        while let Some(event) = self.event_queue.take_due(self.now) {
            self.handle(event);
        }
        self.fabric.run_due_events();
        self.deliver();
        self.turn_processes(ready);
        self.deliver();
    }
}

fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}

/// Returns the virtual address of a host.
fn host_address(host: HostId) -> SocketAddr {
    numbered_address(host.0 as u16)
}
