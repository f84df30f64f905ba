//! The members: how they start and restart, and what each does at a tick.

use super::disk::Disk;
use super::member::SimulatedMember;
use super::observer::ObservedStep;
use super::world::{FederationEvent, FederationWorld};
use super::{draw_span, DRIFT, DUTIES, LAST_FAULT, MS, QUIET, TERMS, TICK, TUNING};
use crate::federation::duties::{LeaseGrantor, LeaseHolder};
use crate::federation::log::StoredLog;
use crate::federation::node::Node;
use crate::federation::state::Command;
use crate::federation::MemberId;
use crate::interface::{Instant, Span};
use rand::Rng;
use std::collections::BTreeSet;

/// Pauses between the attempts of a member to open the store on a failing disk.
const RETRY_PAUSES: std::ops::Range<Span> = Span::from_millis(50)..Span::from_secs(1);
/// Keeps the first incarnations of members apart.
const INCARNATIONS_PER_MEMBER: u64 = 1000;

impl FederationWorld {
    /// Adds a member with what its store holds, and starts it.
    pub(super) fn add(&mut self, id: MemberId, kept: StoredLog) {
        // Mostly as slow or fast as allowed: what is between finds less.
        let drift = [-DRIFT, DRIFT, self.random.random_range(-DRIFT..=DRIFT)][self.random.random_range(0..3)];
        let member = SimulatedMember {
            disk: Disk::new(kept, self.planted),
            node: None,
            incarnation: id.0 * INCARNATIONS_PER_MEMBER,
            holder: LeaseHolder::new(id, TERMS, 0),
            grantor: LeaseGrantor::new(TERMS),
            wants: BTreeSet::new(),
            drift,
            clock_start: Instant::ZERO + self.random.random_range(0..1000_i64) * MS,
            tick: Span::from_micros_f64(TICK.as_micros_f64() / (1.0 + drift)),
            stalled_until: Instant::ZERO,
            file: 0,
        };
        self.members.insert(id, member);
        self.start(id);
        let first = self.now + draw_span(&mut self.random, Span::ZERO..TICK);
        self.schedule(first, FederationEvent::Tick(id, 0));
    }

    /// Starts a member's process from its store.
    fn start(&mut self, id: MemberId) {
        let seed = self.random.random();
        let terms = self.lease_terms();
        let asks = self.random.random();
        let wants = DUTIES.iter().filter(|_| self.random.random_range(0..3) > 0);
        let wants = wants.map(|duty| (*duty).to_owned()).collect();
        let Some(member) = self.members.get_mut(&id) else { return };
        // Of an earlier process only what its disk holds is left.
        member.holder = LeaseHolder::new(id, terms, asks);
        member.grantor = LeaseGrantor::new(terms);
        member.wants = wants;
        member.disk.unsynced = None;
        let kept = &mut member.disk.kept;
        // The terms that the log itself shows are not forgotten.
        let log_term = kept.entries.last().map_or(kept.snapshot.term, |entry| entry.term);
        kept.hard_state.term = kept.hard_state.term.max(log_term);
        match Node::new(id, member.disk.kept.clone(), TUNING, seed) {
            Ok(node) => member.node = Some(node),
            Err(error) => self.breach("start", format!("member {id}: {error}")),
        }
    }

    /// Starts a member that is not running, or schedules a retry where its disk still fails.
    pub(super) fn restart(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.disk.heals_at_restart {
            member.disk.fault = None;
        }
        if member.node.is_some() {
            return;
        }
        if member.disk.fault.is_some() {
            return self.retry_restart(id);
        }
        self.start(id);
        self.drive(id);
    }

    fn retry_restart(&mut self, id: MemberId) {
        let pause = draw_span(&mut self.disk_random, RETRY_PAUSES);
        self.schedule(self.now + pause, FederationEvent::Restart(id));
    }

    /// Lets a member do what it has to, checks it, and sends its messages.
    pub(super) fn drive(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let Some(node) = &mut member.node else { return };
        let driven = node.process_ready(&mut member.disk);
        member.holder.observe(node.state());
        let step = ObservedStep::take(id, node);
        let messages = match driven {
            Ok(messages) => messages,
            // As in service: the member begins anew from its store, once that can be opened.
            Err(_) if member.disk.fault.is_some() => {
                member.node = None;
                if !member.disk.heals_at_restart {
                    self.retry_restart(id);
                }
                return;
            }
            Err(error) => return self.breach("drive", format!("member {id}: {error}")),
        };
        self.observe(step);
        for message in messages {
            self.send(id, message);
        }
    }

    pub(super) fn tick(&mut self, id: MemberId, number: u64) {
        let Some(member) = self.members.get(&id) else { return };
        let next = member.stalled_until.max(self.now + member.tick);
        if member.stalled_until <= self.now {
            self.tick_node(id);
            self.seek_and_renew_leases(id);
            // In the end all duties are left: no lease may stay behind.
            if self.now > LAST_FAULT + QUIET / 2 {
                self.members.entry(id).and_modify(|member| member.wants.clear());
            }
        }
        self.schedule(next, FederationEvent::Tick(id, number + 1));
        self.drive(id);
    }

    /// A tick of a member's node: it proposes the changes that its file asks for, and its own enrolment.
    fn tick_node(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let (file, revision) = (member.file as usize, member.file_revision());
        let incarnation = member.incarnation;
        let Some(node) = &mut member.node else { return };
        node.tick();
        if let Some(wanted) = self.files.get(file) {
            node.reconcile(revision, wanted);
        }
        let enrolled = node.state().members.get(&id).and_then(|member| member.incarnation);
        if enrolled.is_none() {
            node.propose(&Command::Enrol { id, incarnation });
        }
    }
}
