//! The system's Unix clock, kept from going back.

use std::time::{SystemTime, UNIX_EPOCH};

use super::fabric::Fabric;

/// A clock that only goes forward.
#[derive(Default)]
pub struct Clock {
    last: i64,
    /// The simulated network whose time it tells, in place of the system's.
    fabric: Option<Fabric>,
}

impl Clock {
    /// The clock of a simulated network.
    pub fn of(fabric: &Fabric) -> Self {
        Clock { last: 0, fabric: Some(fabric.clone()) }
    }

    /// Unix time in microseconds; a step back of the system's clock stands still here.
    pub fn now(&mut self) -> i64 {
        if let Some(fabric) = &self.fabric {
            return fabric.now();
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as i64);
        self.last = self.last.max(now);
        self.last
    }
}
