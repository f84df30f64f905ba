//! Translation between the wires' messages and the core's requests, attempts and outcomes.

use crate::config::settings::SiteNames;
use crate::core::{AttemptEnd, CachedCopy, FinalAnswer, OutgoingAttempt};
use crate::front::signed::http;
use crate::front::thrift::codec::ThriftReply;
use crate::interface::{AttemptResult, CacheStatus, ClassId, GroupId, ObjectId, Span, UnixTime};
use crate::upstream::lines::{IdempotencyKey, WireAnswer, WireRequest};
use crate::upstream::JobEnd;
use bytes::Bytes;
use std::collections::BTreeMap;

/// The longest patience that is taken at its word, in longest waits of the class.
const MOST_PATIENCE: i64 = 2;
/// The groups of objects.
const GROUPS: u32 = 256;

/// The fields of a client's request, read.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestFields {
    /// The class.
    pub class: ClassId,
    /// The object.
    pub object: ObjectId,
    /// Its part.
    pub part: u32,
    /// Its group.
    pub group: GroupId,
    /// How long the client waits from its send.
    pub patience: Span,
    /// The request's id on every wire.
    pub trace: String,
    /// The object as the client named it.
    pub item: String,
    /// The tag of the client's copy.
    pub seen: Option<String>,
    /// The idempotency key by which servers know a repeat, as the client gave it.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The class that a request names, whatever else is wrong with it.
pub fn class(fields: &BTreeMap<String, String>, names: &SiteNames) -> Option<ClassId> {
    names.class(fields.get("route")?)
}

/// Reads a request's fields; unknown ones are ignored.
pub fn form(fields: &BTreeMap<String, String>, names: &SiteNames) -> Result<RequestFields, String> {
    let field = |name: &str| fields.get(name).map(String::as_str);
    let needed = |name: &str| field(name).ok_or_else(|| format!("{name} is missing"));
    fn number<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, String> {
        value.parse().map_err(|_| format!("{name} is no number of its range"))
    }
    needed("route")?;
    let class = usize::from(class(fields, names).ok_or("route is unknown")?.0);
    // Both go onto another wire as they are: nothing but hex digits may.
    let hex = |name: &'static str| {
        let value = needed(name)?;
        let fits = value.len() == 16 && value.bytes().all(|b| b.is_ascii_hexdigit());
        let number = u64::from_str_radix(value, 16).ok().filter(|_| fits);
        Ok::<_, String>((value, number.ok_or_else(|| format!("{name} is not 16 hex digits"))?))
    };
    let ((trace, _), (item, object)) = (hex("trace")?, hex("entity")?);
    let patience_ms: i64 = number("patience", needed("patience")?)?;
    let patience = Span::from_micros(patience_ms.checked_mul(1000).unwrap_or(0));
    let most = names.deadlines.get(class).map_or(Span::ZERO, |deadline| MOST_PATIENCE * *deadline);
    if !(Span::from_micros(1)..=most).contains(&patience) {
        return Err("patience is no number of its range".into());
    }
    let group = field("set").map_or(Ok(0), |value| number("set", value))?;
    if group >= GROUPS {
        return Err("set is no number of its range".into());
    }
    let parse_key = |word| IdempotencyKey::parse(word).ok_or("nonce is no plain word");
    let idempotency_key = field("nonce").map(parse_key).transpose()?;
    Ok(RequestFields {
        class: ClassId(class as u16),
        object: ObjectId(object),
        part: field("slice").map_or(Ok(0), |value| number("slice", value))?,
        group: GroupId(group),
        patience,
        trace: trace.to_owned(),
        item: item.to_owned(),
        seen: field("seen").map(str::to_owned),
        idempotency_key,
    })
}

/// An attempt as the line protocol words it.
pub fn fetch(
    order: &OutgoingAttempt,
    class: &str,
    from: Option<&str>,
    item: &str,
    seen: Option<String>,
    idempotency_key: Option<IdempotencyKey>,
    body: &Bytes,
) -> WireRequest {
    // Whole milliseconds: an age never rounds up, and never to 0, which would mean any age.
    let oldest_ms = if order.max_age > Span::ZERO { order.max_age.as_millis().max(1) } else { 0 };
    WireRequest {
        class: class.to_owned(),
        item: item.to_owned(),
        part: order.part,
        timeout_ms: order.timeout.as_millis().max(1),
        fill_source: from.map(str::to_owned),
        cache_rank: order.cache_rank,
        max_age_ms: oldest_ms,
        join_fill: order.join_fill,
        only_if_cached: order.only_if_cached,
        bypass_parent_cache: order.bypass_parent_cache,
        stale_while_revalidate: order.stale_while_revalidate,
        client_etag: seen,
        idempotency_key,
        body: body.clone(),
    }
}

/// What an attempt's ending on the wire proves.
pub fn end(ending: JobEnd, names: &SiteNames) -> AttemptEnd {
    let answer = match ending {
        JobEnd::NotConnected => return AttemptEnd::without_details(AttemptResult::ConnectFailed),
        JobEnd::NotSent => return AttemptEnd::without_details(AttemptResult::NotSent),
        JobEnd::Reset => return AttemptEnd::without_details(AttemptResult::Reset),
        JobEnd::Answer(answer) => answer,
    };
    let result = match answer.status.as_str() {
        "200" | "304" if answer.body_dropped => AttemptResult::Error,
        "200" | "304" | "alive" | "status" => AttemptResult::Ok,
        "404" => AttemptResult::Miss,
        "503" => AttemptResult::Rejected,
        "504" => AttemptResult::NotSent,
        _ => AttemptResult::Error, // 500, dead, and any word not known here: it may have run
    };
    let note = answer.field("tell").and_then(|word| {
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
    });
    let waited = answer.field("waited").and_then(|ms| ms.parse::<f64>().ok()).unwrap_or(0.0);
    // A copy that is called current sends no bytes, and its time says nothing of the object's size.
    let sending = answer.body.len() as f64 / names.flow_bytes_per_s.max(1.0) * 1_000_000.0;
    let sending = if names.flow_bytes_per_s > 0.0 { Span::from_micros_f64(sending) } else { Span::ZERO };
    let load = answer.load_report(&names.report);
    AttemptEnd {
        result,
        cache_status: note,
        fill_wait: Span::from_micros_f64(waited * 1000.0),
        transfer_time: sending,
        load_report: load,
        copy: copy(answer),
    }
}

fn copy(answer: WireAnswer) -> CachedCopy {
    CachedCopy {
        not_modified: answer.status == "304",
        etag: answer.field("ver").unwrap_or_default().to_owned(),
        generated_at_ms: answer.field("born").and_then(|ms| ms.parse().ok()).unwrap_or(0),
        body: answer.body,
    }
}

/// A final answer as the platform's clients get it.
pub fn reply(answer: FinalAnswer) -> ThriftReply {
    match answer {
        FinalAnswer::Served(copy) => {
            let fields = if copy.not_modified { vec![("current", "1".to_owned())] } else { Vec::new() };
            ThriftReply::Answer { body: copy.body, fields }
        }
        FinalAnswer::Rejected { retry_after: pause, .. } => {
            ThriftReply::Rejected { pause: pause.as_millis() }
        }
        FinalAnswer::Failed { .. } | FinalAnswer::Denied => ThriftReply::Failed,
    }
}

/// A final answer as the second front's clients get it, at a Unix time.
pub fn answer(answer: FinalAnswer, tags: &[String], now: UnixTime) -> http::HttpAnswer {
    use http::HttpAnswer;
    match answer {
        FinalAnswer::Served(copy) => {
            let tag = Some(copy.etag).filter(|tag| !tag.is_empty());
            let held = copy.not_modified || tag.as_ref().is_some_and(|tag| tags.contains(tag));
            let born_ms = i64::try_from(copy.generated_at_ms).ok().filter(|born_ms| *born_ms > 0);
            let age = born_ms.map(|born_ms| (now.as_millis() - born_ms).max(0) / 1000);
            HttpAnswer { body: copy.body, tag, age, ..HttpAnswer::bare(if held { 304 } else { 200 }) }
        }
        FinalAnswer::Rejected { timed_out: true, .. } | FinalAnswer::Failed { late: true } => {
            HttpAnswer::bare(504)
        }
        FinalAnswer::Rejected { retry_after: pause, .. } => {
            // Whole seconds, rounded up: a client that keeps to them is never early.
            let seconds = pause.as_secs_rounded_up();
            HttpAnswer { retry_after: Some(seconds).filter(|seconds| *seconds > 0), ..HttpAnswer::bare(503) }
        }
        FinalAnswer::Failed { late: false } => HttpAnswer::bare(502),
        FinalAnswer::Denied => HttpAnswer::bare(403),
    }
}

#[cfg(test)]
mod tests;
