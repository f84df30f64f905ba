//! Tables of what one part's words mean in another's.

use super::*;
use crate::core::CachedCopy;
use crate::interface::RejectionReason;

const MS: Span = Span::from_millis(1);

fn names() -> SiteNames {
    let classes = vec!["replay".into(), "piece".into()];
    SiteNames {
        classes,
        retired: vec![false; 2],
        deadlines: vec![6000 * MS, 3000 * MS],
        ..SiteNames::default()
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
fn a_requests_fields_are_read_as_the_table_says() {
    let read = form(&fields(&[]), &names()).expect("a form");
    assert_eq!((read.class, read.object, read.part), (ClassId(1), ObjectId(0x7f3a_9c21_e0b4_d655), 3));
    assert_eq!((read.group, read.patience, read.seen), (GroupId(17), 1500 * MS, None));
    let bare =
        form(&fields(&[("slice", None), ("set", None), ("seen", Some("t"))]), &names()).expect("a form");
    assert_eq!((bare.part, bare.group, bare.seen.as_deref()), (0, GroupId(0), Some("t")));
    let keyed = form(&fields(&[("nonce", Some("4be0c192-7d"))]), &names()).expect("a form");
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
        let error = form(&fields(&[(name, value)]), &names()).expect_err("no form");
        assert!(error.contains(name), "{name} {value:?}: {error}");
    }
}

#[test]
fn each_ending_proves_what_the_table_says() {
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
        let told = matches!(ending, JobEnd::Answer(_));
        let end = end(ending, &names());
        assert_eq!(end.result, result);
        assert_eq!(
            (end.cache_status, end.fill_wait),
            if told {
                (Some(CacheStatus::SourceUnreachable), Span::from_micros(12_500))
            } else {
                (None, Span::ZERO)
            }
        );
    }
}

#[test]
fn each_final_answer_has_its_status() {
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
        (FinalAnswer::Failed { late: true }, &[], 504, None),
        (FinalAnswer::Failed { late: false }, &[], 502, None),
        (FinalAnswer::Denied, &["a"], 403, None),
    ] {
        let tags: Vec<String> = tags.iter().map(|tag| tag.to_string()).collect();
        let served = matches!(given, FinalAnswer::Served(_));
        let said = answer(given.clone(), &tags, now);
        assert_eq!((said.status, said.retry_after), (status, retry_after), "{given:?}");
        assert_eq!(said.age, served.then_some(2), "{given:?}");
        assert_eq!(said.tag.is_some() || !said.body.is_empty(), served, "{given:?}");
    }
}
