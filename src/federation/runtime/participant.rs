//! A running member: its consensus node, its open store and its leases. `status` holds its reports to
//! operators.

mod status;

use super::outage::HaltReason;
use crate::federation::duties::{LeaseGrantor, LeaseHolder};
use crate::federation::hello::Hello;
use crate::federation::links::Links;
use crate::federation::log::{LogUpdate, StoredLog};
use crate::federation::node::{DurableStorage, Node};
use crate::federation::records::{MessageKind, MessageRecord};
use crate::federation::settings::FederationSettings;
use crate::federation::state::{AdmissionError, Command, Roster};
use crate::federation::store::{Store, StoreError};
use crate::federation::wire::Frame;
use crate::federation::MemberId;
use crate::interface::{Instant, Span};
use rand::Rng;
use std::collections::BTreeSet;
use tracing::warn;

/// Interval between checks of this member's enrolment, and between requests while its store is not enrolled.
const ENROLMENT_INTERVAL: Span = Span::from_millis(200);
/// Name of the duty to propose the state that all sites share. Voters are candidates for it.
const PUBLISH_DUTY: &str = "publish";

/// The settings, and the members derived from them.
pub(super) struct Membership {
    pub settings: FederationSettings,
    /// The members that the settings file lists.
    pub wanted: Roster,
}

impl Membership {
    pub fn new(settings: FederationSettings) -> Self {
        Membership { wanted: settings.roster(), settings }
    }
}

/// Counts of events, kept when the member is restarted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    /// Number of times that this member saw a new leader.
    pub elections: u64,
    /// Longest duration of one save, in us.
    pub slowest_save_us: u64,
}

/// A store that measures the duration of each save.
struct TimedStore<'a> {
    store: &'a mut Store,
    slowest_us: &'a mut u64,
}

impl DurableStorage for TimedStore<'_> {
    type Error = StoreError;

    fn save(&mut self, save: &LogUpdate) -> Result<(), StoreError> {
        let begun = std::time::Instant::now();
        let done = self.store.save(save);
        *self.slowest_us = (*self.slowest_us).max(begun.elapsed().as_micros() as u64);
        done
    }
}

/// A member while it runs; dropped when the member is halted, paused or stopped.
pub(super) struct Participant {
    node: Node,
    store: Store,
    holder: LeaseHolder,
    grantor: LeaseGrantor,
    next_tick: Instant,
    next_enrolment: Instant,
}

impl Participant {
    pub fn new(
        settings: &FederationSettings,
        (store, saved): (Store, StoredLog),
        now: Instant,
        random: &mut impl Rng,
    ) -> Result<Self, HaltReason> {
        let node = Node::new(settings.id, saved, settings.tuning, random.random())?;
        let holder = LeaseHolder::new(settings.id, settings.lease_timing, random.random());
        let grantor = LeaseGrantor::new(settings.lease_timing);
        Ok(Participant { node, store, holder, grantor, next_tick: now, next_enrolment: now })
    }

    pub fn next_tick(&self) -> Instant {
        self.next_tick
    }

    pub fn is_leader(&self) -> bool {
        self.node.is_leader()
    }

    /// Returns the identity of the federation, 0 while it is not known.
    pub fn identity(&self) -> u64 {
        self.node.state().identity
    }

    pub fn incarnation(&self) -> u64 {
        self.store.owner().incarnation
    }

    /// Checks that a connecting member is admitted with the store that it uses.
    pub fn admits(&self, settings: &FederationSettings, hello: &Hello) -> Result<(), AdmissionError> {
        let state = self.node.state();
        let listed = settings.revision > state.revision && settings.members.contains_key(&hello.from);
        state.check_admission(hello.from, hello.incarnation, listed)
    }

    /// Handles a frame from an authenticated member.
    pub fn receive(&mut self, from: MemberId, frame: Frame) {
        match frame {
            Frame::Raft(message) if message.from == from => {
                if let Err(why) = self.node.step(&message) {
                    warn!(peer = from.get(), %why, "federation: a message is ignored");
                }
            }
            Frame::Propose(command) if may_propose(from, &command) => {
                let enrols = matches!(command, Command::Enrol { .. });
                let member = self.node.state().members.get(&from);
                if member.is_some_and(|member| !enrols || member.incarnation.is_none()) {
                    self.node.propose(&command);
                }
            }
            _ => warn!(peer = from.get(), "federation: ignored a message that the member may not send"),
        }
    }

    /// Handles timers: elections, heartbeats, membership changes, leases and enrolment.
    pub fn tick(
        &mut self,
        now: Instant,
        membership: &Membership,
        links: &mut Links,
        stopping: bool,
    ) -> Result<(), HaltReason> {
        if now < self.next_tick {
            return Ok(());
        }
        let settings = &membership.settings;
        // Only one tick, however much time has passed: a process that was suspended must not start an
        // election at once.
        self.next_tick = now + settings.tick;
        self.node.tick();
        links.tick(now);
        if !stopping {
            self.node.reconcile(settings.revision, &membership.wanted);
            self.renew_leases(now, links);
        }
        if self.next_enrolment <= now {
            self.next_enrolment = now + ENROLMENT_INTERVAL;
            self.enrol(now, links)?;
        }
        Ok(())
    }

    /// Requests and renews leases if this member is a voter, and proposes to expire leases if it is the
    /// leader.
    fn renew_leases(&mut self, now: Instant, links: &mut Links) {
        let (state, is_leader) = (self.node.state(), self.node.is_leader());
        let is_voter = state.members.get(&self.node.id()).is_some_and(|own| own.voter);
        let duties = is_voter.then(|| PUBLISH_DUTY.to_owned()).into_iter().collect();
        let mut commands = self.holder.set_candidacies(&duties);
        commands.extend(self.holder.due_requests(now, state));
        commands.extend(self.grantor.due_expiries(now, state, is_leader));
        commands.into_iter().for_each(|command| self.propose(now, links, command));
    }

    /// Requests the enrolment of this member's store if none is enrolled. Fails if another store is enrolled.
    fn enrol(&mut self, now: Instant, links: &mut Links) -> Result<(), HaltReason> {
        let (id, incarnation) = (self.node.id(), self.incarnation());
        let Some(own) = self.node.state().members.get(&id) else { return Ok(()) };
        match own.incarnation {
            None => self.propose(now, links, Command::Enrol { id, incarnation }),
            Some(enrolled) if enrolled != incarnation => return Err(HaltReason::OtherStore),
            Some(_) => {}
        }
        Ok(())
    }

    /// Proposes a command if this member leads, or forwards it to the leader if there is one.
    fn propose(&mut self, now: Instant, links: &mut Links, command: Command) {
        let leader = self.node.leadership().leader;
        if leader == self.node.id() {
            self.node.propose(&command);
        } else if leader.is_some() {
            links.send(now, leader, &Frame::Propose(command));
        }
    }

    /// Saves the node's pending updates, then sends its messages.
    pub fn drive(
        &mut self,
        now: Instant,
        links: &mut Links,
        counters: &mut Counters,
    ) -> Result<(), HaltReason> {
        let mut storage = TimedStore { store: &mut self.store, slowest_us: &mut counters.slowest_save_us };
        let messages = self.node.process_ready(&mut storage)?;
        messages.into_iter().for_each(|message| self.send(now, links, message));
        self.node.take_applied_commands();
        self.holder.observe(self.node.state());
        links.set_identity(self.identity());
        Ok(())
    }

    fn send(&mut self, now: Instant, links: &mut Links, message: MessageRecord) {
        let (to, snapshot) = (message.to, message.kind == MessageKind::Snapshot);
        let sent = links.send(now, to, &Frame::Raft(message));
        if snapshot {
            self.node.report_snapshot(to, sent);
        } else if !sent {
            self.node.report_unreachable(to);
        }
    }

    /// Releases the leases and transfers leadership, if this member leads.
    pub fn step_down(&mut self, now: Instant, links: &mut Links) {
        // The leases are released first: commands that are proposed before the transfer still get into the
        // log.
        for command in self.holder.set_candidacies(&BTreeSet::new()) {
            self.propose(now, links, command);
        }
        self.node.transfer_leadership();
    }
}

/// Whether `from` may have this command proposed: a member acts only for itself.
fn may_propose(from: MemberId, command: &Command) -> bool {
    match command {
        Command::Enrol { id, .. }
        | Command::Acquire { id, .. }
        | Command::Renew { id, .. }
        | Command::Release { id, .. } => *id == from,
        Command::RevisionStarted { .. } | Command::RevisionApplied { .. } | Command::Expire { .. } => false,
    }
}
