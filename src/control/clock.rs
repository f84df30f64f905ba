//! The control service's clock: monotonic, with the wall clock read only to convert Unix times that others state.
//!
//! Every span of the service (debounce, warm-up, how long a purge is announced) is taken on the monotonic clock, so
//! an operator or NTP may step the wall clock by an hour without any effect on them. The decision module wants
//! integer microseconds; the zero of that time line has no meaning, here it is the Unix epoch as the wall clock had
//! it when the clock was made.

use crate::interface::{Instant, Span};
use crate::net::unix_micros;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Reads the wall clock; tests pass one that they can step.
pub type WallClock = Arc<dyn Fn() -> SystemTime + Send + Sync>;

/// A clock whose time only goes forward, at the rate of [`Instant`].
#[derive(Clone)]
pub struct Clock {
    started: Instant,
    /// The monotonic time of `started`, us.
    origin: Span,
    wall: WallClock,
}

/// One moment on both time lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time, us: the only one for spans.
    pub now: Instant,
    /// The wall clock's Unix time, us: only to convert Unix times that others state.
    pub unix: Span,
}

impl Moment {
    /// The monotonic time, us, of a Unix time, us, that was stated by another machine: as long ago as the wall clock
    /// says at this moment. A time in the future counts as this moment.
    pub fn monotonic_of(&self, unix: Span) -> Span {
        self.now - self.age_of(unix)
    }

    /// How long ago a Unix time was, us; 0 for one in the future.
    pub fn age_of(&self, unix: Span) -> Span {
        (self.unix - unix).max(0)
    }
}

impl Clock {
    /// A clock by the system's monotonic and wall clocks.
    pub fn system() -> Self {
        Clock::with_wall_clock(Arc::new(SystemTime::now))
    }

    /// A clock that converts Unix times by another wall clock.
    pub fn with_wall_clock(wall: WallClock) -> Self {
        let origin = unix_micros(wall());
        Clock { started: Instant::now(), origin, wall }
    }

    /// Monotonic time, us.
    pub fn now(&self) -> Span {
        self.origin + self.started.elapsed().as_micros() as Span
    }

    /// The present moment on both time lines.
    pub fn moment(&self) -> Moment {
        Moment { now: self.now(), unix: unix_micros((self.wall)()) }
    }

    /// The instant of a monotonic time, us; times before the clock was made are that instant.
    pub fn instant_at(&self, at: Instant) -> Instant {
        let since_start = (at - self.origin).max(0) as u64;
        self.started + Duration::from_micros(since_start)
    }
}

#[cfg(test)]
mod tests;
