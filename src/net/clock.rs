//! The two clocks of a process. All deadlines, windows, backoffs and idle times are measured on the monotonic
//! [`Clock`]. The [`WallClock`] may be stepped at any time, so it is read only where a protocol uses Unix
//! time.

use super::fabric::Fabric;
use crate::interface::{Instant, Span, UnixTime};
use std::time::{SystemTime, UNIX_EPOCH};

/// Time on the monotonic clock when a process starts. It is no Unix time, and it is so far from zero that the
/// zero instant lies further back than any span that the program measures.
const START: Instant = Instant::from_micros(1 << 49);

/// The monotonic clock. Steps of the wall clock do not affect it, and its zero differs from process to
/// process.
pub struct Clock {
    started: std::time::Instant,
    /// The simulated network whose time is used instead of the system's.
    fabric: Option<Fabric>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { started: std::time::Instant::now(), fabric: None }
    }
}

impl Clock {
    /// Creates the monotonic clock of the processes in a simulated network.
    pub fn simulated(fabric: &Fabric) -> Self {
        Clock { fabric: Some(fabric.clone()), ..Clock::default() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Instant {
        match &self.fabric {
            Some(fabric) => fabric.process_time(),
            None => START.saturating_add(Span::from(self.started.elapsed())),
        }
    }
}

/// The system's Unix time. It may be stepped forward or back, so the difference of two readings is not the
/// time that has passed between them.
#[derive(Clone, Default)]
pub struct WallClock {
    fabric: Option<Fabric>,
}

impl WallClock {
    /// Creates the wall clock of the processes in a simulated network.
    pub fn simulated(fabric: &Fabric) -> Self {
        WallClock { fabric: Some(fabric.clone()) }
    }

    /// Returns the current Unix time.
    pub fn now(&self) -> UnixTime {
        match &self.fabric {
            Some(fabric) => fabric.wall_time(),
            None => unix_time(SystemTime::now()),
        }
    }
}

/// Converts a system time to Unix time; times before 1970 become 0.
pub fn unix_time(time: SystemTime) -> UnixTime {
    let since = time.duration_since(UNIX_EPOCH);
    since.map_or(UnixTime::EPOCH, |since| UnixTime::from_micros(since.as_micros() as i64))
}

#[cfg(test)]
mod tests;
