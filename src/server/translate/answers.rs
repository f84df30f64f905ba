//! Conversion of a final answer to the protocol of each front.

use crate::core::{CachedCopy, FinalAnswer};
use crate::front::signed::http::HttpAnswer;
use crate::front::thrift::codec::ThriftReply;
use crate::interface::UnixTime;

/// Returns the reply that clients of the Thrift front get.
pub(in crate::server) fn thrift_reply(answer: FinalAnswer) -> ThriftReply {
    match answer {
        FinalAnswer::Served(copy) => {
            let fields = if copy.not_modified { vec![("current", "1".to_owned())] } else { Vec::new() };
            ThriftReply::Answer { body: copy.body, fields }
        }
        FinalAnswer::Rejected { retry_after, .. } => ThriftReply::Rejected { retry_after },
        FinalAnswer::Failed { .. } | FinalAnswer::Denied => ThriftReply::Failed,
    }
}

/// Returns the answer that clients of the signed front get. `etags` are the entity tags of the client's
/// copies, and `now` is the time from which the copy's age is computed.
pub(in crate::server) fn http_answer(answer: FinalAnswer, etags: &[String], now: UnixTime) -> HttpAnswer {
    match answer {
        FinalAnswer::Served(copy) => served(copy, etags, now),
        FinalAnswer::Rejected { timed_out: true, .. } | FinalAnswer::Failed { timed_out: true } => {
            HttpAnswer::status_only(504)
        }
        FinalAnswer::Rejected { retry_after, .. } => {
            // In whole seconds, rounded up, so that a client that waits this long is never early.
            let seconds = retry_after.as_secs_rounded_up();
            HttpAnswer {
                retry_after: Some(seconds).filter(|seconds| *seconds > 0),
                ..HttpAnswer::status_only(503)
            }
        }
        FinalAnswer::Failed { timed_out: false } => HttpAnswer::status_only(502),
        FinalAnswer::Denied => HttpAnswer::status_only(403),
    }
}

fn served(copy: CachedCopy, etags: &[String], now: UnixTime) -> HttpAnswer {
    let etag = Some(copy.etag).filter(|etag| !etag.is_empty());
    let client_has_copy = copy.not_modified || etag.as_ref().is_some_and(|etag| etags.contains(etag));
    let generated_at_ms = i64::try_from(copy.generated_at_ms).ok().filter(|ms| *ms > 0);
    let age = generated_at_ms.map(|generated_at_ms| (now.as_millis() - generated_at_ms).max(0) / 1000);
    HttpAnswer {
        body: copy.body,
        etag,
        age,
        ..HttpAnswer::status_only(if client_has_copy { 304 } else { 200 })
    }
}
