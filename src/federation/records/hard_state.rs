//! The persistent state of a member besides its log.

use crate::federation::{LogIndex, MemberId, Term};
use raft::eraftpb;
use serde::{Deserialize, Serialize};

/// The state that a member must persist before it responds (Raft, figure 2), and the commit index that it
/// knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that the member has seen.
    pub term: Term,
    /// The candidate that the member voted for in that term, or [`MemberId::NONE`].
    pub vote: MemberId,
    /// The index of the last entry known to be committed.
    pub commit: LogIndex,
}

impl From<&eraftpb::HardState> for HardState {
    fn from(hard: &eraftpb::HardState) -> Self {
        HardState { term: Term(hard.term), vote: MemberId(hard.vote), commit: LogIndex(hard.commit) }
    }
}

impl From<HardState> for eraftpb::HardState {
    fn from(hard: HardState) -> Self {
        let HardState { term, vote, commit } = hard;
        eraftpb::HardState { term: term.0, vote: vote.0, commit: commit.0, ..Default::default() }
    }
}
