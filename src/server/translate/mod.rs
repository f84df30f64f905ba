//! Conversion between protocol messages and types of the core.
//!
//! - `request_fields`: the fields of a Thrift request.
//! - `attempts`: an attempt in the servers' protocol, and the result of its end.
//! - `answers`: a final answer in the protocol of each front.

mod answers;
mod attempts;
mod request_fields;

pub(super) use answers::{http_answer, thrift_reply};
pub(super) use attempts::{attempt_end, wire_request};
pub(super) use request_fields::{parse_request, request_class, InvalidRequest, RequestFields};

#[cfg(test)]
mod tests;
