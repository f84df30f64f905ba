//! Reads the event of a changed endpoint list.

use super::codes::{list_update, server_state};
use super::error::CodecError;
use super::reader::Reader;
use dahliatrack::{Endpoint, Event, Instant, ZoneId};

/// Length of one entry, in bytes.
const ENTRY_BYTES: usize = 22;

/// Reads the event. The number of entries is checked against the remaining bytes before memory is allocated.
pub fn read(reader: &mut Reader) -> Result<Event, CodecError> {
    let update = list_update(reader.u8()?)?;
    let _version = reader.u64()?;
    let entries = reader.count()?;
    let left = reader.remaining();
    if entries > left / ENTRY_BYTES {
        return Err(CodecError::ListTooLong { entries, left });
    }
    let endpoints = (0..entries).map(|_| read_endpoint(reader)).collect::<Result<_, _>>()?;
    Ok(Event::EndpointList { update, endpoints })
}

fn read_endpoint(reader: &mut Reader) -> Result<Endpoint, CodecError> {
    let started_at = reader.instant()?;
    let weight = reader.f32()?.into();
    let server = reader.server_id()?;
    let kind = reader.u16()?;
    let cell = reader.u16()?;
    let state = server_state(reader.u8()?)?;
    let zone = ZoneId(reader.u8()?.into());
    let started_at = (started_at != Instant::ZERO).then_some(started_at);
    Ok(Endpoint { server, started_at, weight, kind, cell, zone, state })
}
