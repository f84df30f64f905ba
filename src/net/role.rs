//! What connections are for, and how many there are of each.

/// What a connection is for, as its log line says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A client of the platform's protocol.
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
    /// How many roles there are.
    const COUNT: usize = Role::Federation as usize + 1;

    /// Whether the peer is a client.
    pub(super) fn is_client(self) -> bool {
        matches!(self, Role::Thrift | Role::Signed)
    }
}

/// How many connections there are of each role.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RoleCounts([usize; Role::COUNT]);

impl RoleCounts {
    /// The connections of a role.
    pub fn of(&self, role: Role) -> usize {
        self.0[role as usize]
    }

    /// The connections of all roles.
    pub fn total(&self) -> usize {
        self.0.iter().sum()
    }

    /// Counts a connection that was opened.
    pub fn add(&mut self, role: Role) {
        self.0[role as usize] += 1;
    }

    /// Counts a connection that was closed.
    pub fn remove(&mut self, role: Role) {
        self.0[role as usize] -= 1;
    }
}
