//! How the site of a run differs from the default one, drawn by seed. One in two runs has the default site; the others
//! state less or allow less, as a site's settings may (protocol pages: `weights`, `limits`, `domain`).

use crate::splitmix64::mix;
use serde_json::{json, Value};

/// What a site's settings state and allow, where that is not the default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SiteVariant {
    /// All weights in the endpoint list are 1, whatever the links are.
    pub silent_weights: bool,
    /// Rejections carry no Retry-After.
    pub no_pause: bool,
    /// A request has one attempt in flight at a time.
    pub one_at_a_time: bool,
    /// Attempts cannot be cancelled.
    pub no_cancel: bool,
    /// Answers do not state how they came about.
    pub no_notes: bool,
    /// Answers state only how a served request came about: a failed fill does not say which host is at fault.
    pub sparse_notes: bool,
    /// Any cache may be the source of a fill, and requests may join a fill in flight.
    pub shared_fills: bool,
    /// Requests are not sent directly to a parent or the origin.
    pub no_direct: bool,
    /// A request has two attempts at most.
    pub few_attempts: bool,
    /// A write may be repeated under its idempotency key for [`DEDUP_WINDOW_MS`].
    pub keyed_writes: bool,
}

/// How long a write may be repeated under its idempotency key, ms.
pub const DEDUP_WINDOW_MS: i64 = 600;

/// Keeps the variant of a seed apart from what else the seed decides.
const VARIANT_SALT: u64 = 0x00c0_5703;

/// The place of the class `result`, which writes, among the classes of a made-up site.
pub const WRITE_CLASS: usize = 3;

impl SiteVariant {
    /// The site of a seed: even seeds have the default one.
    pub fn draw(seed: u64) -> Self {
        let bits = if seed.is_multiple_of(2) { 0 } else { mix(seed ^ VARIANT_SALT) };
        let bit = |n: u32| bits >> n & 1 == 1;
        SiteVariant {
            silent_weights: bit(0),
            no_pause: bit(1),
            one_at_a_time: bit(2),
            no_cancel: bit(3),
            no_notes: bit(4) && bit(5),
            sparse_notes: bit(4) && !bit(5),
            shared_fills: bit(10),
            no_direct: bit(6),
            few_attempts: bit(7) && bit(8),
            keyed_writes: bit(9),
        }
    }

    /// Changes the settings and the hosts of the first endpoint list accordingly.
    pub fn apply(self, settings: &mut Value, hosts: &mut Value) {
        let mut set = |on: bool, path: [&str; 2], value: Value| {
            if on {
                settings[path[0]][path[1]] = value;
            }
        };
        set(self.no_pause, ["limits", "retry_after"], json!(false));
        set(self.one_at_a_time, ["limits", "parallel_tries"], json!(false));
        set(self.no_cancel, ["limits", "cancel"], json!(false));
        set(self.few_attempts, ["limits", "max_attempts"], json!(2));
        set(self.no_notes, ["domain", "tells"], json!("silent"));
        set(self.sparse_notes, ["domain", "tells"], json!("hit"));
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
