//! Plans membership changes towards what the operator's file says: one server at a time (Raft thesis, section 4.1), and
//! none that would lose the quorum that it needs itself.

use super::state::{Change, Command, Roster, State};
use super::MemberId;
use std::collections::BTreeMap;

/// The maximum lag, in entries, of a learner that is promoted to voter: its vote must not delay the next commit.
const MAX_PROMOTION_LAG: u64 = 16;

/// The replication progress of a member, as the leader sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Entries that it lags behind the leader's log.
    pub lag: u64,
    /// Whether it responded within the last election timeout.
    pub active: bool,
}

/// The next step of a membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipStep {
    /// Propose this change.
    Change(Change),
    /// Propose this command, which records the progress of the change.
    Command(Command),
    /// Transfer leadership first: the change concerns the leader itself.
    TransferLeadership,
    /// Nothing to do, or not yet.
    Wait,
}

/// The next step from the state to the members that the file of this revision wants. A file that is older than the
/// one that holds, or was begun, changes nothing: the leader may have missed a newer one.
pub fn next_step(
    state: &State,
    revision: u64,
    wanted: &Roster,
    leader: MemberId,
    progress: &BTreeMap<MemberId, Progress>,
) -> MembershipStep {
    if revision <= state.revision || revision < state.started_revision {
        return MembershipStep::Wait;
    }
    if revision > state.started_revision {
        return MembershipStep::Command(Command::RevisionStarted { revision });
    }
    let planner = Planner { state, wanted, leader, progress };
    // New voters before others go: there are never fewer than there need to be.
    let step = planner.add().or_else(|| planner.promote()).or_else(|| planner.retire_voter());
    step.or_else(|| planner.remove_learner())
        .unwrap_or(MembershipStep::Command(Command::RevisionApplied { revision }))
}

/// Compares the members with those that are wanted; each of its steps is `None` where there is nothing to do.
struct Planner<'a> {
    state: &'a State,
    wanted: &'a Roster,
    leader: MemberId,
    progress: &'a BTreeMap<MemberId, Progress>,
}

impl Planner<'_> {
    fn progress(&self, id: MemberId) -> Progress {
        self.progress.get(&id).copied().unwrap_or_default()
    }

    fn wants_vote(&self, id: MemberId) -> bool {
        self.wanted.get(&id).is_some_and(|member| member.voter)
    }

    fn voters(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.state.members.iter().filter(|(_, member)| member.voter).map(|(id, _)| *id)
    }

    /// Adds a new member, as a learner.
    fn add(&self) -> Option<MembershipStep> {
        let (id, member) = self.wanted.iter().find(|(id, _)| !self.state.members.contains_key(id))?;
        Some(MembershipStep::Change(Change::Add { id: *id, site: member.site.clone() }))
    }

    /// Promotes a learner that is to vote, once it has caught up and answers.
    fn promote(&self) -> Option<MembershipStep> {
        let learners = self.state.members.iter().filter(|(_, member)| !member.voter).map(|(id, _)| *id);
        let candidates: Vec<MemberId> = learners.filter(|id| self.wants_vote(*id)).collect();
        let ready = |id: &&MemberId| {
            let Progress { lag, active } = self.progress(**id);
            active && lag <= MAX_PROMOTION_LAG
        };
        match candidates.iter().find(ready) {
            Some(id) => Some(MembershipStep::Change(Change::Promote(*id))),
            None => (!candidates.is_empty()).then_some(MembershipStep::Wait),
        }
    }

    /// Demotes or removes a voter that is not to vote, once the others have their quorum without it.
    fn retire_voter(&self) -> Option<MembershipStep> {
        let retired: Vec<MemberId> = self.voters().filter(|id| !self.wants_vote(*id)).collect();
        let Some(id) = retired.iter().copied().find(|id| self.has_quorum_without(*id)) else {
            return (!retired.is_empty()).then_some(MembershipStep::Wait);
        };
        let stays = self.wanted.contains_key(&id);
        Some(self.change(id, if stays { Change::Demote(id) } else { Change::Remove(id) }))
    }

    fn remove_learner(&self) -> Option<MembershipStep> {
        let id = self.state.members.keys().copied().find(|id| !self.wanted.contains_key(id))?;
        Some(self.change(id, Change::Remove(id)))
    }

    fn has_quorum_without(&self, id: MemberId) -> bool {
        let others: Vec<MemberId> = self.voters().filter(|other| *other != id).collect();
        let active = others.iter().filter(|other| **other == self.leader || self.progress(**other).active);
        !others.is_empty() && 2 * active.count() > others.len()
    }

    /// A change of this member; a leader transfers its leadership before it changes itself.
    fn change(&self, id: MemberId, change: Change) -> MembershipStep {
        if id == self.leader {
            MembershipStep::TransferLeadership
        } else {
            MembershipStep::Change(change)
        }
    }
}
