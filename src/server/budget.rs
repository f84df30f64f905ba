//! Divides the configured limits on memory and descriptors among their uses.

use crate::config::settings::ProgramSettings;
use crate::config::ProcessLimits;
use crate::net::BufferLimits;
use crate::upstream::PoolLimits;

/// Number of descriptors besides those of clients' and servers' connections: listeners, poll, signals,
/// standard streams, feed.
pub(super) const OTHER_DESCRIPTORS: usize = 24;
/// Clients normally hold up to a third of the descriptors. One in this many of the remaining ones is for
/// additional connections, which may stay silent until one of them is evicted for a new one.
const SPARE_CLIENTS_DIVISOR: usize = 4;
/// Bytes per megabyte of the `memory_mb` limit.
const BYTES_PER_MB: f64 = 1e6;
/// Fraction of the memory above which new requests of slow readers are rejected, so that their answers do not
/// use up the memory for other clients.
const SLOW_READERS_REJECTED_ABOVE: f64 = 0.25;
/// Fraction of the memory above which all new requests are rejected.
const ALL_REJECTED_ABOVE: f64 = 0.32;
/// Fraction of the memory above which no answer is buffered.
const ANSWERS_DROPPED_ABOVE: f64 = 0.4;
/// Fraction of the memory for unread input of the Thrift front's clients.
const THRIFT_INPUT_FRACTION: f64 = 0.1;
/// Fraction of the memory for unread input of the signed front's clients.
const SIGNED_INPUT_FRACTION: f64 = 0.04;
/// Least number of bytes for unread input of the clients of a front: some of the longest requests.
const MIN_FRONT_INPUT_BYTES: usize = 512 * 1024;
/// A client is a slow reader while at least this many bytes of answers are queued for it: the size of the
/// longest answer.
const SLOW_READER_BYTES: usize = 240_000;

/// Shares of the limits, by use.
pub(super) struct ResourceBudget {
    /// Maximum number of clients' connections, including those that have sent no request yet.
    pub max_client_connections: usize,
    /// Maximum number of connections to servers.
    pub max_server_connections: usize,
    /// Number of held bytes above which new requests of slow readers are rejected.
    max_bytes_for_slow_readers: usize,
    /// Number of held bytes above which all new requests are rejected.
    max_bytes_for_requests: usize,
    /// Number of held bytes above which no answer is buffered.
    max_bytes_for_answers: usize,
    /// Maximum number of unread bytes of the Thrift front's clients.
    max_thrift_input_bytes: usize,
    /// Maximum number of unread bytes of the signed front's clients.
    max_signed_input_bytes: usize,
}

impl ResourceBudget {
    /// Returns the budget of one of `processes` processes that serve as one edge proxy. Clients' connections
    /// of all processes count against one limit, since the system decides which process gets them. Everything
    /// else is divided.
    pub fn new(limits: &ProcessLimits, processes: usize) -> Self {
        let memory = limits.memory_mb as f64 * BYTES_PER_MB / processes as f64;
        let sockets = limits.sockets.saturating_sub(OTHER_DESCRIPTORS * processes);
        let usual_clients = limits.sockets.div_ceil(3).min(sockets / 2 + 1);
        let clients = usual_clients + (sockets - usual_clients) / SPARE_CLIENTS_DIVISOR;
        ResourceBudget {
            max_client_connections: clients,
            max_server_connections: sockets.saturating_sub(clients) / processes,
            max_bytes_for_slow_readers: (memory * SLOW_READERS_REJECTED_ABOVE) as usize,
            max_bytes_for_requests: (memory * ALL_REJECTED_ABOVE) as usize,
            max_bytes_for_answers: (memory * ANSWERS_DROPPED_ABOVE) as usize,
            max_thrift_input_bytes: ((memory * THRIFT_INPUT_FRACTION) as usize).max(MIN_FRONT_INPUT_BYTES),
            max_signed_input_bytes: ((memory * SIGNED_INPUT_FRACTION) as usize).max(MIN_FRONT_INPUT_BYTES),
        }
    }

    /// Whether a new request is rejected, given the bytes held in total and those queued for its client.
    pub fn is_full(&self, held_bytes: usize, bytes_for_client: usize) -> bool {
        let is_slow_reader = bytes_for_client >= SLOW_READER_BYTES;
        let max = if is_slow_reader { self.max_bytes_for_slow_readers } else { self.max_bytes_for_requests };
        held_bytes > max
    }

    /// Returns the limits of the buffers of all connections together.
    pub fn buffer_limits(&self) -> BufferLimits {
        BufferLimits {
            thrift_input_bytes: self.max_thrift_input_bytes,
            signed_input_bytes: self.max_signed_input_bytes,
            held_bytes: self.max_bytes_for_answers,
        }
    }

    /// Returns the limits of the connections to servers.
    pub fn pool_limits(&self, settings: &ProgramSettings) -> PoolLimits {
        PoolLimits {
            connect_timeout: settings.connect_timeout,
            idle_timeout: settings.connection_idle_timeout,
            max_jobs_per_connection: settings.max_streams_per_connection,
            max_connections: self.max_server_connections,
            max_buffered_bytes: self.max_bytes_for_answers,
        }
    }
}

#[cfg(test)]
mod tests;
