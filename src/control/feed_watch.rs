//! Watches the control feed: the edge proxy's own long polls, in a thread with an event loop of its own.

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

/// How long the thread waits at most before it checks whether the updates still have a receiver.
const RECEIVER_CHECK: Span = Span::from_millis(500);

/// What one round of the event loop had from the feed.
#[derive(Debug)]
pub struct FeedUpdate {
    /// The events, if there were any.
    pub batches: Vec<FeedBatch>,
    /// The newest poll that had been answered by then.
    pub answered_poll: PollNumber,
}

/// How many polls have been begun so far; clones count the same polls.
#[derive(Clone, Debug, Default)]
pub struct PollCounter(Arc<AtomicU64>);

impl PollCounter {
    /// A poll that is certainly begun after this call.
    pub fn newest_poll(&self) -> PollNumber {
        // One more may have been begun and not counted yet; polls after this one say what the feed had by now.
        PollNumber(self.0.load(Ordering::SeqCst) + 1)
    }

    fn set(&self, begun: u64) {
        self.0.store(begun, Ordering::SeqCst);
    }
}

/// A running watch of the control feed.
#[derive(Debug)]
pub struct FeedWatch {
    /// One update for each answered poll; the thread ends once this is dropped.
    pub updates: UnboundedReceiver<FeedUpdate>,
    /// Counts polls as they are begun.
    pub polls_sent: PollCounter,
}

impl FeedWatch {
    /// Watches the feed at `addr` from the event after number `last` on; the feed may hold back an answer for `wait`.
    ///
    /// # Errors
    ///
    /// The system has no event queue or no thread left.
    pub fn start(addr: SocketAddr, last: u64, wait: Duration, clock: ServiceClock) -> std::io::Result<Self> {
        // Bounded by the feed: one poll is out at a time, and each answer leaves one update that is taken at once.
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

/// The thread's state.
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
    /// Polls until nobody receives the updates any more.
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

    /// How long to wait for the next event.
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

    /// Sends an update if a poll was answered; an error if nobody receives it.
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

/// Nobody receives the updates any more.
struct ReceiverGone;
