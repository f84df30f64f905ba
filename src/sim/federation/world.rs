//! The members of a run, the events between them, and the observer who checks what they do.

use super::disk::Disk;
use super::{draw_span, Planted, DRIFT, DUTIES, FAULTS, MS, QUIET, SHORTEST_DELAY, TERMS, TICK, TUNING};
use crate::federation::duties::{LeaseGrantor, LeaseHolder};
use crate::federation::log::StoredLog;
use crate::federation::node::{AppliedCommand, Node};
use crate::federation::records::{MessageKind, MessageRecord};
use crate::federation::state::{Command, Roster, State};
use crate::federation::{LogIndex, MemberId, Term};
use crate::interface::{Instant, Span};
use crate::sim::rules::Breach;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hash;

/// Pauses between the attempts of a member to open the store on a failing disk.
const RETRY_PAUSES: std::ops::Range<Span> = Span::from_millis(50)..Span::from_secs(1);

pub(super) struct Member {
    pub disk: Disk,
    pub node: Option<Node>,
    pub incarnation: u64,
    pub holder: LeaseHolder,
    pub grantor: LeaseGrantor,
    /// The duties that it stands for.
    pub wants: BTreeSet<String>,
    /// Its clock runs so much faster than the world's, and began there.
    pub drift: f64,
    pub began: Instant,
    /// Its ticks are this long.
    pub tick: Span,
    pub stalled: Instant,
    /// Files that it has: the newest one's number.
    pub file: u64,
}

impl Member {
    /// Its own clock at a time of the world's.
    pub fn clock(&self, now: Instant) -> Instant {
        let elapsed = now - Instant::ZERO;
        self.began + Span::from_micros_f64(elapsed.as_micros_f64() * (1.0 + self.drift))
    }
}

pub(super) enum Event {
    Tick(MemberId, u64),
    Message(Box<MessageRecord>, u64),
    Fault,
    /// The disk of some member begins to fail.
    DiskFails,
    DiskHeals(MemberId),
    Restart(MemberId),
    /// A member acts under a token, at which it looked a moment ago.
    Act(MemberId, &'static str, u64),
    /// A member's ask reaches the one that it takes for the leader.
    Ask(MemberId, MemberId, Command),
    Load,
    File(MemberId, u64),
}

pub(super) struct World {
    pub now: Instant,
    pub count: u64,
    pub agenda: BTreeMap<(Instant, u64), Event>,
    pub members: BTreeMap<MemberId, Member>,
    /// From whom to whom nothing goes, and until when.
    pub cuts: BTreeMap<(MemberId, MemberId), Instant>,
    pub files: Vec<Roster>,
    pub random: ChaCha8Rng,
    /// Draws the faults of disks that heal.
    pub disk_random: ChaCha8Rng,
    /// The longest that a message takes in this run.
    pub slowest: Span,
    /// Of so many votes that are given one is the last thing that its member does for a moment; 0: none.
    pub dies_voting: u32,
    pub planted: Option<Planted>,
    pub breaches: Vec<Breach>,
    pub leaders: BTreeMap<Term, MemberId>,
    pub committed: BTreeMap<LogIndex, Command>,
    pub states: BTreeMap<LogIndex, State>,
    /// By duty: the highest token under which it was acted, and by whom.
    pub acted: BTreeMap<&'static str, (u64, MemberId)>,
    pub acts: u64,
    pub loads: u64,
    pub trace: DefaultHasher,
}

impl World {
    pub(super) fn plan(&mut self, at: Instant, event: Event) {
        self.count += 1;
        self.agenda.insert((at.max(self.now), self.count), event);
    }

    pub(super) fn broken(&mut self, rule: &'static str, text: String) {
        if self.breaches.iter().all(|breach| breach.rule != rule) {
            self.breaches.push(Breach { rule, at: self.now - Instant::ZERO, text });
        }
    }

    pub(super) fn start(&mut self, id: MemberId) {
        let seed = self.random.random();
        let terms = self.terms();
        let asks = self.random.random();
        let wants = DUTIES.iter().filter(|_| self.random.random_range(0..3) > 0);
        let wants = wants.map(|duty| (*duty).to_owned()).collect();
        let Some(member) = self.members.get_mut(&id) else { return };
        // Nothing of a process before is known but what its disk holds.
        (member.holder, member.grantor) = (LeaseHolder::new(id, terms, asks), LeaseGrantor::new(terms));
        member.wants = wants;
        member.disk.unsynced = None;
        let kept = &mut member.disk.kept;
        // What the log itself shows of terms is not forgotten.
        let log = kept.entries.last().map_or(kept.snapshot.term, |entry| entry.term);
        kept.hard_state.term = kept.hard_state.term.max(log);
        match Node::new(id, member.disk.kept.clone(), TUNING, seed) {
            Ok(node) => member.node = Some(node),
            Err(error) => self.broken("start", format!("member {id}: {error}")),
        }
    }

    /// Starts a member that does not run, or tries again later where its disk still fails.
    fn restart(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.disk.heals_at_restart {
            member.disk.fault = None;
        }
        if member.node.is_some() {
            return;
        }
        if member.disk.fault.is_some() {
            return self.plan_restart(id);
        }
        self.start(id);
        self.drive(id);
    }

    fn plan_restart(&mut self, id: MemberId) {
        let pause = draw_span(&mut self.disk_random, RETRY_PAUSES);
        self.plan(self.now + pause, Event::Restart(id));
    }

    pub(super) fn add(&mut self, id: MemberId, kept: StoredLog) {
        // As slow or fast as allowed, as a rule: what is between says less.
        let drift = [-DRIFT, DRIFT, self.random.random_range(-DRIFT..=DRIFT)][self.random.random_range(0..3)];
        let tick = Span::from_micros_f64(TICK.as_micros_f64() / (1.0 + drift));
        let disk = Disk::new(kept, self.planted);
        let (holder, grantor) = (LeaseHolder::new(id, TERMS, 0), LeaseGrantor::new(TERMS));
        let (wants, began) = (BTreeSet::new(), Instant::ZERO + self.random.random_range(0..1000_i64) * MS);
        let member = Member {
            disk,
            node: None,
            incarnation: id.0 * 1000,
            holder,
            grantor,
            wants,
            drift,
            began,
            tick,
            stalled: Instant::ZERO,
            file: 0,
        };
        self.members.insert(id, member);
        self.start(id);
        let first = self.now + draw_span(&mut self.random, Span::ZERO..TICK);
        self.plan(first, Event::Tick(id, 0));
    }

    pub(super) fn cut(&self, from: MemberId, to: MemberId) -> bool {
        self.cuts.get(&(from, to)).is_some_and(|until| *until > self.now)
    }

    /// Does what a member has to do, and checks what it did.
    pub(super) fn drive(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let Some(node) = &mut member.node else { return };
        let driven = node.drive(&mut member.disk);
        member.holder.observe(node.state());
        let (committed, leads, term) =
            (node.take_applied_commands(), node.is_leader(), node.leadership().term);
        let (state, applied) = (node.state().clone(), node.log_indexes().applied);
        node.take_events();
        let out = match driven {
            Ok(out) => out,
            // As in service: the member begins anew from what was kept, once that can be.
            Err(_) if member.disk.fault.is_some() => {
                member.node = None;
                if !member.disk.heals_at_restart {
                    self.plan_restart(id);
                }
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
        for AppliedCommand { index, command } in committed {
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
            let votes = message.kind == MessageKind::VoteResponse && !message.reject && self.dies_voting > 0;
            if votes && self.now < FAULTS && self.random.random_range(0..self.dies_voting) == 0 {
                let back = self.now + self.random.random_range(1..100_i64) * MS;
                self.crash(id, back);
            }
            if message.kind == MessageKind::Snapshot {
                // Sent, as far as the sender knows: that it was lost it learns by the answers.
                if let Some(node) = self.members.get_mut(&id).and_then(|member| member.node.as_mut()) {
                    node.report_snapshot(message.to, true);
                }
            }
            let delay = draw_span(&mut self.random, SHORTEST_DELAY..self.slowest);
            let lost = self.random.random_range(0..100) == 0 || self.cut(id, message.to);
            if !lost {
                let from = self.members.get(&id).map_or(0, |member| member.incarnation);
                self.plan(self.now + delay, Event::Message(Box::new(message), from));
            }
        }
    }

    pub(super) fn happen(&mut self, event: Event) {
        match event {
            Event::Tick(id, number) => self.tick(id, number),
            Event::Message(message, incarnation) => self.deliver(message, incarnation),
            Event::Ask(from, to, command) => self.forward(from, to, &command),
            Event::Act(id, duty, token) => self.act(id, duty, token),
            Event::Load => self.load(),
            Event::Restart(id) => self.restart(id),
            Event::File(id, file) => {
                if let Some(member) = self.members.get_mut(&id) {
                    member.file = member.file.max(file);
                }
            }
            Event::Fault => self.fault(),
            Event::DiskFails => self.fail_any_disk(),
            Event::DiskHeals(id) => {
                if let Some(member) = self.members.get_mut(&id) {
                    member.disk.fault = None;
                }
            }
        }
    }

    fn tick(&mut self, id: MemberId, number: u64) {
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
                let known = node.state().members.get(&id).and_then(|m| m.incarnation);
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

    /// A message reaches a member.
    fn deliver(&mut self, message: Box<MessageRecord>, incarnation: u64) {
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
        let lists = self.files.get(file).is_some_and(|file| file.contains_key(&from));
        let Some(node) = &mut member.node else { return };
        let listed = file as u64 + 1 > node.state().revision && lists;
        let any_store = self.planted == Some(Planted::EmptyStore);
        if !any_store && node.state().admits(from, incarnation, listed).is_err() {
            return;
        }
        if let Err(why) = node.step(&message) {
            self.broken("message", format!("{why}: {message:?}"));
        }
        self.drive(id);
    }

    /// A member's command reaches the one that it takes for the leader.
    fn forward(&mut self, from: MemberId, to: MemberId, command: &Command) {
        let Some(member) = self.members.get_mut(&to).filter(|member| member.stalled <= self.now) else {
            return;
        };
        let Some(node) = &mut member.node else { return };
        let listed = node.state().members.contains_key(&from);
        if listed && node.propose(command) {
            self.drive(to);
        }
    }

    /// Whoever leads proposes a command that means nothing: it has its place in the log all the same.
    fn load(&mut self) {
        self.loads += 1;
        let command = Command::Enrol { id: MemberId(1_000_000 + self.loads), incarnation: self.loads };
        let ids: Vec<MemberId> = self.members.keys().copied().collect();
        for id in ids {
            let member = self.members.get_mut(&id).filter(|member| member.stalled <= self.now);
            let node = member.and_then(|member| member.node.as_mut());
            if node.is_some_and(|node| node.is_leader() && node.propose(&command)) {
                self.drive(id);
            }
        }
        let pause = self.random.random_range(50..400_i64) * MS;
        if self.now < FAULTS + QUIET / 4 {
            self.plan(self.now + pause, Event::Load);
        }
    }
}
