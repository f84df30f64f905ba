//! Newtypes for the versions, sequence numbers and nonces of the discovery protocol and for poll numbers.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

/// Identifies one run of the service. Versions of different epochs cannot be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// The number of a change of resources within an epoch. It only grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Sequence(pub u64);

impl Sequence {
    /// Returns the sequence number after this one.
    pub fn next(self) -> Self {
        Sequence(self.0 + 1)
    }
}

impl fmt::Display for Sequence {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A version as it is sent: `EPOCH.SEQUENCE`, with the epoch in hex and the sequence number in decimal.
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

/// Why a text is not a version of this service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VersionError {
    /// The dot between epoch and sequence number is missing.
    #[error("the version has no dot, EPOCH.SEQUENCE is expected")]
    MissingDot,
    /// The epoch or the sequence number is not a number.
    #[error("the version is not of the form EPOCH.SEQUENCE: {0}")]
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

/// Identifies one response of a stream. The request that ACKs or NACKs the response repeats its nonce.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Nonce(pub String);

/// The number of a poll of the control feed, starting at 1; 0 if there has been none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PollNumber(pub u64);
