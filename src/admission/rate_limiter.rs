//! Limits the rate of new connections of each address or prefix.

use super::lru_table::LruTable;
use super::token_bucket::{Rate, TokenBucket};
use crate::interface::{Instant, Span};
use std::net::IpAddr;

/// The rate of an address or prefix is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RateExceeded {
    /// Time until a new connection is accepted.
    pub wait: Span,
}

/// Token buckets of the addresses or prefixes that connected recently.
#[derive(Debug)]
pub(super) struct RateLimiter {
    buckets: LruTable<IpAddr, TokenBucket>,
}

impl RateLimiter {
    /// Returns a limiter without buckets. It will hold at most `capacity` of them.
    pub(super) fn new(capacity: usize) -> Self {
        RateLimiter { buckets: LruTable::new(capacity) }
    }

    /// Returns the number of addresses or prefixes that have a bucket.
    pub(super) fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Takes a token from the bucket of `key` for a new connection, if the rate is limited.
    ///
    /// # Errors
    ///
    /// The bucket has no token.
    pub(super) fn take(&mut self, now: Instant, key: IpAddr, rate: Rate) -> Result<(), RateExceeded> {
        if !rate.is_limited() {
            return Ok(());
        }
        let bucket = self.buckets.touch(now, key, || TokenBucket::full(rate, now));
        if bucket.take(rate, now) {
            return Ok(());
        }
        Err(RateExceeded { wait: bucket.wait(rate, now) })
    }
}
