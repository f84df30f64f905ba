//! Proposals of a leader: commands, membership changes and leadership transfer.

use super::codec::{conf_change, encode};
use super::Node;
use crate::federation::membership::{self, MembershipStep};
use crate::federation::state::{Change, Command, Roster};

/// The maximum size of one encoded command, in bytes.
const MAX_COMMAND_BYTES: usize = 32 * 1024;

impl Node {
    /// Proposes a command. Returns `false` if this member is not the leader, the command is too long, or the
    /// `raft` crate rejects it, such as when too many uncommitted proposals are waiting.
    pub fn propose(&mut self, command: &Command) -> bool {
        let data = encode(command);
        let fits = data.len() <= MAX_COMMAND_BYTES;
        let proposed = self.is_leader() && fits && self.raw_node.propose(Vec::new(), data).is_ok();
        self.after_step();
        proposed
    }

    /// Proposes a membership change. Returns `false` if the `raft` crate rejects it.
    pub(super) fn propose_change(&mut self, change: &Change) -> bool {
        let proposed = self.raw_node.propose_conf_change(encode(change), conf_change(change)).is_ok();
        self.after_step();
        proposed
    }

    /// Proposes the next step towards the members of a file, if this member leads and no change is pending.
    pub fn reconcile(&mut self, revision: u64, wanted: &Roster) {
        if !self.is_leader() || self.raw_node.raft.has_pending_conf() {
            return;
        }
        match membership::next_step(&self.state, revision, wanted, self.id, &self.progress()) {
            MembershipStep::Change(change) => drop(self.propose_change(&change)),
            MembershipStep::Command(command) => drop(self.propose(&command)),
            MembershipStep::TransferLeadership => drop(self.transfer_leadership()),
            MembershipStep::Wait => {}
        }
    }

    /// Transfers leadership to the active voter with the smallest lag. Returns `false` if this member is not
    /// the leader, or no other voter is active.
    pub fn transfer_leadership(&mut self) -> bool {
        let progress = self.progress();
        let others = self.state.members.iter().filter(|(id, member)| member.voter && **id != self.id);
        let active = others.filter_map(|(id, _)| Some((progress.get(id).filter(|p| p.active)?.lag, *id)));
        let Some((_, to)) = active.min().filter(|_| self.is_leader()) else { return false };
        self.raw_node.transfer_leader(to.0);
        self.after_step();
        true
    }
}
