//! Watches the control feed with the edge proxy's own feed client (long polls), in a thread with its own event loop.

use super::clock::ServiceClock;
use super::version::PollNumber;
use crate::config::events::FeedBatch;
use crate::deadlines::Deadlines;
use crate::feed::{Feed, FeedDeadline, PollCounts};
use crate::interface::Span;
use crate::net::{Net, Ready};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};

/// The longest wait before the thread checks again whether the updates still have a receiver.
const RECEIVER_CHECK: Span = Span::from_millis(500);

/// What one round of the event loop received from the feed.
#[derive(Debug)]
pub struct FeedUpdate {
    /// The received events; empty if the answer held none.
    pub batches: Vec<FeedBatch>,
    /// The newest poll that had been answered at the end of the round.
    pub answered_poll: PollNumber,
}

/// The number of polls sent so far; clones share one count.
#[derive(Clone, Debug, Default)]
pub struct PollCounter(Arc<AtomicU64>);

impl PollCounter {
    /// Returns the newest poll that may have been sent before this call. Once a later poll is answered, all events that
    /// the feed had at the time of this call are known.
    pub fn newest_poll(&self) -> PollNumber {
        // One more than the count, since one poll may have been sent and not counted yet.
        PollNumber(self.0.load(Ordering::SeqCst) + 1)
    }

    fn set(&self, sent: u64) {
        self.0.store(sent, Ordering::SeqCst);
    }
}

/// A running watch of the control feed.
#[derive(Debug)]
pub struct FeedWatch {
    /// Receives one update for each answered poll; the thread ends after this receiver is dropped.
    pub updates: UnboundedReceiver<FeedUpdate>,
    /// Counts the polls sent.
    pub polls_sent: PollCounter,
}

impl FeedWatch {
    /// Starts to watch the feed at `addr`, from the event after number `last`. The feed may hold back a response for up
    /// to `wait`.
    ///
    /// # Errors
    ///
    /// Returns an error if the event queue or the thread cannot be created.
    pub fn start(addr: SocketAddr, last: u64, wait: Duration, clock: ServiceClock) -> std::io::Result<Self> {
        // Unbounded, but the feed bounds it: one poll is in flight at a time, and each answer makes one update, which
        // the receiver takes at once.
        let (sender, updates) = unbounded_channel();
        let polls_sent = PollCounter::default();
        let feed = Feed::new(addr, last).with_poll_wait(Span::from_millis(wait.as_millis() as i64));
        let mut poller = Poller {
            clock,
            net: Net::new()?,
            deadlines: Deadlines::default(),
            feed,
            answered_poll: 0,
            polls_sent: polls_sent.clone(),
            updates: sender,
        };
        thread::Builder::new().name("feed".into()).spawn(move || poller.run())?;
        Ok(FeedWatch { updates, polls_sent })
    }
}

/// The state of the polling thread.
struct Poller {
    clock: ServiceClock,
    net: Net,
    deadlines: Deadlines<FeedDeadline>,
    feed: Feed,
    answered_poll: u64,
    polls_sent: PollCounter,
    updates: UnboundedSender<FeedUpdate>,
}

impl Poller {
    /// Polls until the receiver of the updates is dropped.
    fn run(&mut self) {
        self.feed.connect(self.clock.now(), &mut self.net, &mut self.deadlines);
        let mut ready = Vec::new();
        while !self.updates.is_closed() {
            if self.net.poll(Some(self.wait()), &mut ready).is_err() {
                return;
            }
            let batches = self.handle(&mut ready);
            if self.report(batches).is_err() {
                return;
            }
        }
    }

    /// Returns how long to wait for the next event.
    fn wait(&self) -> Duration {
        let now = self.clock.now();
        let until_due = self.deadlines.next().map(|at| (at - now).clamp(Span::ZERO, RECEIVER_CHECK));
        until_due.unwrap_or(RECEIVER_CHECK).to_std()
    }

    /// Handles ready connections and due deadlines; returns the feed's events.
    fn handle(&mut self, ready: &mut Vec<Ready>) -> Vec<FeedBatch> {
        let now = self.clock.now();
        let mut batches = Vec::new();
        for event in ready.drain(..) {
            if matches!(event, Ready::Conn { key, .. } if self.feed.owns(key)) {
                batches.extend(self.feed.on_ready(now, &mut self.net, &mut self.deadlines));
            }
        }
        while let Some(due) = self.deadlines.pop(now) {
            self.feed.deadline_passed(now, due, &mut self.net, &mut self.deadlines);
        }
        batches
    }

    /// Sends an update if a poll was answered. Returns an error if the receiver was dropped.
    fn report(&mut self, batches: Vec<FeedBatch>) -> Result<(), ReceiverGone> {
        let PollCounts { sent, answered } = self.feed.polls();
        self.polls_sent.set(sent);
        if answered <= self.answered_poll && batches.is_empty() {
            return Ok(());
        }
        self.answered_poll = answered;
        let update = FeedUpdate { batches, answered_poll: PollNumber(answered) };
        self.updates.send(update).map_err(|_| ReceiverGone)
    }
}

/// The receiver of the updates was dropped.
struct ReceiverGone;
