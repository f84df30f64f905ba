//! One leader, whatever ends, stalls or is cut off; nothing that was committed is lost; and the edge proxies serve all
//! along.

use crate::relay::Mode;
use crate::rig::{address, get, voters, Rig};
use std::time::{Duration, Instant};

#[test]
fn a_killed_leader_is_followed_by_another_and_comes_back_with_all_it_had() {
    let mut rig = Rig::new("killed", voters(1..=3));
    let (leader, term) = rig.leader(&[1, 2, 3]);
    let before = rig.view(leader)["committed"].as_u64().expect("a place");
    rig.kill(leader);
    let others = rig.others(leader);
    let (next, later) = rig.leader(&others);
    assert!(next != leader && later > term, "{next} in {later} after {leader} in {term}");
    rig.serves(next);
    rig.start(leader);
    let (_, now) = rig.leader(&[1, 2, 3]);
    assert!(now >= later);
    for id in 1..=3 {
        let view = rig.view(id);
        assert!(view["committed"].as_u64() >= Some(before), "nothing is lost: {view}");
        assert_eq!(view["members"].as_array().map(Vec::len), Some(3));
    }
    let figures = get(&rig.running[&1].proxy, rig.running[&1].admin, "/stats").1;
    assert!(figures.contains("federation.members=3") && figures.contains("federation.halted=0"), "{figures}");
}

#[test]
fn without_a_majority_nobody_leads_and_each_edge_proxy_serves_as_it_does_alone() {
    let mut rig = Rig::new("minority", voters(1..=3));
    rig.kill(1);
    rig.kill(2);
    rig.until(3, "no leader", |view| view["leader"] == 0);
    rig.serves(3);
    rig.start(1);
    rig.leader(&[1, 3]);
    rig.serves(3);
}

#[test]
fn all_members_that_start_anew_at_once_go_on_from_their_stores() {
    let mut rig = Rig::new("anew", voters(1..=3));
    let (_, term) = rig.leader(&[1, 2, 3]);
    let before = rig.view(1)["committed"].as_u64();
    (1..=3).for_each(|id| rig.kill(id));
    (1..=3).for_each(|id| rig.start(id));
    let (leader, later) = rig.leader(&[1, 2, 3]);
    assert!(later > term, "a term is never used again");
    assert!(rig.view(leader)["committed"].as_u64() > before);
}

#[test]
fn a_stopped_leader_that_is_woken_follows_the_one_that_was_chosen_meanwhile() {
    let mut rig = Rig::new("stopped", voters(1..=3));
    let (leader, term) = rig.leader(&[1, 2, 3]);
    rig.signal(leader, "-STOP");
    let (next, later) = rig.leader(&rig.others(leader));
    assert!(later > term);
    rig.signal(leader, "-CONT");
    rig.until(leader, "the new leader", |view| view["leader"] == next && view["term"] == later);
    assert_eq!(rig.leader(&[1, 2, 3]), (next, later), "its waking disturbs nobody");
    rig.serves(leader);
}

#[test]
fn a_leader_that_is_cut_off_stops_leading_and_serves_and_others_go_on() {
    for mode in [Mode::Cut, Mode::Hold] {
        let mut rig = Rig::new(&format!("cut-{mode:?}"), voters(1..=3));
        let (leader, term) = rig.leader(&[1, 2, 3]);
        rig.isolate(leader, mode, (true, true));
        rig.until(leader, "no leader", |view| view["leader"] == 0);
        rig.serves(leader);
        let (next, later) = rig.leader(&rig.others(leader));
        assert!(later > term);
        rig.isolate(leader, Mode::Pass, (true, true));
        assert_eq!(rig.leader(&[1, 2, 3]), (next, later), "its return disturbs nobody");
    }
}

/// Pre-vote: whoever hears the leader gives no vote, so a member that is not heard raises no term; nor does one that
/// does not hear the leader.
#[test]
fn a_cut_in_one_way_only_changes_no_leader() {
    for (out, back) in [(true, false), (false, true)] {
        let mut rig = Rig::new(&format!("one-way-{out}"), voters(1..=3));
        let (leader, term) = rig.leader(&[1, 2, 3]);
        let member = rig.others(leader)[0];
        rig.isolate(member, Mode::Hold, (out, back));
        if back {
            rig.until(member, "the leader is not heard", |view| view["leader"] == 0);
        } else {
            rig.until(leader, "the member is not heard", |view| {
                view["members"].as_array().is_some_and(|all| all.iter().any(|one| one["active"] == false))
            });
        }
        rig.serves(member);
        rig.isolate(member, Mode::Pass, (out, back));
        assert_eq!(rig.leader(&[1, 2, 3]), (leader, term), "out {out}, back {back}");
    }
}

#[test]
fn a_leader_that_is_told_to_end_hands_the_lead_on_at_once() {
    let rig = Rig::new("ends", voters(1..=3));
    let (leader, term) = rig.leader(&[1, 2, 3]);
    let others = rig.others(leader);
    let since = Instant::now();
    rig.signal(leader, "-TERM");
    let next = rig.until(others[0], "another leader", |view| view["leader"] != 0 && view["leader"] != leader);
    let took = since.elapsed();
    assert_eq!(next["term"], term + 1, "it was given the lead, nobody stood for election");
    // An election's timeout is 200 ms at the least here, with as much again before pre-vote succeeds.
    assert!(took < Duration::from_secs(5), "{took:?}");
    rig.agree(&others);
}

#[test]
fn a_newer_process_of_an_edge_proxy_takes_over_its_store_and_its_place() {
    let mut rig = Rig::new("newer", voters(1..=3));
    let (leader, _) = rig.leader(&[1, 2, 3]);
    let old = rig.running.remove(&leader).expect("it runs");
    let file = rig.file(leader).display().to_string();
    let proxy = old.proxy.start_newer(&["--admin", "127.0.0.1:0", "--federation", &file]);
    let admin = address(&proxy.wait_for_log("admin endpoint: listening on "));
    let listen = address(&proxy.wait_for_log("federation listens on "));
    old.proxy.wait_for_log("federation: left to a newer process");
    let new = crate::rig::Running { proxy, admin, listen };
    rig.arrive(leader, &new);
    rig.running.insert(leader, new);
    let (_, term) = rig.leader(&[1, 2, 3]);
    // The newer one is gone before the older one has ended: the older one takes its place again.
    rig.kill(leader);
    let listen = address(&old.proxy.wait_for_log("federation listens on "));
    let old = crate::rig::Running { listen, ..old };
    rig.arrive(leader, &old);
    rig.running.insert(leader, old);
    assert!(rig.leader(&[1, 2, 3]).1 >= term);
    rig.serves(leader);
}
