//! Tests of `views`.

use super::*;

fn view(at: i64, kind: &str, version: &str, servers: &[&str], taken: bool) -> Entry {
    let servers = servers.iter().map(|server| (*server).to_owned()).collect();
    let (kind, version) = (kind.to_owned(), version.to_owned());
    let what = What::View(View { kind, version, servers, taken, ..View::default() });
    Entry { client: "a".into(), at, what }
}

fn line(at: i64, what: What) -> Entry {
    Entry { client: "a".into(), at, what }
}

fn leaves(at: i64) -> Told {
    Told { at, news: News::Leaves("s".into()) }
}

#[test]
fn planted_breaches_are_found_and_nothing_else_is() {
    let up = line(0, What::Connected);
    let before = view(5, "endpoints", "e.1", &["s", "t"], true);
    let gone = |at| view(at, "endpoints", "e.2", &["t"], true);
    let told = [leaves(100)];
    let good = [up.clone(), before.clone(), gone(1050)];
    assert_eq!((check(&good, &told, 1000), delays(&good, &told)), (vec![], vec![950]));
    let kept = |after| Breach::Kept { client: "a".into(), server: "s".into(), after };
    let late = [up.clone(), before.clone(), gone(1101)];
    assert_eq!(check(&late, &told, 1000), [kept(1001)]);
    assert_eq!(check(&[up.clone(), before.clone()], &told, 1000), [kept(1000)], "never told");
    // One that was not connected can't be blamed for what it had, but must not get it later.
    let ended = line(200, What::Ended);
    assert_eq!(check(&[up.clone(), before.clone(), ended.clone()], &told, 1000), []);
    let again = [
        up.clone(),
        before.clone(),
        ended,
        line(1500, What::Connected),
        view(1600, "endpoints", "f.1", &["s"], true),
    ];
    assert_eq!(check(&again, &told, 1000), [kept(1500)]);
    let back = [leaves(100), Told { at: 1550, news: News::Comes("s".into()) }];
    assert_eq!(check(&again, &back, 1000), [], "it may be used again by then");
    // A rejected view is not in force.
    let nacked = [up.clone(), before.clone(), view(500, "endpoints", "e.2", &["t"], false)];
    assert_eq!(check(&nacked, &told, 1000), [kept(1000)]);
    let resent = [up.clone(), view(1, "routes", "e.3", &[], false), view(2, "routes", "e.3", &[], true)];
    assert_eq!(check(&resent, &[], 1000), [Breach::Resent { client: "a".into(), version: "e.3".into() }]);
    let older = [
        view(1, "routes", "e.3", &[], true),
        view(2, "routes", "e.2", &[], true),
        view(3, "routes", "f.1", &[], true),
    ];
    let versions = ["e.3".to_owned(), "e.2".to_owned()];
    assert_eq!(
        check(&older, &[], 1000),
        [Breach::Older { client: "a".into(), kind: "routes".into(), versions }]
    );
    let purge = [Told { at: 100, news: News::Purge("o".into(), 7) }];
    let mut routes = view(150, "routes", "e.4", &[], true);
    let not = Breach::NotPurged { client: "a".into(), what: "o".into() };
    assert_eq!(check(&[up.clone(), routes.clone()], &purge, 1000), [not]);
    if let What::View(view) = &mut routes.what {
        view.newer.insert("o".into(), 8);
    }
    assert_eq!(check(&[up, routes], &purge, 1000), []);
}
