//! The fields of a request of the Thrift front. Fields with other names are ignored.

use crate::config::settings::ProgramSettings;
use crate::interface::{ClassId, GroupId, ObjectId, Span};
use crate::upstream::line_protocol::IdempotencyKey;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Maximum time-out of a client, as a multiple of its class's client deadline.
const MAX_TIMEOUT_MULTIPLE: i64 = 2;
/// Minimum time-out of a client.
const MIN_TIMEOUT: Span = Span::from_micros(1);
/// Number of object groups; groups are numbered from 0.
const GROUPS: u32 = 256;
/// Number of hex digits of a trace id and of an object's name.
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

/// Why a request is rejected as invalid. The text is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(in crate::server) enum InvalidRequest {
    /// A required field is absent.
    #[error("{0} is missing")]
    MissingField(&'static str),
    /// A field is not a number, or is outside its range.
    #[error("{0} is no number of its range")]
    OutOfRange(&'static str),
    /// A field is not 64 bits in hex form.
    #[error("{0} is not 16 hex digits")]
    NotHex(&'static str),
    /// No class has this name.
    #[error("route is unknown")]
    UnknownClass,
    /// The idempotency key could not be forwarded unchanged.
    #[error("nonce is no plain word")]
    InvalidIdempotencyKey,
    /// The body exceeds the maximum length of a request's body.
    #[error("the body is too long")]
    BodyTooLong,
    /// An open request has the same trace id, or one that must not run twice was forwarded under it.
    #[error("trace is another's")]
    TraceIdInUse,
}

/// The fields of a client's request.
#[derive(Debug, PartialEq, Eq)]
pub(in crate::server) struct RequestFields {
    pub class: ClassId,
    pub object: ObjectId,
    /// Number of the requested part of the object; 0 if the client names none.
    pub part: u32,
    /// The object's group; 0 if the client names none.
    pub group: GroupId,
    /// How long the client waits, counted from when it sent the request.
    pub client_timeout: Span,
    /// The request's id in all protocols.
    pub trace_id: String,
    /// The object's name on the wire, in hex.
    pub object_name: String,
    /// Entity tag of the copy that the client has.
    pub etag: Option<String>,
    /// The key by which servers recognize a repeated request.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Returns the class that a request names, even if the request is invalid otherwise. `None` if it names no
/// class that is defined.
pub(in crate::server) fn request_class(
    fields: &BTreeMap<String, String>,
    settings: &ProgramSettings,
) -> Option<ClassId> {
    settings.class(fields.get(field::CLASS)?)
}

/// Parses and checks the fields of a request.
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

/// Parses a numeric field; 0 if it is absent.
fn optional_number(fields: &BTreeMap<String, String>, name: &'static str) -> Result<u32, InvalidRequest> {
    optional(fields, name).map_or(Ok(0), |value| number(name, value))
}

/// Parses a field of hex digits. It is forwarded to servers unchanged, so it must consist of nothing else.
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
