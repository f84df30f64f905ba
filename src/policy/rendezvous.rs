//! Rendezvous (highest random weight) hashing of objects to servers.

use super::popularity::ObjectKey;
use crate::{interface::ServerId, splitmix64::mix};

/// Returns the score of a server in the rendezvous order of an object; the smallest score is first. The
/// scores are pseudo-random: a server's chance to be first is proportional to its weight.
pub fn rendezvous_score(object: ObjectKey, server: ServerId, weight: f64) -> f64 {
    let hash = mix(object ^ mix(u64::from(server.0) + 1));
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -unit.ln() / weight.max(0.001)
}
