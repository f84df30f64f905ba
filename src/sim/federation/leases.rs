//! Members seek and renew leases, and act on duties under their fencing tokens.

use super::world::{FederationEvent, FederationWorld};
use super::{draw_span, PlantedBug, DUTIES, LEASE_TIMING, MIN_DELAY, TICK};
use crate::federation::duties::LeaseTiming;
use crate::federation::state::Command;
use crate::federation::MemberId;
use crate::interface::Span;

impl FederationWorld {
    pub(super) fn lease_timing(&self) -> LeaseTiming {
        match self.planted_bug {
            Some(PlantedBug::NoGuard) => LeaseTiming { guard: Span::ZERO, drift: 0.0, ..LEASE_TIMING },
            _ => LEASE_TIMING,
        }
    }

    /// Lets a member seek and renew leases, and schedules acts on the duties that it holds. The leader
    /// proposes the requests and ends expired leases; other members forward their requests to it.
    pub(super) fn seek_and_renew_leases(&mut self, id: MemberId) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        let local = member.clock(now);
        let Some(node) = &mut member.node else { return };
        let (state, leads) = (node.state().clone(), node.is_leader());
        let mut commands = member.holder.set_candidacies(&member.wanted_duties);
        commands.extend(member.holder.due_requests(local, &state));
        let held = DUTIES.iter().filter_map(|duty| Some((*duty, member.holder.token(local, duty)?)));
        let held: Vec<(&'static str, u64)> = held.collect();
        let expired = member.grantor.due_expiries(local, &state, leads);
        for command in &expired {
            node.propose(command);
        }
        let leader = node.leadership().leader;
        if leads {
            for command in commands.drain(..) {
                node.propose(&command);
            }
        }
        self.forward_to_leader(id, leader, commands);
        for (duty, token) in held {
            let moment = draw_span(&mut self.random, Span::ZERO..TICK);
            self.schedule(now + moment, FederationEvent::Act(id, duty, token));
        }
    }

    fn forward_to_leader(&mut self, id: MemberId, leader: MemberId, commands: Vec<Command>) {
        for command in commands {
            if leader.is_some() && !self.is_partitioned(id, leader) {
                let delay = draw_span(&mut self.random, MIN_DELAY..self.max_delay);
                self.schedule(self.now + delay, FederationEvent::Forward(id, leader, command));
            }
        }
    }

    /// Lets a member act on a duty if its process runs and the lease is still valid by its clock.
    pub(super) fn act(&mut self, id: MemberId, duty: &'static str, token: u64) {
        let now = self.now;
        let Some(member) = self.members.get(&id) else { return };
        if member.node.is_none() {
            return;
        }
        if member.stalled_until > now {
            // The process was stalled between its check and the act, and continues there when it runs again.
            let at = member.stalled_until;
            return self.schedule(at, FederationEvent::Act(id, duty, token));
        }
        let local = member.clock(now);
        if self.planted_bug != Some(PlantedBug::NoLook) && member.holder.token(local, duty) != Some(token) {
            return;
        }
        self.observe_act(id, duty, token);
    }
}
