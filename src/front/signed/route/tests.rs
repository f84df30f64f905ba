//! Tests of matching paths with routes.

use super::*;

#[test]
fn paths_are_matched_segment_by_segment() {
    let route = |path: &str, group| Route { path: path.into(), class: "c".into(), group, patience_ms: None };
    let routes = [route("/replays/{group}/{object}/{part}", 0), route("/art/{object}", 9)];
    let object = ObjectId(0x7f3a_9c21_e0b4_d655);
    let cases = [
        (
            "/replays/17/7f3a9c21e0b4d655/3",
            Some(RequestTarget { route: RouteIndex(0), object, group: GroupId(17), part: 3 }),
        ),
        (
            "/art/7f3a9c21e0b4d655",
            Some(RequestTarget { route: RouteIndex(1), object, group: GroupId(9), part: 0 }),
        ),
        ("/art/7F3A9C21E0B4D655", None),
        ("/art/7f3a9c21e0b4d655/", None),
        ("/art/7f3a", None),
        ("/replays/017/7f3a9c21e0b4d655/3", None),
        ("/replays/17/7f3a9c21e0b4d655/4294967296", None),
        ("/other", None),
    ];
    for (path, wanted) in cases {
        assert_eq!(find_target(&routes, path), wanted, "{path}");
    }
}
