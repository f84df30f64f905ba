//! Sequence numbers.

/// The number by which a client tells its requests on one connection apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceId(pub i32);
