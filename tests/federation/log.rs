//! Tests of elections and the log: there is one leader whichever process ends, stalls or is isolated, no
//! committed entry is lost, and the edge proxies serve requests throughout.

use crate::relay::Mode;
use crate::rig::{address, get, voters, Rig};
use std::time::{Duration, Instant};

#[test]
fn killed_leader_is_replaced_and_recovers_its_log() {
    let mut rig = Rig::new("killed", voters(1..=3));
    let (leader, term) = rig.leader(&[1, 2, 3]);
    let before = rig.view(leader)["committed"].as_u64().expect("an index");
    rig.kill(leader);
    let others = rig.others(leader);
    let (next, later) = rig.leader(&others);
    assert!(next != leader && later > term, "{next} in {later} after {leader} in {term}");
    rig.assert_serves(next);
    rig.start(leader);
    let (_, now) = rig.leader(&[1, 2, 3]);
    assert!(now >= later);
    for id in 1..=3 {
        let view = rig.view(id);
        assert!(view["committed"].as_u64() >= Some(before), "no committed entry is lost: {view}");
        assert_eq!(view["members"].as_array().map(Vec::len), Some(3));
    }
    let stats = get(&rig.running[&1].proxy, rig.running[&1].admin, "/stats").1;
    assert!(stats.contains("federation.members=3") && stats.contains("federation.halted=0"), "{stats}");
}

#[test]
fn no_leader_without_majority_and_requests_are_served() {
    let mut rig = Rig::new("minority", voters(1..=3));
    rig.kill(1);
    rig.kill(2);
    rig.wait_for_view(3, "no leader", |view| view["leader"] == 0);
    rig.assert_serves(3);
    rig.start(1);
    rig.leader(&[1, 3]);
    rig.assert_serves(3);
}

#[test]
fn all_members_restart_at_once_from_their_stores() {
    let mut rig = Rig::new("anew", voters(1..=3));
    let (_, term) = rig.leader(&[1, 2, 3]);
    let before = rig.view(1)["committed"].as_u64();
    (1..=3).for_each(|id| rig.kill(id));
    (1..=3).for_each(|id| rig.start(id));
    let (leader, later) = rig.leader(&[1, 2, 3]);
    assert!(later > term, "a term is not reused");
    assert!(rig.view(leader)["committed"].as_u64() > before);
}

#[test]
fn resumed_leader_follows_the_new_leader() {
    let mut rig = Rig::new("stopped", voters(1..=3));
    let (leader, term) = rig.leader(&[1, 2, 3]);
    rig.signal(leader, "-STOP");
    let (next, later) = rig.leader(&rig.others(leader));
    assert!(later > term);
    rig.signal(leader, "-CONT");
    rig.wait_for_view(leader, "the new leader", |view| view["leader"] == next && view["term"] == later);
    assert_eq!(rig.leader(&[1, 2, 3]), (next, later), "the resumed leader does not disrupt the others");
    rig.assert_serves(leader);
}

#[test]
fn isolated_leader_steps_down_and_others_elect() {
    for mode in [Mode::Cut, Mode::Hold] {
        let mut rig = Rig::new(&format!("cut-{mode:?}"), voters(1..=3));
        let (leader, term) = rig.leader(&[1, 2, 3]);
        rig.set_relay_modes(leader, mode, (true, true));
        rig.wait_for_view(leader, "no leader", |view| view["leader"] == 0);
        rig.assert_serves(leader);
        let (next, later) = rig.leader(&rig.others(leader));
        assert!(later > term);
        rig.set_relay_modes(leader, Mode::Pass, (true, true));
        assert_eq!(rig.leader(&[1, 2, 3]), (next, later), "the returning leader does not disrupt the others");
    }
}

/// Pre-vote: a member that is in contact with the leader gives no vote. A member whose messages do not
/// arrive, or that does not receive the leader's, therefore cannot raise the term.
#[test]
fn one_way_cut_does_not_change_the_leader() {
    for (out, back) in [(true, false), (false, true)] {
        let mut rig = Rig::new(&format!("one-way-{out}"), voters(1..=3));
        let (leader, term) = rig.leader(&[1, 2, 3]);
        let member = rig.others(leader)[0];
        rig.set_relay_modes(member, Mode::Hold, (out, back));
        if back {
            rig.wait_for_view(member, "the member receives nothing from the leader", |view| {
                view["leader"] == 0
            });
        } else {
            rig.wait_for_view(leader, "the leader receives nothing from the member", |view| {
                view["members"].as_array().is_some_and(|all| all.iter().any(|one| one["active"] == false))
            });
        }
        rig.assert_serves(member);
        rig.set_relay_modes(member, Mode::Pass, (out, back));
        assert_eq!(rig.leader(&[1, 2, 3]), (leader, term), "out {out}, back {back}");
    }
}

#[test]
fn leader_transfers_leadership_on_sigterm() {
    let rig = Rig::new("ends", voters(1..=3));
    let (leader, term) = rig.leader(&[1, 2, 3]);
    let others = rig.others(leader);
    let since = Instant::now();
    rig.signal(leader, "-TERM");
    let next = rig
        .wait_for_view(others[0], "another leader", |view| view["leader"] != 0 && view["leader"] != leader);
    let took = since.elapsed();
    assert_eq!(next["term"], term + 1, "leadership was transferred, without an election after a timeout");
    // The election timeout is at least 200 ms here, and pre-vote can take as long again.
    assert!(took < Duration::from_secs(5), "{took:?}");
    rig.wait_for_agreement(&others);
}

#[test]
fn store_moves_to_a_newer_process_and_back() {
    let mut rig = Rig::new("newer", voters(1..=3));
    let (leader, _) = rig.leader(&[1, 2, 3]);
    let old = rig.running.remove(&leader).expect("the leader is running");
    let file = rig.file(leader).display().to_string();
    let proxy = old.proxy.start_newer(&["--admin", "127.0.0.1:0", "--federation", &file]);
    let admin = address(&proxy.wait_for_log("admin endpoint: listening on "));
    let listen = address(&proxy.wait_for_log("federation: listening on "));
    old.proxy.wait_for_log("federation: paused, a newer process takes over the store");
    let new = crate::rig::RunningMember { proxy, admin, listen };
    rig.set_relay_targets(leader, &new);
    rig.running.insert(leader, new);
    let (_, term) = rig.leader(&[1, 2, 3]);
    // The newer process is killed before the older one has ended, so the older one takes over again.
    rig.kill(leader);
    let listen = address(&old.proxy.wait_for_log("federation: listening on "));
    let old = crate::rig::RunningMember { listen, ..old };
    rig.set_relay_targets(leader, &old);
    rig.running.insert(leader, old);
    assert!(rig.leader(&[1, 2, 3]).1 >= term);
    rig.assert_serves(leader);
}
