//! The phases of a member: it starts, halts after a failure, pauses for a newer process, and shuts down gracefully.

use super::outage::HaltReason;
use super::participant::Participant;
use super::Runtime;
use crate::federation::view::View;
use crate::interface::{Instant, Span};
use std::net::SocketAddr;
use tracing::{error, info};

/// How long a leader that stops waits for another leader.
const LEADERSHIP_TRANSFER_TIMEOUT: Span = Span::from_millis(200);
/// The reason that the view states for a paused member.
const PAUSED_REASON: &str = "a newer process has the store";

/// Whether the member runs.
pub(super) enum Phase {
    /// The member takes part in the federation.
    Running(Box<Participant>),
    /// It failed, and is restarted at `until`.
    Halted { until: Instant },
    /// A newer process has the store open.
    Paused,
}

/// A graceful shutdown or pause: the member releases its leases and transfers its leadership first.
#[derive(Clone, Copy)]
pub(super) struct GracefulStop {
    /// When it stops waiting for another leader.
    pub(super) deadline: Instant,
    /// Whether the thread ends afterwards; otherwise the member is paused.
    pub(super) ends_thread: bool,
}

impl Runtime {
    /// Opens the store and the listener, and starts the member.
    pub(super) fn start(&mut self, now: Instant) {
        match self.try_start(now) {
            Ok((participant, address)) => {
                self.phase = Phase::Running(Box::new(participant));
                self.configure_links(now);
                // In an outage each attempt may reach this point.
                if !self.outage.is_ongoing() || self.listen != Some(address) {
                    info!(id = self.membership.settings.id.get(), "federation listens on {address}");
                }
                self.listen = Some(address);
                self.outage.started(now);
            }
            Err(reason) => self.halt(&reason),
        }
    }

    fn try_start(&mut self, now: Instant) -> Result<(Participant, SocketAddr), HaltReason> {
        let settings = &self.membership.settings;
        let opened = (self.open_store)(settings)
            .map_err(|source| HaltReason::Store { path: settings.store.clone(), source })?;
        let participant = Participant::new(settings, opened, now, &mut self.random)?;
        let address = settings.listen;
        let opened = self.links.listen(address);
        Ok((participant, opened.map_err(|source| HaltReason::Listen { address, source })?))
    }

    /// Stops the member after a failure, to be restarted from its store after a backoff.
    pub(super) fn halt(&mut self, reason: &HaltReason) {
        let now = self.now();
        self.links.close(now);
        let failure = self.outage.failed(now, reason, &mut self.random);
        self.phase = Phase::Halted { until: failure.retry_at };
        let settings = &self.membership.settings;
        // What was known of the other members no longer holds.
        self.view = View {
            cluster: settings.cluster.clone(),
            id: settings.id,
            file_revision: settings.revision,
            halted: Some(reason.to_string()),
            ..View::default()
        };
        let member = settings.id.get();
        // Published before the log line, so that its reader finds the reason in the view.
        self.publish();
        if failure.report {
            error!(member, why = %reason, "federation: this member takes no part; the edge proxy serves alone");
        }
    }

    pub(super) fn resume(&mut self, now: Instant) {
        if self.graceful_stop.is_some_and(|graceful_stop| !graceful_stop.ends_thread) {
            self.graceful_stop = None;
        }
        if matches!(self.phase, Phase::Paused) {
            self.phase = Phase::Halted { until: now };
        }
    }

    /// Begins a graceful shutdown, or a pause.
    pub(super) fn begin_graceful_stop(&mut self, now: Instant, ends_thread: bool) {
        let ends_thread =
            ends_thread || self.graceful_stop.is_some_and(|graceful_stop| graceful_stop.ends_thread);
        if let Phase::Running(participant) = &mut self.phase {
            participant.step_down(now, &mut self.links);
        }
        self.graceful_stop = Some(GracefulStop { deadline: now + LEADERSHIP_TRANSFER_TIMEOUT, ends_thread });
    }

    /// Completes a graceful shutdown or a pause. Returns `true` when the thread should end.
    pub(super) fn complete_graceful_stop(&mut self, now: Instant) -> bool {
        let Some(graceful_stop) = self.graceful_stop else { return false };
        let leads = matches!(&self.phase, Phase::Running(participant) if participant.is_leader());
        if leads && now < graceful_stop.deadline {
            return false;
        }
        if !graceful_stop.ends_thread {
            self.pause(now);
        }
        graceful_stop.ends_thread
    }

    pub(super) fn pause(&mut self, now: Instant) {
        self.graceful_stop = None;
        self.phase = Phase::Paused;
        self.links.close(now);
        info!("federation: left to a newer process");
        self.view.halted = Some(PAUSED_REASON.to_owned());
        self.publish();
    }
}
