//! The two clocks of a process. Every span (deadline, window, backoff, idle time) runs on the monotonic [`Clock`];
//! the [`WallClock`] may be stepped at any time and is read only where a protocol states Unix time.

use super::fabric::Fabric;
use crate::interface::{Instant, Span, UnixTime};
use std::time::{SystemTime, UNIX_EPOCH};

/// The time on the monotonic clock at the start of a process: no Unix time, and far enough from zero that the zero
/// instant is long ago for every span.
const START: Instant = Instant::from_micros(1 << 49);

/// The monotonic clock: it is not affected by steps of the wall clock, and each process has a zero of its own.
pub struct Clock {
    started: std::time::Instant,
    /// The simulated network that has the time, in place of the system.
    fabric: Option<Fabric>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { started: std::time::Instant::now(), fabric: None }
    }
}

impl Clock {
    /// The clock of a simulated network.
    pub fn simulated(fabric: &Fabric) -> Self {
        Clock { fabric: Some(fabric.clone()), ..Clock::default() }
    }

    /// The time now.
    pub fn now(&self) -> Instant {
        match &self.fabric {
            Some(fabric) => fabric.process_time(),
            None => START.saturating_add(Span::from(self.started.elapsed())),
        }
    }
}

/// The wall clock: the system's Unix time. It may be stepped forward or back, so the difference of two readings is no
/// span.
#[derive(Clone, Default)]
pub struct WallClock {
    fabric: Option<Fabric>,
}

impl WallClock {
    /// The wall clock of a simulated network's processes.
    pub fn simulated(fabric: &Fabric) -> Self {
        WallClock { fabric: Some(fabric.clone()) }
    }

    /// Unix time.
    pub fn now(&self) -> UnixTime {
        match &self.fabric {
            Some(fabric) => fabric.wall_time(),
            None => unix_time(SystemTime::now()),
        }
    }
}

/// A system time as Unix time; one before 1970 counts as 0.
pub fn unix_time(time: SystemTime) -> UnixTime {
    let since = time.duration_since(UNIX_EPOCH);
    since.map_or(UnixTime::EPOCH, |since| UnixTime::from_micros(since.as_micros() as i64))
}

#[cfg(test)]
mod tests;
