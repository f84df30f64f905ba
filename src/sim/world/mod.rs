//! One simulated run: edge proxies (the program's own server, unchanged) on a virtual clock, and around them clients,
//! hosts and the control feed, with a script of faults. Everything that is left to chance is drawn from the seed.

mod clients;
mod events;
mod faults;
mod feed;
mod hosts;
mod network;
mod processes;
mod setup;

use events::Event;
use network::is_there;

use super::customers::{Customer, WINDOW_MS};
use super::faults::{Fault, Plan, What};
use super::hosts::{answer, lines, Fetch, Fleet, Host, Line, Tier};
use super::rules::{Breach, Rules, WAY};
use crate::config::Config;
use crate::interface::{Instant, Span};
use crate::lab::feed::number;
use crate::lab::site::{config, Shape};
use crate::lab::thrift_client::{self, Answered};
use crate::net::fabric::{host as address, ActorEvent, Fabric, HostBehaviour, TraceSummary};
use crate::net::Ready;
use crate::server::{Server, SIBLINGS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The Unix time at which runs start: the virtual clock reads Unix time.
const START: Instant = Instant::from_micros(1_700_000_000_000_000);
/// Delays of connections, one way.
const DELAYS: (Span, Span) = (Span::from_millis(1), Span::from_millis(20));
/// The numbers of the clients' front, and of the control feed, beside those of the hosts.
const FRONT: u16 = 1_000;
const FEED: u16 = 900;
/// The group of all objects.
const GROUP: u32 = 17;
/// A source that is not there is given up after this.
const SOURCE_LOST: Span = Span::from_millis(300);
/// A killed process is started anew after this.
const RESTART: Span = Span::from_millis(200);
/// A newer process is given this long before the older one is told to stop.
const OVERLAP: Span = Span::from_millis(300);
/// A feed that was cut off is heard again this long after it is back.
const HEARD_AGAIN: Span = Span::from_millis(2_200);
/// Requests that come later than this after SIGTERM may find nobody.
const TAKEN_AFTER_TERM: Span = Span::from_millis(700);
/// A process has ended by then after SIGTERM.
const ENDED: Span = Span::from_secs(31);
/// Connections that wait as descriptors come back are accepted by then.
const ACCEPTED_AGAIN: Span = Span::from_millis(60);
/// Steps of a run at most: more means that something goes in a circle.
const MOST_STEPS: usize = 1_000_000;

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

/// How a run came out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// What was broken, in the order of time.
    pub breaches: Vec<Breach>,
    /// A number for all that happened: equal runs have equal ones.
    pub trace: u64,
    /// How many things happened on the network.
    pub steps: u64,
    /// Requests that were served, refused, failed, and that nobody took or whose end a fault excuses.
    pub answers: [u64; 4],
    /// Moments at which something came and something fell due at once.
    pub ties: u64,
    /// Processes that were started.
    pub processes: u32,
}

#[derive(Clone, Debug)]
struct Call {
    client: usize,
    class: &'static str,
    object: String,
    part: u32,
    patience: Span,
    trace: String,
    abort: Option<Span>,
}

struct Open {
    call: usize,
    written: Instant,
    /// When it counts as sent: once it can be accepted.
    sent: Instant,
    resent: bool,
}

#[derive(Default)]
struct Client {
    link: Option<u64>,
    seqid: i32,
    input: Vec<u8>,
    open: BTreeMap<i32, Open>,
    aborted: BTreeSet<i32>,
    /// When it connected.
    dialled: Instant,
    /// What it sends on this connection counts as sent then at the earliest: the process had no descriptor for it.
    accepted_by: Instant,
}

#[derive(Default)]
struct FeedHost {
    events: Vec<Value>,
    links: BTreeMap<u64, Vec<u8>>,
    /// Polls that wait, by connection: the last event had, and until when.
    polls: BTreeMap<u64, (usize, Instant)>,
    /// What is told before then counts as told then.
    cut_until: Instant,
}

/// What the virtual clock reads at an instant, in milliseconds of Unix time.
fn unix_ms(at: Instant) -> i64 {
    at.as_micros() / 1000
}

/// A run under way.
struct World<'a> {
    plan: &'a Plan,
    sabotage: Option<Sabotage>,
    seed: u64,
    fabric: Fabric,
    now: Instant,
    /// For service times; calls were drawn before.
    random: ChaCha8Rng,
    agenda: BTreeMap<(Instant, u64), Event>,
    count: u64,
    calls: Vec<Call>,
    clients: Vec<Client>,
    fleet: Fleet,
    numbers: BTreeMap<SocketAddr, usize>,
    feed: FeedHost,
    base: Value,
    servers: BTreeMap<u32, Server>,
    processes: u32,
    terminated: BTreeMap<u32, Instant>,
    killed: BTreeSet<u32>,
    /// Since when and until when processes get no descriptors.
    exhausted: (Instant, Instant),
    rules: Rules,
    answers: [u64; 4],
    over: bool,
}

/// Plays a run: a plan, a seed, and the faults that happen in it.
pub fn run(plan: &Plan, seed: u64, faults: &[Fault], sabotage: Option<Sabotage>) -> Outcome {
    let mut world = World::new(plan, seed, sabotage);
    for fault in faults {
        world.schedule(START + Span::from_millis(fault.at_ms), Event::Fault(fault.what));
    }
    let ties = world.play();
    let TraceSummary { digest: trace, steps } = world.fabric.trace();
    Outcome {
        breaches: world.rules.breaches,
        trace,
        steps,
        answers: world.answers,
        ties,
        processes: world.processes,
    }
}

impl World<'_> {
    /// Plays until all processes have ended; gives the moments at which something came and fell due at once.
    fn play(&mut self) -> u64 {
        let mut ready: Vec<Ready> = Vec::new();
        let mut order = ChaCha8Rng::seed_from_u64(self.seed);
        order.set_stream(3);
        let mut ties = 0;
        for step in 0.. {
            let dues = self.servers.values().filter_map(Server::next_due).min();
            let dues = dues.map(|at| at - self.ahead());
            let comes =
                self.fabric.next().into_iter().chain(self.agenda.keys().next().map(|(at, _)| *at)).min();
            let Some(next) = dues.into_iter().chain(comes).min() else { break };
            if step == MOST_STEPS {
                self.rules.broken(self.now, "spins", format!("{MOST_STEPS} steps"));
                break;
            }
            self.now = self.now.max(next);
            self.fabric.advance(self.now);
            let tie = dues.is_some_and(|at| at <= self.now) && comes.is_some_and(|at| at <= self.now);
            ties += u64::from(tie);
            // What falls due at the very moment something comes may be seen before it or after it.
            if tie && order.random_range(0..2) == 0 {
                self.turn(&mut ready);
            }
            while let Some(entry) = self.agenda.first_entry().filter(|entry| entry.key().0 <= self.now) {
                let what = entry.remove();
                self.happen(what);
            }
            self.fabric.run_due_events();
            self.deliver();
            self.turn(&mut ready);
            self.deliver();
            if self.over && self.servers.is_empty() {
                break;
            }
        }
        if !self.servers.is_empty() {
            self.rules.broken(self.now, "not-stopped", "a process has not ended".into());
        }
        ties
    }
}
