//! Tests of `hosts`.

use super::*;

#[test]
fn lines_come_whole_whatever_the_pieces() {
    let text = b"fetch a1 cls=result,item=0f,chunk=2,limit=9,from=s-2,rank=1,oldest=5,mode=share+peek 3\r\nx\r\n\r\nabort a1\r\nstats p1\r\n";
    for step in [1, 7, text.len()] {
        let (mut input, mut got) = (Vec::new(), Vec::new());
        for piece in text.chunks(step) {
            input.extend_from_slice(piece);
            got.extend(lines(&mut input).expect("lines"));
        }
        let wanted = Fetch {
            id: "a1".into(),
            class: "result".into(),
            item: ("0f".into(), 2),
            from: Some("s-2".into()),
            oldest: Span::from_millis(5),
            rank: 1,
            peek: true,
        };
        assert_eq!(got, [Line::Fetch(wanted), Line::Abort("a1".into()), Line::Probe("p1".into())], "{step}");
    }
    assert!(lines(&mut b"give me\r\n".to_vec()).is_err());
    assert!(lines(&mut b"fetch a cls=b 1\r\nxyz".to_vec()).is_err());
}

fn fleet(sparse_notes: bool) -> Fleet {
    let host = |name, tier| Host::new(name, tier, serde_json::json!({"share": 1.0}));
    let hosts = vec![host("cache", Tier::Cache), host("parent", Tier::Parent), host("origin", Tier::Origin)];
    Fleet { hosts, sparse_notes }
}

#[test]
fn a_parent_that_errs_fails_the_fills_that_caches_ask_of_it() {
    let mut fleet = fleet(false);
    fleet.hosts[1].errors = Instant::from_micros(1_000);
    let fill = |class: &str, from: &str| Fetch {
        class: class.into(),
        item: ("0f".into(), 0),
        from: Some(from.into()),
        ..Fetch::default()
    };
    for class in ["segment", "result"] {
        let (word, fields, _) = fleet.outcome(0, &fill(class, "parent"), Instant::ZERO, &|_, _| true);
        assert_eq!((word, fields.as_str()), ("500", "tell=cut_off,waited=0"));
        assert_eq!(fleet.outcome(0, &fill(class, "origin"), Instant::ZERO, &|_, _| true).0, "200");
    }
}

#[test]
fn sparse_notes_tell_of_served_requests_only() {
    let mut fleet = fleet(true);
    let fetch = Fetch {
        class: "segment".into(),
        item: ("0f".into(), 0),
        from: Some("parent".into()),
        ..Fetch::default()
    };
    assert_eq!(fleet.outcome(0, &fetch, Instant::ZERO, &|_, host| host != 1).1, "");
    let (word, fields, _) = fleet.outcome(0, &fetch, Instant::ZERO, &|_, _| true);
    assert!(word == "200" && fields.ends_with("tell=pulled"), "{word} {fields}");
    assert!(fleet.outcome(0, &fetch, Instant::ZERO, &|_, _| true).1.ends_with("tell=local"));
}
