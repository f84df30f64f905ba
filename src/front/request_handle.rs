//! The handle by which a front's caller identifies a request.

/// Identifies a request to the caller of a front. The caller chooses it, and the front only returns it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestHandle(u64);

impl RequestHandle {
    /// Creates a handle from a number that the caller chooses.
    pub const fn from_number(number: u64) -> Self {
        RequestHandle(number)
    }

    /// Returns the number that the caller chose.
    pub const fn number(self) -> u64 {
        self.0
    }
}
