//! The operator's file of the federation, in HCL: one `federation` block, the same for all members but for `id`,
//! `store` and `listen`.
//!
//! ```hcl
//! federation {
//!   cluster  = "tabla"
//!   id       = 1                        # which member this edge proxy is
//!   store    = "federation.redb"        # beside this file; made by `dahliatrack federation init`
//!   key_file = "keys/federation.secret" # one line of base64url, 16 bytes at least, the same for all
//!   revision = 1                        # goes up by one with each change of the members
//!   member "1" {
//!     site    = "north"
//!     address = "10.0.1.5:7400"
//!     voter   = true
//!   }
//! }
//! ```

mod parse;

use super::duties::LeaseTerms;
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

/// The minimum length of the shared key, bytes.
const MIN_KEY_BYTES: usize = 16;

/// A member as listed in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// Its site.
    pub site: String,
    /// The address at which the others connect to it.
    pub address: SocketAddr,
    /// Whether it is a voter.
    pub voter: bool,
}

/// The validated settings of the file.
#[derive(Clone, Debug)]
pub struct FederationSettings {
    /// The federation's name.
    pub cluster: String,
    /// Which member this edge proxy is.
    pub id: MemberId,
    /// Where it listens: its own address, unless the file says otherwise.
    pub listen: SocketAddr,
    /// Where its store is.
    pub store: PathBuf,
    /// The shared key by which members authenticate each other.
    pub key: Key,
    /// The revision of the list of members.
    pub revision: u64,
    /// The interval between ticks.
    pub tick: Span,
    /// Election timeout, heartbeat interval and log compaction, in ticks and entries.
    pub tuning: Tuning,
    /// The duration of leases and the error that clocks are allowed.
    pub lease_terms: LeaseTerms,
    /// A connection on which nothing is received for this long is closed.
    pub silence_timeout: Span,
    /// The members.
    pub members: BTreeMap<MemberId, ListedMember>,
}

impl FederationSettings {
    /// Reads a file, and the key that it names.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = config::read_file(path)?;
        let text = String::from_utf8(text).map_err(|_| ConfigError::invalid(path, "not UTF-8"))?;
        let file = path.display().to_string();
        let parsed = Self::parse(HclDocument { file: &file, text: &text });
        let (mut settings, key_file) =
            parsed.map_err(|error| ConfigError::invalid(path, format!("{}: {}", error.at, error.text)))?;
        let folder = path.parent().unwrap_or(Path::new("."));
        settings.key = read_key(&folder.join(key_file))?;
        settings.store = folder.join(&settings.store);
        Ok(settings)
    }

    /// Parses the file's text; returns the settings without the key, and the name of the key file.
    ///
    /// # Errors
    ///
    /// The first error, with its place in the file.
    pub fn parse(doc: HclDocument<'_>) -> Result<(Self, String), HclError> {
        parse::parse(doc)
    }

    /// The members that the file asks for.
    pub fn roster(&self) -> Roster {
        let wanted = |member: &ListedMember| WantedMember { site: member.site.clone(), voter: member.voter };
        self.members.iter().map(|(id, member)| (*id, wanted(member))).collect()
    }

    /// The state that the founders begin with: equal files found equal federations, and others find out by its
    /// identity.
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

    /// The first setting of a new file that differs and cannot change in service, if any.
    pub fn first_fixed_change(&self, new: &FederationSettings) -> Option<FixedSetting> {
        let differs = [
            ("cluster", self.cluster != new.cluster),
            ("id", self.id != new.id),
            ("listen", self.listen != new.listen),
            ("store", self.store != new.store),
            ("tick_ms", self.tick != new.tick),
            ("lease_ms, guard_ms or drift", self.lease_terms != new.lease_terms),
            ("election_ticks, heartbeat_ticks or compact_after", self.tuning != new.tuning),
        ];
        differs.iter().find(|(_, differs)| *differs).map(|(key, _)| FixedSetting(key))
    }
}

/// Reads the shared key: one line of base64url.
fn read_key(path: &Path) -> Result<Key, ConfigError> {
    let text = config::read_file(path)?;
    let text = String::from_utf8_lossy(&text);
    let bytes = BASE64_URL_SAFE_NO_PAD.decode(text.trim().trim_end_matches('='));
    let bytes = bytes.map_err(|_| ConfigError::invalid(path, "the key is no base64url"))?;
    if bytes.len() < MIN_KEY_BYTES {
        return Err(ConfigError::invalid(path, format!("the key has under {MIN_KEY_BYTES} bytes")));
    }
    Ok(Key::new(bytes))
}

/// A setting that differs in a new file and cannot change in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} can't change in service")]
pub struct FixedSetting(pub &'static str);
