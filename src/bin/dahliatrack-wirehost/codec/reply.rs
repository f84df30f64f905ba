//! Writes a reply: the actions of the instances that a batch had events for.

use super::codes::ActionCode;
use super::InstanceId;
use dahliatrack::{Action, FillAttempt, Span};

/// Length of a reply's header in bytes. The header is the length of the frame, including itself.
const HEADER_BYTES: usize = 4;
/// The peer number that stands for all peers.
const EVERY_PEER: u32 = u32::MAX;

/// Bits of the mode byte of an attempt with a fill.
const MODE_JOIN_FILL: u8 = 1;
const MODE_ONLY_IF_CACHED: u8 = 1 << 1;
const MODE_BYPASS_PARENT_CACHE: u8 = 1 << 2;
const MODE_STALE_WHILE_REVALIDATE: u8 = 1 << 3;

/// A reply that is being written.
pub struct Reply(Vec<u8>);

impl Default for Reply {
    fn default() -> Self {
        Reply(vec![0; HEADER_BYTES])
    }
}

impl Reply {
    /// Writes the length into the header and returns the frame.
    pub fn finish(mut self) -> Vec<u8> {
        let length = self.0.len() as u32;
        self.0[..HEADER_BYTES].copy_from_slice(&length.to_le_bytes());
        self.0
    }

    /// Appends a record that reports a panic in an instance's decision code.
    pub fn bug(&mut self, instance: InstanceId, line: &str) {
        self.record(ActionCode::Bug, instance).text(line.as_bytes());
    }

    /// Appends an instance's action.
    pub fn action(&mut self, instance: InstanceId, action: &Action) {
        let record = self.record(action_code(action), instance);
        match action {
            Action::SendCacheOnly { request, server, timeout } => {
                record.u64(request.0).span(*timeout).u32(server.0)
            }
            Action::Reject { request, retry_after, .. } => record.u64(request.0).span(*retry_after),
            Action::Fail(request) => record.u64(request.0),
            Action::Cancel { request, attempt } => record.u64(request.0).u8(*attempt),
            Action::Timer { token, after } => record.u32(*token).span(*after),
            Action::HealthCheck(server) | Action::CloseIdleConnections(server) => record.u32(server.0),
            Action::SendToPeer { to, bytes } => record.u32(to.map_or(EVERY_PEER, u32::from)).text(bytes),
            Action::Log(line) => record.text(line.as_bytes()),
            Action::WatchEndpoints(on) => record.u8((*on).into()),
            Action::PollEndpoints => record,
            Action::SendWithFill(attempt) => record.fill_attempt(attempt),
        };
    }

    fn fill_attempt(&mut self, attempt: &FillAttempt) -> &mut Self {
        self.u64(attempt.request.0).u32(attempt.server.0).span(attempt.timeout);
        self.u32(attempt.source.0).u8(attempt.cache_rank).span(attempt.max_age).u8(mode(attempt))
    }

    /// Begins a record; its fields follow.
    fn record(&mut self, code: ActionCode, instance: InstanceId) -> &mut Self {
        self.0.extend((code as u16).to_le_bytes());
        self.u32(instance.0)
    }

    fn u8(&mut self, value: u8) -> &mut Self {
        self.0.push(value);
        self
    }

    fn u32(&mut self, value: u32) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn u64(&mut self, value: u64) -> &mut Self {
        self.0.extend(value.to_le_bytes());
        self
    }

    fn span(&mut self, value: Span) -> &mut Self {
        self.0.extend(value.as_millis_f64().to_le_bytes());
        self
    }

    /// Appends the number of bytes in 2 bytes, then the bytes. More than 65,535 bytes are cut off.
    fn text(&mut self, bytes: &[u8]) -> &mut Self {
        let bytes = &bytes[..bytes.len().min(u16::MAX.into())];
        self.0.extend((bytes.len() as u16).to_le_bytes());
        self.0.extend(bytes);
        self
    }
}

fn action_code(action: &Action) -> ActionCode {
    match action {
        Action::SendCacheOnly { .. } => ActionCode::SendCacheOnly,
        Action::Reject { .. } => ActionCode::Reject,
        Action::Fail(_) => ActionCode::Fail,
        Action::Cancel { .. } => ActionCode::Cancel,
        Action::Timer { .. } => ActionCode::Timer,
        Action::HealthCheck(_) => ActionCode::HealthCheck,
        Action::CloseIdleConnections(_) => ActionCode::CloseIdleConnections,
        Action::SendToPeer { .. } => ActionCode::SendToPeer,
        Action::Log(_) => ActionCode::Log,
        Action::WatchEndpoints(_) => ActionCode::WatchEndpoints,
        Action::PollEndpoints => ActionCode::PollEndpoints,
        Action::SendWithFill(_) => ActionCode::SendWithFill,
    }
}

fn mode(attempt: &FillAttempt) -> u8 {
    let options = [
        (attempt.join_fill, MODE_JOIN_FILL),
        (attempt.only_if_cached, MODE_ONLY_IF_CACHED),
        (attempt.bypass_parent_cache, MODE_BYPASS_PARENT_CACHE),
        (attempt.stale_while_revalidate, MODE_STALE_WHILE_REVALIDATE),
    ];
    options.into_iter().filter(|(on, _)| *on).map(|(_, bit)| bit).sum()
}
