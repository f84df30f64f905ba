//! One simulated run: edge proxies (the program's own server, unchanged) on a virtual clock, and around them clients,
//! hosts and the control feed, with a script of faults. Everything that is left to chance is drawn from the seed.
//!
//! - `setup`: the site of a run; `traffic`: its requests, drawn from the seed.
//! - `agenda`: what is scheduled besides what the network and the processes do by themselves; `scheduled_events` carries
//!   it out.
//! - `network`: passes what arrives on the network to `clients` (their answers to `answers`), `hosts` and `feed`.
//! - `processes`: starts, turns and ends the edge proxy's processes.
//! - `faults`: what goes wrong, by kind.
//! - `outcome`: how a run came out.

mod agenda;
mod answers;
mod clients;
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
use agenda::{Agenda, ScheduledEvent};
use clients::Client;
use faults::DescriptorShortage;
use feed::Feed;
use processes::Processes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use traffic::{PlannedRequest, RequestNumber};

/// The Unix time at which runs start: the virtual clock reads Unix time.
const START: Instant = Instant::from_micros(1_700_000_000_000_000);
/// The virtual addresses' numbers of the clients' front and of the control feed; hosts have theirs from 0.
const FRONT: u16 = 1_000;
const FEED: u16 = 900;
/// The steps of a run at most: more mean an endless loop.
const MAX_STEPS: usize = 1_000_000;
/// The random stream that orders what happens at the same time.
const ORDER_STREAM: u64 = 3;

/// A bug planted on purpose, to show that the rules find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Sabotage {
    /// The edge proxy takes `result` for a class whose repeats do no harm, and sends it again after a reset
    ResultTwice,
    /// The control feed never tells the edge proxy of drains and removals
    DeafToDrains,
    /// The control feed never tells it of purges
    DeafToPurges,
    /// Clients that leave never say so
    DeafToClients,
    /// The edge proxy is told a far longer window for repeats than holds
    LongWindow,
    /// The edge proxy's deadlines run on the wall clock
    WallDeadlines,
}

/// A run under way.
struct World<'a> {
    plan: &'a RunPlan,
    sabotage: Option<Sabotage>,
    seed: u64,
    fabric: Fabric,
    now: Instant,
    /// For service times.
    random: ChaCha8Rng,
    agenda: Agenda,
    requests: Vec<PlannedRequest>,
    /// In the order of their ids.
    clients: Vec<Client>,
    fleet: Fleet,
    host_ids: BTreeMap<SocketAddr, HostId>,
    feed: Feed,
    /// The configuration of each process, but for its seed and the events known so far.
    base_config: Value,
    processes: Processes,
    descriptor_shortage: DescriptorShortage,
    rules: Rules,
    answers: AnswerCounts,
    /// All processes were told to stop: nothing is started any more.
    is_ending: bool,
}

/// Plays a run: a plan, a seed, and the faults that happen in it.
pub fn run(plan: &RunPlan, seed: u64, faults: &[Fault], sabotage: Option<Sabotage>) -> RunOutcome {
    let mut world = World::new(plan, seed, sabotage);
    for fault in faults {
        let at = START + Span::from_millis(fault.at_ms);
        world.agenda.schedule(at, ScheduledEvent::Fault(fault.kind));
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

/// What happens next.
struct NextMoment {
    /// The earliest deadline of a process.
    deadline: Option<Instant>,
    /// The earliest arrival on the network or scheduled event.
    arrival: Option<Instant>,
}

impl NextMoment {
    fn time(&self) -> Option<Instant> {
        self.deadline.into_iter().chain(self.arrival).min()
    }

    /// Whether a deadline falls due and something arrives by this time.
    fn is_tie(&self, now: Instant) -> bool {
        let is_due = |at: Instant| at <= now;
        self.deadline.is_some_and(is_due) && self.arrival.is_some_and(is_due)
    }
}

impl World<'_> {
    /// Plays until all processes have ended; returns the number of moments at which something arrived and a deadline
    /// fell due at once.
    fn play(&mut self) -> u64 {
        let mut ready: Vec<Ready> = Vec::new();
        let mut order = random_stream(self.seed, ORDER_STREAM);
        let mut ties = 0;
        for step in 0.. {
            let next = self.next_moment();
            let Some(time) = next.time() else { break };
            if step == MAX_STEPS {
                self.rules.breach(self.now, "spins", format!("{MAX_STEPS} steps"));
                break;
            }
            self.now = self.now.max(time);
            self.fabric.advance(self.now);
            let is_tie = next.is_tie(self.now);
            ties += u64::from(is_tie);
            // A process may see the deadline before what arrives at the same moment, or after it.
            if is_tie && order.random_range(0..2) == 0 {
                self.turn_processes(&mut ready);
            }
            self.step(&mut ready);
            if self.is_ending && self.processes.is_empty() {
                break;
            }
        }
        if !self.processes.is_empty() {
            self.rules.breach(self.now, "not-stopped", "a process has not ended".into());
        }
        ties
    }

    fn next_moment(&self) -> NextMoment {
        let deadline = self.processes.next_deadline().map(|at| at - self.deadline_clock_lead());
        let arrival = self.fabric.next_event_at().into_iter().chain(self.agenda.next_time()).min();
        NextMoment { deadline, arrival }
    }

    /// Plays what is due now.
    fn step(&mut self, ready: &mut Vec<Ready>) {
        while let Some(event) = self.agenda.take_due(self.now) {
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

/// The virtual address of a host.
fn host_address(host: HostId) -> SocketAddr {
    numbered_address(host.0 as u16)
}
