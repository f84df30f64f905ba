//! The format of a stored record: its postcard encoding, followed by a digest that reveals altered bytes.

use super::{Damage, StoreError};
use serde::{de::DeserializeOwned, Serialize};
use sha2::{Digest, Sha256};

/// Length of a record's digest (truncated SHA-256), in bytes.
const DIGEST_BYTES: usize = 16;

/// Encodes a record and appends its digest.
pub(super) fn encode(record: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let mut bytes = postcard::to_stdvec(record)?;
    let digest = Sha256::digest(&bytes);
    bytes.extend_from_slice(&digest[..DIGEST_BYTES]);
    Ok(bytes)
}

/// Verifies a record's digest and decodes the record. `name` denotes the record in errors.
pub(super) fn decode<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, Damage> {
    let split = bytes.len().checked_sub(DIGEST_BYTES).ok_or_else(|| Damage::CutShort(name.to_owned()))?;
    let (record, digest) = bytes.split_at(split);
    if Sha256::digest(record)[..DIGEST_BYTES] != *digest {
        return Err(Damage::Altered(name.to_owned()));
    }
    postcard::from_bytes(record).map_err(|_| Damage::Undecodable(name.to_owned()))
}
