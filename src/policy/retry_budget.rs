//! The budget of retries: a fixed part of the requests, so that retries cannot feed an overload.

/// Retries that each request adds to the budget: more feed a shared bottleneck past its end.
const RETRIES_PER_REQUEST: f64 = 0.05;
/// Most retries that the budget holds.
const MAX_RETRIES: f64 = 20.0;

/// How many retries may be sent.
pub struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn full() -> Self {
        RetryBudget { retries: MAX_RETRIES }
    }

    /// Adds one request's part.
    pub fn add_request(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Whether a retry is left.
    pub fn has_retry(&self) -> bool {
        self.retries >= 1.0
    }

    /// Takes one retry out.
    pub fn spend(&mut self) {
        self.retries -= 1.0;
    }
}
