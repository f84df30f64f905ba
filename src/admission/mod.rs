//! Admission control: decides which new connections of clients are accepted. The decision depends on the
//! client's address and prefix, on the rate of new connections, on whether the address is known, and on the
//! free descriptors. Both fronts use it when they accept connections. It is a pure state machine, which opens
//! no socket and reads no clock. The design is described in `docs/admission.md`.
//!
//! - `decision`: decisions, and the causes of rejections.
//! - `client_address`: addresses and prefixes.
//! - `open_connections`: counts of open connections by address and prefix.
//! - `rate_limiter` with `token_bucket`: rates of new connections by address and prefix.
//! - `lru_table`: the bounded table of addresses, used for rates and for known addresses.
//! - `exhaustion`: the backoff of accepts while the process has no descriptor left.
//! - `settings`: the operator's settings file.
//!
//! A connection is in *good standing* once a complete, well-formed request on it was answered by the edge
//! proxy, and not by admission control. Its address is then *known* for
//! [`AdmissionSettings::known_window_s`]. Caps count open connections beyond those in good standing.
//! Therefore many clients behind one NAT address are not capped like a single client, while a flood of
//! connections that send no request is.

mod client_address;
mod decision;
mod exhaustion;
mod lru_table;
mod open_connections;
mod rate_limiter;
pub mod settings;
mod token_bucket;

pub use decision::{AdmissionCounts, Capacity, ConnectionId, Decision, RejectionCause};
pub use exhaustion::{AcceptBackoff, DescriptorExhaustion, EpisodeSummary};
pub use open_connections::{AddressCounts, ConnectionCounts};
pub use settings::{AdmissionError, AdmissionSettings};
pub use token_bucket::Rate;

use crate::interface::Instant;
use client_address::ClientAddress;
use decision::Rejection;
use lru_table::LruTable;
use open_connections::OpenConnections;
use rate_limiter::{RateExceeded, RateLimiter};
use std::net::IpAddr;

/// Numbers of addresses in the tables of admission control.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedAddresses {
    /// Number of known addresses.
    pub known: usize,
    /// Number of addresses and prefixes whose rate is tracked.
    pub rate_tracked: usize,
}

/// The state of admission control in one process.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    open_connections: OpenConnections,
    address_rates: RateLimiter,
    prefix_rates: RateLimiter,
    /// Addresses that had a connection in good standing within [`AdmissionSettings::known_window_s`].
    known: LruTable<IpAddr, ()>,
    /// Backoff of accepts while the process has no descriptor left.
    pub exhaustion: DescriptorExhaustion,
    counts: AdmissionCounts,
}

impl Admission {
    /// Returns admission control without any connections. The settings must have been checked.
    pub fn new(settings: AdmissionSettings) -> Self {
        Admission {
            open_connections: OpenConnections::default(),
            address_rates: RateLimiter::new(settings.tracked_capacity),
            prefix_rates: RateLimiter::new(settings.tracked_capacity),
            known: LruTable::new(settings.known_capacity),
            exhaustion: DescriptorExhaustion::new(settings.backoff(), settings.max_backoff()),
            counts: AdmissionCounts::default(),
            settings,
        }
    }

    /// Replaces the settings. Open connections stay counted, and known addresses stay known. If a rate of
    /// addresses or prefixes has changed, all token buckets are full again.
    pub fn reconfigure(&mut self, settings: AdmissionSettings) {
        let old = &self.settings;
        let have_rates_changed =
            settings.address_rate() != old.address_rate() || settings.prefix_rate() != old.prefix_rate();
        if have_rates_changed {
            self.address_rates = RateLimiter::new(settings.tracked_capacity);
            self.prefix_rates = RateLimiter::new(settings.tracked_capacity);
        }
        self.known.set_capacity(settings.known_capacity);
        self.exhaustion.set_bounds(settings.backoff(), settings.max_backoff());
        self.settings = settings;
    }

    /// Returns the settings in use.
    pub fn settings(&self) -> &AdmissionSettings {
        &self.settings
    }

    /// Whether new connections are checked at all.
    pub fn is_enabled(&self) -> bool {
        self.settings.enabled
    }

    /// Returns the counts of decisions since the start.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// Returns the number of admitted connections that are open.
    pub fn open_connections(&self) -> usize {
        self.open_connections.len()
    }

    /// Returns the numbers of addresses in the tables.
    pub fn tracked_addresses(&self) -> TrackedAddresses {
        let rate_tracked = self.address_rates.len() + self.prefix_rates.len();
        TrackedAddresses { known: self.known.len(), rate_tracked }
    }

    /// Returns the counts of open connections of an address and of its prefix.
    pub fn open_connections_of(&self, address: IpAddr) -> AddressCounts {
        self.open_connections.counts(self.client_address(address))
    }

    /// Whether an address had a connection in good standing within the window for known addresses.
    pub fn is_known(&mut self, now: Instant, address: IpAddr) -> bool {
        self.known.expire(now - self.settings.known_window());
        self.known.contains(&client_address::canonical(address))
    }

    /// Decides on a new connection, and counts it as open if it is admitted.
    pub fn admit(&mut self, now: Instant, id: ConnectionId, address: IpAddr, capacity: Capacity) -> Decision {
        let client = self.client_address(address);
        let checked = if self.settings.enabled { self.check(now, client, capacity) } else { Ok(()) };
        match checked {
            Ok(()) => {
                self.counts.admitted += 1;
                self.open_connections.insert(id, client);
                Decision::Admit
            }
            Err(Rejection { cause, wait }) => {
                self.counts.add_rejected(cause);
                let retry_after = self.settings.retry_after().max(wait).min(self.settings.max_retry_after());
                Decision::Reject { cause, retry_after }
            }
        }
    }

    /// Whether a rejected connection may be kept open until its requests have been answered. Otherwise it is
    /// closed before a byte is read, which proves to the client that nothing ran. It must be closed if
    /// `pending`, the number of rejected connections that are open, has reached its limit, or if so few
    /// descriptors are free (at most half of `reserve_upstream`) that it would use up the reserve for table
    /// caches.
    pub fn can_answer_rejected(&self, pending: usize, free_descriptors: Option<usize>) -> bool {
        let reserve = self.settings.reserve_upstream;
        pending < self.settings.max_pending_rejections
            && free_descriptors.is_none_or(|free| free > reserve / 2)
    }

    /// Puts a connection into good standing and makes its address known. Called when the edge proxy has
    /// answered a request on the connection.
    pub fn set_good_standing(&mut self, now: Instant, id: ConnectionId) {
        let Some(standing) = self.open_connections.set_good(id) else { return };
        self.known.touch(now, standing.address, || ());
        if standing.is_new {
            self.counts.good += 1;
        }
    }

    /// Adds a connection that was handed over by another process of this edge proxy, where it was in good
    /// standing.
    pub fn add_handed_over(&mut self, now: Instant, id: ConnectionId, address: IpAddr) {
        self.open_connections.insert(id, self.client_address(address));
        self.set_good_standing(now, id);
    }

    /// Removes a connection that has ended. A connection that was not admitted is ignored.
    pub fn remove(&mut self, id: ConnectionId) {
        self.open_connections.remove(id);
    }

    fn client_address(&self, address: IpAddr) -> ClientAddress {
        ClientAddress::new(address, self.settings.prefix_lengths())
    }

    /// Checks a new connection against all limits.
    fn check(&mut self, now: Instant, client: ClientAddress, capacity: Capacity) -> Result<(), Rejection> {
        self.check_descriptors(capacity)?;
        let is_known = self.is_known(now, client.address);
        self.check_reserve(is_known, capacity)?;
        self.check_caps(client)?;
        self.check_rates(now, client, is_known)
            .map_err(|RateExceeded { wait }| Rejection { cause: RejectionCause::Rate, wait })
    }

    fn check_descriptors(&self, capacity: Capacity) -> Result<(), Rejection> {
        match capacity.free_descriptors {
            Some(free) if free <= self.settings.reserve_upstream => {
                Err(Rejection::without_wait(RejectionCause::Descriptors))
            }
            _ => Ok(()),
        }
    }

    fn check_reserve(&self, is_known: bool, capacity: Capacity) -> Result<(), Rejection> {
        let reserve = (capacity.max_clients as f64 * self.settings.reserve_known).ceil() as usize;
        if !is_known && capacity.clients + reserve >= capacity.max_clients {
            return Err(Rejection::without_wait(RejectionCause::Reserve));
        }
        Ok(())
    }

    fn check_caps(&self, client: ClientAddress) -> Result<(), Rejection> {
        if self.open_connections.is_address_at_cap(client, self.settings.per_address) {
            return Err(Rejection::without_wait(RejectionCause::Address));
        }
        if self.open_connections.is_prefix_at_cap(client, self.settings.per_prefix) {
            return Err(Rejection::without_wait(RejectionCause::Prefix));
        }
        Ok(())
    }

    fn check_rates(
        &mut self,
        now: Instant,
        client: ClientAddress,
        is_known: bool,
    ) -> Result<(), RateExceeded> {
        self.prefix_rates.take(now, client.prefix, self.settings.prefix_rate())?;
        let rate = if is_known { self.settings.known_rate() } else { self.settings.address_rate() };
        self.address_rates.take(now, client.address, rate)
    }
}

#[cfg(test)]
mod tests;
