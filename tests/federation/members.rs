//! Tests of membership changes, rejected connections and unusable stores.

use crate::rig::{voters, Rig, KEY};
use std::io::{Read, Write};
use std::net::TcpStream;

fn votes(view: &serde_json::Value) -> Vec<(u64, bool)> {
    let members = view["members"].as_array().expect("members");
    let one = |member: &serde_json::Value| Some((member["id"].as_u64()?, member["voter"].as_bool()?));
    members.iter().map(|member| one(member).expect("a member")).collect()
}

#[test]
fn members_change_one_at_a_time_by_file_and_sighup() {
    let mut rig = Rig::new("members", vec![(1, true), (2, true), (3, true), (4, false)]);
    assert_eq!(rig.view(4)["role"], "learner", "member 4 is not a voter");
    // Member 5 is added as a voter, member 4 becomes a voter, and member 1 becomes a learner.
    let second = vec![(1, false), (2, true), (3, true), (4, true), (5, true)];
    for id in 1..=5 {
        rig.write_file(id, 2, &second);
    }
    assert!(rig.init(5, true).status.success());
    rig.start(5);
    (1..=4).for_each(|id| rig.signal(id, "-HUP"));
    for id in 1..=5 {
        rig.wait_for_view(id, "revision 2", |view| view["revision"] == 2 && votes(view) == second);
    }
    // Members 1 and 2 are removed; the leader must then be one of the others.
    let third = vec![(3, true), (4, true), (5, true)];
    for id in 3..=5 {
        rig.write_file(id, 3, &third);
        rig.signal(id, "-HUP");
    }
    // A leader uses only its own file. Files of members 1 and 2 are therefore written, too: each lists the
    // new members and itself.
    for id in 1..=2 {
        let all: Vec<(u64, bool)> = third.iter().copied().chain([(id, false)]).collect();
        rig.write_file(id, 2, &all);
    }
    for id in 3..=5 {
        if rig.view(id)["leader"].as_u64().is_some_and(|leader| leader < 3) {
            let leader = rig.view(id)["leader"].as_u64().expect("a leader");
            rig.signal(leader, "-TERM");
        }
        rig.wait_for_view(id, "revision 3", |view| view["revision"] == 3 && votes(view) == third);
    }
    rig.wait_for_agreement(&[3, 4, 5]);
    (1..=2).for_each(|id| rig.kill(id));
    rig.wait_for_agreement(&[3, 4, 5]);
}

#[test]
fn reload_rejects_invalid_file_and_fixed_settings() {
    let mut rig = Rig::new("file", voters(1..=3));
    for (change, wanted) in [
        (("cluster = \"tests\"", "cluster = \"others\""), "cluster cannot be changed without a restart"),
        (("revision = 2", "revision = 0"), "revision must be a whole number from 1"),
    ] {
        rig.write_file_with(1, 2, &voters(1..=3), |text| text.replace(change.0, change.1));
        rig.signal(1, "-HUP");
        let line = rig.running[&1].proxy.wait_for_log("reload: ");
        assert!(line.contains(wanted), "{line}");
    }
    assert_eq!(rig.view(1)["file_revision"], 1);
    rig.assert_serves(1);
    rig.wait_for_agreement(&[1, 2, 3]);
}

/// The unauthorized members have another key, belong to another federation, or use another store under a
/// member's id.
#[test]
fn unauthorized_connections_are_rejected_and_logged() {
    let mut rig = Rig::new("strangers", voters(1..=3));
    let at = rig.leader(&[1, 2, 3]);
    type Case<'a> = (&'a str, fn(String) -> String, &'a str);
    let cases: [Case; 3] = [
        ("key", |text| text, "the peer does not have the federation's key"),
        ("cluster", |text| text.replace("\"tests\"", "\"others\""), "the peer belongs to another federation"),
        ("store", |text| text, "its store is not the one that is enrolled for this member"),
    ];
    let target = rig.others(3)[0];
    let real = rig.running.remove(&3).expect("member 3 is running");
    drop(real);
    let folder = rig.folder(3);
    for (case, change, wanted) in cases {
        std::fs::rename(folder.join("federation.redb"), folder.join("kept")).expect("moved");
        rig.write_file_with(3, 1, &voters(1..=3), change);
        if case == "key" {
            std::fs::write(folder.join("federation.secret"), KEY.replace('c', "d")).expect("written");
        }
        assert!(rig.init(3, false).status.success());
        let (unauthorized_member, _) = rig.launch_without_listener(3);
        let line = rig.running[&target].proxy.wait_for_log("federation: a connection is rejected");
        assert!(line.contains(wanted), "{case}: {line}");
        drop(unauthorized_member);
        std::fs::rename(folder.join("kept"), folder.join("federation.redb")).expect("moved");
    }
    let now = rig.leader(&rig.others(3));
    if at.0 != 3 {
        assert_eq!(now, at, "the leader and term are unchanged");
    }
    rig.write_file(3, 1, &voters(1..=3));
    rig.start(3);
    rig.wait_for_agreement(&[1, 2, 3]);
}

#[test]
fn garbage_bytes_do_not_disturb_the_leader() {
    let rig = Rig::new("garbage", voters(1..=3));
    let at = rig.leader(&[1, 2, 3]);
    for (bytes, wanted) in [
        (&b"GET / HTTP/1.1\r\n\r\n"[..], "protocol version 71 is not supported"),
        (&[1, 255, 255, 255, 255, 0][..], "a message is too long, the maximum is 1024 bytes"),
        (&[1, 0, 0, 0, 3, 9, 9, 9][..], "a message cannot be decoded or its tag is wrong"),
    ] {
        let running = &rig.running[&at.0];
        let mut stream = TcpStream::connect(running.listen).expect("a connection");
        stream.write_all(bytes).expect("written");
        let line = running.proxy.wait_for_log("federation: a connection is rejected");
        assert!(line.contains(wanted), "{line}");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest); // the connection ends, perhaps by a reset
    }
    assert_eq!(rig.leader(&[1, 2, 3]), at);
}

/// The store is cut off, altered, absent, or another member's. A member that voted without its stored votes
/// could vote twice in a term.
#[test]
fn member_with_unusable_store_serves_but_does_not_vote() {
    let mut rig = Rig::new("damaged", voters(1..=3));
    rig.kill(3);
    let folder = rig.folder(3);
    let path = folder.join("federation.redb");
    let good = std::fs::read(&path).expect("a store");
    let altered = || {
        let mut bytes = good.clone();
        // Flips one bit in every 512 bytes after the first page, wherever the newest entry is stored.
        (4096 + 100..bytes.len()).step_by(512).for_each(|at| bytes[at] ^= 1);
        bytes
    };
    let torn = good[..good.len() / 3].to_vec();
    let other = std::fs::read(rig.folder(2).join("federation.redb")).expect("a store");
    rig.kill(2);
    rig.wait_for_view(1, "no leader", |view| view["leader"] == 0);
    for (what, bytes) in
        [("torn", Some(torn)), ("altered", Some(altered())), ("absent", None), ("another's", Some(other))]
    {
        match bytes {
            Some(bytes) => std::fs::write(&path, bytes).expect("written"),
            None => std::fs::remove_file(&path).expect("removed"),
        }
        let (proxy, admin) = rig.launch_without_listener(3);
        proxy.wait_for_log("this member is halted; the edge proxy keeps serving");
        rig.running.insert(3, crate::rig::RunningMember { proxy, admin, listen: admin });
        let view = rig.view(3);
        assert!(view["halted"].is_string() && view["leader"] == 0, "{what}: {view}");
        rig.assert_serves(3);
        // Members 1 and 3 would be a majority, so a vote of member 3 would elect a leader.
        assert_eq!(rig.view(1)["leader"], 0, "{what}: member 3 must not vote");
        rig.kill(3);
    }
    assert!(!rig.init(2, false).status.success(), "an existing store must not be overwritten");
    std::fs::write(&path, good).expect("written");
    rig.start(3);
    rig.wait_for_agreement(&[1, 3]);
}
