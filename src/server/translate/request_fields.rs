//! The fields of a request of the Thrift front. Fields of other names are ignored.

use crate::config::settings::ProgramSettings;
use crate::interface::{ClassId, GroupId, ObjectId, Span};
use crate::upstream::line_protocol::IdempotencyKey;
use std::collections::BTreeMap;
use std::str::FromStr;

/// The longest accepted client time-out, as a multiple of the class's longest client deadline.
const MAX_TIMEOUT_MULTIPLE: i64 = 2;
/// The shortest accepted client time-out.
const MIN_TIMEOUT: Span = Span::from_micros(1);
/// The number of object groups.
const GROUPS: u32 = 256;
/// Digits of a trace id and of an object's name.
const HEX_DIGITS: usize = 16;

/// Names of the fields on the wire.
mod field {
    pub const CLASS: &str = "route";
    pub const TRACE_ID: &str = "trace";
    pub const OBJECT: &str = "entity";
    pub const TIMEOUT_MS: &str = "patience";
    pub const GROUP: &str = "set";
    pub const PART: &str = "slice";
    pub const ETAG: &str = "seen";
    pub const IDEMPOTENCY_KEY: &str = "nonce";
}

/// Why a request is rejected as invalid; the text is the client's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(in crate::server) enum InvalidRequest {
    /// A required field is absent.
    #[error("{0} is missing")]
    MissingField(&'static str),
    /// A field is no number, or outside its range.
    #[error("{0} is no number of its range")]
    OutOfRange(&'static str),
    /// A field is not the hex form of 64 bits.
    #[error("{0} is not 16 hex digits")]
    NotHex(&'static str),
    /// No class has this name.
    #[error("route is unknown")]
    UnknownClass,
    /// The idempotency key could not be sent on unchanged.
    #[error("nonce is no plain word")]
    InvalidIdempotencyKey,
    /// The body is longer than a request's body may be.
    #[error("the body is too long")]
    BodyTooLong,
    /// An open request has this trace id.
    #[error("trace is another's")]
    TraceIdInUse,
}

/// The fields of a client's request.
#[derive(Debug, PartialEq, Eq)]
pub(in crate::server) struct RequestFields {
    /// The class.
    pub class: ClassId,
    /// The object.
    pub object: ObjectId,
    /// The part of the object.
    pub part: u32,
    /// The object's group.
    pub group: GroupId,
    /// How long the client waits, from when it sent the request.
    pub client_timeout: Span,
    /// The request's id on every wire.
    pub trace_id: String,
    /// The object's name on the wire.
    pub object_name: String,
    /// The entity tag of the client's copy.
    pub etag: Option<String>,
    /// The key by which servers recognize a repeat.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The class that a request names, even if the request is invalid otherwise.
pub(in crate::server) fn request_class(
    fields: &BTreeMap<String, String>,
    settings: &ProgramSettings,
) -> Option<ClassId> {
    settings.class(fields.get(field::CLASS)?)
}

/// Parses the fields of a request.
pub(in crate::server) fn parse_request(
    fields: &BTreeMap<String, String>,
    settings: &ProgramSettings,
) -> Result<RequestFields, InvalidRequest> {
    required(fields, field::CLASS)?;
    let class = request_class(fields, settings).ok_or(InvalidRequest::UnknownClass)?;
    let (trace_id, _) = hex(fields, field::TRACE_ID)?;
    let (object_name, object) = hex(fields, field::OBJECT)?;
    let client_timeout = client_timeout(fields, class, settings)?;
    let group = optional_number(fields, field::GROUP)?;
    if group >= GROUPS {
        return Err(InvalidRequest::OutOfRange(field::GROUP));
    }
    let parse_key = |word| IdempotencyKey::parse(word).ok_or(InvalidRequest::InvalidIdempotencyKey);
    let idempotency_key = optional(fields, field::IDEMPOTENCY_KEY).map(parse_key).transpose()?;
    Ok(RequestFields {
        class,
        object: ObjectId(object),
        part: optional_number(fields, field::PART)?,
        group: GroupId(group),
        client_timeout,
        trace_id: trace_id.to_owned(),
        object_name: object_name.to_owned(),
        etag: optional(fields, field::ETAG).map(str::to_owned),
        idempotency_key,
    })
}

fn optional<'a>(fields: &'a BTreeMap<String, String>, name: &'static str) -> Option<&'a str> {
    fields.get(name).map(String::as_str)
}

fn required<'a>(fields: &'a BTreeMap<String, String>, name: &'static str) -> Result<&'a str, InvalidRequest> {
    optional(fields, name).ok_or(InvalidRequest::MissingField(name))
}

fn number<T: FromStr>(name: &'static str, value: &str) -> Result<T, InvalidRequest> {
    value.parse().map_err(|_| InvalidRequest::OutOfRange(name))
}

/// A number that is 0 where the field is absent.
fn optional_number(fields: &BTreeMap<String, String>, name: &'static str) -> Result<u32, InvalidRequest> {
    optional(fields, name).map_or(Ok(0), |value| number(name, value))
}

/// A field that is sent on to another wire unchanged, and so must be nothing but hex digits.
fn hex<'a>(
    fields: &'a BTreeMap<String, String>,
    name: &'static str,
) -> Result<(&'a str, u64), InvalidRequest> {
    let value = required(fields, name)?;
    let is_hex = value.len() == HEX_DIGITS && value.bytes().all(|byte| byte.is_ascii_hexdigit());
    let number = u64::from_str_radix(value, 16).ok().filter(|_| is_hex);
    Ok((value, number.ok_or(InvalidRequest::NotHex(name))?))
}

fn client_timeout(
    fields: &BTreeMap<String, String>,
    class: ClassId,
    settings: &ProgramSettings,
) -> Result<Span, InvalidRequest> {
    let timeout_ms: i64 = number(field::TIMEOUT_MS, required(fields, field::TIMEOUT_MS)?)?;
    let timeout = Span::from_micros(timeout_ms.checked_mul(1000).unwrap_or(0));
    let deadline = settings.class_info(class).map(|class| class.client_deadline);
    let max = deadline.map_or(Span::ZERO, |deadline| MAX_TIMEOUT_MULTIPLE * deadline);
    if !(MIN_TIMEOUT..=max).contains(&timeout) {
        return Err(InvalidRequest::OutOfRange(field::TIMEOUT_MS));
    }
    Ok(timeout)
}
