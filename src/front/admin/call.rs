//! Parsing of the calls to the admin endpoint.

use crate::front::http::{self, HeadError};
use bytes::BytesMut;

/// A call to the admin endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminCall {
    /// `/healthcheck`: whether this process takes clients.
    Healthcheck,
    /// `/stats`: the metrics.
    Stats,
    /// `/federation`: the state of the federation, as JSON.
    Federation,
}

/// Removes the call from the input; `None` if its head is not complete.
///
/// # Errors
///
/// The request is not a call; the error is the HTTP status of the answer.
pub(super) fn take_call(input: &mut BytesMut) -> Result<Option<AdminCall>, u16> {
    let read = http::take_head(input, |head| {
        if head.method != Some("GET") {
            return Err(HeadError::Method { keep_alive: false });
        }
        http::check_no_body(head)?;
        let path = head.path.unwrap_or_default();
        Ok(match path.split_once('?').map_or(path, |(path, _)| path) {
            "/healthcheck" => Some(AdminCall::Healthcheck),
            "/stats" => Some(AdminCall::Stats),
            "/federation" => Some(AdminCall::Federation),
            _ => None,
        })
    });
    match read {
        Ok(None) => Ok(None),
        Ok(Some(Some(call))) => Ok(Some(call)),
        Ok(Some(None)) => Err(404),
        Err(HeadError::Method { .. }) => Err(405),
        Err(HeadError::Syntax | HeadError::Body) => Err(400),
        Err(HeadError::Oversize) => Err(431),
    }
}

#[cfg(test)]
mod tests;
