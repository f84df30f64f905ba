//! Tests of `pending`.

use super::*;
use crate::net::ConnectionKey;
use crate::slots::Key;

fn request(trace_id: &str, body: &'static [u8]) -> PendingRequest {
    PendingRequest {
        client: Client::Signed { conn: ConnectionKey::from_number(1) },
        etags: Vec::new(),
        class: ClassId(0),
        trace_id: trace_id.into(),
        object_name: "7f3a9c21e0b4d655".into(),
        idempotency_key: None,
        body: Bytes::from_static(body),
    }
}

#[test]
fn removed_request_releases_its_trace_id_and_body_bytes() {
    let [first, second] = [1, 2].map(Key::from_number);
    let mut pending = PendingRequests::default();
    pending.insert(first, request("a", b"12345"));
    pending.insert(second, request("b", b"678"));
    assert_eq!((pending.len(), pending.body_bytes()), (2, 8));
    assert!(pending.has_trace_id("a") && pending.has_trace_id("b"));
    pending.remove(first);
    pending.remove(first);
    assert_eq!((pending.len(), pending.body_bytes()), (1, 3));
    assert!(!pending.has_trace_id("a") && pending.has_trace_id("b"));
    assert!(pending.get(first).is_none() && pending.get(second).is_some());
}
