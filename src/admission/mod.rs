//! Connection admission: which new connections of clients are taken, by the client's address and prefix, the rate
//! at which they come, their standing, and the descriptors left. A pure state machine: it opens no socket and reads
//! no clock; the caller passes time in, names connections by numbers of its own, and tells it what became of
//! them. Both fronts' accept paths ask it; see `docs/admission.md` for the design and the ways weighed.
//!
//! A connection is in *good standing* once a whole, well-formed call on it has been answered by the edge proxy (not
//! by admission). Its address is then *known* for [`AdmissionSettings::known_window_s`]. Caps count open connections
//! beyond those in good standing, so that many clients behind one shared address (NAT), each with a connection that
//! asks, are not capped as one: a flood of connections that say nothing is.

mod bucket;
mod exhaust;
mod recent;
pub mod settings;

pub use bucket::{Rate, TokenBucket};
pub use exhaust::{Backoff, Ended, Exhaustion};
pub use recent::Recent;
pub use settings::{AdmissionError, AdmissionSettings};

use crate::interface::{Instant, Span};
use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Why a connection is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// Its address has as many open as it may.
    Address,
    /// Its prefix has as many open as it may.
    Prefix,
    /// Its address, or prefix, opens them faster than its rate.
    Rate,
    /// What is left is kept for known clients.
    Reserve,
    /// What is left is kept for connections to table caches.
    Descriptors,
}

impl Refusal {
    /// All of them, in the order of [`Counts::refused`].
    pub const ALL: [Refusal; 5] =
        [Refusal::Address, Refusal::Prefix, Refusal::Rate, Refusal::Reserve, Refusal::Descriptors];

    /// The word for logs and figures.
    pub fn code(self) -> &'static str {
        match self {
            Refusal::Address => "address",
            Refusal::Prefix => "prefix",
            Refusal::Rate => "rate",
            Refusal::Reserve => "reserve",
            Refusal::Descriptors => "descriptors",
        }
    }
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken, and counted until [`Admission::closed`].
    Admit,
    /// It is refused: its calls are answered with a refusal that tells the client to stay away for `pause`.
    Refuse {
        /// Why.
        why: Refusal,
        /// How long to stay away.
        pause: Span,
    },
}

/// What the caller knows of its descriptors when a connection comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Room {
    /// Clients' connections open now (this one not counted).
    pub clients: usize,
    /// Clients' connections that the limits allow in all.
    pub budget: usize,
    /// Descriptors the process may still open, where that is known.
    pub free: Option<usize>,
}

/// What admission has decided so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Connections taken.
    pub admitted: u64,
    /// Connections refused, by [`Refusal::ALL`].
    pub refused: [u64; 5],
    /// Connections that came into good standing.
    pub good: u64,
}

/// Open connections of one address or prefix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Open {
    all: usize,
    good: usize,
}

/// One admitted connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Conn {
    address: IpAddr,
    prefix: IpAddr,
    good: bool,
}

/// The admission of one process.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    conns: HashMap<u64, Conn>,
    addresses: HashMap<IpAddr, Open>,
    prefixes: HashMap<IpAddr, Open>,
    /// Rates of addresses and of prefixes, bounded.
    rates: Recent<IpAddr, TokenBucket>,
    prefix_rates: Recent<IpAddr, TokenBucket>,
    /// Addresses in good standing of late, bounded and decaying.
    known: Recent<IpAddr, ()>,
    /// Descriptors running out.
    pub exhaustion: Exhaustion,
    counts: Counts,
}

impl Admission {
    /// Admission by checked settings.
    pub fn new(settings: AdmissionSettings) -> Self {
        let [first, most] = backoff_bounds(&settings);
        let exhaustion = Exhaustion::new(first, most);
        Admission {
            rates: Recent::new(settings.tracked_capacity),
            prefix_rates: Recent::new(settings.tracked_capacity),
            known: Recent::new(settings.known_capacity),
            conns: HashMap::new(),
            addresses: HashMap::new(),
            prefixes: HashMap::new(),
            exhaustion,
            counts: Counts::default(),
            settings,
        }
    }

    /// Takes new settings at SIGHUP: what is open stays counted, known addresses stay known, rates start full.
    pub fn reconfigure(&mut self, settings: AdmissionSettings) {
        if (settings.address_rate(), settings.prefix_rate())
            != (self.settings.address_rate(), self.settings.prefix_rate())
        {
            self.rates = Recent::new(settings.tracked_capacity);
            self.prefix_rates = Recent::new(settings.tracked_capacity);
        }
        self.known.set_capacity(settings.known_capacity);
        let [first, most] = backoff_bounds(&settings);
        self.exhaustion.set_bounds(first, most);
        self.settings = settings;
    }

    /// The settings that hold.
    pub fn settings(&self) -> &AdmissionSettings {
        &self.settings
    }

    /// Whether connections are judged.
    pub fn is_on(&self) -> bool {
        self.settings.enabled
    }

    /// What was decided so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Admitted connections open now.
    pub fn open(&self) -> usize {
        self.conns.len()
    }

    /// Addresses known now, and addresses whose rate is followed: both stay within their capacities.
    pub fn tracked(&self) -> (usize, usize) {
        (self.known.len(), self.rates.len() + self.prefix_rates.len())
    }

    /// The prefix of an address by the settings; an IPv4-mapped IPv6 address is taken as the IPv4 one.
    pub fn prefix(&self, address: IpAddr) -> IpAddr {
        match canonical(address) {
            IpAddr::V4(v4) => {
                let mask = u32::MAX.checked_shl(32 - u32::from(self.settings.prefix_v4)).unwrap_or(0);
                IpAddr::V4(Ipv4Addr::from(u32::from(v4) & mask))
            }
            IpAddr::V6(v6) => {
                let mask = u128::MAX.checked_shl(128 - u32::from(self.settings.prefix_v6)).unwrap_or(0);
                IpAddr::V6(Ipv6Addr::from(u128::from(v6) & mask))
            }
        }
    }

    /// Whether an address was in good standing within the window.
    pub fn is_known(&mut self, now: Instant, address: IpAddr) -> bool {
        self.known.expire(now - self.settings.known_window());
        self.known.get(&canonical(address)).is_some()
    }

    /// Decides on a new connection, numbered `conn` by the caller, from `address`, at `now`.
    pub fn admit(&mut self, now: Instant, conn: u64, address: IpAddr, room: Room) -> Verdict {
        let address = canonical(address);
        let prefix = self.prefix(address);
        let verdict = if self.settings.enabled { self.judge(now, address, prefix, room) } else { Ok(()) };
        match verdict {
            Ok(()) => {
                self.counts.admitted += 1;
                self.insert(conn, address, prefix);
                Verdict::Admit
            }
            Err((why, wait)) => {
                self.counts.refused[why as usize] += 1;
                let most = Span::from_millis(self.settings.most_pause_ms as i64);
                let pause = self.settings.pause().max(wait).min(most);
                Verdict::Refuse { why, pause }
            }
        }
    }

    fn judge(
        &mut self,
        now: Instant,
        address: IpAddr,
        prefix: IpAddr,
        room: Room,
    ) -> Result<(), (Refusal, Span)> {
        let settings = &self.settings;
        if room.free.is_some_and(|free| free <= settings.reserve_upstream) {
            return Err((Refusal::Descriptors, Span::ZERO));
        }
        let known = self.is_known(now, address);
        let settings = &self.settings;
        let reserve = (room.budget as f64 * settings.reserve_known).ceil() as usize;
        if !known && room.clients + reserve >= room.budget {
            return Err((Refusal::Reserve, Span::ZERO));
        }
        let over = |open: Option<&Open>, cap: usize| cap > 0 && open.is_some_and(|o| o.all >= cap + o.good);
        if over(self.addresses.get(&address), settings.per_address) {
            return Err((Refusal::Address, Span::ZERO));
        }
        if over(self.prefixes.get(&prefix), settings.per_prefix) {
            return Err((Refusal::Prefix, Span::ZERO));
        }
        let (rate, prefix_rate) = (settings.address_rate(), settings.prefix_rate());
        if prefix_rate.is_on() {
            let bucket = self.prefix_rates.touch(now, prefix, || TokenBucket::full(prefix_rate, now));
            if !bucket.take(prefix_rate, now) {
                return Err((Refusal::Rate, bucket.wait(prefix_rate, now)));
            }
        }
        // Known addresses have shown what they are and have a rate of their own, higher as a rule.
        let rate = if known { settings.known_rate() } else { rate };
        if rate.is_on() {
            let bucket = self.rates.touch(now, address, || TokenBucket::full(rate, now));
            if !bucket.take(rate, now) {
                return Err((Refusal::Rate, bucket.wait(rate, now)));
            }
        }
        Ok(())
    }

    /// Whether a refused connection is answered with a refusal (it is held until then) or closed before a byte is
    /// read: with `refusing` held already, or with descriptors so few that holding one would eat into the reserve
    /// for table caches, it is closed, which for its client proves that nothing ran.
    pub fn answers_refusal(&self, refusing: usize, free: Option<usize>) -> bool {
        let reserve = self.settings.reserve_upstream;
        refusing < self.settings.most_refusing && free.is_none_or(|free| free > reserve / 2)
    }

    /// A connection's call was answered by the edge proxy: it is in good standing from now on, and its address known.
    pub fn good(&mut self, now: Instant, conn: u64) {
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        self.known.touch(now, entry.address, || ());
        if std::mem::replace(&mut entry.good, true) {
            return;
        }
        self.counts.good += 1;
        for open in [self.addresses.get_mut(&entry.address), self.prefixes.get_mut(&entry.prefix)]
            .into_iter()
            .flatten()
        {
            open.good += 1;
        }
    }

    /// Takes in a connection that another process of this edge proxy had: it was in good standing there.
    pub fn adopted(&mut self, now: Instant, conn: u64, address: IpAddr) {
        let address = canonical(address);
        self.insert(conn, address, self.prefix(address));
        self.good(now, conn);
    }

    /// Counts an open connection.
    fn insert(&mut self, conn: u64, address: IpAddr, prefix: IpAddr) {
        if let Some(old) = self.conns.insert(conn, Conn { address, prefix, good: false }) {
            self.forget(old); // a number used again: the caller's slot was reused
        }
        self.addresses.entry(address).or_default().all += 1;
        self.prefixes.entry(prefix).or_default().all += 1;
    }

    /// An admitted connection has ended; a number that was not admitted is ignored.
    pub fn closed(&mut self, conn: u64) {
        if let Some(old) = self.conns.remove(&conn) {
            self.forget(old);
        }
    }

    fn forget(&mut self, conn: Conn) {
        for (table, key) in [(&mut self.addresses, conn.address), (&mut self.prefixes, conn.prefix)] {
            if let Some(open) = table.get_mut(&key) {
                open.all -= 1;
                open.good -= usize::from(conn.good);
                if open.all == 0 {
                    table.remove(&key);
                }
            }
        }
    }

    /// Open connections of an address and of its prefix, with those in good standing: `[all, good]` of each.
    pub fn open_of(&self, address: IpAddr) -> [[usize; 2]; 2] {
        let address = canonical(address);
        let of = |open: Option<&Open>| open.map_or([0, 0], |o| [o.all, o.good]);
        [of(self.addresses.get(&address)), of(self.prefixes.get(&self.prefix(address)))]
    }
}

/// The first and the longest pause of accepts without descriptors.
fn backoff_bounds(settings: &AdmissionSettings) -> [Span; 2] {
    [settings.backoff_ms, settings.most_backoff_ms].map(|ms| Span::from_millis(ms as i64))
}

/// An IPv4-mapped IPv6 address as IPv4; any other as it is.
fn canonical(address: IpAddr) -> IpAddr {
    match address {
        IpAddr::V6(v6) => v6.to_ipv4_mapped().map_or(address, IpAddr::V4),
        v4 => v4,
    }
}

#[cfg(test)]
mod tests;
