//! The one place where Unix times that the control feed states become instants of the monotonic clock: each once, as it
//! is heard, so that no later step of the wall clock touches them.
//!
//! The wall clock may have been stepped before a time is heard. What other machines stamp tells how far Unix time has come:
//! a stamp that was heard lies in the past, and a copy that the origin gave out for a request is younger than that
//! request. While the wall clock agrees, it is taken at its word. Else purges and starts count as later than they may
//! have been, never as earlier: an older copy is asked for anew, and a warm server warms up once more.

use crate::interface::{Micros, ServerId};
use std::collections::BTreeMap;

/// A wall clock that has moved by more than this against the monotonic one was stepped, us.
const STEP: Micros = 50_000;
/// What a running process is told happened within this time, us, unless its feed was cut off.
const TOLD_WITHIN: Micros = 3_000_000;

/// When a time is heard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reception {
    /// By the monotonic clock, us.
    pub now: Micros,
    /// By the wall clock, us.
    pub unix: Micros,
    /// What was known at the start, or the first list: it may be of any age.
    pub first: bool,
}

/// A start as it was told, and what it was converted to.
#[derive(Clone, Copy)]
struct Start {
    /// Unix time, us.
    told: Micros,
    instant: Micros,
}

/// Converts Unix times to instants of the monotonic clock. An offset is what Unix time is ahead of that clock.
pub(super) struct UnixTimeConverter {
    /// The wall clock's offset at the start, us.
    initial_offset: Micros,
    /// The true offset is this at least, us; `None`: nothing was heard that says so.
    least_offset: Option<Micros>,
    /// The true offset is this at most, us.
    most_offset: Option<Micros>,
    starts: BTreeMap<ServerId, Start>,
}

impl UnixTimeConverter {
    /// Nothing was heard yet; the clocks read this.
    pub fn new(now: Micros, unix: Micros) -> Self {
        let initial_offset = unix.saturating_sub(now);
        UnixTimeConverter { initial_offset, least_offset: None, most_offset: None, starts: BTreeMap::new() }
    }

    /// Another machine's stamp (Unix us) is heard now: Unix time has come that far.
    pub fn witness(&mut self, now: Micros, stamp: Micros) {
        self.least_offset = self.least_offset.max(Some(stamp.saturating_sub(now)));
    }

    /// A copy is heard of now that the origin gave out at a Unix millisecond; 0: not told. If it was fetched from the
    /// origin for a request, that request was sent at `asked`: Unix time had come no further by then.
    pub fn witness_copy(&mut self, now: Micros, born: u64, asked: Option<Micros>) {
        let stamp = Micros::try_from(born).ok().and_then(|ms| ms.checked_mul(1000));
        let Some(stamp) = stamp.filter(|stamp| *stamp > 0) else { return };
        self.witness(now, stamp);
        if let Some(asked) = asked {
            // Stamps are whole milliseconds.
            let offset = stamp.saturating_add(1000).saturating_sub(asked);
            self.most_offset = Some(self.most_offset.map_or(offset, |most| most.min(offset)));
        }
    }

    /// When a purge was made (Unix us): as far as is sure not before it was, and never later than now.
    pub fn purge(&mut self, heard: Reception, at: Micros) -> Micros {
        self.witness(heard.now, at);
        match self.by_wall_clock(heard, at).filter(|_| !heard.first) {
            Some(instant) => instant,
            None => self.at_the_earliest(heard, at),
        }
    }

    /// When a server started (Unix us), which is converted once for each start that is told. What is told at the start is
    /// taken at the wall clock's word: else every upgrade would have servers warm up anew. Later, a start counts as no
    /// earlier than it can have been.
    pub fn start(&mut self, heard: Reception, server: ServerId, told: Micros) -> Micros {
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
    fn by_wall_clock(&self, heard: Reception, stamp: Micros) -> Option<Micros> {
        let offset = heard.wall_offset();
        let instant = by_offset(heard.now, offset, stamp);
        let is_stepped = offset.abs_diff(self.initial_offset) > STEP.unsigned_abs();
        let agrees = match self.most_offset {
            Some(most) => offset <= most,
            None => heard.now - instant <= TOLD_WITHIN,
        };
        (agrees && !is_stepped).then_some(instant)
    }

    /// The earliest instant at which something stamped so can have been, as far as is sure.
    fn at_the_earliest(&self, heard: Reception, stamp: Micros) -> Micros {
        // What is heard now was stamped by now.
        let own = stamp.saturating_sub(heard.now);
        let sure = self.least_offset.map_or(own, |least| least.max(own));
        by_offset(heard.now, sure.min(heard.wall_offset()), stamp)
    }
}

impl Reception {
    fn wall_offset(self) -> Micros {
        self.unix.saturating_sub(self.now)
    }
}

/// The instant of a Unix time by an offset; one to come counts as now, and what makes no sense as long ago.
fn by_offset(now: Micros, offset: Micros, unix: Micros) -> Micros {
    unix.saturating_sub(offset).clamp(0, now)
}

#[cfg(test)]
mod tests;
