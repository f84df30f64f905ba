//! Who belongs to a federation, who does not, and what a damaged store means.

use crate::rig::{voters, Rig, KEY};
use std::io::{Read, Write};
use std::net::TcpStream;

fn votes(view: &serde_json::Value) -> Vec<(u64, bool)> {
    let members = view["members"].as_array().expect("members");
    let one = |member: &serde_json::Value| Some((member["id"].as_u64()?, member["voter"].as_bool()?));
    members.iter().map(|member| one(member).expect("a member")).collect()
}

#[test]
fn members_come_and_go_by_the_file_and_sighup_one_at_a_time() {
    let mut rig = Rig::new("members", vec![(1, true), (2, true), (3, true), (4, false)]);
    assert_eq!(rig.view(4)["role"], "learner", "it hears what is committed, and never votes");
    // Member 5 comes to vote, member 4 too, member 1 only listens from now on.
    let second = vec![(1, false), (2, true), (3, true), (4, true), (5, true)];
    for id in 1..=5 {
        rig.write(id, 2, &second);
    }
    assert!(rig.init(5, true).status.success());
    rig.start(5);
    (1..=4).for_each(|id| rig.signal(id, "-HUP"));
    for id in 1..=5 {
        rig.until(id, "revision 2", |view| view["revision"] == 2 && votes(view) == second);
    }
    // Members 1 and 2 go: whoever leads then is none of them.
    let third = vec![(3, true), (4, true), (5, true)];
    for id in 3..=5 {
        rig.write(id, 3, &third);
        rig.signal(id, "-HUP");
    }
    // Whoever leads takes no file but its own: 1 and 2 are told, too, by a file that lists them no more but themselves.
    for id in 1..=2 {
        let all: Vec<(u64, bool)> = third.iter().copied().chain([(id, false)]).collect();
        rig.write(id, 2, &all);
    }
    for id in 3..=5 {
        if rig.view(id)["leader"].as_u64().is_some_and(|leader| leader < 3) {
            let leader = rig.view(id)["leader"].as_u64().expect("one");
            rig.signal(leader, "-TERM");
        }
        rig.until(id, "revision 3", |view| view["revision"] == 3 && votes(view) == third);
    }
    rig.agree(&[3, 4, 5]);
    (1..=2).for_each(|id| rig.kill(id));
    rig.agree(&[3, 4, 5]);
}

#[test]
fn a_file_that_does_not_check_or_would_change_who_a_member_is_changes_nothing() {
    let mut rig = Rig::new("file", voters(1..=3));
    for (change, wanted) in [
        (("cluster = \"tests\"", "cluster = \"others\""), "cluster can't change in service"),
        (("revision = 2", "revision = 0"), "revision must be a whole number from 1"),
    ] {
        rig.write_as(1, 2, &voters(1..=3), |text| text.replace(change.0, change.1));
        rig.signal(1, "-HUP");
        let line = rig.running[&1].proxy.wait_for_log("reload: ");
        assert!(line.contains(wanted), "{line}");
    }
    assert_eq!(rig.view(1)["file_revision"], 1);
    rig.serves(1);
    rig.agree(&[1, 2, 3]);
}

/// One with another key, one of another federation, one that comes with another store under a member's name, and one
/// whose federation was founded with other members.
#[test]
fn strangers_are_refused_with_one_line_and_disturb_nobody() {
    let mut rig = Rig::new("strangers", voters(1..=3));
    let at = rig.leader(&[1, 2, 3]);
    type Case<'a> = (&'a str, fn(String) -> String, &'a str);
    let cases: [Case; 3] = [
        ("key", |text| text, "it does not hold the key"),
        ("cluster", |text| text.replace("\"tests\"", "\"others\""), "it is of another federation"),
        ("store", |text| text, "its store is not the one that this member came with"),
    ];
    let target = rig.others(3)[0];
    let real = rig.running.remove(&3).expect("it runs");
    drop(real);
    let folder = rig.folder(3);
    for (case, change, wanted) in cases {
        std::fs::rename(folder.join("federation.redb"), folder.join("kept")).expect("moved");
        rig.write_as(3, 1, &voters(1..=3), change);
        if case == "key" {
            std::fs::write(folder.join("federation.secret"), KEY.replace('c', "d")).expect("written");
        }
        assert!(rig.init(3, false).status.success());
        let (stranger, _) = rig.launch_only(3);
        let line = rig.running[&target].proxy.wait_for_log("federation: a connection is refused");
        assert!(line.contains(wanted), "{case}: {line}");
        drop(stranger);
        std::fs::rename(folder.join("kept"), folder.join("federation.redb")).expect("moved");
    }
    let now = rig.leader(&rig.others(3));
    if at.0 != 3 {
        assert_eq!(now, at, "nobody was disturbed");
    }
    rig.write(3, 1, &voters(1..=3));
    rig.start(3);
    rig.agree(&[1, 2, 3]);
}

#[test]
fn bytes_that_are_no_message_harm_no_member() {
    let rig = Rig::new("garbage", voters(1..=3));
    let at = rig.leader(&[1, 2, 3]);
    for (bytes, wanted) in [
        (&b"GET / HTTP/1.1\r\n\r\n"[..], "it speaks version 71"),
        (&[1, 255, 255, 255, 255, 0][..], "a message is too long"),
        (&[1, 0, 0, 0, 3, 9, 9, 9][..], "a message can't be read"),
    ] {
        let running = &rig.running[&at.0];
        let mut stream = TcpStream::connect(running.listen).expect("a connection");
        stream.write_all(bytes).expect("written");
        let line = running.proxy.wait_for_log("federation: a connection is refused");
        assert!(line.contains(wanted), "{line}");
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest); // ended, perhaps by a reset
    }
    assert_eq!(rig.leader(&[1, 2, 3]), at);
}

/// A torn store, one that was altered, none at all, and one that is another member's.
#[test]
fn a_member_whose_store_is_no_good_serves_and_never_votes_from_nothing() {
    let mut rig = Rig::new("damaged", voters(1..=3));
    rig.kill(3);
    let folder = rig.folder(3);
    let path = folder.join("federation.redb");
    let good = std::fs::read(&path).expect("a store");
    let altered = || {
        let mut bytes = good.clone();
        // Wherever the newest entry's site or key lies: one bit in each page but the first.
        (4096 + 100..bytes.len()).step_by(512).for_each(|at| bytes[at] ^= 1);
        bytes
    };
    let torn = good[..good.len() / 3].to_vec();
    let other = std::fs::read(rig.folder(2).join("federation.redb")).expect("a store");
    rig.kill(2);
    rig.until(1, "no leader", |view| view["leader"] == 0);
    for (what, bytes) in
        [("torn", Some(torn)), ("altered", Some(altered())), ("absent", None), ("another's", Some(other))]
    {
        match bytes {
            Some(bytes) => std::fs::write(&path, bytes).expect("written"),
            None => std::fs::remove_file(&path).expect("removed"),
        }
        let (proxy, admin) = rig.launch_only(3);
        proxy.wait_for_log("this member takes no part; the edge proxy serves alone");
        rig.running.insert(3, crate::rig::Running { proxy, admin, listen: admin });
        let view = rig.view(3);
        assert!(view["halted"].is_string() && view["leader"] == 0, "{what}: {view}");
        rig.serves(3);
        // Its vote would make a majority with member 1.
        assert_eq!(rig.view(1)["leader"], 0, "{what}: it does not vote");
        rig.kill(3);
    }
    assert!(!rig.init(2, false).status.success(), "a store is never written over");
    std::fs::write(&path, good).expect("written");
    rig.start(3);
    rig.agree(&[1, 3]);
}
