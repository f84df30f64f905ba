//! A member that takes part: its consensus node, its open store and its leases, and what they do with messages and
//! time.

use super::outage::HaltReason;
use crate::federation::duties::{LeaseGrantor, LeaseHolder};
use crate::federation::hello::Hello;
use crate::federation::links::Links;
use crate::federation::log::{LogUpdate, StoredLog};
use crate::federation::node::{DurableStorage, LogIndexes, Node, NodeEvent};
use crate::federation::records::{MessageKind, MessageRecord};
use crate::federation::settings::FederationSettings;
use crate::federation::state::{AdmissionError, Command, Lease, Member, Roster};
use crate::federation::store::{Store, StoreError};
use crate::federation::view::{DutyView, MemberView, View};
use crate::federation::wire::Frame;
use crate::federation::{Leadership, MemberId};
use crate::interface::{Instant, Span};
use rand::Rng;
use std::collections::BTreeSet;
use tracing::{info, warn};

/// How often a member whose store is not enrolled yet asks for that.
const ENROL_EVERY: Span = Span::from_millis(200);
/// The duty of proposing what all sites are to hold in common; voters stand for it.
const PUBLISH_DUTY: &str = "publish";

/// The settings, and what is derived from them.
pub(super) struct Membership {
    pub settings: FederationSettings,
    /// The members that the file wants.
    pub wanted: Roster,
}

impl Membership {
    pub fn new(settings: FederationSettings) -> Self {
        Membership { wanted: settings.roster(), settings }
    }
}

/// Counts of events, over all starts of the member.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    /// Leaders that this member saw.
    pub elections: u64,
    /// The longest that the store took for one step, us.
    pub slowest_save_us: u64,
}

/// The store, with the time that it takes.
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

/// A member that takes part.
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
        let holder = LeaseHolder::new(settings.id, settings.lease_terms, random.random());
        let grantor = LeaseGrantor::new(settings.lease_terms);
        Ok(Participant { node, store, holder, grantor, next_tick: now, next_enrolment: now })
    }

    pub fn next_tick(&self) -> Instant {
        self.next_tick
    }

    pub fn is_leader(&self) -> bool {
        self.node.is_leader()
    }

    /// The federation's identity, 0 while it is not known.
    pub fn identity(&self) -> u64 {
        self.node.state().identity
    }

    pub fn incarnation(&self) -> u64 {
        self.store.owner().incarnation
    }

    /// Whether the store that a connecting member comes with may speak for it.
    pub fn admits(&self, settings: &FederationSettings, hello: &Hello) -> Result<(), AdmissionError> {
        let state = self.node.state();
        let listed = settings.revision > state.revision && settings.members.contains_key(&hello.from);
        state.admits(hello.from, hello.incarnation, listed)
    }

    /// Takes in what an authenticated member sent.
    pub fn receive(&mut self, from: MemberId, frame: Frame) {
        match frame {
            Frame::Raft(message) if message.from == from => {
                if let Err(why) = self.node.step(&message) {
                    warn!(peer = from.get(), %why, "federation: a message is passed over");
                }
            }
            Frame::Propose(command) if speaks_for(from, &command) => {
                let enrols = matches!(command, Command::Enrol { .. });
                let member = self.node.state().members.get(&from);
                if member.is_some_and(|member| !enrols || member.incarnation.is_none()) {
                    self.node.propose(&command);
                }
            }
            _ => warn!(peer = from.get(), "federation: a member speaks for another"),
        }
    }

    /// Does what is due by the clock: elections and heartbeats, changes of the members, leases, enrolment.
    pub fn tick(
        &mut self,
        now: Instant,
        membership: &Membership,
        links: &mut Links,
        leaving: bool,
    ) -> Result<(), HaltReason> {
        if now < self.next_tick {
            return Ok(());
        }
        let settings = &membership.settings;
        // One tick however long it was: a process that was stopped must not stand for election at once.
        self.next_tick = now + settings.tick;
        self.node.tick();
        links.tick(now);
        if !leaving {
            self.node.reconcile(settings.revision, &membership.wanted);
            self.renew_leases(now, links);
        }
        if self.next_enrolment <= now {
            self.next_enrolment = now + ENROL_EVERY;
            self.enrol(now, links)?;
        }
        Ok(())
    }

    /// Stands for duties where this member votes, and ends leases that ran out where it leads.
    fn renew_leases(&mut self, now: Instant, links: &mut Links) {
        let (state, leads) = (self.node.state(), self.node.is_leader());
        let votes = state.members.get(&self.node.id()).is_some_and(|own| own.voter);
        let duties = votes.then(|| PUBLISH_DUTY.to_owned()).into_iter().collect();
        let mut commands = self.holder.set_candidacies(&duties);
        commands.extend(self.holder.due_requests(now, state));
        commands.extend(self.grantor.due_expiries(now, state, leads));
        commands.into_iter().for_each(|command| self.propose(now, links, command));
    }

    /// Asks for this member's store to be enrolled, where none is.
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

    /// Proposes a command here, or has the leader propose it.
    fn propose(&mut self, now: Instant, links: &mut Links, command: Command) {
        let leader = self.node.leadership().leader;
        if leader == self.node.id() {
            self.node.propose(&command);
        } else if leader.is_some() {
            links.send(now, leader, &Frame::Propose(command));
        }
    }

    /// Stores what must be stored, then sends what may be sent.
    pub fn drive(
        &mut self,
        now: Instant,
        links: &mut Links,
        counters: &mut Counters,
    ) -> Result<(), HaltReason> {
        let mut storage = TimedStore { store: &mut self.store, slowest_us: &mut counters.slowest_save_us };
        let messages = self.node.drive(&mut storage)?;
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

    /// Logs what happened since the last call; `false`: nothing did.
    pub fn log_events(&mut self, counters: &mut Counters) -> bool {
        let events = self.node.take_events();
        for event in &events {
            match event {
                NodeEvent::LeaderChanged(Leadership { leader, term }) => {
                    counters.elections += u64::from(leader.is_some());
                    info!(leader = leader.get(), term = term.get(), "federation: leader");
                }
                NodeEvent::MembersChanged(change) => info!(?change, "federation: the members changed"),
                NodeEvent::SnapshotInstalled(index) => {
                    info!(index = index.get(), "federation: caught up by a snapshot")
                }
                NodeEvent::UnknownEntry(index) => {
                    warn!(index = index.get(), "federation: an entry that can't be read is passed over")
                }
            }
        }
        !events.is_empty()
    }

    /// Releases the duties and hands over the lead, if this member has it.
    pub fn hand_over(&mut self, now: Instant, links: &mut Links) {
        // Duties first: what was proposed before the lead goes is still in the log.
        for command in self.holder.set_candidacies(&BTreeSet::new()) {
            self.propose(now, links, command);
        }
        self.node.transfer_leadership();
    }

    /// The federation as this member sees it.
    pub fn view(&self, now: Instant, settings: &FederationSettings, links: &Links) -> View {
        let LogIndexes { last, committed, applied } = self.node.log_indexes();
        let Leadership { leader, term } = self.node.leadership();
        View {
            cluster: settings.cluster.clone(),
            id: settings.id,
            term,
            leader,
            role: self.node.role().to_owned(),
            last,
            committed,
            applied,
            revision: self.node.state().revision,
            file_revision: settings.revision,
            members: self.member_views(links),
            duties: self.duty_views(now),
            ..View::default()
        }
    }

    fn member_views(&self, links: &Links) -> Vec<MemberView> {
        let progress = self.node.progress();
        let view = |(id, member): (&MemberId, &Member)| {
            let own = *id == self.node.id();
            MemberView {
                id: *id,
                site: member.site.clone(),
                voter: member.voter,
                enrolled: member.incarnation.is_some(),
                connected: own || links.connected(*id),
                lag: progress.get(id).map(|progress| progress.lag),
                active: progress.get(id).map(|progress| progress.active || own),
            }
        };
        self.node.state().members.iter().map(view).collect()
    }

    fn duty_views(&self, now: Instant) -> Vec<DutyView> {
        let view = |(duty, lease): (&String, &Lease)| DutyView {
            duty: duty.clone(),
            holder: lease.holder,
            token: lease.token,
            held: self.holder.token(now, duty) == Some(lease.token),
        };
        self.node.state().duties.iter().map(view).collect()
    }
}

/// Whether a member may have this proposed: it speaks for itself alone.
fn speaks_for(from: MemberId, command: &Command) -> bool {
    match command {
        Command::Enrol { id, .. }
        | Command::Acquire { id, .. }
        | Command::Renew { id, .. }
        | Command::Release { id, .. } => *id == from,
        Command::RevisionStarted { .. } | Command::RevisionApplied { .. } | Command::Expire { .. } => false,
    }
}
