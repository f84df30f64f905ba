//! Which change brings the members nearer to what the operator's file says: one at a time, and none that could take away
//! the majority that it needs.

use super::state::{Change, Command, State};
use super::MemberId;
use std::collections::BTreeMap;

/// Entries that a learner may be behind when it is made a voter: its vote must not hold up the next commit.
const CAUGHT_UP: u64 = 16;

/// A member as the leader sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Entries that it is behind.
    pub lag: u64,
    /// It answered within the last election timeout.
    pub active: bool,
}

/// What the leader should do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Propose this change.
    Change(Change),
    /// Propose this command: the file's members hold.
    Command(Command),
    /// Hand the lead to a voter first: the change concerns the leader itself.
    Yield,
    /// Nothing, or nothing yet.
    Wait,
}

/// The next step from the state to a file's members (id, site, voter) under its revision. A file that is older than what
/// holds changes nothing: the leader may have missed a newer one.
pub fn next(
    state: &State,
    (revision, wanted): (u64, &BTreeMap<MemberId, (String, bool)>),
    leader: MemberId,
    progress: &BTreeMap<MemberId, Progress>,
) -> Step {
    if revision <= state.revision || revision < state.begun {
        return Step::Wait;
    }
    if revision > state.begun {
        return Step::Command(Command::Begun { revision });
    }
    if let Some((id, (site, _))) = wanted.iter().find(|(id, _)| !state.members.contains_key(id)) {
        return Step::Change(Change::Add { id: *id, site: site.clone() });
    }
    let seen = |id: &MemberId| progress.get(id).copied().unwrap_or_default();
    let votes = |id: &MemberId| wanted.get(id).is_some_and(|(_, voter)| *voter);
    let mut waits = false;
    for (id, _) in state.members.iter().filter(|(id, member)| !member.voter && votes(id)) {
        let one = seen(id);
        if one.active && one.lag <= CAUGHT_UP {
            return Step::Change(Change::Promote(*id));
        }
        waits = true;
    }
    // New voters first: there are never fewer than there need to be. What is left must still have its majority without this one.
    let voters: Vec<&MemberId> = state.members.iter().filter(|(_, m)| m.voter).map(|(id, _)| id).collect();
    let keeps_majority = |gone: &MemberId| {
        let active = voters.iter().filter(|id| **id != gone && (***id == leader || seen(id).active)).count();
        voters.len() > 1 && 2 * active > voters.len() - 1
    };
    if waits {
        return Step::Wait;
    }
    let gone = |id: &&MemberId| !wanted.contains_key(id);
    let leaves = |change: Change, id: MemberId| if id == leader { Step::Yield } else { Step::Change(change) };
    if let Some(id) = voters.iter().find(|id| !votes(id) && keeps_majority(id)) {
        let change = if gone(id) { Change::Remove(**id) } else { Change::Demote(**id) };
        return leaves(change, **id);
    }
    if voters.iter().any(|id| !votes(id)) {
        return Step::Wait;
    }
    if let Some(id) = state.members.keys().find(gone) {
        return leaves(Change::Remove(*id), *id);
    }
    Step::Command(Command::Settled { revision })
}
