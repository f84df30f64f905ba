//! The control service's clock: monotonic. The wall clock is read only to convert Unix times from other machines.
//!
//! All durations of the service (debounce, warm-up, how long a purge is announced) are measured on the monotonic
//! clock, so a step of the wall clock, by an operator or NTP, does not affect them. The decision module takes times in
//! integer microseconds since an arbitrary zero; here the zero is the Unix epoch according to the wall clock at the
//! time when the [`ServiceClock`] was created.

use crate::interface::{Instant, Span, UnixTime};
use crate::net::unix_time;
use std::sync::Arc;
use std::time::SystemTime;

/// A function that reads the wall clock. Tests pass one that they can step.
pub type WallClockReader = Arc<dyn Fn() -> SystemTime + Send + Sync>;

/// A clock that never goes back and runs at the rate of [`std::time::Instant`].
#[derive(Clone)]
pub struct ServiceClock {
    started: std::time::Instant,
    /// The monotonic time of `started`.
    start_time: Instant,
    wall: WallClockReader,
}

/// A reading of both clocks at the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// The monotonic time. All durations are measured with it.
    pub now: Instant,
    /// The wall clock's Unix time, used only to convert Unix times from other machines.
    pub unix: UnixTime,
}

impl Moment {
    /// Converts a Unix time from another machine to monotonic time, by its age on the wall clock at this moment. A
    /// time in the future becomes this moment.
    pub fn monotonic_of(&self, unix: UnixTime) -> Instant {
        self.now - self.age_of(unix)
    }

    /// Returns how long ago a Unix time was; zero for a time in the future.
    pub fn age_of(&self, unix: UnixTime) -> Span {
        (self.unix - unix).max(Span::ZERO)
    }
}

impl ServiceClock {
    /// Creates a clock from the system's monotonic and wall clocks.
    pub fn system() -> Self {
        ServiceClock::with_wall_clock(Arc::new(SystemTime::now))
    }

    /// Creates a clock that converts Unix times by the given wall clock.
    pub fn with_wall_clock(wall: WallClockReader) -> Self {
        let start_time = Instant::from_micros(unix_time(wall()).as_micros());
        ServiceClock { started: std::time::Instant::now(), start_time, wall }
    }

    /// Returns the monotonic time, in microseconds since this clock's zero (see the module).
    pub fn now(&self) -> Instant {
        self.start_time + Span::from(self.started.elapsed())
    }

    /// Reads the monotonic clock and the wall clock.
    pub fn moment(&self) -> Moment {
        Moment { now: self.now(), unix: unix_time((self.wall)()) }
    }

    /// Converts a monotonic time to the system's instant. Times before the clock was created become the instant of its
    /// creation.
    pub fn instant_at(&self, at: Instant) -> std::time::Instant {
        self.started + (at - self.start_time).to_std()
    }
}

#[cfg(test)]
mod tests;
