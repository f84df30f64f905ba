//! Members that are killed in the middle of what they store: what was acknowledged is there when they start again.

use crate::rig::{voters, Rig};
use dahliatrack::federation::store::Store;
use dahliatrack::federation::MemberId;
use serde_json::Value;

/// Kills of one federation.
const ROUNDS: u64 = 6;
/// Entries that are committed between two kills, at the least.
const ENTRIES: u64 = 4;

fn number(view: &Value, key: &str) -> u64 {
    view[key].as_u64().expect("a number")
}

/// Leases so short that they are renewed, and entries appended, many times a second.
fn rig(name: &str, count: u64) -> Rig {
    Rig::with(name, voters(1..=count), |text| {
        text.replace("tick_ms = 40", "lease_ms = 300\n guard_ms = 10\n tick_ms = 5")
    })
}

/// Waits until a member has committed so many entries since `from`, and gives its view of that moment.
fn busy(rig: &Rig, id: u64, from: u64) -> Value {
    rig.until(id, "entries are committed", |view| number(view, "committed") >= from + ENTRIES)
}

/// What a member that was killed has stored: it holds at least what its view showed.
fn stored(rig: &Rig, id: u64, view: &Value) -> u64 {
    let path = rig.folder(id).join("federation.redb");
    let (_, saved) = Store::open(&path, "tests", MemberId(id)).expect("usable after a kill");
    let (last, term) = (saved.last_index().get(), saved.hard_state.term.get());
    assert!(last >= number(view, "committed") && term >= number(view, "term"), "{last} in {term}: {view}");
    last
}

/// A single voter: what it commits nobody else has.
#[test]
fn a_member_that_is_killed_in_the_middle_of_appends_has_all_it_committed() {
    let mut rig = rig("crash-one", 1);
    let mut committed = 0;
    for _ in 0..ROUNDS {
        let view = busy(&rig, 1, committed);
        rig.kill(1);
        committed = stored(&rig, 1, &view);
        rig.start(1);
        let next = rig.until(1, "it leads again", |view| view["leader"] == 1);
        assert!(
            number(&next, "term") > number(&view, "term") && number(&next, "last") >= committed,
            "{next}"
        );
    }
    rig.serves(1);
}

#[test]
fn members_that_are_all_killed_in_the_middle_of_appends_go_on_with_all_they_committed() {
    let mut rig = rig("crash-all", 3);
    let mut committed = 0;
    for round in 0..ROUNDS {
        let views: Vec<Value> = (1..=3).map(|id| busy(&rig, id, committed)).collect();
        committed = views.iter().map(|view| number(view, "committed")).max().expect("three");
        // In another order each time, and at once.
        let ids = (0..3).map(|n| 1 + (n + round) % 3);
        ids.clone().for_each(|id| rig.kill(id));
        for (view, id) in views.iter().zip(1..) {
            stored(&rig, id, view);
        }
        ids.for_each(|id| rig.start(id));
        rig.agree(&[1, 2, 3]);
        for id in 1..=3 {
            assert!(number(&rig.view(id), "committed") >= committed, "member {id} in round {round}");
        }
    }
    (1..=3).for_each(|id| rig.serves(id));
}
