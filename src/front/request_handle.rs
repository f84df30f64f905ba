//! The handle by which a front's caller names a request.

/// Names a request to the caller of a front. The caller chooses it and the front only hands it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestHandle(u64);

impl RequestHandle {
    /// The handle of a number of the caller's.
    pub const fn from_number(number: u64) -> Self {
        RequestHandle(number)
    }

    /// The caller's number.
    pub const fn number(self) -> u64 {
        self.0
    }
}
