//! Conversion of Unix times in the control feed to instants of the monotonic clock. Each time is converted
//! once, when it is received, so that later steps of the wall clock do not affect it.
//!
//! The wall clock may have been stepped before a time is received. Stamps from other machines give bounds of
//! the true Unix time: a stamp that was received is in the past, and a copy that the origin generated for a
//! request is younger than that request. The wall clock is trusted while it agrees with these bounds.
//! Otherwise purges and starts are dated later than they may have been, never earlier: then at worst an older
//! copy is fetched again, or a warm server warms up once more.

use crate::interface::{Instant, ServerId, Span, UnixTime};
use std::collections::BTreeMap;

/// The wall clock was stepped if it has moved by more than this against the monotonic clock.
const MIN_STEP: Span = Span::from_millis(50);
/// The feed delivers an event to a running process within this time, unless the connection was interrupted.
const MAX_FEED_DELAY: Span = Span::from_secs(3);
/// Stamps of copies are in whole milliseconds.
const COPY_STAMP_RESOLUTION_MICROS: i64 = 1000;

/// The clocks' readings when a time was received, and whether it may be old.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reception {
    /// Reading of the monotonic clock.
    pub now: Instant,
    /// Reading of the wall clock.
    pub unix: UnixTime,
    /// Whether the time was known at the start or came with the first list, so that it may be of any age.
    pub is_first: bool,
}

/// A server's start as stated by the feed, and the instant to which it was converted.
#[derive(Clone, Copy)]
struct ServerStart {
    stated: UnixTime,
    instant: Instant,
}

/// Converts Unix times to instants of the monotonic clock. An offset is how far Unix time is ahead of that
/// clock.
pub(super) struct UnixTimeConverter {
    /// Offset of the wall clock at the start.
    initial_offset: Span,
    /// Lower bound of the true offset; `None` until a stamp was received.
    min_offset: Option<Span>,
    /// Upper bound of the true offset; `None` until a copy was received that was generated for a request.
    max_offset: Option<Span>,
    starts: BTreeMap<ServerId, ServerStart>,
}

impl UnixTimeConverter {
    /// Returns a converter without bounds, at the given readings of the monotonic and the wall clock.
    pub fn new(now: Instant, unix: UnixTime) -> Self {
        let initial_offset = offset(unix, now);
        UnixTimeConverter { initial_offset, min_offset: None, max_offset: None, starts: BTreeMap::new() }
    }

    /// Records a stamp of another machine that was received now: the true Unix time is at least this.
    pub fn observe_stamp(&mut self, now: Instant, stamp: UnixTime) {
        self.min_offset = self.min_offset.max(Some(offset(stamp, now)));
    }

    /// Records the stamp of a copy that was received now, in Unix milliseconds; 0 if it is unknown. If the
    /// origin generated the copy for a request, `requested_at` is when that request was sent: the true Unix
    /// time was at most the stamp at that time.
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

    /// Converts the time of a purge. The result is not before the true instant of the purge, and not after
    /// now.
    pub fn convert_purge_time(&mut self, reception: Reception, made_at: UnixTime) -> Instant {
        self.observe_stamp(reception.now, made_at);
        match self.instant_from_wall_clock(reception, made_at).filter(|_| !reception.is_first) {
            Some(instant) => instant,
            None => self.instant_from_lower_bound(reception, made_at),
        }
    }

    /// Converts the time of a server's start, once for each start that the feed states. A start that was
    /// known when this process started is converted by the wall clock; otherwise every upgrade would make
    /// servers warm up again. The result for a later start is not before its true instant.
    pub fn convert_start_time(
        &mut self,
        reception: Reception,
        server: ServerId,
        stated: UnixTime,
    ) -> Instant {
        if let Some(known) = self.starts.get(&server).filter(|known| known.stated == stated) {
            return known.instant;
        }
        let instant = match self.instant_from_wall_clock(reception, stated) {
            _ if reception.is_first => instant_at_offset(reception.now, reception.wall_offset(), stated),
            Some(instant) => instant,
            None => self.instant_from_lower_bound(reception, stated),
        };
        self.starts.insert(server, ServerStart { stated, instant });
        instant
    }

    /// Removes a server that is no longer listed.
    pub fn remove(&mut self, server: ServerId) {
        self.starts.remove(&server);
    }

    /// Returns the instant by the wall clock, if that was not stepped since the start and agrees with the
    /// recorded stamps. While there is no upper bound, only instants within [`MAX_FEED_DELAY`] before now are
    /// trusted.
    fn instant_from_wall_clock(&self, reception: Reception, stamp: UnixTime) -> Option<Instant> {
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

    /// Returns an instant that is certainly not before the true one, by the lower bound of the offset.
    fn instant_from_lower_bound(&self, reception: Reception, stamp: UnixTime) -> Instant {
        // A stamp that is received now is at most the true Unix time, so it is a lower bound too.
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

/// Returns how far a Unix time is ahead of the monotonic clock.
fn offset(unix: UnixTime, now: Instant) -> Span {
    Span::from_micros(unix.as_micros().saturating_sub(now.as_micros()))
}

/// Returns the instant of a Unix time by an offset. A result after now is replaced by now, and one before the
/// clock's zero by zero.
fn instant_at_offset(now: Instant, offset: Span, unix: UnixTime) -> Instant {
    let instant = Instant::from_micros(unix.as_micros().saturating_sub(offset.as_micros()));
    instant.clamp(Instant::ZERO, now)
}

#[cfg(test)]
mod tests;
