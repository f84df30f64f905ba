//! Conversion of an attempt to the servers' protocol, and of its end to a result for the core.

use crate::config::settings::ProgramSettings;
use crate::core::{AttemptEnd, CachedCopy, OutgoingAttempt};
use crate::interface::{AttemptResult, CacheStatus, Span};
use crate::server::pending::PendingRequest;
use crate::upstream::line_protocol::{WireAnswer, WireRequest};
use crate::upstream::JobEnd;

/// Returns an attempt as a request of the servers' protocol.
pub(in crate::server) fn wire_request(
    attempt: &OutgoingAttempt,
    class: &str,
    fill_source: Option<&str>,
    request: &PendingRequest,
) -> WireRequest {
    WireRequest {
        class: class.to_owned(),
        item: request.object_name.clone(),
        part: attempt.part,
        timeout_ms: attempt.timeout.as_millis().max(1),
        fill_source: fill_source.map(str::to_owned),
        cache_rank: attempt.cache_rank,
        max_age_ms: max_age_ms(attempt.max_age),
        join_fill: attempt.join_fill,
        only_if_cached: attempt.only_if_cached,
        bypass_parent_cache: attempt.bypass_parent_cache,
        stale_while_revalidate: attempt.stale_while_revalidate,
        client_etag: client_etag(&request.etags),
        idempotency_key: request.idempotency_key.clone(),
        body: request.body.clone(),
    }
}

/// Returns an age limit in whole milliseconds. It is never rounded up, except that a positive one is at least
/// 1, since 0 would allow any age.
fn max_age_ms(max_age: Span) -> i64 {
    if max_age > Span::ZERO {
        max_age.as_millis().max(1)
    } else {
        0
    }
}

/// Returns the entity tag that the server is to compare. Servers compare only one; if the client has sent
/// several, they are compared when the answer arrives.
fn client_etag(etags: &[String]) -> Option<String> {
    match etags {
        [etag] => Some(etag.clone()),
        _ => None,
    }
}

/// Converts the end of an attempt on the wire to what it proves about the attempt.
pub(in crate::server) fn attempt_end(end: JobEnd, settings: &ProgramSettings) -> AttemptEnd {
    let answer = match end {
        JobEnd::NotConnected => return AttemptEnd::without_details(AttemptResult::ConnectFailed),
        JobEnd::NotSent => return AttemptEnd::without_details(AttemptResult::NotSent),
        JobEnd::Reset => return AttemptEnd::without_details(AttemptResult::Reset),
        JobEnd::Answer(answer) => answer,
    };
    let fill_wait_ms = answer.field("waited").and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(0.0);
    AttemptEnd {
        result: attempt_result(&answer),
        cache_status: answer.field("tell").and_then(cache_status),
        fill_wait: Span::from_micros_f64(fill_wait_ms * 1000.0),
        transfer_time: transfer_time(&answer, settings),
        load_report: answer.load_report(&settings.load_report_names),
        copy: cached_copy(answer),
    }
}

fn attempt_result(answer: &WireAnswer) -> AttemptResult {
    match answer.status.as_str() {
        "200" | "304" if answer.body_dropped => AttemptResult::Error,
        "200" | "304" | "alive" | "status" => AttemptResult::Ok,
        "404" => AttemptResult::Miss,
        "503" => AttemptResult::Rejected,
        "504" => AttemptResult::NotSent,
        // 500, dead, and any unknown status: the request may have been executed.
        _ => AttemptResult::Error,
    }
}

fn cache_status(word: &str) -> Option<CacheStatus> {
    Some(match word {
        "local" => CacheStatus::Hit,
        "pulled" => CacheStatus::Filled,
        "pulled_far" => CacheStatus::FilledByOrigin,
        "rode" => CacheStatus::Collapsed,
        "expired" => CacheStatus::Stale,
        "turned_away" => CacheStatus::SourceRejected,
        "cut_off" => CacheStatus::SourceUnreachable,
        "not_there" => CacheStatus::SourceMiss,
        "no_place" => CacheStatus::NoFillSlot,
        "far_fault" => CacheStatus::OriginFailed,
        _ => return None,
    })
}

/// Returns how long the body takes to transfer at the configured full rate; zero if no rate is configured. It
/// is also zero for an answer without a body (not modified), where the object's size is unknown.
fn transfer_time(answer: &WireAnswer, settings: &ProgramSettings) -> Span {
    let micros = answer.body.len() as f64 / settings.transfer_bytes_per_s.max(1.0) * 1_000_000.0;
    if settings.transfer_bytes_per_s > 0.0 {
        Span::from_micros_f64(micros)
    } else {
        Span::ZERO
    }
}

fn cached_copy(answer: WireAnswer) -> CachedCopy {
    CachedCopy {
        not_modified: answer.status == "304",
        etag: answer.field("ver").unwrap_or_default().to_owned(),
        generated_at_ms: answer.field("born").and_then(|ms| ms.parse().ok()).unwrap_or(0),
        body: answer.body,
    }
}
