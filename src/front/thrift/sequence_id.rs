//! Sequence numbers of calls.

/// The number by which a client distinguishes its calls on one connection; replies repeat it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceId(pub i32);
