//! The control service's clock: monotonic, with the wall clock read only to convert Unix times that others state.
//!
//! Every span of the service (debounce, warm-up, how long a purge is announced) is taken on the monotonic clock, so
//! an operator or NTP may step the wall clock by an hour without any effect on them. The decision module wants
//! integer microseconds; the zero of that time line has no meaning, here it is the Unix epoch as the wall clock had
//! it when the clock was made.

use crate::interface::{Instant, Span, UnixTime};
use crate::net::unix_time;
use std::sync::Arc;
use std::time::SystemTime;

/// Reads the wall clock; tests pass one that they can step.
pub type WallClockReader = Arc<dyn Fn() -> SystemTime + Send + Sync>;

/// A clock whose time only goes forward, at the rate of [`std::time::Instant`].
#[derive(Clone)]
pub struct ServiceClock {
    started: std::time::Instant,
    /// The monotonic time of `started`.
    start_time: Instant,
    wall: WallClockReader,
}

/// One moment on both time lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Monotonic time: the only one for spans.
    pub now: Instant,
    /// The wall clock's Unix time: only to convert Unix times that others state.
    pub unix: UnixTime,
}

impl Moment {
    /// The monotonic time of a Unix time that was stated by another machine: as long ago as the wall clock
    /// says at this moment. A time in the future counts as this moment.
    pub fn monotonic_of(&self, unix: UnixTime) -> Instant {
        self.now - self.age_of(unix)
    }

    /// How long ago a Unix time was; zero for one in the future.
    pub fn age_of(&self, unix: UnixTime) -> Span {
        (self.unix - unix).max(Span::ZERO)
    }
}

impl ServiceClock {
    /// A clock by the system's monotonic and wall clocks.
    pub fn system() -> Self {
        ServiceClock::with_wall_clock(Arc::new(SystemTime::now))
    }

    /// A clock that converts Unix times by another wall clock.
    pub fn with_wall_clock(wall: WallClockReader) -> Self {
        let start_time = Instant::from_micros(unix_time(wall()).as_micros());
        ServiceClock { started: std::time::Instant::now(), start_time, wall }
    }

    /// Monotonic time.
    pub fn now(&self) -> Instant {
        self.start_time + Span::from(self.started.elapsed())
    }

    /// The present moment on both time lines.
    pub fn moment(&self) -> Moment {
        Moment { now: self.now(), unix: unix_time((self.wall)()) }
    }

    /// The system's instant of a monotonic time; times before the clock was made are that instant.
    pub fn instant_at(&self, at: Instant) -> std::time::Instant {
        self.started + (at - self.start_time).to_std()
    }
}

#[cfg(test)]
mod tests;
