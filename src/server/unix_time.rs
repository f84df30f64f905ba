//! Conversion of the Unix times that the control feed states to instants of the monotonic clock. Each is converted
//! once, when it is received, so that no later step of the wall clock affects it.
//!
//! The wall clock may have been stepped before a time is received. Stamps of other machines tell how far Unix time has
//! come: a stamp that was received lies in the past, and a copy that the origin generated for a request is younger than
//! that request. While the wall clock agrees with them, it is trusted. Otherwise purges and starts count as later than
//! they may have been, never as earlier: an older copy is fetched anew, and a warm server warms up once more.

use crate::interface::{Instant, ServerId, Span, UnixTime};
use std::collections::BTreeMap;

/// A wall clock that has moved by more than this against the monotonic one was stepped.
const MIN_STEP: Span = Span::from_millis(50);
/// The feed reports to a running process within this time, unless the connection was interrupted.
const MAX_FEED_DELAY: Span = Span::from_secs(3);
/// Stamps of copies are in whole milliseconds.
const COPY_STAMP_RESOLUTION_MICROS: i64 = 1000;

/// When a time was received.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reception {
    /// By the monotonic clock.
    pub now: Instant,
    /// By the wall clock.
    pub unix: UnixTime,
    /// It was known at the start, or came with the first list: it may be of any age.
    pub is_first: bool,
}

/// A server's start as the feed stated it, and the instant to which it was converted.
#[derive(Clone, Copy)]
struct ServerStart {
    stated: UnixTime,
    instant: Instant,
}

/// Converts Unix times to instants of the monotonic clock. An offset is how far Unix time is ahead of that clock.
pub(super) struct UnixTimeConverter {
    /// The wall clock's offset at the start.
    initial_offset: Span,
    /// A lower bound of the true offset, once a stamp was received.
    min_offset: Option<Span>,
    /// An upper bound of the true offset, once a copy was received that was generated for a request.
    max_offset: Option<Span>,
    starts: BTreeMap<ServerId, ServerStart>,
}

impl UnixTimeConverter {
    /// Knows no stamp yet; the clocks read this.
    pub fn new(now: Instant, unix: UnixTime) -> Self {
        let initial_offset = offset(unix, now);
        UnixTimeConverter { initial_offset, min_offset: None, max_offset: None, starts: BTreeMap::new() }
    }

    /// Another machine's stamp was received now: Unix time has come that far.
    pub fn observe_stamp(&mut self, now: Instant, stamp: UnixTime) {
        self.min_offset = self.min_offset.max(Some(offset(stamp, now)));
    }

    /// A copy was received now that was generated at a Unix millisecond; 0: unknown. If the origin generated it for a
    /// request, `requested_at` is when that was sent: Unix time had come no further by then.
    pub fn observe_copy(&mut self, now: Instant, generated_at_ms: u64, requested_at: Option<Instant>) {
        let stamp = i64::try_from(generated_at_ms).ok().and_then(|ms| ms.checked_mul(1000));
        let Some(stamp) = stamp.filter(|stamp| *stamp > 0) else { return };
        self.observe_stamp(now, UnixTime::from_micros(stamp));
        if let Some(requested_at) = requested_at {
            let latest = UnixTime::from_micros(stamp.saturating_add(COPY_STAMP_RESOLUTION_MICROS));
            let offset = offset(latest, requested_at);
            self.max_offset = Some(self.max_offset.map_or(offset, |max| max.min(offset)));
        }
    }

    /// When a purge was made: never earlier than it can have been, and never later than now.
    pub fn convert_purge_time(&mut self, reception: Reception, made_at: UnixTime) -> Instant {
        self.observe_stamp(reception.now, made_at);
        match self.by_wall_clock(reception, made_at).filter(|_| !reception.is_first) {
            Some(instant) => instant,
            None => self.by_bounds(reception, made_at),
        }
    }

    /// When a server started, converted once for each start that the feed states. What is known at the start of the
    /// process is converted by the wall clock: otherwise every upgrade would have servers warm up anew. Later, a start
    /// counts as no earlier than it can have been.
    pub fn convert_start_time(
        &mut self,
        reception: Reception,
        server: ServerId,
        stated: UnixTime,
    ) -> Instant {
        if let Some(known) = self.starts.get(&server).filter(|known| known.stated == stated) {
            return known.instant;
        }
        let instant = match self.by_wall_clock(reception, stated) {
            _ if reception.is_first => instant_at_offset(reception.now, reception.wall_offset(), stated),
            Some(instant) => instant,
            None => self.by_bounds(reception, stated),
        };
        self.starts.insert(server, ServerStart { stated, instant });
        instant
    }

    /// Forgets a server that was removed.
    pub fn forget(&mut self, server: ServerId) {
        self.starts.remove(&server);
    }

    /// The instant by the wall clock, if that was not stepped since the start and agrees with the observed stamps. As
    /// long as there is no upper bound, only what has just happened is believed.
    fn by_wall_clock(&self, reception: Reception, stamp: UnixTime) -> Option<Instant> {
        let offset = reception.wall_offset();
        let instant = instant_at_offset(reception.now, offset, stamp);
        let moved = offset.as_micros().abs_diff(self.initial_offset.as_micros());
        let is_stepped = moved > MIN_STEP.as_micros().unsigned_abs();
        let agrees = match self.max_offset {
            Some(max) => offset <= max,
            None => reception.now - instant <= MAX_FEED_DELAY,
        };
        (agrees && !is_stepped).then_some(instant)
    }

    /// The earliest instant at which something with this stamp can have been, by the bounds of the offset.
    fn by_bounds(&self, reception: Reception, stamp: UnixTime) -> Instant {
        // What is received now was stamped by now.
        let own = offset(stamp, reception.now);
        let lower_bound = self.min_offset.map_or(own, |min| min.max(own));
        instant_at_offset(reception.now, lower_bound.min(reception.wall_offset()), stamp)
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

/// The instant of a Unix time by an offset. A time in the future counts as now, and an impossible one as long ago.
fn instant_at_offset(now: Instant, offset: Span, unix: UnixTime) -> Instant {
    let instant = Instant::from_micros(unix.as_micros().saturating_sub(offset.as_micros()));
    instant.clamp(Instant::ZERO, now)
}

#[cfg(test)]
mod tests;
