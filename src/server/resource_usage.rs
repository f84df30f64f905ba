//! What a server holds, as the simulator checks it against the limits.

use super::Server;

/// What a server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Bytes that buffers, bodies and waiting copies hold.
    pub held_bytes: usize,
    /// Open requests.
    pub open_requests: usize,
}

impl Server {
    /// What the server holds.
    pub fn resource_usage(&self) -> ResourceUsage {
        let held_bytes = self.net.held_bytes() + self.held_bytes_besides_connections();
        ResourceUsage { held_bytes, open_requests: self.pending.len() }
    }
}
