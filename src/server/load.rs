//! What a server holds, as the simulator checks it against the limits.

use super::Server;

/// What a server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// Bytes that buffers, bodies and waiting copies hold.
    pub held_bytes: usize,
    /// Open requests.
    pub open_requests: usize,
}

impl Server {
    /// What the server holds.
    pub fn load(&self) -> ServerLoad {
        let held_bytes = self.net.held_bytes() + self.held_bytes_besides_connections();
        ServerLoad { held_bytes, open_requests: self.pending.len() }
    }
}
