//! Traffic between members: messages, forwarded commands, and filler commands that keep the log growing.

use super::world::{FederationEvent, FederationWorld};
use super::{draw_span, PlantedBug, LAST_FAULT, MIN_DELAY, MS, QUIET_PERIOD};
use crate::federation::records::{MessageKind, MessageRecord};
use crate::federation::state::Command;
use crate::federation::MemberId;
use rand::Rng;

/// On average, one in this many messages is lost.
const MESSAGES_PER_LOSS: i32 = 100;
/// Lowest member number in filler commands. No member has such a number, so these commands have no effect.
const FIRST_FILLER_MEMBER: u64 = 1_000_000;

impl FederationWorld {
    /// Whether messages from one member to another are lost because of a partition.
    pub(super) fn is_partitioned(&self, from: MemberId, to: MemberId) -> bool {
        self.partitions.get(&(from, to)).is_some_and(|until| *until > self.now)
    }

    /// Sends a message of a member; it is delayed, and may be lost.
    pub(super) fn send(&mut self, id: MemberId, message: MessageRecord) {
        self.maybe_crash_on_vote(id, &message);
        if message.kind == MessageKind::Snapshot {
            // The sender takes the snapshot for sent. If it is lost, the sender learns that from later
            // responses.
            if let Some(node) = self.members.get_mut(&id).and_then(|member| member.node.as_mut()) {
                node.report_snapshot(message.to, true);
            }
        }
        let delay = draw_span(&mut self.random, MIN_DELAY..self.max_delay);
        let is_lost =
            self.random.random_range(0..MESSAGES_PER_LOSS) == 0 || self.is_partitioned(id, message.to);
        if !is_lost {
            let incarnation = self.members.get(&id).map_or(0, |member| member.incarnation);
            let event = FederationEvent::Message(Box::new(message), incarnation);
            self.schedule(self.now + delay, event);
        }
    }

    /// Crashes a member for a moment as it grants a vote, with the run's probability.
    fn maybe_crash_on_vote(&mut self, id: MemberId, message: &MessageRecord) {
        let grants_vote = message.kind == MessageKind::VoteResponse && !message.reject;
        if !grants_vote || self.votes_per_crash == 0 || self.now >= LAST_FAULT {
            return;
        }
        if self.random.random_range(0..self.votes_per_crash) == 0 {
            let back = self.now + self.random.random_range(1..100_i64) * MS;
            self.crash(id, back);
        }
    }

    /// Delivers a message to a member. A stalled member gets it when it runs again; a member that does not
    /// admit the sender's incarnation ignores it.
    pub(super) fn deliver(&mut self, message: Box<MessageRecord>, incarnation: u64) {
        let (id, from) = (message.to, message.from);
        if self.is_partitioned(from, id) {
            return;
        }
        let Some(member) = self.members.get_mut(&id) else { return };
        if member.stalled_until > self.now {
            let at = member.stalled_until;
            return self.schedule(at, FederationEvent::Message(message, incarnation));
        }
        let revision = member.file_revision();
        let file_lists_sender =
            self.files.get(member.file as usize).is_some_and(|file| file.contains_key(&from));
        let Some(node) = &mut member.node else { return };
        let is_listed = revision > node.state().revision && file_lists_sender;
        let admits_any_store = self.planted_bug == Some(PlantedBug::EmptyStore);
        if !admits_any_store && node.state().check_admission(from, incarnation, is_listed).is_err() {
            return;
        }
        if let Err(why) = node.step(&message) {
            self.record_breach("message", format!("{why}: {message:?}"));
        }
        self.drive(id);
    }

    /// Delivers a member's command to the member that it considers to be the leader; dropped if that is
    /// stalled or not running, or does not list the sender.
    pub(super) fn forward(&mut self, from: MemberId, to: MemberId, command: &Command) {
        let member = self.members.get_mut(&to).filter(|member| member.stalled_until <= self.now);
        let Some(node) = member.and_then(|member| member.node.as_mut()) else { return };
        let is_listed = node.state().members.contains_key(&from);
        if is_listed && node.propose(command) {
            self.drive(to);
        }
    }

    /// Lets every leader propose a filler command: it has no effect on the state, but adds an entry to the
    /// log.
    pub(super) fn propose_filler(&mut self) {
        self.filler_commands += 1;
        let id = MemberId(FIRST_FILLER_MEMBER + self.filler_commands);
        let command = Command::Enrol { id, incarnation: self.filler_commands };
        let ids: Vec<MemberId> = self.members.keys().copied().collect();
        for id in ids {
            let member = self.members.get_mut(&id).filter(|member| member.stalled_until <= self.now);
            let node = member.and_then(|member| member.node.as_mut());
            if node.is_some_and(|node| node.is_leader() && node.propose(&command)) {
                self.drive(id);
            }
        }
        let pause = self.random.random_range(50..400_i64) * MS;
        if self.now < LAST_FAULT + QUIET_PERIOD / 4 {
            self.schedule(self.now + pause, FederationEvent::ProposeFiller);
        }
    }
}
