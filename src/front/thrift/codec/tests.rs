//! Tests of decoding calls and encoding replies.

use super::*;
use crate::front::thrift::SequenceId;
use crate::interface::Span;
use bytes::Bytes;

/// Builds a message from parts: hexadecimal bytes, or a text after a single quote.
fn bytes(parts: &[&str]) -> Bytes {
    let part = |part: &&str| match part.strip_prefix('\'') {
        Some(text) => text.as_bytes().to_vec(),
        None => part.split(' ').map(|hex| u8::from_str_radix(hex, 16).expect("hex")).collect(),
    };
    parts.iter().flat_map(part).collect()
}

fn printable(bytes: &[u8]) -> String {
    let is_plain = |b: &u8| b.is_ascii_alphanumeric() || *b == b' ';
    bytes.iter().map(|b| if is_plain(b) { char::from(*b).into() } else { format!("<{b:02x}>") }).collect()
}

#[test]
fn decodes_calls_and_reports_malformed_ones() {
    let invoke = "80 01 00 01 00 00 00 06";
    let abort = "80 01 00 04 00 00 00 05";
    let map = "0d 00 01 0b 0b 00 00 00 01 00 00 00 01";
    let cases: [&[&str]; 10] = [
        &[
            invoke,
            "'invoke",
            "00 00 00 07",
            map,
            "'a",
            "00 00 00 01",
            "'b",
            "0b 00 02 00 00 00 01",
            "'x",
            "00",
        ],
        &[invoke, "'invoke", "00 00 00 07", "08 00 09 00 00 00 01", map, "'a", "00 00 00 01", "'b", "00"],
        &[invoke, "'invoke", "00 00 00 07", "0d 00 01 0b 0b 7f ff ff ff", "00"],
        &[invoke, "'invoke", "00 00 00 07", "0b 00 02 ff ff ff ff", "00"],
        &[invoke, "'invoke", "00 00 00 07", map, "ff", "00 00 00 00", "00"],
        &[abort, "'abort", "00 00 00 08", "08 00 01 00 00 00 07 00"],
        &["80 01 00 01 00 00 00 04", "'ping", "00 00 00 09", "02 00 01 00 00"],
        &["80 01 00 01 00 00 00 04", "'pong", "00 00 00 09", "00"],
        &["00 00 00 04", "'ping", "01", "00 00 00 09", "00"],
        &["80 01 00 02 00 00 00 04", "'ping", "00 00 00 09", "00"],
    ];
    let lines: Vec<String> = cases.iter().map(|parts| format!("{:?}", decode_call(bytes(parts)))).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn encodes_each_kind_of_reply() {
    let cases = [
        ThriftReply::Answer { body: Bytes::from_static(b"body"), fields: vec![("current", "1".into())] },
        ThriftReply::Pong(true),
        ThriftReply::Rejected { retry_after: Span::from_millis(250) },
        ThriftReply::Rejected { retry_after: Span::ZERO },
        ThriftReply::Failed,
        ThriftReply::Exception {
            name: "ping".into(),
            kind: ExceptionKind::ProtocolError,
            text: "why".into(),
        },
    ];
    let lines: Vec<String> =
        cases.map(|given| printable(&encode_reply(SequenceId(7), given).concat())).into();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Clients get these texts in exceptions, so they must not change.
#[test]
fn decode_error_texts_are_fixed() {
    let cases = [
        (DecodeError::Truncated, "a message ends early"),
        (DecodeError::NegativeLength, "a negative length"),
        (DecodeError::InvalidUtf8, "a string is not UTF-8"),
        (DecodeError::MapNotOfStrings, "a map is not of strings"),
        (DecodeError::NestedTooDeep, "a value nests too deep"),
        (DecodeError::UnknownType, "an unknown type"),
        (DecodeError::MissingFields, "no fields"),
        (DecodeError::MissingSequenceId, "no seqid"),
        (DecodeError::NotStrictProtocol, "not the strict protocol"),
        (DecodeError::NotACall, "not a call"),
    ];
    for (error, text) in cases {
        assert_eq!(error.to_string(), text);
    }
}
