//! One simulated run: edge proxies (the program's own server, unchanged) on a virtual clock, and around them clients,
//! hosts and the control feed, with a script of faults. Everything that is left to chance is drawn from the seed.

use super::customers::Customer;
use super::faults::{Fault, Plan, What};
use super::hosts::{answer, lines, Fetch, Fleet, Host, Line, Tier};
use super::rules::{Breach, Rules, WAY};
use crate::config::Config;
use crate::lab::feed::number;
use crate::lab::site::{config, Shape};
use crate::lab::thrift_client::{self, Answered};
use crate::net::fabric::{host as address, Fabric, Reach, Signal};
use crate::net::Ready;
use crate::server::{Server, SIBLINGS};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The Unix time at which runs start, us.
const START: i64 = 1_700_000_000_000_000;
/// Delays of connections, one way, us.
const DELAYS: (i64, i64) = (1_000, 20_000);
/// The numbers of the clients' front, and of the control feed, beside those of the hosts.
const FRONT: u16 = 1_000;
const FEED: u16 = 900;
/// The group of all objects.
const GROUP: u32 = 17;
/// A source that is not there is given up after this, us.
const SOURCE_LOST: i64 = 300_000;
/// A killed process is started anew after this, us.
const RESTART: i64 = 200_000;
/// A newer process is given this long before the older one is told to stop, us.
const OVERLAP: i64 = 300_000;
/// A feed that was cut off is heard again this long after it is back, us.
const HEARD_AGAIN: i64 = 2_200_000;
/// Requests that come later than this after SIGTERM may find nobody, us.
const TAKEN_AFTER_TERM: i64 = 700_000;
/// A process has ended by then after SIGTERM, us.
const ENDED: i64 = 31_000_000;
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
    patience: i64,
    trace: String,
    abort: Option<i64>,
}

struct Open {
    call: usize,
    sent: i64,
    resent: bool,
}

#[derive(Default)]
struct Client {
    link: Option<u64>,
    seqid: i32,
    input: Vec<u8>,
    open: BTreeMap<i32, Open>,
    aborted: BTreeSet<i32>,
}

#[derive(Default)]
struct FeedHost {
    events: Vec<Value>,
    links: BTreeMap<u64, Vec<u8>>,
    /// Polls that wait, by connection: the last event had, and until when.
    polls: BTreeMap<u64, (usize, i64)>,
    /// What is told before then counts as told then.
    cut_until: i64,
}

enum Later {
    Call(usize),
    Abort(usize, i32),
    Overdue(usize, i32),
    Answer(usize, u64, String),
    PollEnds(u64),
    Fault(What),
    Back(usize),
    Die(usize),
    Settle(Option<String>, i64),
    Terminate(u32),
    Kill(u32),
    Restart,
    TerminateAll,
    Look,
}

/// A run under way.
struct World<'a> {
    plan: &'a Plan,
    sabotage: Option<Sabotage>,
    seed: u64,
    fabric: Fabric,
    now: i64,
    /// For service times; calls were drawn before.
    random: ChaCha8Rng,
    agenda: BTreeMap<(i64, u64), Later>,
    count: u64,
    calls: Vec<Call>,
    clients: Vec<Client>,
    fleet: Fleet,
    numbers: BTreeMap<SocketAddr, usize>,
    feed: FeedHost,
    base: Value,
    servers: BTreeMap<u32, Server>,
    processes: u32,
    terminated: BTreeMap<u32, i64>,
    killed: BTreeSet<u32>,
    rules: Rules,
    answers: [u64; 4],
    over: bool,
}

/// Plays a run: a plan, a seed, and the faults that happen in it.
pub fn run(plan: &Plan, seed: u64, faults: &[Fault], sabotage: Option<Sabotage>) -> Outcome {
    let mut world = World::new(plan, seed, sabotage);
    for fault in faults {
        world.later(START + fault.at_ms * 1000, Later::Fault(fault.what));
    }
    let ties = world.play();
    let (trace, steps) = world.fabric.trace();
    Outcome {
        breaches: world.rules.breaches,
        trace,
        steps,
        answers: world.answers,
        ties,
        processes: world.processes,
    }
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, seed: u64, sabotage: Option<Sabotage>) -> Self {
        let shape =
            Shape { points: 1, proxies: 1, caches: plan.caches, hubs: 1, parents: plan.parents, seed };
        let mut base = config(&shape, &address(FEED).to_string(), |n| address(n as u16).to_string());
        base["listen"] = address(FRONT).to_string().into();
        base["limits"] = json!({"cores": 1.0, "memory_mb": 48, "sockets": 128});
        // A second `result` is a second effect.
        let effect = if sabotage == Some(Sabotage::ResultTwice) { "pure" } else { "side_effect" };
        base["settings"]["grades"][3]["effect"] = effect.into();
        let mut first = base["known"]["events"][0].clone();
        let hosts = &mut first["members"]["hosts"];
        let link = |entry: &Value| entry["share"].as_f64().unwrap_or(1.0);
        let links: Vec<f64> = hosts.as_array().into_iter().flatten().map(link).collect();
        Customer::draw(seed).word(&mut base["settings"], hosts);
        let entries = hosts.as_array().cloned().unwrap_or_default();
        let fabric = Fabric::new(START, seed ^ 0x5eed, DELAYS);
        let mut world = World {
            plan,
            sabotage,
            seed,
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            agenda: BTreeMap::new(),
            count: 0,
            calls: Vec::new(),
            clients: (0..plan.clients).map(|_| Client::default()).collect(),
            fleet: Fleet::default(),
            numbers: BTreeMap::new(),
            feed: FeedHost::default(),
            base,
            servers: BTreeMap::new(),
            processes: 0,
            terminated: BTreeMap::new(),
            killed: BTreeSet::new(),
            rules: Rules::new(START),
            answers: [0; 4],
            over: false,
            fabric,
        };
        for (n, entry) in entries.into_iter().enumerate() {
            let tier = match n {
                n if n < plan.caches => Tier::Cache,
                n if n < plan.caches + plan.parents => Tier::Parent,
                _ => Tier::Origin,
            };
            world.fabric.set_reach(address(n as u16), Reach::Up);
            world.numbers.insert(address(n as u16), n);
            let name = entry["host"].as_str().unwrap_or_default().to_owned();
            world.fleet.hosts.push(Host { link: links[n], ..Host::new(&name, tier, entry) });
        }
        world.fabric.set_reach(address(FEED), Reach::Up);
        world.feed.events.push(first);
        world.draw_calls();
        world.start();
        let end = START + plan.ms * 1000 + 1_000_000;
        world.later(end, Later::TerminateAll);
        world
    }

    fn draw_calls(&mut self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(2);
        for n in 0..self.plan.requests {
            let at = START + random.random_range(50..self.plan.ms.max(51)) * 1000;
            let (class, deadline) = [("piece", 900), ("replay", 4500), ("standing", 1800), ("result", 2400)]
                [[0, 0, 0, 1, 2, 3, 3][random.random_range(0..7)]];
            // Squared: a few objects are asked for again and again.
            let part = random.random_range(0.0..1.0_f64);
            let object = (part * part * self.plan.objects as f64) as u64;
            self.calls.push(Call {
                client: random.random_range(0..self.plan.clients),
                class,
                object: format!("{:016x}", 0xab00 + object),
                part: random.random_range(0..2),
                patience: random.random_range(200..=deadline) * 1000,
                trace: format!("{:016x}", (self.seed << 20) + n as u64),
                abort: (random.random_range(0..20) == 0).then(|| random.random_range(1..200) * 1000),
            });
            self.later(at, Later::Call(n));
        }
    }

    fn later(&mut self, at: i64, what: Later) {
        self.count += 1;
        self.agenda.insert((at, self.count), what);
    }

    /// Starts a process that knows all that was told so far.
    fn start(&mut self) {
        self.processes += 1;
        let process = self.processes;
        let mut text = self.base.clone();
        text["seed"] = format!("{:016x}", self.seed.wrapping_mul(31).wrapping_add(u64::from(process))).into();
        text["known"] = json!({"n": self.feed.events.len(), "events": self.told(0)});
        self.fabric.start_process(process);
        let started = Config::parse(text.to_string().as_bytes())
            .and_then(|config| Server::start_on(&self.fabric, process, config).map_err(|e| e.to_string()));
        match started {
            Ok(server) => drop(self.servers.insert(process, server)),
            Err(error) => self.rules.broken(self.now, "start", error),
        }
    }

    /// The events after the first `after`, as the edge proxy is told them.
    fn told(&self, after: usize) -> Vec<Value> {
        let events = self.feed.events.iter().enumerate().skip(after);
        let deaf = |event: &Value| match self.sabotage {
            Some(Sabotage::DeafToDrains) => {
                event["members"]["hosts"][0]["health"].as_str().is_some_and(|health| health != "up")
            }
            Some(Sabotage::DeafToPurges) => event.get("purge").is_some(),
            _ => false,
        };
        let numbered = |(n, event): (usize, &Value)| {
            let mut event = if deaf(event) { json!({}) } else { event.clone() };
            event["n"] = (n + 1).into();
            event
        };
        events.map(numbered).collect()
    }

    /// Plays until all processes have ended; gives the moments at which something came and fell due at once.
    fn play(&mut self) -> u64 {
        let mut ready: Vec<Ready> = Vec::new();
        let mut order = ChaCha8Rng::seed_from_u64(self.seed);
        order.set_stream(3);
        let mut ties = 0;
        for step in 0.. {
            let dues = self.servers.values().filter_map(Server::next_due).min();
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
            self.fabric.happen();
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

    /// Gives every process its turn, and lets those end that are done.
    fn turn(&mut self, ready: &mut Vec<Ready>) {
        let mut ended = Vec::new();
        for (process, server) in &mut self.servers {
            if let Err(error) = server.turn(ready) {
                self.rules.broken(self.now, "poll", error.to_string());
            }
            let (held, open) = server.load();
            let most = (48.0e6 * 0.45) as usize;
            if held > most || open > 1000 {
                self.rules.broken(self.now, "memory", format!("{held} bytes and {open} requests are held"));
            }
            let sockets = self.fabric.held(*process);
            if sockets > 128 {
                self.rules.broken(self.now, "sockets", format!("{sockets} connections are held"));
            }
            if server.is_stopped() {
                ended.push(*process);
            } else if self.terminated.get(process).is_some_and(|at| *at + ENDED < self.now) {
                self.rules.broken(self.now, "not-stopped", format!("process {process} does not end"));
                ended.push(*process);
            }
        }
        for process in ended {
            if let Some(mut server) = self.servers.remove(&process) {
                server.finish();
                // Its ends close in order before the process is gone.
                drop(server);
            }
            self.gone(process);
        }
    }

    /// A process is gone: the others see it, and if there are none, one is started.
    fn gone(&mut self, process: u32) {
        self.fabric.end_process(process);
        for other in self.servers.keys() {
            SIBLINGS.iter().for_each(|number| self.fabric.wake_source(*other, *number));
        }
        if self.servers.is_empty() && !self.over {
            self.later(self.now + RESTART, Later::Restart);
        }
    }

    fn kill(&mut self, process: u32) {
        if let Some(server) = self.servers.remove(&process) {
            self.killed.insert(process);
            self.gone(process);
            drop(server);
        }
    }

    fn happen(&mut self, what: Later) {
        match what {
            Later::Call(call) => self.call(call, false),
            Later::Abort(client, seqid) => self.abort(client, seqid),
            Later::Overdue(client, seqid) => {
                if let Some(open) = self.clients[client].open.get(&seqid) {
                    let text = format!("{} got no answer", self.calls[open.call].trace);
                    self.rules.broken(self.now, "unanswered", text);
                }
            }
            Later::Answer(host, link, id) => self.answer(host, link, &id),
            Later::PollEnds(link) => self.answer_poll(link),
            Later::Fault(what) => self.fault(what),
            Later::Back(host) => self.back(host),
            Later::Die(host) => self.die(host),
            Later::Settle(object, at) => {
                for host in &mut self.fleet.hosts {
                    let concerned = |item: &str| object.as_ref().is_none_or(|object| object == item);
                    host.copies.retain(|(item, _), born| *born >= at || !concerned(item));
                }
            }
            Later::Terminate(process) => {
                if let Some(server) = self.servers.get_mut(&process) {
                    self.terminated.entry(process).or_insert(self.now);
                    server.terminate();
                }
            }
            Later::Kill(process) => self.kill(process),
            Later::Restart => {
                if self.servers.is_empty() && !self.over {
                    self.start();
                }
            }
            Later::TerminateAll => {
                self.over = true;
                let all: Vec<u32> = self.servers.keys().copied().collect();
                all.into_iter().for_each(|process| self.happen(Later::Terminate(process)));
                self.later(self.now + ENDED + 1_000_000, Later::Look);
            }
            Later::Look => {}
        }
    }

    // ---- Clients.

    fn call(&mut self, number: usize, resent: bool) {
        if self.over {
            return;
        }
        let call = self.calls[number].clone();
        let link = match self.clients[call.client].link {
            Some(link) => link,
            None => {
                let from = SocketAddr::from(([127, 0, 2, call.client as u8 + 1], 40_000));
                let link = self.fabric.dial(from, address(FRONT));
                self.clients[call.client].link = Some(link);
                link
            }
        };
        let client = &mut self.clients[call.client];
        client.seqid += 1;
        let seqid = client.seqid;
        let (patience, part, group) =
            ((call.patience / 1000).to_string(), call.part.to_string(), GROUP.to_string());
        let fields = [
            ("route", call.class),
            ("trace", &call.trace),
            ("patience", &patience),
            ("entity", &call.object),
            ("slice", &part),
            ("set", &group),
        ];
        let body: &[u8] = if call.class == "result" { b"won" } else { b"" };
        self.fabric.send(link, &thrift_client::invoke(seqid, &fields, body));
        client.open.insert(seqid, Open { call: number, sent: self.now, resent });
        self.later(self.now + call.patience + 2_000_000, Later::Overdue(call.client, seqid));
        if let Some(after) = call.abort {
            self.later(self.now + after, Later::Abort(call.client, seqid));
        }
    }

    fn abort(&mut self, number: usize, seqid: i32) {
        let client = &mut self.clients[number];
        let Some(link) = client.link.filter(|_| client.open.remove(&seqid).is_some()) else { return };
        client.aborted.insert(seqid);
        client.seqid += 1;
        let frame = thrift_client::abort(client.seqid, seqid);
        self.fabric.send(link, &frame);
        self.answers[3] += 1;
    }

    fn client_got(&mut self, number: usize, bytes: &[u8]) {
        self.clients[number].input.extend_from_slice(bytes);
        loop {
            let got = match thrift_client::take_answer(&mut self.clients[number].input) {
                Ok(Some(got)) => got,
                Ok(None) => return,
                Err(error) => return self.rules.broken(self.now, "unreadable", error.to_owned()),
            };
            let client = &mut self.clients[number];
            let Some(open) = client.open.remove(&got.seqid) else {
                if !client.aborted.contains(&got.seqid) {
                    let text = format!("client {number} has a second answer to {}", got.seqid);
                    self.rules.broken(self.now, "second-answer", text);
                }
                continue;
            };
            let call = &self.calls[open.call];
            self.rules.answered(self.now, &call.trace, open.sent, call.patience);
            match got.kind {
                Answered::Served => {
                    self.answers[0] += 1;
                    let text = String::from_utf8_lossy(&got.body).into_owned();
                    let wanted = if call.class == "result" {
                        format!("done:{};", call.trace)
                    } else {
                        format!("{}:{}:", call.object, call.part)
                    };
                    let Some(rest) = text.strip_prefix(&wanted) else {
                        let text = format!("{} is served {:.60}, not {wanted}", call.trace, text);
                        self.rules.broken(self.now, "wrong-bytes", text);
                        continue;
                    };
                    let born = rest.split(';').next().and_then(|born| born.parse().ok());
                    if let Some(born) = born.filter(|_| call.class != "result") {
                        self.rules.served(self.now, &call.object, born, open.sent);
                    }
                }
                Answered::Refused => {
                    self.answers[1] += 1;
                    let pause = got.fields.iter().find(|(name, _)| name == "pause");
                    let pause = pause.and_then(|(_, ms)| ms.parse::<i64>().ok()).unwrap_or(0);
                    let advised = self.base["settings"]["limits"]["retry_after"] == json!(true);
                    if (pause > 0) != advised {
                        let text = format!("{} is refused with {pause}, advised: {advised}", call.trace);
                        self.rules.broken(self.now, "no-pause", text);
                    }
                }
                Answered::Failed => self.answers[2] += 1,
            }
        }
    }

    /// A client's connection has ended: what is open there was taken and lost, unless something excuses it.
    fn client_lost(&mut self, number: usize, link: u64) {
        let client = &mut self.clients[number];
        if client.link != Some(link) {
            return;
        }
        (client.link, client.input) = (None, Vec::new());
        let open = std::mem::take(&mut client.open);
        client.aborted.clear();
        let process = self.fabric.process_of(link).unwrap_or(0);
        let told_to_stop = self.terminated.get(&process).copied();
        for open in open.into_values() {
            let trace = self.calls[open.call].trace.clone();
            let nobody = process == 0 || self.killed.contains(&process);
            let after_term = told_to_stop.is_some_and(|at| open.sent > at + TAKEN_AFTER_TERM - WAY);
            let crossed = open.sent > self.now - 2 * WAY - 50_000;
            self.answers[3] += 1;
            if nobody || after_term {
                continue;
            }
            if crossed && !open.resent {
                self.call(open.call, true);
            } else {
                self.rules.broken(self.now, "lost", format!("{trace} is open as its connection ends"));
            }
        }
    }

    // ---- Hosts.

    fn host_got(&mut self, number: usize, link: u64, bytes: &[u8], sent: i64) {
        let host = &mut self.fleet.hosts[number];
        let Some((input, began)) = host.links.get_mut(&link).filter(|_| !host.dead) else { return };
        // What is left of the piece before began with it.
        let first = if input.is_empty() { sent } else { *began };
        *began = sent;
        input.extend_from_slice(bytes);
        let lines = match lines(input) {
            Ok(lines) => lines,
            Err(error) => return self.rules.broken(self.now, "host-protocol", error),
        };
        for line in lines {
            match line {
                Line::Fetch(fetch) => self.fetched(number, link, fetch, first),
                Line::Abort(id) => drop(self.fleet.hosts[number].open.remove(&(link, id))),
                Line::Probe(tag) => self.fabric.send(link, &answer(&tag, "status", "", b"")),
            }
        }
    }

    fn fetched(&mut self, number: usize, link: u64, fetch: Fetch, sent: i64) {
        let is_result = fetch.class == "result";
        let name = self.fleet.hosts[number].name.clone();
        self.rules.fetched(self.now, sent, (number, &name), link, &fetch.id, is_result);
        if self.fleet.hosts[number].open.contains_key(&(link, fetch.id.clone())) {
            self.rules.broken(self.now, "same-id", format!("{} comes twice on one connection", fetch.id));
        }
        self.cold(number);
        let mut after = self.service(number);
        if is_result || self.fleet.hosts[number].holds(&fetch, self.now).is_none() {
            if let Some(source) = fetch.from.as_ref().and_then(|from| self.fleet.named(from)) {
                after += if self.is_there(source) { self.service(source) } else { SOURCE_LOST };
            }
        }
        let id = fetch.id.clone();
        self.fleet.hosts[number].open.insert((link, id.clone()), fetch);
        self.later(self.now + after, Later::Answer(number, link, id));
    }

    /// A cold host falls over if it is sent more than its rule allows; what one request costs is taken as 20 ms.
    fn cold(&mut self, number: usize) {
        let (now, rules) = (self.now, &self.base["settings"]["rules"]);
        let figure = |name: &str| rules[name].as_f64().unwrap_or(0.0);
        let host = &mut self.fleet.hosts[number];
        let Some(born) = host.born.filter(|born| now - born < (figure("warm_after") * 1000.0) as i64) else {
            return;
        };
        let part = (now - born) as f64 / (figure("warm_after") * 1000.0);
        let warmth = figure("cold_share") + (1.0 - figure("cold_share")) * part;
        let span = (figure("overload_for") * 1000.0) as i64;
        host.sends.retain(|at| *at > now - span);
        host.sends.push(now);
        let most = figure("fall_multiple") * warmth * host.link * span as f64 / 1e6;
        let work = host.sends.len() as f64 * 0.02;
        if work > most {
            let text = format!("{} is sent {work:.2} s of work in {span} us, of {most:.2}", host.name);
            self.rules.broken(now, "cold", text);
        }
    }

    fn service(&mut self, number: usize) -> i64 {
        let usual = self.random.random_range(2..=12) * 1000;
        let (times, until) = self.fleet.hosts[number].slow;
        if until > self.now {
            usual * times
        } else {
            usual
        }
    }

    /// Whether another host reaches it.
    fn is_there(&self, number: usize) -> bool {
        is_there(&self.fabric, self.now, &self.fleet, number)
    }

    fn answer(&mut self, number: usize, link: u64, id: &str) {
        let Some(fetch) = self.fleet.hosts[number].open.remove(&(link, id.to_owned())) else { return };
        if self.fleet.hosts[number].dead {
            return;
        }
        if std::mem::take(&mut self.fleet.hosts[number].garbled) {
            return self.fabric.send(link, b"no line of the protocol at all\r\n");
        }
        let (fabric, now) = (self.fabric.clone(), self.now);
        let is_there = |fleet: &Fleet, host: usize| is_there(&fabric, now, fleet, host);
        let (word, fields, body) = self.fleet.outcome(number, &fetch, now, &is_there);
        if matches!(word, "404" | "503" | "504") {
            self.rules.never_ran(number, link, id);
        }
        self.fabric.send(link, &answer(id, word, &fields, &body));
    }

    // ---- The control feed.

    fn feed_got(&mut self, link: u64, bytes: &[u8]) {
        let Some(input) = self.feed.links.get_mut(&link) else { return };
        input.extend_from_slice(bytes);
        let Some(end) = input.windows(4).position(|four| four == b"\r\n\r\n") else { return };
        let head = String::from_utf8_lossy(&input[..end]).into_owned();
        input.drain(..end + 4);
        let query = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let until = self.now + number(&query, "wait").min(5000) as i64 * 1000;
        self.feed.polls.insert(link, (number(&query, "SUB") as usize, until));
        self.later(until, Later::PollEnds(link));
        self.answer_poll(link);
    }

    /// Answers a poll if there is something to tell or its time is over.
    fn answer_poll(&mut self, link: u64) {
        let Some((after, until)) = self.feed.polls.get(&link).copied() else { return };
        if self.feed.events.len() <= after && self.now < until {
            return;
        }
        self.feed.polls.remove(&link);
        let body = json!({"n": self.feed.events.len(), "events": self.told(after)}).to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        self.fabric.send(link, &[head.as_bytes(), body.as_bytes()].concat());
    }

    /// Tells an event; gives when it counts as told.
    fn tell(&mut self, event: Value) -> i64 {
        self.feed.events.push(event);
        let links: Vec<u64> = self.feed.polls.keys().copied().collect();
        links.into_iter().for_each(|link| self.answer_poll(link));
        self.now.max(self.feed.cut_until)
    }

    fn tell_health(&mut self, number: usize, health: &str) -> i64 {
        let mut entry = self.fleet.hosts[number].entry.clone();
        entry["health"] = health.into();
        self.fleet.hosts[number].entry = entry.clone();
        self.tell(json!({"members": {"seq": 0, "whole": false, "hosts": [entry]}}))
    }

    fn cut_feed(&mut self, until: i64) {
        self.feed.cut_until = self.feed.cut_until.max(until);
        self.rules.feed_cut(self.now - 2 * WAY, until);
    }

    // ---- Faults.

    fn fault(&mut self, what: What) {
        self.fabric.note(serde_json::to_string(&what).unwrap_or_default());
        match what {
            What::Silent { host, ms } => {
                if !self.fleet.hosts[host].dead {
                    let until = self.now + ms * 1000;
                    self.fabric.set_reach(address(host as u16), Reach::SilentUntil(until));
                }
            }
            What::Killed { host, ms } => {
                self.die(host);
                self.later(self.now + ms * 1000, Later::Back(host));
            }
            What::Reset { host } => self.break_links(host),
            What::Slow { host, times, ms } => self.fleet.hosts[host].slow = (times, self.now + ms * 1000),
            What::Errors { host, ms } => self.fleet.hosts[host].errors = self.now + ms * 1000,
            What::Garbled { host } => self.fleet.hosts[host].garbled = true,
            What::Drained { host } => {
                let told = self.tell_health(host, "draining");
                self.rules.left(host, told);
            }
            What::Removed { host } => {
                let told = self.tell_health(host, "removed");
                self.rules.left(host, told);
                self.later(self.now + 1_000_000, Later::Die(host));
            }
            What::Ready { host } => {
                if self.fleet.hosts[host].dead {
                    self.back(host);
                }
                self.rules.came(host);
                self.tell_health(host, "up");
            }
            What::PurgeObject { object } => self.purge(Some(format!("{:016x}", 0xab00 + object))),
            What::PurgeGroup => self.purge(None),
            What::FeedSilent { ms } => {
                let until = self.now + ms * 1000;
                self.fabric.set_reach(address(FEED), Reach::SilentUntil(until));
                self.cut_feed(until + HEARD_AGAIN);
            }
            What::FeedReset => {
                for link in std::mem::take(&mut self.feed.links).into_keys() {
                    self.fabric.reset(link);
                }
                self.feed.polls.clear();
                self.cut_feed(self.now + HEARD_AGAIN);
            }
            What::ClientGone { client } => {
                if let Some(link) = self.clients[client].link.take() {
                    self.fabric.reset(link);
                    let open = std::mem::take(&mut self.clients[client].open);
                    self.answers[3] += open.len() as u64;
                    self.clients[client].input.clear();
                    self.clients[client].aborted.clear();
                }
            }
            What::Upgrade => drop(self.upgrade()),
            What::UpgradeDies { ms } => {
                if let Some(newer) = self.upgrade() {
                    self.later(self.now + ms * 1000, Later::Kill(newer));
                }
            }
            What::Crash => {
                let all: Vec<u32> = self.servers.keys().copied().collect();
                all.into_iter().for_each(|process| self.kill(process));
            }
        }
    }

    /// Starts a newer process beside the one that serves, which is soon told to stop; gives the newer one.
    fn upgrade(&mut self) -> Option<u32> {
        if self.over || self.servers.len() != 1 {
            return None;
        }
        let older = *self.servers.keys().next()?;
        self.start();
        self.later(self.now + OVERLAP, Later::Terminate(older));
        Some(self.processes)
    }

    fn purge(&mut self, object: Option<String>) {
        let (at, grace) = (self.now / 1000 * 1000, 500_000);
        let what = match &object {
            Some(object) => json!({"key": object, "at": at / 1000}),
            None => json!({"group": GROUP, "at": at / 1000}),
        };
        let told = self.tell(json!({"purge": what}));
        for n in 0..self.plan.objects {
            let name = format!("{:016x}", 0xab00 + n);
            if object.as_ref().is_none_or(|object| *object == name) {
                self.rules.purged(&name, at, told, grace);
            }
        }
        let settles = self.base["settings"]["domain"]["purge_settles"].as_f64().unwrap_or(6000.0);
        self.later(self.now + (settles * 1000.0) as i64, Later::Settle(object, at));
    }

    fn break_links(&mut self, host: usize) {
        let broken = std::mem::take(&mut self.fleet.hosts[host].links);
        broken.into_keys().for_each(|link| self.fabric.reset(link));
        self.fleet.hosts[host].open.clear();
    }

    fn die(&mut self, host: usize) {
        self.break_links(host);
        self.fleet.hosts[host].copies.clear();
        self.fleet.hosts[host].dead = true;
        self.fabric.set_reach(address(host as u16), Reach::Refusing);
    }

    fn back(&mut self, host: usize) {
        let one = &mut self.fleet.hosts[host];
        if !one.dead || one.entry["health"] == "removed" && one.born.is_none_or(|born| born == self.now) {
            return;
        }
        (one.dead, one.born) = (false, Some(self.now));
        one.sends.clear();
        one.entry["born_ms"] = (self.now / 1000).into();
        self.fabric.set_reach(address(host as u16), Reach::Up);
        if one.entry["health"] == "up" && one.tier != Tier::Origin {
            self.tell_health(host, "up");
        }
    }

    /// Tells the actors what came on the network.
    fn deliver(&mut self) {
        for signal in self.fabric.signals() {
            let link = match &signal {
                Signal::Opened { link, .. } | Signal::Bytes { link, .. } => *link,
                Signal::Closed { link } | Signal::Broken { link } => *link,
            };
            if let Some(client) = self.clients.iter().position(|client| client.link == Some(link)) {
                match signal {
                    Signal::Bytes { bytes, .. } => self.client_got(client, &bytes),
                    Signal::Closed { .. } => {
                        self.fabric.close(link);
                        self.client_lost(client, link);
                    }
                    Signal::Broken { .. } => self.client_lost(client, link),
                    Signal::Opened { .. } => {}
                }
                continue;
            }
            match signal {
                Signal::Opened { host, .. } if host == address(FEED) => {
                    self.feed.links.insert(link, Vec::new());
                }
                Signal::Opened { host, .. } => {
                    if let Some(number) = self.numbers.get(&host) {
                        self.fleet.hosts[*number].links.insert(link, (Vec::new(), self.now));
                    }
                }
                Signal::Bytes { bytes, sent, .. } => {
                    if self.feed.links.contains_key(&link) {
                        self.feed_got(link, &bytes);
                    } else if let Some(host) =
                        self.fleet.hosts.iter().position(|host| host.links.contains_key(&link))
                    {
                        self.host_got(host, link, &bytes, sent);
                    }
                }
                Signal::Closed { .. } | Signal::Broken { .. } => {
                    self.feed.links.remove(&link);
                    self.feed.polls.remove(&link);
                    for host in &mut self.fleet.hosts {
                        if host.links.remove(&link).is_some() {
                            host.open.retain(|(on, _), _| *on != link);
                        }
                    }
                }
            }
        }
    }
}

/// Whether a host's process is there and not cut off.
fn is_there(fabric: &Fabric, now: i64, fleet: &Fleet, number: usize) -> bool {
    !fleet.hosts[number].dead && fabric.silent_until(address(number as u16)) <= now
}
