//! Duties: tasks that one edge proxy performs at a time. Each is a lease in the replicated log with a fencing
//! token (Gray and Cheriton 1989; tokens as in Burrows 2006).
//!
//! The holder measures a lease on its own clock, from *before* its request, and stops acting a guard time
//! before the end. The leader measures it from when it saw the grant, and allows for clock drift. Two members
//! therefore never hold the same lease at once, whatever the network does. The receiver of an act rejects a
//! fencing token lower than the highest it has seen.
//!
//! - `holder`: requests and renews leases.
//! - `grantor`: expires leases; runs on the leader.
//! - `fence`: checks fencing tokens; runs at the receiver of an act.
//!
//! These modules do no I/O: callers pass the time of a clock that never goes backwards while the process
//! runs.

mod fence;
mod grantor;
mod holder;

#[cfg(test)]
mod tests;

pub use fence::TokenFence;
pub use grantor::LeaseGrantor;
pub use holder::{HeldLease, LeaseHolder};

use crate::interface::Span;

/// The duration of leases, and the clock error that they allow for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTiming {
    /// The duration of a lease, counted from the request that was granted.
    pub duration: Span,
    /// The time before the end of a lease at which its holder stops acting under it.
    pub guard: Span,
    /// The maximum rate error of a clock, as a fraction: 0.05 means that it runs up to 5 % fast or slow.
    pub drift: f64,
}

impl LeaseTiming {
    /// Returns how long after it saw a grant the leader expires the lease. By then the lease has ended even
    /// if the leader's clock is the fastest and the holder's is the slowest.
    pub fn expiry_timeout(&self) -> Span {
        Span::from_micros_f64(
            (self.duration.as_micros_f64() * (1.0 + self.drift) / (1.0 - self.drift)).ceil(),
        )
    }

    /// Returns the time before the end at which a lease is renewed.
    fn renewal_window(&self) -> Span {
        self.duration / 3
    }

    /// Returns the pause before an unanswered proposal is repeated.
    fn retry_interval(&self) -> Span {
        (self.duration / 20).max(Span::from_micros(1))
    }
}
