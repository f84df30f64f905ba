//! Reads the events for the decision module.

use super::codes::{attempt_result, cache_status, EventCode};
use super::endpoints;
use super::error::CodecError;
use super::reader::Reader;
use dahliatrack::{AttemptOutcome, ClassId, Event, GroupId, ObjectId, Purge, Request, Span};

/// Bits of the options of a request.
const OPTION_RETRY: u8 = 1 << 1;
const OPTION_WRITE: u8 = 1 << 2;
/// The object number that marks the purge of a whole group.
const NO_OBJECT: u64 = 0;

/// Reads the event of a record, after the record's code and instance.
pub fn read(code: EventCode, reader: &mut Reader) -> Result<Event, CodecError> {
    Ok(match code {
        EventCode::AttemptEnded => Event::AttemptEnded(read_outcome(reader)?),
        EventCode::Timer => Event::Timer(reader.u32()?),
        EventCode::Purged => read_purge(reader)?,
        EventCode::FirstByte => Event::FirstByte {
            request: reader.request_id()?,
            attempt: reader.u8()?,
            server: reader.server_id()?,
            elapsed: reader.span()?,
        },
        EventCode::HealthChecked => Event::HealthChecked {
            server: reader.server_id()?,
            result: attempt_result(reader.u16()?)?,
            elapsed: reader.span()?,
            load_report: read_load_report(reader)?,
        },
        EventCode::EndpointList => endpoints::read(reader)?,
        EventCode::Request => Event::Request(read_request(reader)?),
        EventCode::PeerMessage => {
            let from = reader.u16()?;
            let length = usize::from(reader.u16()?);
            Event::PeerMessage { from, bytes: reader.bytes(length)?.to_vec() }
        }
        EventCode::RequestCancelled => Event::RequestCancelled(reader.request_id()?),
    })
}

fn read_outcome(reader: &mut Reader) -> Result<AttemptOutcome, CodecError> {
    let request = reader.request_id()?;
    let result = attempt_result(reader.u16()?)?;
    let server = reader.server_id()?;
    let attempt = reader.u8()?;
    let cache_status = cache_status(reader.u32()?)?;
    let elapsed = reader.span()?;
    let finished = reader.flag()?;
    let fill_wait = reader.span()?;
    let load_report = read_load_report(reader)?;
    Ok(AttemptOutcome {
        request,
        attempt,
        server,
        result,
        cache_status,
        elapsed,
        fill_wait,
        transfer_time: Span::ZERO,
        finished,
        load_report,
    })
}

fn read_load_report(reader: &mut Reader) -> Result<Vec<f32>, CodecError> {
    let values = reader.u8()?;
    (0..values).map(|_| reader.f32()).collect()
}

fn read_purge(reader: &mut Reader) -> Result<Event, CodecError> {
    let object = reader.u64()?;
    let age = reader.span()?;
    let group = GroupId(reader.u16()?.into());
    let purge = match object {
        NO_OBJECT => Purge::Group(group),
        object => Purge::Object(ObjectId(object)),
    };
    Ok(Event::Purged { purge, age })
}

fn read_request(reader: &mut Reader) -> Result<Request, CodecError> {
    let id = reader.request_id()?;
    let class = ClassId(reader.u16()?);
    let tenant = reader.u16()?;
    let object = ObjectId(reader.u64()?);
    let client_timeout = reader.span()?;
    let size_kb = reader.f32()?.into();
    let group = GroupId(reader.f32()? as u32);
    let part = reader.f32()? as u32;
    let options = reader.u8()?;
    Ok(Request {
        id,
        class,
        tenant,
        object,
        part,
        group,
        client_timeout,
        size_kb,
        is_retry: options & OPTION_RETRY != 0,
        is_write: options & OPTION_WRITE != 0,
    })
}
