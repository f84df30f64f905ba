//! Tests of `feed`.

use super::*;

/// A schedule that holds only one deadline, as the feed has no more.
#[derive(Default)]
struct SingleDeadline(Option<(Instant, FeedDeadline)>);

impl Schedule<FeedDeadline> for SingleDeadline {
    fn add(&mut self, at: Instant, what: FeedDeadline) -> DeadlineHandle {
        self.0 = Some((at, what));
        let mut some = crate::deadlines::Deadlines::<FeedDeadline>::default();
        some.add(at, what)
    }

    fn remove(&mut self, _: DeadlineHandle) {
        self.0 = None;
    }
}

/// Returns a listener that accepts connections and never answers, with its address.
fn silent_listener() -> (std::net::TcpListener, SocketAddr) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Guards against a stalled feed that is not polled again in time: its events count as delivered 2 s after
/// the end of the poll's wait.
#[test]
fn stalled_feed_is_polled_again_within_delivery_bound() {
    let ((_old, addr), mut net, mut deadlines) =
        (silent_listener(), Net::new().expect("an event queue"), SingleDeadline::default());
    let mut feed = Feed::new(addr, 7);
    feed.connect(Instant::ZERO, &mut net, &mut deadlines);
    feed.is_up = true;
    feed.send_poll(Instant::ZERO, &mut net, &mut deadlines);
    let (mut now, mut last) = (Instant::ZERO, None);
    while let Some((at, what)) = deadlines.0.take() {
        (now, last) = (at, Some(what));
        if what == FeedDeadline::Retry {
            break;
        }
        feed.deadline_passed(at, what, &mut net, &mut deadlines);
    }
    assert!(
        last == Some(FeedDeadline::Retry)
            && now + MIN_CONNECT_TIMEOUT < Instant::ZERO + POLL_WAIT + DELIVERY_BOUND,
        "{last:?} at {now:?}"
    );
}

#[test]
fn moved_feed_reconnects_at_once_and_keeps_last_event() {
    let ((_old, addr), (_new, next)) = (silent_listener(), silent_listener());
    let (mut net, mut deadlines) = (Net::new().expect("an event queue"), SingleDeadline::default());
    let mut feed = Feed::new(addr, 7);
    feed.connect(Instant::ZERO, &mut net, &mut deadlines);
    let old = feed.connection;
    feed.move_to(Instant::from_micros(1), addr, &mut net, &mut deadlines);
    assert_eq!(feed.connection, old, "the same address must not cause a reconnect");
    let moved = Instant::from_micros(2);
    feed.move_to(moved, next, &mut net, &mut deadlines);
    assert!(feed.connection != old && feed.connection.is_some());
    assert_eq!((feed.addr, feed.last_event, net.count(Role::Feed)), (next, 7, 1));
    assert_eq!(deadlines.0, Some((moved + MIN_CONNECT_TIMEOUT, FeedDeadline::Overdue)));
}

/// Guards against a feed that is never reached because its connections come up later than a fixed connect
/// timeout.
#[test]
fn connect_timeout_doubles_until_connection_is_up() {
    let ((_old, addr), mut net, mut deadlines) =
        (silent_listener(), Net::new().expect("an event queue"), SingleDeadline::default());
    let mut feed = Feed::new(addr, 7);
    feed.connect(Instant::ZERO, &mut net, &mut deadlines);
    let (mut now, mut waits) = (Instant::ZERO, Vec::new());
    while waits.len() < 4 {
        let (at, what) = deadlines.0.take().expect("a deadline");
        if what == FeedDeadline::Overdue {
            waits.push(at - now);
        }
        now = at;
        feed.deadline_passed(at, what, &mut net, &mut deadlines);
    }
    assert_eq!(
        waits,
        [MIN_CONNECT_TIMEOUT, 2 * MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT]
    );
    feed.connect(now, &mut net, &mut deadlines);
    while feed.polls() == PollCounts::default() {
        feed.on_ready(now, &mut net, &mut deadlines);
    }
    assert_eq!(
        feed.connect_timeout, MIN_CONNECT_TIMEOUT,
        "a connection that comes up must reset the timeout"
    );
}
