//! Tests of members that are killed while they append entries: after a restart all acknowledged entries must
//! be there.

use crate::rig::{voters, Rig};
use dahliatrack::federation::store::Store;
use dahliatrack::federation::MemberId;
use serde_json::Value;

/// Number of times that the members are killed.
const ROUNDS: u64 = 6;
/// The minimum number of entries committed between two kills.
const ENTRIES: u64 = 4;

fn number(view: &Value, key: &str) -> u64 {
    view[key].as_u64().expect("a number")
}

/// Starts a federation whose leases are so short that renewals append entries many times a second.
fn rig(name: &str, count: u64) -> Rig {
    Rig::with_files(name, voters(1..=count), |text| {
        text.replace("tick_ms = 40", "lease_ms = 300\n guard_ms = 10\n tick_ms = 5")
    })
}

/// Waits until a member has committed [`ENTRIES`] more entries than `from`; returns its view at that moment.
fn wait_for_entries(rig: &Rig, id: u64, from: u64) -> Value {
    rig.wait_for_view(id, "entries are committed", |view| number(view, "committed") >= from + ENTRIES)
}

/// Checks that a killed member has stored at least what its view showed; returns the last stored index.
fn check_stored(rig: &Rig, id: u64, view: &Value) -> u64 {
    let path = rig.folder(id).join("federation.redb");
    let (_, saved) = Store::open(&path, "tests", MemberId(id)).expect("the store is usable after a kill");
    let (last, term) = (saved.last_index().get(), saved.hard_state.term.get());
    assert!(last >= number(view, "committed") && term >= number(view, "term"), "{last} in {term}: {view}");
    last
}

/// With a single voter, no other member has the entries that it committed.
#[test]
fn single_voter_recovers_committed_entries_after_kill() {
    let mut rig = rig("crash-one", 1);
    let mut committed = 0;
    for _ in 0..ROUNDS {
        let view = wait_for_entries(&rig, 1, committed);
        rig.kill(1);
        committed = check_stored(&rig, 1, &view);
        rig.start(1);
        let next = rig.wait_for_view(1, "it leads again", |view| view["leader"] == 1);
        assert!(
            number(&next, "term") > number(&view, "term") && number(&next, "last") >= committed,
            "{next}"
        );
    }
    rig.assert_serves(1);
}

#[test]
fn all_members_recover_committed_entries_after_kill() {
    let mut rig = rig("crash-all", 3);
    let mut committed = 0;
    for round in 0..ROUNDS {
        let views: Vec<Value> = (1..=3).map(|id| wait_for_entries(&rig, id, committed)).collect();
        committed = views.iter().map(|view| number(view, "committed")).max().expect("three views");
        // Kills the members one right after the other, in a different order each round.
        let ids = (0..3).map(|n| 1 + (n + round) % 3);
        ids.clone().for_each(|id| rig.kill(id));
        for (view, id) in views.iter().zip(1..) {
            check_stored(&rig, id, view);
        }
        ids.for_each(|id| rig.start(id));
        rig.wait_for_agreement(&[1, 2, 3]);
        for id in 1..=3 {
            assert!(number(&rig.view(id), "committed") >= committed, "member {id} in round {round}");
        }
    }
    (1..=3).for_each(|id| rig.assert_serves(id));
}
