//! Tests of `members`.

use super::*;

#[test]
fn a_server_that_was_forgotten_leaves_nothing_and_may_come_back() {
    let mut members = ServerNames::default();
    let id = members.id("s-00c41f7a");
    assert_eq!((members.name(id), id), (Some("s-00c41f7a"), ServerId(0x00c4_1f7a)));
    members.forget(id);
    assert!(members.ids.is_empty() && members.names.is_empty());
    assert_eq!(members.id("s-00c41f7a"), id);
}
