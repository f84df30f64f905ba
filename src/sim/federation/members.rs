//! How members start, restart and take steps, and what each does at a tick.

use super::disk::Disk;
use super::member::SimulatedMember;
use super::observer::ObservedStep;
use super::world::{FederationEvent, FederationWorld};
use super::{draw_span, DUTIES, LAST_FAULT, LEASE_TIMING, MAX_DRIFT, MS, QUIET_PERIOD, TICK, TUNING};
use crate::federation::duties::{LeaseGrantor, LeaseHolder};
use crate::federation::log::StoredLog;
use crate::federation::node::Node;
use crate::federation::state::Command;
use crate::federation::MemberId;
use crate::interface::{Instant, Span};
use rand::Rng;
use std::collections::BTreeSet;

/// Pauses between a member's attempts to open its store on a failing disk.
const RETRY_PAUSES: std::ops::Range<Span> = Span::from_millis(50)..Span::from_secs(1);
/// Difference between the incarnations of members with successive numbers, so that all are distinct.
const INCARNATIONS_PER_MEMBER: u64 = 1000;

impl FederationWorld {
    /// Adds a member with the given content of its store, and starts it.
    pub(super) fn add(&mut self, id: MemberId, stored: StoredLog) {
        // Two in three members have the largest allowed drift, since drifts in between find fewer bugs.
        let drift = [-MAX_DRIFT, MAX_DRIFT, self.random.random_range(-MAX_DRIFT..=MAX_DRIFT)]
            [self.random.random_range(0..3)];
        let member = SimulatedMember {
            disk: Disk::new(stored, self.planted_bug),
            node: None,
            incarnation: id.0 * INCARNATIONS_PER_MEMBER,
            holder: LeaseHolder::new(id, LEASE_TIMING, 0),
            grantor: LeaseGrantor::new(LEASE_TIMING),
            wanted_duties: BTreeSet::new(),
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
        let terms = self.lease_timing();
        let asks = self.random.random();
        let wanted_duties = DUTIES.iter().filter(|_| self.random.random_range(0..3) > 0);
        let wanted_duties = wanted_duties.map(|duty| (*duty).to_owned()).collect();
        let Some(member) = self.members.get_mut(&id) else { return };
        // Only what the disk holds survives from an earlier process.
        member.holder = LeaseHolder::new(id, terms, asks);
        member.grantor = LeaseGrantor::new(terms);
        member.wanted_duties = wanted_duties;
        member.disk.unsynced = None;
        let stored = &mut member.disk.stored;
        // Even if stored terms are lost (`ForgottenVote`), the term is at least that of the last log entry.
        let log_term = stored.entries.last().map_or(stored.snapshot.term, |entry| entry.term);
        stored.hard_state.term = stored.hard_state.term.max(log_term);
        match Node::new(id, member.disk.stored.clone(), TUNING, seed) {
            Ok(node) => member.node = Some(node),
            Err(error) => self.record_breach("start", format!("member {id}: {error}")),
        }
    }

    /// Starts a member that is not running, or schedules a retry if its disk still fails.
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

    /// Lets a member's node do its pending work, checks the step, and sends the node's messages.
    pub(super) fn drive(&mut self, id: MemberId) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let Some(node) = &mut member.node else { return };
        let driven = node.process_ready(&mut member.disk);
        member.holder.observe(node.state());
        let step = ObservedStep::take(id, node);
        let messages = match driven {
            Ok(messages) => messages,
            // As in service, the member restarts from its store once that can be opened.
            Err(_) if member.disk.fault.is_some() => {
                member.node = None;
                if !member.disk.heals_at_restart {
                    self.retry_restart(id);
                }
                return;
            }
            Err(error) => return self.record_breach("drive", format!("member {id}: {error}")),
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
            // Near the end members give up all duties, so that the final check can require that no lease is
            // left.
            if self.now > LAST_FAULT + QUIET_PERIOD / 2 {
                self.members.entry(id).and_modify(|member| member.wanted_duties.clear());
            }
        }
        self.schedule(next, FederationEvent::Tick(id, number + 1));
        self.drive(id);
    }

    /// Ticks a member's node, which then proposes the changes that its file requires, and its own enrolment.
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
