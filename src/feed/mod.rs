//! The client of the control feed: long polls over HTTP/1.1 for events after the last one received, with a growing
//! backoff between connections.
//!
//! - `reading`: responses, and the new events in them; `http`: the parser of responses.

mod http;
mod reading;

use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net, Reason, Role};
use std::net::SocketAddr;

/// How long the control feed may hold a response back. Short, since a feed that stops sending while its connection
/// stays open is noticed only after this time.
const POLL_WAIT: Span = Span::from_secs(1);
/// How much later than that a response may come.
const POLL_SLACK: Span = Span::from_millis(700);
/// How long a connection may take to come up, at first.
const MIN_CONNECT_TIMEOUT: Span = Span::from_millis(400);
/// How long a connection may take to come up, at most: the time-out doubles each time one comes up too late.
const MAX_CONNECT_TIMEOUT: Span = Span::from_millis(1_600);
/// The first backoff before a connection is opened again; it doubles until a poll is answered.
const MIN_BACKOFF: Span = Span::from_millis(30);
/// The longest backoff.
const MAX_BACKOFF: Span = Span::from_millis(500);
/// Events count as delivered this long after a break, or after the end of a poll's wait. A poll that broke or stalled
/// and the connection after it must fit into that.
const DELIVERY_BOUND: Span = Span::from_secs(2);
const _: () = {
    let (slack, connect) = (POLL_SLACK.as_micros(), MIN_CONNECT_TIMEOUT.as_micros());
    let (min_backoff, max_backoff) = (MIN_BACKOFF.as_micros(), MAX_BACKOFF.as_micros());
    let bound = DELIVERY_BOUND.as_micros();
    assert!(slack + connect + min_backoff < bound && connect + 2 * max_backoff < bound);
};

/// A deadline of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedDeadline {
    /// The backoff before the next connection is over.
    Retry,
    /// A connection did not come up, or a poll was not answered in time.
    Overdue,
}

/// How many polls were sent and answered. All events up to the time at which poll N was sent are known once it was
/// answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollCounts {
    /// Polls sent: the number of the newest one.
    pub sent: u64,
    /// The number of the newest poll that was answered.
    pub answered: u64,
}

/// The client of the control feed, with at most one connection to it.
pub struct Feed {
    addr: SocketAddr,
    /// The number of the last event received.
    last_event: u64,
    connection: Option<ConnectionKey>,
    is_up: bool,
    deadline: Option<DeadlineHandle>,
    /// The backoff before the next connection.
    backoff: Span,
    /// How long the next connection may take to come up.
    connect_timeout: Span,
    /// How long a response may be held back.
    poll_wait: Span,
    polls: PollCounts,
}

impl Feed {
    /// A client that has received the events up to number `last_event`.
    pub fn new(addr: SocketAddr, last_event: u64) -> Self {
        Feed {
            addr,
            last_event,
            connection: None,
            is_up: false,
            deadline: None,
            backoff: MIN_BACKOFF,
            connect_timeout: MIN_CONNECT_TIMEOUT,
            poll_wait: POLL_WAIT,
            polls: PollCounts::default(),
        }
    }

    /// The same client with another time for which the feed may hold a response back.
    pub fn with_poll_wait(self, poll_wait: Span) -> Self {
        Feed { poll_wait, ..self }
    }

    /// How many polls were sent and answered.
    pub fn polls(&self) -> PollCounts {
        self.polls
    }

    /// Whether a connection is the feed's.
    pub fn owns(&self, key: ConnectionKey) -> bool {
        self.connection == Some(key)
    }

    /// Opens a connection.
    pub fn connect(&mut self, now: Instant, net: &mut Net, deadlines: &mut dyn Schedule<FeedDeadline>) {
        match net.connect(now, self.addr, Role::Feed) {
            Ok(key) => {
                (self.connection, self.is_up) = (Some(key), false);
                self.set_deadline(now + self.connect_timeout, FeedDeadline::Overdue, deadlines);
            }
            Err(_) => self.back_off(now, deadlines),
        }
    }

    /// Continues at another address after the last event received. The old connection is closed at once: the new
    /// address has the same events under the same numbers.
    pub fn move_to(
        &mut self,
        now: Instant,
        addr: SocketAddr,
        net: &mut Net,
        deadlines: &mut dyn Schedule<FeedDeadline>,
    ) {
        if addr == self.addr {
            return;
        }
        (self.addr, self.backoff, self.connect_timeout) = (addr, MIN_BACKOFF, MIN_CONNECT_TIMEOUT);
        self.close_connection(now, Reason::Replaced, net);
        self.connect(now, net, deadlines);
    }

    fn send_poll(&mut self, now: Instant, net: &mut Net, deadlines: &mut dyn Schedule<FeedDeadline>) {
        let Some(key) = self.connection else { return };
        let (last, addr, wait_ms) = (self.last_event, self.addr, self.poll_wait.as_millis());
        let head = format!("GET /v1/events?SUB={last}&wait={wait_ms} HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        match net.write(key, [head.into()]) {
            Ok(()) => {
                self.polls.sent += 1;
                let until = now + self.poll_wait + POLL_SLACK;
                self.set_deadline(until, FeedDeadline::Overdue, deadlines);
            }
            Err(reason) => self.disconnect(now, reason, net, deadlines),
        }
    }

    /// Handles a deadline that has passed.
    pub fn deadline_passed(
        &mut self,
        now: Instant,
        deadline: FeedDeadline,
        net: &mut Net,
        deadlines: &mut dyn Schedule<FeedDeadline>,
    ) {
        self.deadline = None;
        match deadline {
            FeedDeadline::Retry => self.connect(now, net, deadlines),
            FeedDeadline::Overdue if self.is_up => self.disconnect(now, Reason::Silent, net, deadlines),
            FeedDeadline::Overdue => {
                self.connect_timeout = (2 * self.connect_timeout).min(MAX_CONNECT_TIMEOUT);
                self.disconnect(now, Reason::ConnectTimeout, net, deadlines);
            }
        }
    }

    /// Closes the connection; the next one is opened after the backoff.
    fn disconnect(
        &mut self,
        now: Instant,
        reason: Reason,
        net: &mut Net,
        deadlines: &mut dyn Schedule<FeedDeadline>,
    ) {
        self.close_connection(now, reason, net);
        self.back_off(now, deadlines);
    }

    fn close_connection(&mut self, now: Instant, reason: Reason, net: &mut Net) {
        if let Some(key) = self.connection.take() {
            net.close(now, key, reason);
        }
    }

    fn back_off(&mut self, now: Instant, deadlines: &mut dyn Schedule<FeedDeadline>) {
        self.set_deadline(now + self.backoff, FeedDeadline::Retry, deadlines);
        self.backoff = (2 * self.backoff).min(MAX_BACKOFF);
    }

    /// Replaces the deadline.
    fn set_deadline(
        &mut self,
        at: Instant,
        deadline: FeedDeadline,
        deadlines: &mut dyn Schedule<FeedDeadline>,
    ) {
        if let Some(handle) = self.deadline.take() {
            deadlines.remove(handle);
        }
        self.deadline = Some(deadlines.add(at, deadline));
    }
}

#[cfg(test)]
mod tests;
