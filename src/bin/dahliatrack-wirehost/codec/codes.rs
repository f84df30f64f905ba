//! The codes of record kinds and of values on the wire.

use super::error::CodecError;
use dahliatrack::{AttemptResult, CacheStatus, ListUpdate, ServerState};

/// The kind of a record in a batch.
#[derive(Clone, Copy)]
pub enum RecordCode {
    InstanceCreated,
    InstanceKilled,
    Event(EventCode),
}

/// The kind of an event.
#[derive(Clone, Copy)]
pub enum EventCode {
    AttemptEnded,
    Timer,
    Purged,
    FirstByte,
    HealthChecked,
    EndpointList,
    Request,
    PeerMessage,
    RequestCancelled,
}

pub fn record_code(code: u16) -> Result<RecordCode, CodecError> {
    Ok(RecordCode::Event(match code {
        1 => EventCode::AttemptEnded,
        2 => EventCode::Timer,
        3 => EventCode::Purged,
        4 => return Ok(RecordCode::InstanceCreated),
        5 => EventCode::FirstByte,
        6 => EventCode::HealthChecked,
        7 => EventCode::EndpointList,
        8 => return Ok(RecordCode::InstanceKilled),
        9 => EventCode::Request,
        10 => EventCode::PeerMessage,
        11 => EventCode::RequestCancelled,
        unknown => return Err(CodecError::EventCode(unknown)),
    }))
}

/// The kind of a record in a reply.
#[derive(Clone, Copy)]
#[repr(u16)]
pub enum ActionCode {
    SendCacheOnly = 1,
    Reject = 2,
    Fail = 3,
    Cancel = 4,
    Timer = 5,
    HealthCheck = 6,
    CloseIdleConnections = 7,
    SendToPeer = 8,
    Log = 9,
    Bug = 10,
    WatchEndpoints = 11,
    PollEndpoints = 12,
    SendWithFill = 13,
}

pub fn attempt_result(code: u16) -> Result<AttemptResult, CodecError> {
    Ok(match code {
        0 => AttemptResult::Error,
        1 => AttemptResult::Ok,
        2 => AttemptResult::Rejected,
        3 => AttemptResult::Timeout,
        4 => AttemptResult::ConnectFailed,
        5 => AttemptResult::Reset,
        6 => AttemptResult::Cancelled,
        7 => AttemptResult::NotSent,
        8 => AttemptResult::Miss,
        unknown => return Err(CodecError::AttemptResult(unknown)),
    })
}

/// Returns the cache status of a code; `None` if the answer states no cache status.
pub fn cache_status(code: u32) -> Result<Option<CacheStatus>, CodecError> {
    Ok(Some(match code {
        0 => return Ok(None),
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledByOrigin,
        4 => CacheStatus::Collapsed,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRejected,
        7 => CacheStatus::SourceUnreachable,
        8 => CacheStatus::SourceMiss,
        9 => CacheStatus::NoFillSlot,
        10 => CacheStatus::OriginFailed,
        unknown => return Err(CodecError::CacheStatus(unknown)),
    }))
}

pub fn list_update(code: u8) -> Result<ListUpdate, CodecError> {
    Ok(match code {
        0 => ListUpdate::Cached,
        1 => ListUpdate::Failed,
        2 => ListUpdate::Delta,
        3 => ListUpdate::Full,
        unknown => return Err(CodecError::ListUpdate(unknown)),
    })
}

pub fn server_state(code: u8) -> Result<ServerState, CodecError> {
    Ok(match code {
        1 => ServerState::Removed,
        2 => ServerState::Ready,
        3 => ServerState::Draining,
        unknown => return Err(CodecError::ServerState(unknown)),
    })
}
