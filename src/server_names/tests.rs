//! Tests of `server_names`.

use super::*;

#[test]
fn removed_servers_leave_nothing_and_can_be_added_again() {
    let mut names = ServerNames::default();
    let id = names.id("s-00c41f7a");
    assert_eq!((names.name(id), id), (Some("s-00c41f7a"), ServerId(0x00c4_1f7a)));
    names.remove(id);
    assert!(names.ids.is_empty() && names.names.is_empty());
    assert_eq!(names.id("s-00c41f7a"), id);
}
