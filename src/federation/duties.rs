//! Duties that one edge proxy performs at a time, as leases in the replicated log with fencing tokens (Gray and
//! Cheriton 1989; tokens as in Burrows 2006).
//!
//! The holder times a lease from *before* its request, on its own clock, and stops a guard time early; the leader times
//! it from when it saw the grant, and allows for clock drift. So two members never hold one lease at once, whatever the
//! network does. The receiver of an act rejects a fencing token lower than the highest it has seen.
//!
//! - `holder`: requests and renews leases.
//! - `grantor`: expires leases, on the leader.
//! - `fence`: checks fencing tokens, at the receiver of an act.
//!
//! No I/O: callers pass the time of a clock that never goes back while the process runs.

mod fence;
mod grantor;
mod holder;

#[cfg(test)]
mod tests;

pub use fence::TokenFence;
pub use grantor::LeaseGrantor;
pub use holder::{HeldLease, LeaseHolder};

use crate::interface::Span;

/// The duration of leases and the error that clocks are allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseTiming {
    /// How long a lease lasts.
    pub duration: Span,
    /// How long before the end its holder stops acting under it.
    pub guard: Span,
    /// The maximum rate error of a clock, as a fraction.
    pub drift: f64,
}

impl LeaseTiming {
    /// How long the leader waits after it saw a lease granted until it expires the lease: by then the lease is over
    /// even on the slowest holder's clock, measured by the fastest leader's.
    pub fn expiry_timeout(&self) -> Span {
        Span::from_micros_f64(
            (self.duration.as_micros_f64() * (1.0 + self.drift) / (1.0 - self.drift)).ceil(),
        )
    }

    /// How long before its end a lease is renewed.
    fn renewal_window(&self) -> Span {
        self.duration / 3
    }

    /// The pause before an unanswered proposal is retried.
    fn retry_interval(&self) -> Span {
        (self.duration / 20).max(Span::from_micros(1))
    }
}
