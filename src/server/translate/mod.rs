//! Translation between messages of the wires and types of the core.
//!
//! - `request_fields`: the fields of a Thrift request.
//! - `attempts`: an attempt as the servers' wire has it, and what its end proves.
//! - `answers`: a final answer as each front's clients get it.

mod answers;
mod attempts;
mod request_fields;

pub(super) use answers::{http_answer, thrift_reply};
pub(super) use attempts::{attempt_end, wire_request};
pub(super) use request_fields::{parse_request, request_class, InvalidRequest, RequestFields};

#[cfg(test)]
mod tests;
