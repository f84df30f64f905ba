//! The replicated state machine: the members of the federation and the leases of duties. Equal logs make equal states.

use super::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its site.
    pub site: String,
    /// Whether it is a voter; the others are learners.
    pub voter: bool,
    /// The incarnation of its first store. Another store under the same id has forgotten its votes, and is rejected.
    pub incarnation: Option<u64>,
}

/// A member that the operator's file asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedMember {
    /// Its site.
    pub site: String,
    /// Whether it is to vote.
    pub voter: bool,
}

/// The members that the operator's file asks for, by id.
pub type Roster = BTreeMap<MemberId, WantedMember>;

/// A membership change of one server, through the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a member, as a learner.
    Add {
        /// The member.
        id: MemberId,
        /// Its site.
        site: String,
    },
    /// Makes a learner a voter.
    Promote(MemberId),
    /// Makes a voter a learner.
    Demote(MemberId),
    /// Removes a member.
    Remove(MemberId),
}

/// A command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Enrols the store of a member; the first one counts.
    Enrol {
        /// The member.
        id: MemberId,
        /// Its store's incarnation.
        incarnation: u64,
    },
    /// Starts the change to the members of the file of this revision. A leader with an older file, which may have
    /// missed this one, reverts nothing.
    RevisionStarted {
        /// The file's revision.
        revision: u64,
    },
    /// Completes the change: the members are those of the file of this revision.
    RevisionApplied {
        /// The file's revision.
        revision: u64,
    },
    /// Requests the lease of a duty that is free.
    Acquire {
        /// The duty.
        duty: String,
        /// The member.
        id: MemberId,
        /// The request's number at that member.
        request: u64,
    },
    /// Renews a lease.
    Renew {
        /// The duty.
        duty: String,
        /// The lease holder.
        id: MemberId,
        /// The fencing token.
        token: u64,
        /// The request's number at that member.
        request: u64,
    },
    /// Releases a lease.
    Release {
        /// The duty.
        duty: String,
        /// The lease holder.
        id: MemberId,
        /// The fencing token.
        token: u64,
    },
    /// Ends a lease that the leader saw run out.
    Expire {
        /// The duty.
        duty: String,
        /// The fencing token.
        token: u64,
        /// The last request that was granted: a renewal since then keeps the lease.
        request: u64,
    },
}

/// The maximum number of duties leased at once.
pub const MAX_DUTIES: usize = 4096;
/// The maximum length of a duty's name, bytes.
const MAX_DUTY_NAME: usize = 128;

/// The lease of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The lease holder.
    pub holder: MemberId,
    /// The fencing token: each grant of any duty has a higher one than all before.
    pub token: u64,
    /// The request that was granted last.
    pub request: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Identifies the federation: a digest of its name and founders; 0 while it is not known.
    pub identity: u64,
    /// The revision of the newest file whose members are in effect.
    pub revision: u64,
    /// The revision of the newest file whose membership change was started.
    pub started_revision: u64,
    /// The members.
    pub members: BTreeMap<MemberId, Member>,
    /// The leases, by duty.
    pub duties: BTreeMap<String, Lease>,
    /// The last fencing token that was issued.
    pub last_token: u64,
}

/// Why a store may not speak for a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The federation has no such member.
    #[error("it is no member")]
    NotAMember,
    /// Another store was enrolled for this member.
    #[error("its store is not the one that this member came with")]
    OtherStore,
}

impl State {
    /// The state that all founders begin with.
    pub fn founded(identity: u64, revision: u64, founders: &Roster) -> Self {
        let member = |(id, founder): (&MemberId, &WantedMember)| {
            (*id, Member { site: founder.site.clone(), voter: founder.voter, incarnation: None })
        };
        State { identity, revision, members: founders.iter().map(member).collect(), ..State::default() }
    }

    /// Applies a command. One that means nothing (any more) changes nothing: all members must agree on that, too.
    pub fn apply(&mut self, command: &Command) {
        match command {
            Command::Enrol { id, incarnation } => {
                if let Some(member) = self.members.get_mut(id) {
                    member.incarnation.get_or_insert(*incarnation);
                }
            }
            Command::RevisionStarted { revision } => {
                self.started_revision = self.started_revision.max(*revision)
            }
            Command::RevisionApplied { revision } => self.revision = self.revision.max(*revision),
            Command::Acquire { duty, id, request } => self.grant(duty, *id, *request),
            Command::Renew { duty, id, token, request } => {
                let lease = self.duties.get_mut(duty);
                if let Some(lease) = lease.filter(|lease| (lease.holder, lease.token) == (*id, *token)) {
                    lease.request = *request;
                }
            }
            Command::Release { duty, id, token } => {
                self.end_lease(duty, |lease| (lease.holder, lease.token) == (*id, *token));
            }
            Command::Expire { duty, token, request } => {
                self.end_lease(duty, |lease| (lease.token, lease.request) == (*token, *request));
            }
        }
    }

    /// Grants a duty that is free, under the next fencing token.
    fn grant(&mut self, duty: &str, holder: MemberId, request: u64) {
        let fits = self.duties.len() < MAX_DUTIES && duty.len() <= MAX_DUTY_NAME;
        if fits && !self.duties.contains_key(duty) {
            self.last_token += 1;
            self.duties.insert(duty.to_owned(), Lease { holder, token: self.last_token, request });
        }
    }

    fn end_lease(&mut self, duty: &str, ends: impl FnOnce(&Lease) -> bool) {
        if self.duties.get(duty).is_some_and(ends) {
            self.duties.remove(duty);
        }
    }

    /// Whether a change can be applied: it must change something, and leave a voter.
    pub fn allows(&self, change: &Change) -> bool {
        let voters = self.members.values().filter(|member| member.voter).count();
        let votes = |id: &MemberId| self.members.get(id).map(|member| member.voter);
        match change {
            Change::Add { id, .. } => id.is_some() && !self.members.contains_key(id),
            Change::Promote(id) => votes(id) == Some(false),
            Change::Demote(id) => votes(id) == Some(true) && voters > 1,
            Change::Remove(id) => votes(id).is_some_and(|voter| !voter || voters > 1),
        }
    }

    /// Applies a change that [`State::allows`].
    pub fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Add { id, site } => {
                let member = Member { site: site.clone(), voter: false, incarnation: None };
                self.members.insert(*id, member);
            }
            Change::Promote(id) | Change::Demote(id) => {
                if let Some(member) = self.members.get_mut(id) {
                    member.voter = matches!(change, Change::Promote(_));
                }
            }
            Change::Remove(id) => drop(self.members.remove(id)),
        }
    }

    /// Checks that a store may act as a member: the state has the member, and no other store did so before.
    ///
    /// A member that was away may not know the current members yet: one that is `listed` by a file newer than the state
    /// is admitted, or the two would never connect. A member without any state admits whoever holds the key, since its
    /// file may no longer list the current leader.
    ///
    /// # Errors
    ///
    /// The reason why it may not.
    pub fn check_admission(
        &self,
        id: MemberId,
        incarnation: u64,
        listed: bool,
    ) -> Result<(), AdmissionError> {
        match self.members.get(&id) {
            None if listed || self.identity == 0 => Ok(()),
            None => Err(AdmissionError::NotAMember),
            Some(Member { incarnation: Some(known), .. }) if *known != incarnation => {
                Err(AdmissionError::OtherStore)
            }
            Some(_) => Ok(()),
        }
    }
}
