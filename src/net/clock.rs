//! The system's Unix clock, kept from going back.

use std::time::{SystemTime, UNIX_EPOCH};

/// A clock that only goes forward.
#[derive(Default)]
pub struct Clock {
    last: i64,
}

impl Clock {
    /// Unix time in microseconds; a step back of the system's clock stands still here.
    pub fn now(&mut self) -> i64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as i64);
        self.last = self.last.max(now);
        self.last
    }
}
