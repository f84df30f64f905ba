//! A newer process takes over from an older one under load.

use crate::operators::{admin, figures, get};
use crate::platform::{request, served, Client};
use crate::stand_ins::*;

/// Asks on a connection of its own and is answered.
fn ask(proxy: &Proxy, cache: &Cache, seqid: i32) -> Client {
    let mut client = Client::new(proxy);
    client.send(&request(seqid, "replay"));
    cache.next().answer("200", "ver=a", b"x");
    assert_eq!(client.reply(), (seqid, served(b"x")));
    client
}

#[test]
fn an_upgrade_answers_what_is_open_and_leaves_what_comes_to_the_newer_process() {
    let (cache, _parent, mut old, _) = admin("upgrade", str::to_owned);
    for round in 0..2 {
        let mut idle = ask(&old, &cache, 10);
        let mut half = ask(&old, &cache, 10);
        half.send(&request(12, "replay")[..9]);
        let mut busy = Client::new(&old);
        busy.send(&request(20, "result"));
        let mut open = cache.next();
        let new = old.newer(&["--admin", "127.0.0.1:0"]);
        let addr = new.logged("admin endpoint: listening on ").parse().expect("an address");
        assert_eq!((new.addr, get(&new, addr, "/healthcheck").0), (old.addr, 200));
        old.logged("a newer process takes over");
        old.signal("-TERM");
        old.logged("listeners closed: the newer process accepts clients");
        // Only the newer process listens now, and what was idle is its.
        let mut next = ask(&new, &cache, 30);
        idle.send(&request(11, "replay"));
        cache.next().answer("200", "ver=a", b"x");
        assert_eq!(idle.reply(), (11, served(b"x")), "round {round}");
        half.send(&request(12, "replay")[9..]);
        cache.next().answer("200", "ver=a", b"x");
        assert_eq!(half.reply(), (12, served(b"x")), "what was read in part is not lost, round {round}");
        assert_eq!(figures(&new, addr, ["replies.replay.success"]), [3]);
        open.answer("200", "ver=a", b"ran");
        assert_eq!(busy.reply(), (20, served(b"ran")), "what was open is answered, round {round}");
        busy.send(&request(21, "result"));
        cache.next().answer("200", "ver=a", b"ran");
        assert_eq!(busy.reply(), (21, served(b"ran")), "its connection goes on, round {round}");
        assert_eq!(figures(&new, addr, ["replies.result.success"]), [1]);
        assert!(old.child.wait().expect("an end").success());
        new.logged("the older process has ended");
        new.signal("-HUP");
        new.logged("reloaded: feed ");
        next.send(&request(31, "replay"));
        cache.next().answer("200", "ver=a", b"y");
        assert_eq!(next.reply(), (31, served(b"y")));
        old = new;
    }
}

#[test]
fn a_newer_process_that_ends_early_leaves_the_older_one_serving_and_to_be_found() {
    let (cache, _parent, old, _) = admin("early", str::to_owned);
    let new = old.newer(&["--admin", "127.0.0.1:0"]);
    new.logged("admin endpoint: listening on ");
    old.logged("a newer process takes over");
    drop(new);
    old.logged("the newer process has ended");
    ask(&old, &cache, 1);
    let next = old.newer(&["--admin", "127.0.0.1:0"]);
    next.logged("admin endpoint: listening on ");
    old.logged("a newer process takes over");
    old.signal("-TERM");
    old.logged("listeners closed: the newer process accepts clients");
    ask(&next, &cache, 2);
}

/// A place that a killed process left behind is no process.
#[test]
fn a_stale_place_is_taken() {
    let (cache, _parent, mut old, _) = admin("stale", str::to_owned);
    old.child.kill().expect("killed");
    old.child.wait().expect("an end");
    let new = old.newer(&["--admin", "127.0.0.1:0"]);
    new.logged("admin endpoint: listening on ");
    ask(&new, &cache, 1);
    let next = new.newer(&["--admin", "127.0.0.1:0"]);
    new.logged("a newer process takes over");
    next.signal("-TERM");
    new.logged("the newer process has ended");
}

#[test]
fn one_that_leaves_and_loses_the_newer_process_still_answers_what_is_open() {
    let (cache, _parent, mut old, _) = admin("left-alone", str::to_owned);
    let mut busy = Client::new(&old);
    busy.send(&request(1, "result"));
    let mut open = cache.next();
    let new = old.newer(&["--admin", "127.0.0.1:0"]);
    new.logged("admin endpoint: listening on ");
    old.logged("a newer process takes over");
    old.signal("-TERM");
    old.logged("listeners closed: the newer process accepts clients");
    drop(new);
    old.logged("the newer process has ended");
    open.answer("200", "ver=a", b"ran");
    assert_eq!(busy.reply(), (1, served(b"ran")));
    assert!(busy.is_closed(), "there is nobody to hand it to");
    assert!(old.child.wait().expect("an end").success());
}
