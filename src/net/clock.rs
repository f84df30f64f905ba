//! The two clocks of a process. Every span (deadline, window, backoff, idle time) runs on the monotonic [`Clock`];
//! the [`WallClock`] may be stepped at any time and is read only where a page states Unix time.

use super::fabric::Fabric;
use crate::interface::{Instant, Span};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// What the monotonic clock reads at the start of a process, us. The figure means nothing, but it is no Unix time, and
/// a time of 0 is long ago for every span.
const FIRST: Span = 1 << 49;

/// The monotonic clock: it runs on whatever happens to the wall clock, and each process has a zero of its own.
pub struct Clock {
    started: Instant,
    /// The simulated network whose time it tells, in place of the system's.
    fabric: Option<Fabric>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { started: Instant::now(), fabric: None }
    }
}

impl Clock {
    /// The clock of a simulated network.
    pub fn of(fabric: &Fabric) -> Self {
        Clock { fabric: Some(fabric.clone()), ..Clock::default() }
    }

    /// The time now, us.
    pub fn now(&self) -> Span {
        match &self.fabric {
            Some(fabric) => fabric.process_time(),
            None => {
                FIRST + Micros::try_from(self.started.elapsed().as_micros()).unwrap_or(Micros::MAX - FIRST)
            }
        }
    }
}

/// The wall clock: Unix time as the system has it now. It may be stepped forward or back, so the difference of two
/// readings is no span.
#[derive(Clone, Default)]
pub struct WallClock {
    fabric: Option<Fabric>,
}

impl WallClock {
    /// The wall clock of a simulated network's processes.
    pub fn of(fabric: &Fabric) -> Self {
        WallClock { fabric: Some(fabric.clone()) }
    }

    /// Unix time, us.
    pub fn now(&self) -> Span {
        match &self.fabric {
            Some(fabric) => fabric.wall_time(),
            None => unix_micros(SystemTime::now()),
        }
    }
}

/// A system time as Unix time, us; one before 1970 counts as 0.
pub fn unix_micros(time: SystemTime) -> Span {
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Span)
}

#[cfg(test)]
mod tests;
