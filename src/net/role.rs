//! The purposes of connections, and the number of connections of each.

/// The purpose of a connection; it is written to the log under the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A client of the platform's Thrift protocol.
    Thrift,
    /// A client of the signed front.
    Signed,
    /// A caller of the admin endpoint.
    Admin,
    /// A table cache, a parent or the origin.
    Upstream,
    /// The control feed.
    Feed,
    /// Another member of the federation.
    Federation,
}

impl Role {
    /// Number of roles.
    pub(super) const COUNT: usize = Role::Federation as usize + 1;

    /// Whether the peer is a client.
    pub(super) fn is_client(self) -> bool {
        matches!(self, Role::Thrift | Role::Signed)
    }
}

/// Number of open connections of each role.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoleCounts([usize; Role::COUNT]);

impl RoleCounts {
    /// Returns the number of connections of a role.
    pub fn of(&self, role: Role) -> usize {
        self.0[role as usize]
    }

    /// Returns the number of connections of all roles.
    pub fn total(&self) -> usize {
        self.0.iter().sum()
    }

    /// Counts an opened connection.
    pub fn add(&mut self, role: Role) {
        self.0[role as usize] += 1;
    }

    /// Counts a closed connection.
    pub fn remove(&mut self, role: Role) {
        self.0[role as usize] -= 1;
    }
}
