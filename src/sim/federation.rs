//! Federations of several members on a virtual clock: the same [`Node`]s that run in service, with messages that come late,
//! out of order or not at all, cuts (also one way only), stalls, restarts from the store, clocks that drift apart and new
//! files. An observer who sees all members checks what must hold; see docs/simulator.md.

use super::rules::Breach;
use crate::federation::duties::{Grantor, Holder, Terms};
use crate::federation::log::{Save, Saved};
use crate::federation::node::{founding, Keep, Node, Tuning};
use crate::federation::records::{MessageKind, MessageRecord};
use crate::federation::state::{Command, State};
use crate::federation::MemberId;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rayon::prelude::*;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};

const MS: i64 = 1000;
const TICK: i64 = 50 * MS;
/// Faults come until then, us...
const FAULTS: i64 = 20_000 * MS;
/// ... and all is well again from then on, with this much time to find together.
const QUIET: i64 = 12_000 * MS;
const TUNING: Tuning = Tuning { election_ticks: 10, heartbeat_ticks: 2, compact_after: 12 };
/// Clocks run this much too fast or slow at most.
const DRIFT: f64 = 0.05;
const TERMS: Terms = Terms { span: 3000 * MS, guard: 150 * MS, drift: DRIFT };
/// Duties that members stand for.
const DUTIES: [&str; 3] = ["publish", "warm/a", "trial/b"];

/// A bug that is planted to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Planted {
    /// Terms and votes are not kept: a member that restarts votes again in the same term
    ForgottenVote,
    /// What was kept last is lost with the process, though it was answered for already
    UnsyncedLog,
    /// A member that lost its store comes back with an empty one under its old name, and is taken for the old one
    EmptyStore,
    /// A holder does not look at its clock again before it acts
    NoLook,
    /// Holders keep no guard time, and the leader waits for no drift of clocks
    NoGuard,
}

/// How a run came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// What was broken, in the order of time.
    pub breaches: Vec<Breach>,
    /// A number for all that happened: equal runs have equal ones.
    pub trace: u64,
    /// Commands that were committed, leaders, new files, acts.
    pub counts: [u64; 4],
}

struct Disk {
    kept: Saved,
    /// What a crash takes with it, where that bug is planted.
    unsynced: Option<Save>,
    /// The disk is full: nothing is kept.
    full: bool,
    planted: Option<Planted>,
}

impl Keep for Disk {
    type Error = &'static str;

    fn save(&mut self, save: &Save) -> Result<(), &'static str> {
        if self.full {
            return Err("no space left");
        }
        let mut save = save.clone();
        if self.planted == Some(Planted::ForgottenVote) {
            if let Some(hard) = &mut save.hard {
                (hard.term, hard.vote) = (0, 0);
            }
        }
        if let Some(before) = self.unsynced.take() {
            self.kept.apply(&before);
        }
        if self.planted == Some(Planted::UnsyncedLog) {
            self.unsynced = Some(save);
        } else {
            self.kept.apply(&save);
        }
        Ok(())
    }
}

struct Member {
    disk: Disk,
    node: Option<Node>,
    incarnation: u64,
    holder: Holder,
    grantor: Grantor,
    /// The duties that it stands for.
    wants: BTreeSet<String>,
    /// Its clock runs so much faster than the world's, and began there, us.
    drift: f64,
    began: i64,
    /// Its ticks are this long, us.
    tick: i64,
    stalled: i64,
    /// Files that it has: the newest one's number.
    file: u64,
}

impl Member {
    /// Its own clock at a time of the world's.
    fn clock(&self, now: i64) -> i64 {
        self.began + (now as f64 * (1.0 + self.drift)) as i64
    }
}

enum Event {
    Tick(MemberId, u64),
    Message(Box<MessageRecord>, u64),
    Fault,
    Restart(MemberId),
    /// A member acts under a token, at which it looked a moment ago.
    Act(MemberId, &'static str, u64),
    /// A member's ask reaches the one that it takes for the leader.
    Ask(MemberId, MemberId, Command),
    Load,
    File(MemberId, u64),
}

struct World {
    now: i64,
    count: u64,
    agenda: BTreeMap<(i64, u64), Event>,
    members: BTreeMap<MemberId, Member>,
    /// From whom to whom nothing goes, and until when.
    cuts: BTreeMap<(MemberId, MemberId), i64>,
    files: Vec<BTreeMap<MemberId, (String, bool)>>,
    random: ChaCha8Rng,
    /// The longest that a message takes in this run, us.
    slowest: i64,
    /// Of so many votes that are given one is the last thing that its member does for a moment; 0: none.
    dies_voting: u32,
    planted: Option<Planted>,
    breaches: Vec<Breach>,
    leaders: BTreeMap<u64, MemberId>,
    committed: BTreeMap<u64, Command>,
    states: BTreeMap<u64, State>,
    /// By duty: the highest token under which it was acted, and by whom.
    acted: BTreeMap<&'static str, (u64, MemberId)>,
    acts: u64,
    loads: u64,
    trace: DefaultHasher,
}

impl World {
    fn plan(&mut self, at: i64, event: Event) {
        self.count += 1;
        self.agenda.insert((at.max(self.now), self.count), event);
    }

    fn broken(&mut self, rule: &'static str, text: String) {
        if self.breaches.iter().all(|breach| breach.rule != rule) {
            self.breaches.push(Breach { rule, at: self.now, text });
        }
    }

    fn start(&mut self, id: MemberId) {
        let seed = self.random.random();
        let terms = self.terms();
        let asks = self.random.random();
        let wants = DUTIES.iter().filter(|_| self.random.random_range(0..3) > 0);
        let wants = wants.map(|duty| (*duty).to_owned()).collect();
        let Some(member) = self.members.get_mut(&id) else { return };
        // Nothing of a process before is known but what its disk holds.
        (member.holder, member.grantor) = (Holder::new(id, terms, asks), Grantor::new(terms));
        member.wants = wants;
        member.disk.unsynced = None;
        let kept = &mut member.disk.kept;
        // What the log itself shows of terms is not forgotten.
        let log = kept.entries.last().map_or(kept.snapshot.term, |entry| entry.term);
        kept.hard.term = kept.hard.term.max(log);
        match Node::new(id, member.disk.kept.clone(), TUNING, seed) {
            Ok(node) => member.node = Some(node),
            Err(error) => self.broken("start", format!("member {id}: {error}")),
        }
    }

    fn add(&mut self, id: MemberId, kept: Saved) {
        // As slow or fast as allowed, as a rule: what is between says less.
        let drift = [-DRIFT, DRIFT, self.random.random_range(-DRIFT..=DRIFT)][self.random.random_range(0..3)];
        let tick = (TICK as f64 / (1.0 + drift)) as i64;
        let disk = Disk { kept, unsynced: None, full: false, planted: self.planted };
        let (holder, grantor) = (Holder::new(id, TERMS, 0), Grantor::new(TERMS));
        let (wants, began) = (BTreeSet::new(), self.random.random_range(0..1000) * MS);
        let member = Member {
            disk,
            node: None,
            incarnation: id * 1000,
            holder,
            grantor,
            wants,
            drift,
            began,
            tick,
            stalled: 0,
            file: 0,
        };
        self.members.insert(id, member);
        self.start(id);
        let first = self.now + self.random.random_range(0..TICK);
        self.plan(first, Event::Tick(id, 0));
    }

    fn terms(&self) -> Terms {
        match self.planted {
            Some(Planted::NoGuard) => Terms { guard: 0, drift: 0.0, ..TERMS },
            _ => TERMS,
        }
    }

    /// A member asks for, renews and acts on its duties.
    fn duties(&mut self, id: MemberId) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        let local = member.clock(now);
        let Some(node) = &mut member.node else { return };
        let (state, leads) = (node.state().0.clone(), node.is_leader());
        let mut commands = member.holder.stand(&member.wants);
        commands.extend(member.holder.due(local, &state));
        let held = DUTIES.iter().filter_map(|duty| Some((*duty, member.holder.token(local, duty)?)));
        let held: Vec<(&'static str, u64)> = held.collect();
        let expired = member.grantor.due(local, &state, leads);
        for command in &expired {
            node.propose(command);
        }
        let leader = node.leader().0;
        if leads {
            for command in commands.drain(..) {
                node.propose(&command);
            }
        }
        for command in commands {
            if leader != 0 && !self.cut(id, leader) {
                let delay = self.random.random_range(500..self.slowest);
                self.plan(now + delay, Event::Ask(id, leader, command));
            }
        }
        for (duty, token) in held {
            let moment = self.random.random_range(0..TICK);
            self.plan(now + moment, Event::Act(id, duty, token));
        }
    }

    fn act(&mut self, id: MemberId, duty: &'static str, token: u64) {
        let now = self.now;
        let Some(member) = self.members.get(&id) else { return };
        if member.node.is_none() {
            return;
        }
        if member.stalled > now {
            // It was stopped in the middle, and goes on there when it is woken.
            let at = member.stalled;
            return self.plan(at, Event::Act(id, duty, token));
        }
        let local = member.clock(now);
        if self.planted != Some(Planted::NoLook) && member.holder.token(local, duty) != Some(token) {
            return;
        }
        self.acts += 1;
        let (highest, by) = *self.acted.entry(duty).or_insert((token, id));
        if token < highest || (token == highest && by != id) {
            let text = format!("{id} acts on {duty} under {token}, {by} did under {highest}");
            self.broken("stale-act", text);
        }
        self.acted.insert(duty, (token, id));
    }

    fn cut(&self, from: MemberId, to: MemberId) -> bool {
        self.cuts.get(&(from, to)).is_some_and(|until| *until > self.now)
    }

    /// Does what a member has to do, and checks what it did.
    fn drive(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let Some(node) = &mut member.node else { return };
        let driven = node.drive(&mut member.disk);
        member.holder.look(node.state().0);
        let (committed, leads, term) = (node.committed(), node.is_leader(), node.leader().1);
        let (state, applied) = (node.state().0.clone(), node.state().1);
        node.happened();
        let out = match driven {
            Ok(out) => out,
            // As in service: the member begins anew from what was kept, once that can be.
            Err(_) if member.disk.full => {
                member.node = None;
                return;
            }
            Err(error) => return self.broken("drive", format!("member {id}: {error}")),
        };
        if leads {
            let first = *self.leaders.entry(term).or_insert(id);
            if first != id {
                self.broken("two-leaders", format!("{first} and {id} lead in term {term}"));
            }
        }
        for (index, command) in committed {
            (id, index).hash(&mut self.trace);
            let first = self.committed.entry(index).or_insert_with(|| command.clone()).clone();
            if first != command {
                self.broken("committed-twice", format!("{first:?} and {command:?} at {index}"));
            }
        }
        if self.states.entry(applied).or_insert_with(|| state.clone()) != &state {
            self.broken("states-differ", format!("member {id} at {applied}"));
        }
        for message in out {
            let votes = message.kind == MessageKind::VoteAnswer && !message.reject && self.dies_voting > 0;
            if votes && self.now < FAULTS && self.random.random_range(0..self.dies_voting) == 0 {
                let back = self.now + self.random.random_range(1..100) * MS;
                self.crash(id, back);
            }
            if message.kind == MessageKind::Snapshot {
                // Sent, as far as the sender knows: that it was lost it learns by the answers.
                if let Some(node) = self.members.get_mut(&id).and_then(|member| member.node.as_mut()) {
                    node.snapshot_went(message.to, true);
                }
            }
            let delay = self.random.random_range(500..self.slowest);
            let lost = self.random.random_range(0..100) == 0 || self.cut(id, message.to);
            if !lost {
                let from = self.members.get(&id).map_or(0, |member| member.incarnation);
                self.plan(self.now + delay, Event::Message(Box::new(message), from));
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(id, number) => {
                let Some(member) = self.members.get_mut(&id) else { return };
                let until = member.stalled.max(self.now + member.tick);
                if member.stalled <= self.now {
                    let file = member.file as usize;
                    let incarnation = member.incarnation;
                    if let Some(node) = &mut member.node {
                        node.tick();
                        if let Some(wanted) = self.files.get(file) {
                            node.reconcile(file as u64 + 1, wanted);
                        }
                        let known = node.state().0.members.get(&id).and_then(|m| m.incarnation);
                        if known.is_none() {
                            node.propose(&Command::Enrol { id, incarnation });
                        }
                    }
                    self.duties(id);
                    // In the end all duties are left: nothing of them may stay behind.
                    if self.now > FAULTS + QUIET / 2 {
                        self.members.entry(id).and_modify(|member| member.wants.clear());
                    }
                }
                self.plan(until, Event::Tick(id, number + 1));
                self.drive(id);
            }
            Event::Message(message, incarnation) => {
                let (id, from) = (message.to, message.from);
                if self.cut(from, id) {
                    return;
                }
                let Some(member) = self.members.get_mut(&id) else { return };
                if member.stalled > self.now {
                    let at = member.stalled;
                    return self.plan(at, Event::Message(message, incarnation));
                }
                let file = member.file as usize;
                let newer = |node: &Node| file as u64 + 1 > node.state().0.revision;
                let lists = self.files.get(file).is_some_and(|file| file.contains_key(&from));
                let listed = |node: &Node| newer(node) && lists;
                let Some(node) = &mut member.node else { return };
                let any_store = self.planted == Some(Planted::EmptyStore);
                if !any_store && node.state().0.admits(from, incarnation, listed(node)).is_err() {
                    return;
                }
                if let Err(why) = node.step(&message) {
                    self.broken("message", format!("{why}: {message:?}"));
                }
                self.drive(id);
            }
            Event::Ask(from, to, command) => {
                let Some(member) = self.members.get_mut(&to).filter(|member| member.stalled <= self.now)
                else {
                    return;
                };
                if let Some(node) = &mut member.node {
                    let listed = node.state().0.members.contains_key(&from);
                    if listed && node.propose(&command) {
                        self.drive(to);
                    }
                }
            }
            Event::Act(id, duty, token) => self.act(id, duty, token),
            Event::Load => {
                self.loads += 1;
                // A command that means nothing is a command all the same: each has its place in the log.
                let command = Command::Enrol { id: 1_000_000 + self.loads, incarnation: self.loads };
                let ids: Vec<MemberId> = self.members.keys().copied().collect();
                for id in ids {
                    let node = self
                        .members
                        .get_mut(&id)
                        .filter(|m| m.stalled <= self.now)
                        .and_then(|m| m.node.as_mut());
                    if node.is_some_and(|node| node.is_leader() && node.propose(&command)) {
                        self.drive(id);
                    }
                }
                let pause = self.random.random_range(50..400) * MS;
                if self.now < FAULTS + QUIET / 4 {
                    self.plan(self.now + pause, Event::Load);
                }
            }
            Event::Restart(id) => {
                let Some(member) = self.members.get_mut(&id) else { return };
                member.disk.full = false;
                if member.node.is_none() {
                    self.start(id);
                    self.drive(id);
                }
            }
            Event::File(id, file) => {
                if let Some(member) = self.members.get_mut(&id) {
                    member.file = member.file.max(file);
                }
            }
            Event::Fault => self.fault(),
        }
    }

    fn fault(&mut self) {
        let ids: Vec<MemberId> = self.members.keys().copied().collect();
        let any = ids[self.random.random_range(0..ids.len())];
        let until = self.now + self.random.random_range(1..=40) * 100 * MS;
        match self.random.random_range(0..10) {
            0 | 1 => {
                let other = ids[self.random.random_range(0..ids.len())];
                self.cuts.insert((any, other), until);
                if self.random.random() {
                    self.cuts.insert((other, any), until);
                }
            }
            2 | 3 => {
                // Cut off, or not heard, or not hearing.
                let ways = self.random.random_range(1..=3);
                for other in ids.iter().filter(|id| **id != any) {
                    if ways & 1 == 1 {
                        self.cuts.insert((any, *other), until);
                    }
                    if ways & 2 == 2 {
                        self.cuts.insert((*other, any), until);
                    }
                }
            }
            4 => {
                // Whoever holds something, if anybody does.
                let holds =
                    |id: &&MemberId| self.members.get(id).is_some_and(|m| !m.holder.held().is_empty());
                let any = ids.iter().find(holds).copied().unwrap_or(any);
                if let Some(member) = self.members.get_mut(&any) {
                    member.stalled = until;
                }
            }
            5 => self.crash(any, until),
            6 => {
                if let Some(member) = self.members.get_mut(&any) {
                    member.disk.full = true;
                }
                self.plan(until, Event::Restart(any));
            }
            7 => {
                // All at once: nothing but the stores is left.
                for id in ids {
                    let back = self.now + self.random.random_range(1..=10) * 100 * MS;
                    self.crash(id, back);
                }
            }
            _ => self.new_file(),
        }
    }

    fn crash(&mut self, id: MemberId, back: i64) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.node = None;
        if self.planted == Some(Planted::EmptyStore) {
            member.disk.kept = Saved::default();
        }
        self.plan(back, Event::Restart(id));
    }

    /// A new file: a member comes, goes, or gets or loses its vote. It reaches the members at different times.
    fn new_file(&mut self) {
        let mut file = self.files.last().cloned().unwrap_or_default();
        let ids: Vec<MemberId> = file.keys().copied().collect();
        let any = ids[self.random.random_range(0..ids.len())];
        let voters = file.values().filter(|(_, voter)| *voter).count();
        match self.random.random_range(0..3) {
            0 => {
                let id = self.members.keys().next_back().copied().unwrap_or(0) + 1;
                file.insert(id, ("new".to_owned(), voters < 5));
                self.add(id, Saved::default());
            }
            1 if file.len() > 3 && (voters > 2 || !file[&any].1) => drop(file.remove(&any)),
            _ => {
                if let Some((_, voter)) = file.get_mut(&any).filter(|(_, voter)| !*voter || voters > 2) {
                    *voter = !*voter;
                }
            }
        }
        self.files.push(file);
        let number = self.files.len() as u64 - 1;
        for id in self.members.keys().copied().collect::<Vec<_>>() {
            let at = self.now + self.random.random_range(0..1000) * MS;
            self.plan(at, Event::File(id, number));
        }
    }

    /// All is well again, and was for long: whoever belongs to the federation agrees on all of it.
    fn check_end(&mut self) {
        let last = self.files.last().cloned().unwrap_or_default();
        let mut seen = BTreeSet::new();
        for id in last.keys() {
            let Some(node) = self.members.get(id).and_then(|member| member.node.as_ref()) else { continue };
            let (state, applied) = node.state();
            let members: BTreeMap<MemberId, bool> =
                state.members.iter().map(|(id, m)| (*id, m.voter)).collect();
            seen.insert((node.leader(), applied, (state.revision, state.duties.len()), members));
        }
        let wanted: BTreeMap<MemberId, bool> = last.iter().map(|(id, (_, voter))| (*id, *voter)).collect();
        type Seen = ((MemberId, u64), u64, (u64, usize), BTreeMap<MemberId, bool>);
        let agreed = |(leader, _, held, members): &Seen| {
            leader.0 != 0 && *held == (self.files.len() as u64, 0) && *members == wanted
        };
        if seen.len() != 1 || !seen.iter().all(agreed) {
            self.broken("no-agreement", format!("wanted {wanted:?}, seen {seen:?}"));
        }
    }
}

/// Plays one seed.
pub fn run(seed: u64, planted: Option<Planted>) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let voters = [3, 3, 5][random.random_range(0..3)];
    let founders = voters + random.random_range(0..=2);
    let file: BTreeMap<MemberId, (String, bool)> =
        (1..=founders).map(|id| (id, (format!("site-{id}"), id <= voters))).collect();
    let faults = random.random_range(4..=14);
    let mut world = World {
        now: 0,
        count: 0,
        agenda: BTreeMap::new(),
        members: BTreeMap::new(),
        cuts: BTreeMap::new(),
        files: vec![file.clone()],
        slowest: [5 * MS, 20 * MS, 100 * MS][random.random_range(0..3)],
        dies_voting: [0, 2, 5][random.random_range(0..3)],
        random,
        planted,
        breaches: Vec::new(),
        leaders: BTreeMap::new(),
        committed: BTreeMap::new(),
        states: BTreeMap::new(),
        acted: BTreeMap::new(),
        acts: 0,
        loads: 0,
        trace: DefaultHasher::new(),
    };
    let founded = State::founded(7, 1, file.into_iter().map(|(id, (site, voter))| (id, site, voter)));
    for id in 1..=founders {
        world.add(id, founding(&founded));
    }
    for _ in 0..faults {
        let at = world.random.random_range(1000 * MS..FAULTS);
        world.plan(at, Event::Fault);
    }
    world.plan(MS, Event::Load);
    while let Some(((at, _), event)) =
        world.agenda.pop_first().filter(|((at, _), _)| *at < FAULTS + 5000 * MS + QUIET)
    {
        world.now = at;
        world.happen(event);
        if !world.breaches.is_empty() {
            break; // what follows from a breach says nothing
        }
    }
    if world.breaches.is_empty() {
        world.check_end();
    }
    let [commands, leaders] = [world.committed.len() as u64, world.leaders.len() as u64];
    let counts = [commands, leaders, world.files.len() as u64 - 1, world.acts];
    Outcome { breaches: world.breaches, trace: world.trace.finish(), counts }
}

/// What many seeds came to: by rule the seeds that broke it with what happened, and the sums of [`Outcome::counts`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Seeds that were played.
    pub seeds: u64,
    /// Seeds that broke a rule, with the first breach of each.
    pub broken: BTreeMap<u64, Breach>,
    /// Commands, leaders, new files, acts.
    pub counts: [u64; 4],
}

/// Plays seeds on all cores; a panic is a broken rule, too.
pub fn search(seeds: Range<u64>, planted: Option<Planted>) -> Summary {
    let count = seeds.end.saturating_sub(seeds.start);
    let play = |seed| {
        let played = catch_unwind(AssertUnwindSafe(|| run(seed, planted)));
        played.unwrap_or_else(|panic| {
            let text = crate::caught::text(&*panic);
            Outcome { breaches: vec![Breach { rule: "panic", at: 0, text }], trace: 0, counts: [0; 4] }
        })
    };
    let played: Vec<(u64, Outcome)> = seeds.into_par_iter().map(|seed| (seed, play(seed))).collect();
    let mut summary = Summary { seeds: count, ..Summary::default() };
    for (seed, outcome) in played {
        summary.counts.iter_mut().zip(outcome.counts).for_each(|(sum, one)| *sum += one);
        if let Some(breach) = outcome.breaches.into_iter().next() {
            summary.broken.insert(seed, breach);
        }
    }
    summary
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [commands, leaders, files, acts] = self.counts;
        writeln!(
            f,
            "{} federations: {commands} commands, {leaders} terms with a leader, {files} new files, {acts} acts",
            self.seeds
        )?;
        for (seed, Breach { rule, at, text }) in self.broken.iter().take(3) {
            writeln!(f, "seed {seed} breaks {rule} at {} ms: {text}", at / MS)?;
        }
        write!(f, "{} seeds break a rule", self.broken.len())
    }
}
