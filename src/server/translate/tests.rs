//! Tests of the conversions between protocol messages and types of the core.

use super::*;
use crate::config::settings::{ClassInfo, ProgramSettings};
use crate::core::{CachedCopy, FinalAnswer, OutgoingAttempt};
use crate::front::thrift::SequenceId;
use crate::interface::{
    AttemptResult, CacheStatus, ClassId, GroupId, ObjectId, RejectionReason, Span, UnixTime,
};
use crate::net::ConnectionKey;
use crate::server::pending::{Client, PendingRequest};
use crate::slots::Key;
use crate::upstream::line_protocol::WireAnswer;
use crate::upstream::JobEnd;
use bytes::Bytes;
use std::collections::BTreeMap;

const MS: Span = Span::from_millis(1);

fn settings() -> ProgramSettings {
    let class = |name: &str, client_deadline| ClassInfo {
        name: name.into(),
        retired: false,
        is_write: false,
        client_deadline,
    };
    ProgramSettings {
        classes: vec![class("replay", 6000 * MS), class("piece", 3000 * MS)],
        ..ProgramSettings::default()
    }
}

fn fields(changes: &[(&str, Option<&str>)]) -> BTreeMap<String, String> {
    let good = [
        ("route", "piece"),
        ("trace", "9b1f03aa5c7e2d41"),
        ("patience", "1500"),
        ("entity", "7f3a9c21e0b4d655"),
        ("slice", "3"),
        ("set", "17"),
        ("unknown", "ignored"),
    ];
    let mut all: BTreeMap<String, String> = good.map(|(name, value)| (name.into(), value.into())).into();
    for (name, value) in changes {
        match value {
            Some(value) => all.insert((*name).into(), (*value).into()),
            None => all.remove(*name),
        };
    }
    all
}

#[test]
fn invalid_request_fields_are_named_in_the_error() {
    let parsed = parse_request(&fields(&[]), &settings()).expect("a valid request");
    assert_eq!((parsed.class, parsed.object, parsed.part), (ClassId(1), ObjectId(0x7f3a_9c21_e0b4_d655), 3));
    assert_eq!((parsed.group, parsed.client_timeout, parsed.etag), (GroupId(17), 1500 * MS, None));
    let bare = parse_request(&fields(&[("slice", None), ("set", None), ("seen", Some("t"))]), &settings())
        .expect("a valid request");
    assert_eq!((bare.part, bare.group, bare.etag.as_deref()), (0, GroupId(0), Some("t")));
    let keyed =
        parse_request(&fields(&[("nonce", Some("4be0c192-7d"))]), &settings()).expect("a valid request");
    assert_eq!(
        (bare.idempotency_key, keyed.idempotency_key.as_ref().map(|key| key.as_str())),
        (None, Some("4be0c192-7d"))
    );
    for (name, value) in [
        ("nonce", Some("")),
        ("nonce", Some("a,from=s-9")),
        ("nonce", Some("a b")),
        ("route", None),
        ("route", Some("other")),
        ("trace", None),
        ("trace", Some("9b1f03aa5c7e2d4 ")),
        ("entity", Some("7f3a")),
        ("entity", Some("+f3a9c21e0b4d655")),
        ("entity", Some("7f3a9c21e0b4d65\r")),
        ("patience", None),
        ("patience", Some("0")),
        ("patience", Some("-5")),
        ("patience", Some("99999999999999999999")),
        ("patience", Some("9999999999999999")),
        ("patience", Some("6001")),
        ("patience", Some("NaN")),
        ("slice", Some("-1")),
        ("slice", Some("4294967296")),
        ("set", Some("x")),
        ("set", Some("256")),
    ] {
        let error = parse_request(&fields(&[(name, value)]), &settings()).expect_err("an invalid request");
        assert!(error.to_string().contains(name), "{name} {value:?}: {error}");
    }
}

#[test]
fn each_end_on_the_wire_has_its_attempt_result() {
    use AttemptResult::*;
    let answer = |word: &str, dropped| {
        let fields = vec![("tell".into(), "cut_off".into()), ("waited".into(), "12.5".into())];
        JobEnd::Answer(WireAnswer {
            id: "1".into(),
            status: word.into(),
            fields,
            body: Bytes::new(),
            body_dropped: dropped,
        })
    };
    for (ending, result) in [
        (JobEnd::NotConnected, ConnectFailed),
        (JobEnd::NotSent, NotSent),
        (JobEnd::Reset, Reset),
        (answer("200", false), Ok),
        (answer("304", false), Ok),
        (answer("200", true), Error),
        (answer("404", false), Miss),
        (answer("503", false), Rejected),
        (answer("504", false), NotSent),
        (answer("500", false), Error),
        (answer("whatever", false), Error),
    ] {
        let has_details = matches!(ending, JobEnd::Answer(_));
        let end = attempt_end(ending, &settings());
        assert_eq!(end.result, result);
        assert_eq!(
            (end.cache_status, end.fill_wait),
            if has_details {
                (Some(CacheStatus::SourceUnreachable), Span::from_micros(12_500))
            } else {
                (None, Span::ZERO)
            }
        );
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn each_final_answer_has_its_http_status() {
    let copy = |same| CachedCopy {
        body: Bytes::from_static(b"x"),
        etag: "a".into(),
        generated_at_ms: 1000,
        not_modified: same,
    };
    let now = UnixTime::from_millis(3500);
    for (given, tags, status, retry_after) in [
        (FinalAnswer::Served(copy(false)), &["b"][..], 200, None),
        (FinalAnswer::Served(copy(false)), &["b", "a"], 304, None),
        (FinalAnswer::Served(copy(true)), &["a"], 304, None),
        (
            FinalAnswer::Rejected {
                retry_after: 250 * MS,
                timed_out: false,
                reason: RejectionReason::ProxyFull,
            },
            &[],
            503,
            Some(1),
        ),
        (
            FinalAnswer::Rejected {
                retry_after: Span::from_micros(1_000_001),
                timed_out: false,
                reason: RejectionReason::ProxyFull,
            },
            &[],
            503,
            Some(2),
        ),
        (
            FinalAnswer::Rejected {
                retry_after: Span::ZERO,
                timed_out: false,
                reason: RejectionReason::ProxyFull,
            },
            &[],
            503,
            None,
        ),
        (
            FinalAnswer::Rejected {
                retry_after: 250 * MS,
                timed_out: true,
                reason: RejectionReason::DeadlineExceeded,
            },
            &[],
            504,
            None,
        ),
        (FinalAnswer::Failed { timed_out: true }, &[], 504, None),
        (FinalAnswer::Failed { timed_out: false }, &[], 502, None),
        (FinalAnswer::Denied, &["a"], 403, None),
    ] {
        let tags: Vec<String> = tags.iter().map(|tag| tag.to_string()).collect();
        let served = matches!(given, FinalAnswer::Served(_));
        let http = http_answer(given.clone(), &tags, now);
        assert_eq!((http.status, http.retry_after), (status, retry_after), "{given:?}");
        assert_eq!(http.age, served.then_some(2), "{given:?}");
        assert_eq!(http.etag.is_some() || !http.body.is_empty(), served, "{given:?}");
    }
}

#[test]
fn attempt_encoding_rounds_times_and_sends_one_entity_tag() {
    let attempt = |max_age| OutgoingAttempt {
        request: Key::from_number(1),
        part: 3,
        fill_source: None,
        cache_rank: 0,
        max_age,
        join_fill: false,
        only_if_cached: false,
        bypass_parent_cache: false,
        stale_while_revalidate: false,
        timeout: Span::from_micros(900),
    };
    let request = |etags: &[&str]| PendingRequest {
        client: Client::Thrift { conn: ConnectionKey::from_number(1), seqid: SequenceId(1) },
        etags: etags.iter().map(|etag| etag.to_string()).collect(),
        class: ClassId(1),
        trace_id: "9b1f03aa5c7e2d41".into(),
        object_name: "7f3a9c21e0b4d655".into(),
        idempotency_key: None,
        body: Bytes::new(),
    };
    for (max_age, max_age_ms) in [(Span::ZERO, 0), (Span::from_micros(200), 1), (2 * MS, 2)] {
        let wire = wire_request(&attempt(max_age), "piece", Some("o-1"), &request(&["a"]));
        assert_eq!((wire.max_age_ms, wire.timeout_ms), (max_age_ms, 1), "{max_age:?}");
        assert_eq!((wire.item.as_str(), wire.fill_source.as_deref()), ("7f3a9c21e0b4d655", Some("o-1")));
    }
    for (etags, etag) in [(&[][..], None), (&["a"], Some("a")), (&["a", "b"], None)] {
        let wire = wire_request(&attempt(Span::ZERO), "piece", None, &request(etags));
        assert_eq!(wire.client_etag.as_deref(), etag, "{etags:?}");
    }
}
