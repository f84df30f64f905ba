//! The operator's federation file, in HCL: one `federation` block, which is the same for all members except
//! `id`, `store` and `listen`.
//!
//! ```hcl
//! federation {
//!   cluster  = "tabla"
//!   id       = 1                        # which member this edge proxy is
//!   store    = "federation.redb"        # relative to this file; created by `dahliatrack federation init`
//!   key_file = "keys/federation.secret" # one line of base64url, at least 16 bytes, the same for all
//!   revision = 1                        # incremented with each change of the members
//!   member "1" {
//!     site    = "north"
//!     address = "10.0.1.5:7400"
//!     voter   = true
//!   }
//! }
//! ```

mod parse;

use super::duties::LeaseTiming;
use super::hello::Key;
use super::node::Tuning;
use super::state::{Roster, State, WantedMember};
use super::MemberId;
use crate::config::hcl_document::{HclDocument, HclError};
use crate::config::{self, ConfigError};
use crate::interface::Span;
use base64::prelude::{Engine, BASE64_URL_SAFE_NO_PAD};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The minimum length of the shared key, in bytes.
const MIN_KEY_BYTES: usize = 16;

/// A `member` block of the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// The site that the member belongs to.
    pub site: String,
    /// The address at which the others connect to it.
    pub address: SocketAddr,
    /// Whether the member is a voter; the others are learners.
    pub voter: bool,
}

/// The validated settings of the federation file.
#[derive(Clone, Debug)]
pub struct FederationSettings {
    /// The federation's name; connections between members of different names are rejected.
    pub cluster: String,
    /// The member that this edge proxy is.
    pub id: MemberId,
    /// The address at which this member listens; by default its address in the list of members.
    pub listen: SocketAddr,
    /// The path of this member's store.
    pub store: PathBuf,
    /// The shared key with which members authenticate each other.
    pub key: Key,
    /// The revision of the list of members.
    pub revision: u64,
    /// The interval between ticks.
    pub tick: Span,
    /// Election timeout, heartbeat interval and log compaction, in ticks and entries.
    pub tuning: Tuning,
    /// The duration of leases, and the clock error that they allow for.
    pub lease_timing: LeaseTiming,
    /// The time without received data after which a connection is closed.
    pub silence_timeout: Span,
    /// The listed members, by id.
    pub members: BTreeMap<MemberId, ListedMember>,
}

impl FederationSettings {
    /// Reads the settings from a file, and the key from the file that it names.
    ///
    /// # Errors
    ///
    /// Returns an error if either file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = config::read_file(path)?;
        let text =
            String::from_utf8(text).map_err(|_| ConfigError::invalid(path, "the file is not UTF-8"))?;
        let file = path.display().to_string();
        let parsed = Self::parse(HclDocument { file: &file, text: &text });
        let (mut settings, key_file) =
            parsed.map_err(|error| ConfigError::invalid(path, format!("{}: {}", error.at, error.text)))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        settings.key = read_key(&folder.join(key_file))?;
        settings.store = folder.join(&settings.store);
        Ok(settings)
    }

    /// Parses the file's text. Returns the settings without the key, and the path of the key file.
    ///
    /// # Errors
    ///
    /// Returns the first error, with its position in the file.
    pub fn parse(doc: HclDocument<'_>) -> Result<(Self, String), HclError> {
        parse::parse(doc)
    }

    /// Returns the listed members in the form that the replicated state uses.
    pub fn roster(&self) -> Roster {
        let wanted = |member: &ListedMember| WantedMember { site: member.site.clone(), voter: member.voter };
        self.members.iter().map(|(id, member)| (*id, wanted(member))).collect()
    }

    /// Returns the state that the founders start with. Equal files give equal federations; founders with
    /// different files detect it by the identity.
    pub fn founding_state(&self) -> State {
        let mut digest = Sha256::new();
        digest.update(self.cluster.as_bytes());
        for (id, member) in &self.members {
            digest.update(format!("\n{id} {:?} {}", member.site, member.voter).as_bytes());
        }
        let bytes: [u8; 32] = digest.finalize().into();
        let identity = bytes.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte)).max(1);
        State::founded(identity, self.revision, &self.roster())
    }

    /// Returns the first setting that differs in `new` and cannot be changed without a restart, if any.
    pub fn first_fixed_change(&self, new: &FederationSettings) -> Option<FixedSetting> {
        let settings = [
            ("cluster", self.cluster != new.cluster),
            ("id", self.id != new.id),
            ("listen", self.listen != new.listen),
            ("store", self.store != new.store),
            ("tick_ms", self.tick != new.tick),
            ("lease_ms, guard_ms or drift", self.lease_timing != new.lease_timing),
            ("election_ticks, heartbeat_ticks or compact_after", self.tuning != new.tuning),
        ];
        settings.iter().find(|(_, differs)| *differs).map(|(key, _)| FixedSetting(key))
    }
}

/// Reads the shared key: one line of base64url.
fn read_key(path: &Path) -> Result<Key, ConfigError> {
    let text = config::read_file(path)?;
    let text = String::from_utf8_lossy(&text);
    let bytes = BASE64_URL_SAFE_NO_PAD.decode(text.trim().trim_end_matches('='));
    let bytes = bytes.map_err(|_| ConfigError::invalid(path, "the key is not base64url"))?;
    if bytes.len() < MIN_KEY_BYTES {
        return Err(ConfigError::invalid(path, format!("the key has fewer than {MIN_KEY_BYTES} bytes")));
    }
    Ok(Key::new(bytes))
}

/// A setting that differs in a new file and cannot be changed without a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} cannot be changed without a restart")]
pub struct FixedSetting(pub &'static str);
