//! The retry budget: a fixed share of the requests, so that retries cannot sustain an overload.

/// Retries that each request adds to the budget. With more, retries keep a shared bottleneck overloaded after
/// the cause has gone.
const RETRIES_PER_REQUEST: f64 = 0.05;
/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 20.0;

/// The number of retries that may be sent now.
pub struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    pub fn full() -> Self {
        RetryBudget { retries: MAX_RETRIES }
    }

    /// Adds the share of one request.
    pub fn add_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    pub fn has_retry(&self) -> bool {
        self.retries >= 1.0
    }

    pub fn spend(&mut self) {
        self.retries -= 1.0;
    }
}
