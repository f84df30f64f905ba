//! The resources that a server uses, which the simulator checks against the limits.

use super::Server;

/// The resources that a server uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Bytes held in buffers, bodies and copies that wait to be sent.
    pub held_bytes: usize,
    /// Number of requests whose answer has not begun.
    pub open_requests: usize,
}

impl Server {
    /// Returns the resources that the server uses now.
    pub fn resource_usage(&self) -> ResourceUsage {
        let held_bytes = self.net.held_bytes() + self.held_bytes_besides_connections();
        ResourceUsage { held_bytes, open_requests: self.pending.len() }
    }
}
