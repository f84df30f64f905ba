//! Versions, sequence numbers and nonces of the discovery protocol, each with a type of its own.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Names one run of the service; versions of different epochs cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Counts the changes of resources within an epoch; it only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sequence(pub u64);

impl Sequence {
    /// The number after this one.
    pub fn next(self) -> Self {
        Sequence(self.0 + 1)
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A version as it goes over the wire: `EPOCH.SEQUENCE`, the epoch in hex, the sequence number in decimal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Version {
    /// The run of the service.
    pub epoch: Epoch,
    /// The sequence number in that run.
    pub sequence: Sequence,
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{:x}.{}", self.epoch.0, self.sequence)
    }
}

/// Why a text is no version of this service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionError {
    /// It lacks the dot between epoch and sequence number.
    #[error("a version is EPOCH.SEQUENCE")]
    MissingDot,
    /// One of its parts is no number.
    #[error("a version is EPOCH.SEQUENCE: {0}")]
    InvalidNumber(#[from] ParseIntError),
}

impl FromStr for Version {
    type Err = VersionError;

    fn from_str(text: &str) -> Result<Self, VersionError> {
        let (epoch, sequence) = text.split_once('.').ok_or(VersionError::MissingDot)?;
        let epoch = Epoch(u64::from_str_radix(epoch, 16)?);
        let sequence = Sequence(sequence.parse()?);
        Ok(Version { epoch, sequence })
    }
}

/// Names one response of a stream; the request that answers it repeats it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Nonce(pub String);

/// The number of a poll of the control feed, from 1; 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollNumber(pub u64);
