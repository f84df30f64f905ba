//! Plans membership changes towards the operator's file: one member at a time (Raft thesis, section 4.1), and
//! none that would leave the remaining voters without a quorum.

use super::state::{Change, Command, Roster, State};
use super::MemberId;
use std::collections::BTreeMap;

/// The maximum lag, in entries, at which a learner is promoted to voter, so that commits do not have to wait
/// for it.
const MAX_PROMOTION_LAG: u64 = 16;

/// The replication progress of a member as seen by the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of entries by which the member lags behind the leader's log.
    pub lag: u64,
    /// Whether the member responded within the last election timeout.
    pub active: bool,
}

/// The next step of a membership change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipStep {
    /// Propose this change.
    Change(Change),
    /// Propose this command, which records that the change is started or complete.
    Command(Command),
    /// Transfer leadership first: the change concerns the leader itself.
    TransferLeadership,
    /// Nothing to do now.
    Wait,
}

/// Returns the next step from the current members to those that the file of this `revision` lists.
///
/// A file older than the one whose change is complete or started has no effect, since the leader may have
/// missed a newer file.
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
    // Adds new voters before it retires others, so that there are never fewer voters than needed.
    let step = planner.add().or_else(|| planner.promote()).or_else(|| planner.retire_voter());
    step.or_else(|| planner.remove_learner())
        .unwrap_or(MembershipStep::Command(Command::RevisionApplied { revision }))
}

/// Compares the current members with the wanted ones. Each of its steps is `None` if there is nothing to do.
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

    /// Adds a new member as a learner.
    fn add(&self) -> Option<MembershipStep> {
        let (id, member) = self.wanted.iter().find(|(id, _)| !self.state.members.contains_key(id))?;
        Some(MembershipStep::Change(Change::Add { id: *id, site: member.site.clone() }))
    }

    /// Promotes a learner that should be a voter, once it is active and has caught up.
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

    /// Demotes or removes a voter that should not be one, once the others have a quorum without it.
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

    /// Returns the step for a change of this member; a leader first transfers its leadership.
    fn change(&self, id: MemberId, change: Change) -> MembershipStep {
        if id == self.leader {
            MembershipStep::TransferLeadership
        } else {
            MembershipStep::Change(change)
        }
    }
}
