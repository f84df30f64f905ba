//! Variants of the site's settings, drawn from the seed. Every second seed has the default site. In the other
//! runs hosts state less or the settings allow other things than the default (protocol pages: `weights`,
//! `limits`, `domain`).

use crate::splitmix64::mix;
use serde_json::{json, Value};

/// Differences of a site's settings from the default; each field is `false` in the default site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteVariant {
    /// All weights in the endpoint list are 1, whatever the hosts' capacities are.
    pub silent_weights: bool,
    /// Rejections carry no Retry-After.
    pub no_retry_after: bool,
    /// A request has at most one attempt in flight: no hedged requests.
    pub one_at_a_time: bool,
    /// Attempts cannot be cancelled once they are sent.
    pub no_cancel: bool,
    /// Answers of hosts do not state their cache status.
    pub no_cache_status: bool,
    /// Answers of hosts state the cache status only of served requests: a failed fill does not name the host
    /// that failed.
    pub cache_status_if_served: bool,
    /// Any cache may be a fill source, and requests may join a fill in flight.
    pub shared_fills: bool,
    /// Requests are never sent directly to a parent or the origin.
    pub no_direct: bool,
    /// A request has at most two attempts.
    pub two_attempts: bool,
    /// A write may be repeated under its idempotency key for [`DEDUP_WINDOW_MS`].
    pub keyed_writes: bool,
}

/// Time within which a write may be repeated under its idempotency key, in ms.
pub const DEDUP_WINDOW_MS: i64 = 600;

/// Mixed into the seed, so that the variant is independent of what else is drawn from the seed.
const VARIANT_SALT: u64 = 0x00c0_5703;

/// Index of the class `result`, whose requests are writes, in the settings' list of classes.
pub const WRITE_CLASS: usize = 3;

impl SiteVariant {
    /// Draws the variant of a seed; even seeds have the default site.
    pub fn draw(seed: u64) -> Self {
        let bits = if seed.is_multiple_of(2) { 0 } else { mix(seed ^ VARIANT_SALT) };
        let bit = |n: u32| bits >> n & 1 == 1;
        SiteVariant {
            silent_weights: bit(0),
            no_retry_after: bit(1),
            one_at_a_time: bit(2),
            no_cancel: bit(3),
            no_cache_status: bit(4) && bit(5),
            cache_status_if_served: bit(4) && !bit(5),
            shared_fills: bit(10),
            no_direct: bit(6),
            two_attempts: bit(7) && bit(8),
            keyed_writes: bit(9),
        }
    }

    /// Applies the differences to the settings and to the hosts of the first endpoint list.
    pub fn apply(self, settings: &mut Value, hosts: &mut Value) {
        let mut set = |on: bool, path: [&str; 2], value: Value| {
            if on {
                settings[path[0]][path[1]] = value;
            }
        };
        set(self.no_retry_after, ["limits", "retry_after"], json!(false));
        set(self.one_at_a_time, ["limits", "parallel_tries"], json!(false));
        set(self.no_cancel, ["limits", "cancel"], json!(false));
        set(self.two_attempts, ["limits", "max_attempts"], json!(2));
        set(self.no_cache_status, ["domain", "tells"], json!("silent"));
        set(self.cache_status_if_served, ["domain", "tells"], json!("hit"));
        set(self.shared_fills, ["domain", "lateral"], json!("any"));
        set(self.shared_fills, ["domain", "collapses"], json!(true));
        set(self.no_direct, ["domain", "straight"], json!(false));
        if self.keyed_writes {
            settings["grades"][WRITE_CLASS]["effect"] = json!("token");
            settings["grades"][WRITE_CLASS]["window"] = json!(DEDUP_WINDOW_MS);
        }
        if self.silent_weights {
            settings["weights"] = json!("silent");
            hosts.as_array_mut().into_iter().flatten().for_each(|host| host["share"] = json!(1.0));
        }
    }
}

#[cfg(test)]
mod tests;
