//! The replicated state machine: the members of the federation and the leases of duties. Equal logs produce
//! equal states.

use super::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member in the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The site that the member belongs to.
    pub site: String,
    /// Whether the member is a voter; the others are learners.
    pub voter: bool,
    /// The incarnation of the member's first store; `None` until that is enrolled. Any other store under the
    /// same id has lost the member's votes, and is rejected.
    pub incarnation: Option<u64>,
}

/// A member as the operator's file lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedMember {
    /// The site that the member belongs to.
    pub site: String,
    /// Whether the member should be a voter.
    pub voter: bool,
}

/// The members that the operator's file lists, by id.
pub type Roster = BTreeMap<MemberId, WantedMember>;

/// A membership change of one member, replicated as a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a member as a learner.
    Add {
        /// The id of the new member.
        id: MemberId,
        /// The site that the new member belongs to.
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
    /// Enrols the store of a member; only the first enrolment takes effect.
    Enrol {
        /// The member whose store it is.
        id: MemberId,
        /// The incarnation of the store.
        incarnation: u64,
    },
    /// Starts the change to the members that the file of this revision lists. From then on a leader with an
    /// older file, which may have missed this one, does not revert the change.
    RevisionStarted {
        /// The revision of the file.
        revision: u64,
    },
    /// Completes the change: the members are those that the file of this revision lists.
    RevisionApplied {
        /// The revision of the file.
        revision: u64,
    },
    /// Requests the lease of a free duty.
    Acquire {
        /// The duty's name.
        duty: String,
        /// The member that requests the lease.
        id: MemberId,
        /// The number that the member gave the request.
        request: u64,
    },
    /// Renews a lease.
    Renew {
        /// The duty's name.
        duty: String,
        /// The lease holder.
        id: MemberId,
        /// The fencing token of the lease.
        token: u64,
        /// The number that the lease holder gave the request.
        request: u64,
    },
    /// Releases a lease.
    Release {
        /// The duty's name.
        duty: String,
        /// The lease holder.
        id: MemberId,
        /// The fencing token of the lease.
        token: u64,
    },
    /// Ends a lease that has expired by the leader's clock.
    Expire {
        /// The duty's name.
        duty: String,
        /// The fencing token of the lease.
        token: u64,
        /// The last granted request that the leader saw. If the lease was renewed since, it is kept.
        request: u64,
    },
}

/// The maximum number of duties leased at once.
pub const MAX_DUTIES: usize = 4096;
/// The maximum length of a duty's name, in bytes.
const MAX_DUTY_NAME: usize = 128;

/// The lease of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The member that the lease was granted to.
    pub holder: MemberId,
    /// The fencing token; each grant of any duty gets a higher one than all earlier grants.
    pub token: u64,
    /// The number of the holder's request that was granted last.
    pub request: u64,
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Identifies the federation: a digest of its name and founders; 0 while unknown.
    pub identity: u64,
    /// The revision of the newest file whose membership change is complete.
    pub revision: u64,
    /// The revision of the newest file whose membership change has been started.
    pub started_revision: u64,
    /// The members, by id.
    pub members: BTreeMap<MemberId, Member>,
    /// The leases, by the duty's name.
    pub duties: BTreeMap<String, Lease>,
    /// The last fencing token that was issued.
    pub last_token: u64,
}

/// Why a store may not act as a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The federation has no member with this id.
    #[error("it is not a member of this federation")]
    NotAMember,
    /// Another store is enrolled for this member.
    #[error("its store is not the one that is enrolled for this member")]
    OtherStore,
}

impl State {
    /// Returns the state that all founders start with.
    pub fn founded(identity: u64, revision: u64, founders: &Roster) -> Self {
        let member = |(id, founder): (&MemberId, &WantedMember)| {
            (*id, Member { site: founder.site.clone(), voter: founder.voter, incarnation: None })
        };
        State { identity, revision, members: founders.iter().map(member).collect(), ..State::default() }
    }

    /// Applies a command. A command that is invalid or outdated changes nothing; this decision, too, must be
    /// the same on all members.
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

    /// Grants the lease of a free duty, with the next fencing token.
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

    /// Returns whether a change can be applied: it must have an effect and leave at least one voter.
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

    /// Applies a change; [`State::allows`] must have accepted it.
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

    /// Checks that a store may act as a member: the state has the member, and no other store is enrolled for
    /// it.
    ///
    /// A member that was unreachable may not know the current members yet. It therefore admits a member that
    /// is `listed` by a file newer than the state; otherwise the two would never connect. A member without
    /// any state admits every member that holds the key, since its file may no longer list the current
    /// leader.
    ///
    /// # Errors
    ///
    /// Returns the reason why the store may not act as the member.
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
