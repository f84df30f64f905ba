//! Tests of `feed`.

use super::*;

/// Keeps the one deadline that the feed has.
#[derive(Default)]
struct Last(Option<(Instant, FeedDeadline)>);

impl Schedule<FeedDeadline> for Last {
    fn add(&mut self, at: Instant, what: FeedDeadline) -> DeadlineHandle {
        self.0 = Some((at, what));
        let mut some = crate::deadlines::Deadlines::<FeedDeadline>::default();
        some.add(at, what)
    }

    fn remove(&mut self, _: DeadlineHandle) {
        self.0 = None;
    }
}

/// An address that takes connections and says nothing.
fn mute() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// What a feed that stopped would have told counts as told 2 s after the wait it was asked for: by then
/// it must have been asked again.
#[test]
fn a_feed_that_stops_is_asked_again_in_time() {
    let ((_old, addr), mut net, mut due) = (mute(), Net::new().expect("a poll"), Last::default());
    let mut feed = Feed::new(addr, 7);
    feed.start(Instant::ZERO, &mut net, &mut due);
    feed.up = true;
    feed.ask(Instant::ZERO, &mut net, &mut due);
    let (mut now, mut last) = (Instant::ZERO, None);
    while let Some((at, what)) = due.0.take() {
        (now, last) = (at, Some(what));
        if what == FeedDeadline::Retry {
            break;
        }
        feed.deadline_passed(at, what, &mut net, &mut due);
    }
    assert!(
        last == Some(FeedDeadline::Retry)
            && now + CONNECT < Instant::ZERO + Span::from_millis(WAIT_MS) + TOLD_AFTER,
        "{last:?} at {now:?}"
    );
}

#[test]
fn it_moves_at_once_and_goes_on_after_its_last_event() {
    let ((_old, addr), (_new, next)) = (mute(), mute());
    let (mut net, mut due) = (Net::new().expect("a poll"), Last::default());
    let mut feed = Feed::new(addr, 7);
    feed.start(Instant::ZERO, &mut net, &mut due);
    let old = feed.conn;
    feed.move_to(Instant::from_micros(1), addr, &mut net, &mut due);
    assert_eq!(feed.conn, old, "the same address is no move");
    let moved = Instant::from_micros(2);
    feed.move_to(moved, next, &mut net, &mut due);
    assert!(feed.conn != old && feed.conn.is_some());
    assert_eq!((feed.addr, feed.last, net.count(Role::Feed)), (next, 7, 1));
    assert_eq!(due.0, Some((moved + CONNECT, FeedDeadline::Overdue)));
}

/// A feed whose connections come up late was given up each time, and never heard.
#[test]
fn a_connection_that_comes_up_late_is_waited_for_longer_each_time() {
    let ((_old, addr), mut net, mut due) = (mute(), Net::new().expect("a poll"), Last::default());
    let mut feed = Feed::new(addr, 7);
    feed.start(Instant::ZERO, &mut net, &mut due);
    let (mut now, mut waits) = (Instant::ZERO, Vec::new());
    while waits.len() < 4 {
        let (at, what) = due.0.take().expect("a deadline");
        if what == FeedDeadline::Overdue {
            waits.push(at - now);
        }
        now = at;
        feed.deadline_passed(at, what, &mut net, &mut due);
    }
    assert_eq!(waits, [CONNECT, 2 * CONNECT, CONNECT_MOST, CONNECT_MOST]);
    feed.start(now, &mut net, &mut due);
    while feed.polls() == [0; 2] {
        feed.on_ready(now, &mut net, &mut due);
    }
    assert_eq!(feed.connect, CONNECT, "one that came up is as quick as any");
}
