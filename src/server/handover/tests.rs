//! Tests of the messages between two processes.

use super::message::{client_count, connection_header, decode, MalformedMessage, Message};

#[test]
fn message_encoding_is_fixed() {
    assert_eq!(client_count(258), [0, 0, 0, 1, 2]);
    assert_eq!(connection_header(b"abc"), [1, 0, 0, 0, 3]);
}

#[test]
fn decode_takes_one_complete_message_at_a_time() {
    let mut received = client_count(7).to_vec();
    received.extend(connection_header(b"abc"));
    received.extend(b"ab");
    assert_eq!(decode(&mut received), Ok(Some(Message::ClientCount(7))));
    assert_eq!(decode(&mut received), Ok(None));
    received.push(b'c');
    assert_eq!(decode(&mut received), Ok(Some(Message::Connection { unprocessed: b"abc".to_vec() })));
    assert_eq!((decode(&mut received), received.len()), (Ok(None), 0));
}

#[test]
fn unknown_kinds_and_lengths_over_the_limit_are_errors() {
    for header in [[2, 0, 0, 0, 0], [1, 0, 16, 0, 1]] {
        assert_eq!(decode(&mut header.to_vec()), Err(MalformedMessage), "{header:?}");
    }
}
