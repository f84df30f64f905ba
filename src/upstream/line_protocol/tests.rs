//! Tests of `line_protocol`.

use super::*;
use crate::upstream::answers::{AnswerReader, MalformedAnswer};
use bytes::BytesMut;

fn read(bytes: &[u8], step: usize, capacity: usize) -> Result<Vec<WireAnswer>, MalformedAnswer> {
    let (mut reader, mut input, mut all) = (AnswerReader::default(), BytesMut::new(), Vec::new());
    for part in bytes.chunks(step) {
        input.extend_from_slice(part);
        while let Some(answer) = reader.next(&mut input, capacity)? {
            all.push(answer);
        }
    }
    Ok(all)
}

#[test]
fn answers_are_parsed_with_any_read_size() {
    let text = b"7 200 ver=a1,born=5,meter=inflight:7;x0:0.5 4\r\nab\r\n\r\n8 404 tell=not_there 0\r\n\r\n\
            p1 alive\r\n9 304 ver=q 0\r\n";
    for step in 1..text.len() {
        let all = read(text, step, 100).expect("answers");
        let words: Vec<&str> = all.iter().map(|a| a.status.as_str()).collect();
        assert_eq!(words, ["200", "404", "alive", "304"], "in steps of {step}");
        assert_eq!((&all[0].body[..], all[0].field("ver")), (&b"ab\r\n"[..], Some("a1")));
        assert_eq!(all[0].load_report(&["rif".into(), "x0".into()]), [7.0, 0.5]);
        assert_eq!((all[1].field("tell"), &all[2].id[..]), (Some("not_there"), "p1"));
    }
}

#[test]
fn body_over_capacity_is_discarded_and_next_answer_is_read() {
    let all = read(b"1 200 - 6\r\nabcdef\r\n2 503 - 0\r\n", 3, 5).expect("answers");
    assert_eq!((all[0].body_dropped, all[0].body.len(), &all[1].status[..]), (true, 0, "503"));
}

#[test]
fn invalid_answers_are_malformed() {
    let long = [b"1 200 a=", &[b'x'; 5000][..]].concat();
    let bad: [&[u8]; 12] = [
        b"1\r\n",
        b"1 20x - 0\r\n",
        b"1 200 - 0\r\nab",
        b"1 200 - x\r\n",
        b"1 200 - 9999999999\r\n",
        b"1 200 a 0\r\n",
        b"1 200 - 0 5\r\n",
        b"1 \xff - 0\r\n",
        b"1 200 - 2\r\nabXX",
        b"\r\n",
        b"1 503 - 0\r\n\r\n\r\n",
        b"1 200 - 0\r\n\r\n\r\n",
    ];
    for text in bad.into_iter().chain([&long[..]]) {
        assert_eq!(read(text, 64, 100), Err(MalformedAnswer), "{}", String::from_utf8_lossy(text));
    }
}

#[test]
fn request_line_has_only_fields_that_are_set() {
    let plain =
        WireRequest { class: "piece".into(), item: "7f".into(), timeout_ms: 900, ..WireRequest::default() };
    let head = |fetch: &WireRequest| String::from_utf8(encode_fetch_line("5", fetch).to_vec()).expect("text");
    assert_eq!(head(&plain), "fetch 5 cls=piece,item=7f,chunk=0,limit=900 0\r\n");
    let full = WireRequest {
        part: 3,
        fill_source: Some("s-1".into()),
        cache_rank: 2,
        max_age_ms: 40,
        join_fill: true,
        stale_while_revalidate: true,
        client_etag: Some("t4".into()),
        idempotency_key: IdempotencyKey::parse("k7"),
        body: Bytes::from_static(b"xyz"),
        ..plain.clone()
    };
    let fields = "chunk=3,limit=900,from=s-1,rank=2,oldest=40,mode=share+swr,nonce=k7,seen=t4";
    assert_eq!(head(&full), format!("fetch 5 cls=piece,item=7f,{fields} 3\r\n"));
    let hostile = WireRequest { client_etag: Some("a,from=s-9 0\r\n".into()), ..plain.clone() };
    assert_eq!(head(&hostile), head(&plain), "an entity tag never adds fields to the line");
}
