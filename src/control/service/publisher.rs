//! The task that holds the model and publishes its snapshots.

use super::metrics::Metrics;
use crate::control::clock::ServiceClock;
use crate::control::debounce::{Debounce, Urgency};
use crate::control::feed_watch::FeedUpdate;
use crate::control::model::Model;
use crate::control::settings::ControlSettings;
use crate::control::snapshot::Snapshot;
use crate::control::version::PollNumber;
use crate::interface::Span;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tracing::{info, warn};

/// The longest sleep of the task, even if nothing is due earlier.
const MAX_SLEEP: Duration = Duration::from_secs(60);

/// The state of the publisher task.
pub(super) struct Publisher {
    clock: ServiceClock,
    model: Model,
    debounce: Debounce,
    publish: watch::Sender<Arc<Snapshot>>,
    updates: mpsc::UnboundedReceiver<FeedUpdate>,
    reloads: mpsc::UnboundedReceiver<ControlSettings>,
    metrics: Arc<Metrics>,
    /// The newest poll of the feed that was answered.
    answered_poll: PollNumber,
}

/// What woke the task.
enum Wakeup {
    Feed(FeedUpdate),
    Reload(ControlSettings),
    /// The model or the debounce may be due.
    Timer,
    Stop,
}

/// The effect of a wakeup.
struct Change {
    urgency: Urgency,
    /// Whether a newer poll of the feed was answered.
    newly_answered: bool,
}

impl Publisher {
    /// Creates a publisher of a model's snapshots. `updates` come from the control feed, `reloads` from the operator.
    pub(super) fn new(
        clock: ServiceClock,
        model: Model,
        settings: &ControlSettings,
        publish: watch::Sender<Arc<Snapshot>>,
        updates: mpsc::UnboundedReceiver<FeedUpdate>,
        reloads: mpsc::UnboundedReceiver<ControlSettings>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let debounce = debounce(settings);
        Publisher { clock, model, debounce, publish, updates, reloads, metrics, answered_poll: PollNumber(0) }
    }

    /// Publishes snapshots until the service stops.
    pub(super) async fn run(mut self, mut stopping: watch::Receiver<bool>) {
        loop {
            let change = match self.next_wakeup(&mut stopping).await {
                Wakeup::Feed(update) => self.apply(&update),
                Wakeup::Reload(settings) => {
                    self.reload(&settings);
                    Change { urgency: Urgency::None, newly_answered: false }
                }
                Wakeup::Timer => Change { urgency: Urgency::None, newly_answered: false },
                Wakeup::Stop => return,
            };
            self.publish_due(change);
        }
    }

    async fn next_wakeup(&mut self, stopping: &mut watch::Receiver<bool>) -> Wakeup {
        let wakeup_at = self.next_due();
        tokio::select! {
            update = self.updates.recv() => update.map_or(Wakeup::Stop, Wakeup::Feed),
            Some(settings) = self.reloads.recv() => Wakeup::Reload(settings),
            () = tokio::time::sleep_until(wakeup_at.into()) => Wakeup::Timer,
            _ = stopping.wait_for(|stop| *stop) => Wakeup::Stop,
        }
    }

    /// Returns when something is due next, at the latest after the longest sleep.
    fn next_due(&self) -> Instant {
        let latest = Instant::now() + MAX_SLEEP;
        let latest_due = self.clock.now() + Span::from(MAX_SLEEP);
        let model_due = self.clock.instant_at(self.model.due().min(latest_due));
        let debounce_due = self.debounce.due().unwrap_or(latest);
        latest.min(model_due).min(debounce_due)
    }

    fn apply(&mut self, update: &FeedUpdate) -> Change {
        let moment = self.clock.moment();
        let mut urgency = Urgency::None;
        for batch in &update.batches {
            urgency = urgency.max(self.model.apply(moment, batch));
        }
        let newly_answered = update.answered_poll > self.answered_poll;
        self.answered_poll = update.answered_poll;
        Change { urgency, newly_answered }
    }

    fn reload(&mut self, settings: &ControlSettings) {
        match self.model.set_hot_objects(self.clock.now(), settings) {
            Ok(()) => {
                self.debounce = debounce(settings);
                info!(
                    "reloaded: {} hot classes; listen, poll_ms and most_clients change only at a restart",
                    settings.hot.len()
                );
            }
            Err(error) => warn!("reload: {error}; the previous settings stay in effect"),
        }
    }

    /// Publishes a snapshot if one is due. Otherwise, if a newer poll was answered and no changes are pending,
    /// publishes the number of that poll.
    fn publish_due(&mut self, change: Change) {
        let now = self.clock.now();
        let mut urgency = change.urgency;
        if self.model.due() <= now {
            urgency = urgency.max(self.model.tick(now));
        }
        let now = Instant::now();
        if self.debounce.changed(now, urgency) || self.debounce.take_due(now) {
            self.publish_snapshot(urgency);
        } else if change.newly_answered && self.debounce.due().is_none() {
            self.publish_answered_poll();
        }
    }

    fn publish_snapshot(&mut self, urgency: Urgency) {
        let snapshot = self.model.snapshot(self.clock.now(), self.answered_poll);
        info!(seq = snapshot.sequence.0, heard = self.answered_poll.0, urgency = ?urgency, "snapshot published");
        self.metrics.snapshots.fetch_add(1, Ordering::Relaxed);
        self.publish.send_replace(Arc::new(snapshot));
    }

    /// Publishes the last snapshot with the newest answered poll, for the streams that wait for this poll's answer.
    fn publish_answered_poll(&mut self) {
        let unchanged = Snapshot::clone(&self.publish.borrow());
        self.publish.send_replace(Arc::new(Snapshot { answered_poll: self.answered_poll, ..unchanged }));
    }
}

fn debounce(settings: &ControlSettings) -> Debounce {
    Debounce::new(settings.debounce, settings.debounce_limit)
}
