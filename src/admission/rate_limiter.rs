//! Rates of new connections, by address or prefix.

use super::lru_table::LruTable;
use super::token_bucket::{Rate, TokenBucket};
use crate::interface::{Instant, Span};
use std::net::IpAddr;

/// A rate is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RateExceeded {
    /// How long until a connection may come.
    pub wait: Span,
}

/// A token bucket for each address, or prefix, that connected lately.
#[derive(Debug)]
pub(super) struct RateLimiter {
    buckets: LruTable<IpAddr, TokenBucket>,
}

impl RateLimiter {
    /// Full buckets, of at most `capacity` keys.
    pub(super) fn new(capacity: usize) -> Self {
        RateLimiter { buckets: LruTable::new(capacity) }
    }

    /// How many keys have a bucket.
    pub(super) fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Takes a token for a new connection, if its rate is limited.
    ///
    /// # Errors
    ///
    /// There is none.
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
