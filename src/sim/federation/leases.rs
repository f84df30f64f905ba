//! The duties of members: they ask for leases, renew them, and act under their fencing tokens.

use super::world::{Event, World};
use super::{draw_span, Planted, DUTIES, SHORTEST_DELAY, TERMS, TICK};
use crate::federation::duties::LeaseTerms;
use crate::federation::MemberId;
use crate::interface::Span;

impl World {
    pub(super) fn terms(&self) -> LeaseTerms {
        match self.planted {
            Some(Planted::NoGuard) => LeaseTerms { guard: Span::ZERO, drift: 0.0, ..TERMS },
            _ => TERMS,
        }
    }

    /// A member asks for, renews and acts on its duties.
    pub(super) fn duties(&mut self, id: MemberId) {
        let now = self.now;
        let Some(member) = self.members.get_mut(&id) else { return };
        let local = member.clock(now);
        let Some(node) = &mut member.node else { return };
        let (state, leads) = (node.state().clone(), node.is_leader());
        let mut commands = member.holder.set_candidacies(&member.wants);
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
        for command in commands {
            if leader.is_some() && !self.cut(id, leader) {
                let delay = draw_span(&mut self.random, SHORTEST_DELAY..self.slowest);
                self.plan(now + delay, Event::Ask(id, leader, command));
            }
        }
        for (duty, token) in held {
            let moment = draw_span(&mut self.random, Span::ZERO..TICK);
            self.plan(now + moment, Event::Act(id, duty, token));
        }
    }

    pub(super) fn act(&mut self, id: MemberId, duty: &'static str, token: u64) {
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
}
