//! Limits of the buffers of all connections together, so that many connections cannot exceed the memory of
//! the process although each is within its own limit.

use super::Role;

/// Number of unread bytes that each client's connection may hold, however much the others hold. Usual
/// requests are shorter.
pub const MIN_INPUT_BYTES: usize = 2 * 1024;
/// Number of unwritten bytes up to which a client's connection is read, however much the others hold.
const MIN_UNWRITTEN_BYTES: usize = 4 * 1024;

/// Limits of the buffers of all connections together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Maximum number of unread bytes of all clients of the Thrift front, apart from [`MIN_INPUT_BYTES`] on
    /// each connection.
    pub thrift_input_bytes: usize,
    /// The same for the signed front.
    pub signed_input_bytes: usize,
    /// Number of held bytes of all connections above which clients that do not take their answers are not
    /// read, since each further request of theirs adds an answer.
    pub held_bytes: usize,
}

impl Default for BufferLimits {
    /// No limits.
    fn default() -> Self {
        BufferLimits {
            thrift_input_bytes: usize::MAX,
            signed_input_bytes: usize::MAX,
            held_bytes: usize::MAX,
        }
    }
}

impl BufferLimits {
    /// Returns the number of further input bytes that all connections of a role may hold, given those that
    /// they hold now.
    pub(super) fn free_input(self, role: Role, held: usize) -> usize {
        let limit = match role {
            Role::Thrift => self.thrift_input_bytes,
            Role::Signed => self.signed_input_bytes,
            Role::Admin | Role::Upstream | Role::Feed | Role::Federation => usize::MAX,
        };
        limit.saturating_sub(held)
    }

    /// Returns the number of unwritten bytes from which on a client's connection is not read, given the bytes
    /// held by all connections; `usual` is the number below the limit.
    pub(super) fn max_unwritten(self, usual: usize, held: usize) -> usize {
        if held > self.held_bytes {
            usual.min(MIN_UNWRITTEN_BYTES)
        } else {
            usual
        }
    }
}

/// Number of unread bytes of all connections of each role.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct InputBytes([usize; Role::COUNT]);

impl InputBytes {
    /// Returns the number for a role.
    pub fn of(&self, role: Role) -> usize {
        self.0[role as usize]
    }

    /// Records that the input of a connection has changed its length.
    pub fn replace(&mut self, role: Role, before: usize, after: usize) {
        let total = &mut self.0[role as usize];
        *total = (*total + after).saturating_sub(before);
    }
}
