//! The lifecycle of a member: start, halt after a failure, pause for a newer process, and graceful shutdown.

use super::outage::HaltReason;
use super::participant::Participant;
use super::Runtime;
use crate::federation::view::View;
use crate::interface::{Instant, Span};
use std::net::SocketAddr;
use tracing::{error, info};

/// How long a leader that stops waits until another member leads.
const LEADERSHIP_TRANSFER_TIMEOUT: Span = Span::from_millis(200);
/// The `halted` reason in the view of a paused member.
const PAUSED_REASON: &str = "a newer process has the store open";

/// Whether the member runs, and if not, why.
pub(super) enum Phase {
    /// The member takes part in the federation.
    Running(Box<Participant>),
    /// The member failed, or was not started yet; it is started at `until`.
    Halted { until: Instant },
    /// A newer process has the store open; see [`Runtime::resume`].
    Paused,
}

/// A graceful shutdown or pause in progress. The member has released its leases, and waits for the transfer
/// of its leadership.
#[derive(Clone, Copy)]
pub(super) struct GracefulStop {
    /// When the member stops waiting for another leader.
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
                // In an outage each attempt may get this far, and would log the same line.
                if !self.outage.is_ongoing() || self.listen != Some(address) {
                    info!(id = self.membership.settings.id.get(), "federation: listening on {address}");
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

    /// Stops the member after a failure; it is restarted from its store after a backoff.
    pub(super) fn halt(&mut self, reason: &HaltReason) {
        let now = self.now();
        self.links.close(now);
        let failure = self.outage.failed(now, reason, &mut self.random);
        self.phase = Phase::Halted { until: failure.retry_at };
        let settings = &self.membership.settings;
        // All that is known about the other members is outdated now, so the view is reset.
        self.view = View {
            cluster: settings.cluster.clone(),
            id: settings.id,
            file_revision: settings.revision,
            halted: Some(reason.to_string()),
            ..View::default()
        };
        let member = settings.id.get();
        // Publishes the view before logging, so that it already has the reason when the log line appears.
        self.publish();
        if failure.report {
            error!(member, why = %reason, "federation: this member is halted; the edge proxy keeps serving");
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

    /// Begins a graceful shutdown or a pause. A shutdown that has begun is not turned into a pause.
    pub(super) fn begin_graceful_stop(&mut self, now: Instant, ends_thread: bool) {
        let ends_thread =
            ends_thread || self.graceful_stop.is_some_and(|graceful_stop| graceful_stop.ends_thread);
        if let Phase::Running(participant) = &mut self.phase {
            participant.step_down(now, &mut self.links);
        }
        self.graceful_stop = Some(GracefulStop { deadline: now + LEADERSHIP_TRANSFER_TIMEOUT, ends_thread });
    }

    /// Completes a graceful shutdown or a pause once the member no longer leads or the deadline has passed.
    /// Returns `true` if the thread should end.
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
        info!("federation: paused, a newer process takes over the store");
        self.view.halted = Some(PAUSED_REASON.to_owned());
        self.publish();
    }
}
