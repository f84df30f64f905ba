//! The one place where Unix times that the control feed states become instants of the monotonic clock: each once, as it
//! is heard, so that no later step of the wall clock touches them.
//!
//! The wall clock may have been stepped before a time is heard. What other machines stamp tells how far Unix time has come:
//! a stamp that was heard lies in the past, and a copy that the origin gave out for a request is younger than that
//! request. While the wall clock agrees, it is taken at its word. Else purges and starts count as later than they may
//! have been, never as earlier: an older copy is asked for anew, and a warm server warms up once more.

use crate::interface::{Instant, ServerId, Span, UnixTime};
use std::collections::BTreeMap;

/// A wall clock that has moved by more than this against the monotonic one was stepped.
const STEP: Span = Span::from_millis(50);
/// What a running process is told happened within this time, unless its feed was cut off.
const TOLD_WITHIN: Span = Span::from_secs(3);

/// When a time is heard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reception {
    /// By the monotonic clock.
    pub now: Instant,
    /// By the wall clock.
    pub unix: UnixTime,
    /// What was known at the start, or the first list: it may be of any age.
    pub first: bool,
}

/// A start as it was told, and what it was converted to.
#[derive(Clone, Copy)]
struct Start {
    told: UnixTime,
    instant: Instant,
}

/// Converts Unix times to instants of the monotonic clock. An offset is what Unix time is ahead of that clock.
pub(super) struct UnixTimeConverter {
    /// The wall clock's offset at the start.
    initial_offset: Span,
    /// The true offset is this at least; `None`: nothing was heard that says so.
    least_offset: Option<Span>,
    /// The true offset is this at most.
    most_offset: Option<Span>,
    starts: BTreeMap<ServerId, Start>,
}

impl UnixTimeConverter {
    /// Nothing was heard yet; the clocks read this.
    pub fn new(now: Instant, unix: UnixTime) -> Self {
        let initial_offset = offset(unix, now);
        UnixTimeConverter { initial_offset, least_offset: None, most_offset: None, starts: BTreeMap::new() }
    }

    /// Another machine's stamp is heard now: Unix time has come that far.
    pub fn witness(&mut self, now: Instant, stamp: UnixTime) {
        self.least_offset = self.least_offset.max(Some(offset(stamp, now)));
    }

    /// A copy is heard of now that the origin gave out at a Unix millisecond; 0: not told. If it was fetched from the
    /// origin for a request, that request was sent at `asked`: Unix time had come no further by then.
    pub fn witness_copy(&mut self, now: Instant, born_ms: u64, asked: Option<Instant>) {
        let stamp = i64::try_from(born_ms).ok().and_then(|ms| ms.checked_mul(1000));
        let Some(stamp) = stamp.filter(|stamp| *stamp > 0) else { return };
        self.witness(now, UnixTime::from_micros(stamp));
        if let Some(asked) = asked {
            // Stamps are whole milliseconds.
            let offset = offset(UnixTime::from_micros(stamp.saturating_add(1000)), asked);
            self.most_offset = Some(self.most_offset.map_or(offset, |most| most.min(offset)));
        }
    }

    /// When a purge was made: as far as is sure not before it was, and never later than now.
    pub fn purge(&mut self, heard: Reception, at: UnixTime) -> Instant {
        self.witness(heard.now, at);
        match self.by_wall_clock(heard, at).filter(|_| !heard.first) {
            Some(instant) => instant,
            None => self.at_the_earliest(heard, at),
        }
    }

    /// When a server started, which is converted once for each start that is told. What is told at the start is
    /// taken at the wall clock's word: else every upgrade would have servers warm up anew. Later, a start counts as no
    /// earlier than it can have been.
    pub fn start(&mut self, heard: Reception, server: ServerId, told: UnixTime) -> Instant {
        if let Some(known) = self.starts.get(&server).filter(|known| known.told == told) {
            return known.instant;
        }
        let instant = match self.by_wall_clock(heard, told) {
            _ if heard.first => by_offset(heard.now, heard.wall_offset(), told),
            Some(instant) => instant,
            None => self.at_the_earliest(heard, told),
        };
        self.starts.insert(server, Start { told, instant });
        instant
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: ServerId) {
        self.starts.remove(&server);
    }

    /// The instant by the wall clock, if it was not stepped since the start and agrees with what was heard. As long as
    /// nothing was heard that bounds it, only what has just happened is believed.
    fn by_wall_clock(&self, heard: Reception, stamp: UnixTime) -> Option<Instant> {
        let offset = heard.wall_offset();
        let instant = by_offset(heard.now, offset, stamp);
        let moved = offset.as_micros().abs_diff(self.initial_offset.as_micros());
        let is_stepped = moved > STEP.as_micros().unsigned_abs();
        let agrees = match self.most_offset {
            Some(most) => offset <= most,
            None => heard.now - instant <= TOLD_WITHIN,
        };
        (agrees && !is_stepped).then_some(instant)
    }

    /// The earliest instant at which something stamped so can have been, as far as is sure.
    fn at_the_earliest(&self, heard: Reception, stamp: UnixTime) -> Instant {
        // What is heard now was stamped by now.
        let own = offset(stamp, heard.now);
        let sure = self.least_offset.map_or(own, |least| least.max(own));
        by_offset(heard.now, sure.min(heard.wall_offset()), stamp)
    }
}

impl Reception {
    fn wall_offset(self) -> Span {
        offset(self.unix, self.now)
    }
}

/// How far a Unix time is ahead of the monotonic clock.
fn offset(unix: UnixTime, now: Instant) -> Span {
    Span::from_micros(unix.as_micros().saturating_sub(now.as_micros()))
}

/// The instant of a Unix time by an offset; one to come counts as now, and what makes no sense as long ago.
fn by_offset(now: Instant, offset: Span, unix: UnixTime) -> Instant {
    let instant = Instant::from_micros(unix.as_micros().saturating_sub(offset.as_micros()));
    instant.clamp(Instant::ZERO, now)
}

#[cfg(test)]
mod tests;
