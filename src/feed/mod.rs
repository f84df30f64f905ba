//! The client of the control feed. It fetches the events after the last one received by long polls over
//! HTTP/1.1, with a growing backoff between connections.
//!
//! - `reading`: the handling of responses and of the new events in them;
//! - `http`: the parser of HTTP responses.

mod http;
mod reading;

use crate::deadlines::{DeadlineHandle, Schedule};
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Net, Reason, Role};
use std::net::SocketAddr;

/// Time for which the control feed may hold a response back if there is no new event. It is short, since a
/// feed that stops sending on an open connection is noticed only after this time.
const POLL_WAIT: Span = Span::from_secs(1);
/// Additional time after [`POLL_WAIT`] within which a response must be received.
const POLL_SLACK: Span = Span::from_millis(700);
/// First value of the connect timeout.
const MIN_CONNECT_TIMEOUT: Span = Span::from_millis(400);
/// Upper bound of the connect timeout, which doubles each time a connection does not come up in time.
const MAX_CONNECT_TIMEOUT: Span = Span::from_millis(1_600);
/// First backoff before a connection is opened again. The backoff doubles until a poll is answered.
const MIN_BACKOFF: Span = Span::from_millis(30);
/// Upper bound of the backoff.
const MAX_BACKOFF: Span = Span::from_millis(500);
/// Time after a broken connection, or after the end of a poll's wait, at which events count as delivered.
/// Noticing a broken or stalled poll and opening the next connection must take less time than this.
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
    /// The backoff before the next connection has ended.
    Retry,
    /// A connection did not come up in time, or a poll was not answered in time.
    Overdue,
}

/// Numbers of polls sent and answered. Once poll N has been answered, all events up to the time at which it
/// was sent are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PollCounts {
    /// Number of polls sent, which is also the number of the newest poll.
    pub sent: u64,
    /// Number of the newest poll that was answered; 0 before the first answer.
    pub answered: u64,
}

/// The client of the control feed. It has at most one connection.
pub struct Feed {
    addr: SocketAddr,
    /// Number of the last event received.
    last_event: u64,
    connection: Option<ConnectionKey>,
    is_up: bool,
    deadline: Option<DeadlineHandle>,
    /// Backoff before the next connection.
    backoff: Span,
    /// Connect timeout of the next connection.
    connect_timeout: Span,
    /// Time for which the feed may hold a response back.
    poll_wait: Span,
    polls: PollCounts,
}

impl Feed {
    /// Returns a client that has received the events up to number `last_event`. It has no connection yet.
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

    /// Sets the time for which the feed may hold a response back, which is 1 s otherwise.
    pub fn with_poll_wait(self, poll_wait: Span) -> Self {
        Feed { poll_wait, ..self }
    }

    /// Returns the numbers of polls sent and answered.
    pub fn polls(&self) -> PollCounts {
        self.polls
    }

    /// Whether `key` is the connection to the feed.
    pub fn owns(&self, key: ConnectionKey) -> bool {
        self.connection == Some(key)
    }

    /// Opens a connection. If that fails at once, another is opened after the backoff.
    pub fn connect(&mut self, now: Instant, net: &mut Net, deadlines: &mut dyn Schedule<FeedDeadline>) {
        match net.connect(now, self.addr, Role::Feed) {
            Ok(key) => {
                (self.connection, self.is_up) = (Some(key), false);
                self.set_deadline(now + self.connect_timeout, FeedDeadline::Overdue, deadlines);
            }
            Err(_) => self.back_off(now, deadlines),
        }
    }

    /// Continues at another address with the events after the last one received. The old connection is closed
    /// at once, since the new address has the same events under the same numbers.
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

    /// Handles the deadline of the feed after it has passed.
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

    /// Closes the connection, and schedules the next one after the backoff.
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

    /// Replaces the deadline of the feed.
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
