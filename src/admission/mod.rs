//! Admission control: which new connections of clients are accepted, by the client's address and prefix, the rate at
//! which they come, their standing, and the descriptors left. A pure state machine: it opens no socket and reads no
//! clock. Both fronts' accept paths ask it; `docs/admission.md` has the design.
//!
//! - `decision`: what is decided, and the causes of rejections.
//! - `client_address`: addresses and prefixes.
//! - `open_connections`: connections counted by origin; `rate_limiter` with `token_bucket`: rates by origin.
//! - `lru_table`: the bounded table of addresses that `rate_limiter` and the known addresses use.
//! - `exhaustion`: the backoff of accepts while the process has no descriptor left.
//! - `settings`: the operator's file.
//!
//! A connection is in *good standing* once a complete, well-formed request on it was answered by the edge proxy, and
//! not by admission control. Its address is then *known* for [`AdmissionSettings::known_window_s`]. Caps count open
//! connections beyond those in good standing, so many clients behind one shared address (NAT) are not capped as one,
//! while a flood of connections that ask nothing is.

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

/// How many addresses are followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedAddresses {
    /// Known addresses.
    pub known: usize,
    /// Addresses and prefixes whose rate is followed.
    pub rate_tracked: usize,
}

/// The admission control of one process.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    open: OpenConnections,
    address_rates: RateLimiter,
    prefix_rates: RateLimiter,
    /// Addresses that were lately in good standing.
    known: LruTable<IpAddr, ()>,
    /// The backoff of accepts while the process has no descriptor left.
    pub exhaustion: DescriptorExhaustion,
    counts: AdmissionCounts,
}

impl Admission {
    /// Admission control with checked settings.
    pub fn new(settings: AdmissionSettings) -> Self {
        Admission {
            open: OpenConnections::default(),
            address_rates: RateLimiter::new(settings.tracked_capacity),
            prefix_rates: RateLimiter::new(settings.tracked_capacity),
            known: LruTable::new(settings.known_capacity),
            exhaustion: DescriptorExhaustion::new(settings.backoff(), settings.max_backoff()),
            counts: AdmissionCounts::default(),
            settings,
        }
    }

    /// Takes new settings. Open connections stay counted and known addresses known; changed rates start with full
    /// buckets.
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

    /// The settings in use.
    pub fn settings(&self) -> &AdmissionSettings {
        &self.settings
    }

    /// Whether connections are checked at all.
    pub fn is_enabled(&self) -> bool {
        self.settings.enabled
    }

    /// What was decided so far.
    pub fn counts(&self) -> AdmissionCounts {
        self.counts
    }

    /// How many admitted connections are open.
    pub fn open_connections(&self) -> usize {
        self.open.len()
    }

    /// How many addresses are followed.
    pub fn tracked_addresses(&self) -> TrackedAddresses {
        let rate_tracked = self.address_rates.len() + self.prefix_rates.len();
        TrackedAddresses { known: self.known.len(), rate_tracked }
    }

    /// Open connections of an address and of its prefix.
    pub fn open_connections_of(&self, address: IpAddr) -> AddressCounts {
        self.open.counts(self.client_address(address))
    }

    /// Whether an address was in good standing within the window.
    pub fn is_known(&mut self, now: Instant, address: IpAddr) -> bool {
        self.known.expire(now - self.settings.known_window());
        self.known.contains(&client_address::canonical(address))
    }

    /// Decides on a new connection.
    pub fn admit(&mut self, now: Instant, id: ConnectionId, address: IpAddr, capacity: Capacity) -> Decision {
        let client = self.client_address(address);
        let checked = if self.settings.enabled { self.check(now, client, capacity) } else { Ok(()) };
        match checked {
            Ok(()) => {
                self.counts.admitted += 1;
                self.open.insert(id, client);
                Decision::Admit
            }
            Err(Rejection { cause, wait }) => {
                self.counts.add_rejected(cause);
                let retry_after = self.settings.retry_after().max(wait).min(self.settings.max_retry_after());
                Decision::Reject { cause, retry_after }
            }
        }
    }

    /// Whether a rejected connection is kept open until its requests are answered, or closed before a byte is read,
    /// which proves to its client that nothing ran. It is closed where `pending` rejected connections are as many as
    /// may be, or so few descriptors are left that it would use the reserve for table caches.
    pub fn can_answer_rejected(&self, pending: usize, free_descriptors: Option<usize>) -> bool {
        let reserve = self.settings.reserve_upstream;
        pending < self.settings.max_pending_rejections
            && free_descriptors.is_none_or(|free| free > reserve / 2)
    }

    /// Puts a connection into good standing, as the edge proxy answered its request, and makes its address known.
    pub fn set_good_standing(&mut self, now: Instant, id: ConnectionId) {
        let Some(standing) = self.open.set_good(id) else { return };
        self.known.touch(now, standing.address, || ());
        if standing.is_new {
            self.counts.good += 1;
        }
    }

    /// Adds a connection that another process of this edge proxy had in good standing.
    pub fn add_handed_over(&mut self, now: Instant, id: ConnectionId, address: IpAddr) {
        self.open.insert(id, self.client_address(address));
        self.set_good_standing(now, id);
    }

    /// Removes a connection that has ended; one that was not admitted is ignored.
    pub fn remove(&mut self, id: ConnectionId) {
        self.open.remove(id);
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
        if self.open.is_address_at_cap(client, self.settings.per_address) {
            return Err(Rejection::without_wait(RejectionCause::Address));
        }
        if self.open.is_prefix_at_cap(client, self.settings.per_prefix) {
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
