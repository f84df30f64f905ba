//! The thread on which a member runs, with its own poll, clock and store.
//!
//! The edge proxy's event loop sends the thread instructions (stop, pause, resume, reload) and reads the view
//! that it published last; the event loop never waits for the member. A member that fails (its disk, its
//! store, its address, or an assertion of the consensus library) is halted, and restarted from its store
//! after a backoff. The edge proxy keeps serving meanwhile.
//!
//! - `handle`: the edge proxy's side.
//! - `lifecycle`: start, halt, pause and graceful shutdown.
//! - `outage`: why a member is halted, and when it is retried.
//! - `participant`: a running member.

mod handle;
mod lifecycle;
mod outage;
mod participant;

#[cfg(test)]
mod tests;

pub use handle::Handle;

use super::links::{Identity, Links, PeerAddress, LISTENER_TOKEN};
use super::log::StoredLog;
use super::settings::{FederationSettings, ListedMember};
use super::store::{Store, StoreError};
use super::view::View;
use super::wire::Frame;
use super::MemberId;
use crate::interface::{Instant, Span};
use crate::net::{Net, Ready};
use handle::Instruction;
use lifecycle::{GracefulStop, Phase};
use mio::net::UnixStream;
use outage::{HaltReason, Outage};
use participant::{Counters, Membership};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{self, Duration};
use tracing::info;

/// Poll token of the pipe that wakes the thread for instructions.
const WAKE_TOKEN: usize = 1;
/// Interval between publications of the view while nothing changes.
const PUBLISH_INTERVAL: Span = Span::from_millis(50);

/// The view that was published last, shared with the [`Handle`].
type SharedView = Arc<Mutex<Arc<View>>>;
/// Opens the member's store; tests replace it.
type OpenStore = Box<dyn Fn(&FederationSettings) -> Result<(Store, StoredLog), StoreError> + Send>;

struct Runtime {
    membership: Membership,
    links: Links,
    open_store: OpenStore,
    phase: Phase,
    outage: Outage,
    graceful_stop: Option<GracefulStop>,
    counters: Counters,
    /// The address on which this member listens; `None` until it has started once.
    listen: Option<SocketAddr>,
    view: View,
    shared: SharedView,
    next_publication: Instant,
    started: time::Instant,
    random: ChaCha8Rng,
}

impl Runtime {
    fn new(
        settings: FederationSettings,
        net: Net,
        seed: u64,
        shared: SharedView,
        open_store: OpenStore,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ u64::from(std::process::id()));
        let identity = Identity::of(&settings, 0, 0);
        let links = Links::new(net, identity, settings.silence_timeout, ChaCha8Rng::from_rng(&mut random));
        Runtime {
            membership: Membership::new(settings),
            links,
            open_store,
            phase: Phase::Halted { until: Instant::ZERO },
            outage: Outage::none(),
            graceful_stop: None,
            counters: Counters::default(),
            listen: None,
            view: View::default(),
            shared,
            next_publication: Instant::ZERO,
            started: time::Instant::now(),
            random,
        }
    }

    /// Publishes the view with the current counters.
    pub(super) fn publish(&mut self) {
        self.view = View {
            dropped: self.links.dropped,
            refused: self.links.rejected,
            elections: self.counters.elections,
            slowest_save_us: self.counters.slowest_save_us,
            ..std::mem::take(&mut self.view)
        };
        let view = Arc::new(self.view.clone());
        *self.shared.lock().unwrap_or_else(PoisonError::into_inner) = view;
    }

    fn now(&self) -> Instant {
        Instant::ZERO + Span::from(self.started.elapsed())
    }

    /// Runs until the member is stopped. A panic, for example a failed assertion of the consensus library,
    /// halts only this member.
    fn run(&mut self, instructions: &Receiver<Instruction>, wake_pipe: &mut UnixStream) {
        let mut ready = Vec::new();
        loop {
            match catch_unwind(AssertUnwindSafe(|| self.run_once(instructions, wake_pipe, &mut ready))) {
                Ok(true) => {}
                Ok(false) => break,
                Err(panic) => self.halt(&HaltReason::Panic(crate::panics::message(&*panic))),
            }
        }
        let now = self.now();
        self.links.close(now);
        info!("federation: stopped");
    }

    /// Waits for the next events and handles them. Returns `false` if the thread should end.
    fn run_once(
        &mut self,
        instructions: &Receiver<Instruction>,
        wake_pipe: &mut UnixStream,
        ready: &mut Vec<Ready>,
    ) -> bool {
        let timeout = self.timeout();
        if let Err(error) = self.links.net().poll(timeout, ready) {
            self.halt(&HaltReason::Poll(error));
        }
        drain(wake_pipe);
        if !self.process_instructions(instructions) {
            return false;
        }
        let now = self.now();
        let received = self.receive(now, ready);
        if matches!(self.phase, Phase::Halted { until } if until <= now) {
            self.start(now);
        }
        if let Err(reason) = self.advance(now, received) {
            self.halt(&reason);
        }
        !self.complete_graceful_stop(now)
    }

    /// Returns the poll timeout, `None` for no limit.
    fn timeout(&self) -> Option<Duration> {
        let due = match &self.phase {
            Phase::Running(participant) => participant.next_tick(),
            Phase::Halted { until } => *until,
            Phase::Paused => return None,
        };
        Some((due - self.now()).to_std())
    }

    /// Processes the edge proxy's instructions. Returns `false` if the edge proxy is gone.
    fn process_instructions(&mut self, instructions: &Receiver<Instruction>) -> bool {
        loop {
            let now = self.now();
            match instructions.try_recv() {
                Ok(Instruction::Stop) => self.begin_graceful_stop(now, true),
                Ok(Instruction::Pause) if matches!(self.phase, Phase::Paused) => {}
                Ok(Instruction::Pause) => self.begin_graceful_stop(now, false),
                Ok(Instruction::Resume) => self.resume(now),
                Ok(Instruction::Reload(settings)) => self.reload(now, *settings),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn reload(&mut self, now: Instant, settings: FederationSettings) {
        info!(revision = settings.revision, "federation: settings reloaded");
        self.membership = Membership::new(settings);
        self.configure_links(now);
    }

    /// Applies the settings to the connections: identity, silence timeout and peers. Does nothing unless the
    /// member runs, since [`Runtime::start`] applies them.
    fn configure_links(&mut self, now: Instant) {
        let Phase::Running(participant) = &self.phase else { return };
        let settings = &self.membership.settings;
        let identity = Identity::of(settings, participant.identity(), participant.incarnation());
        self.links.configure(identity, settings.silence_timeout);
        self.links.set_peers(now, &peer_addresses(settings));
    }

    /// Accepts connections and returns the frames that were read from ready ones.
    fn receive(&mut self, now: Instant, ready: &mut Vec<Ready>) -> Vec<(MemberId, Frame)> {
        let mut received = Vec::new();
        for source in ready.drain(..) {
            match (source, &self.phase) {
                (Ready::Source(LISTENER_TOKEN), _) => self.links.accept(now),
                (Ready::Source(_), _) => {}
                (connection, Phase::Running(participant)) => {
                    let settings = &self.membership.settings;
                    let admits = |hello: &_| participant.admits(settings, hello);
                    self.links.handle_ready(now, connection, &admits, &mut received);
                }
                _ => {}
            }
        }
        received
    }

    /// Handles received frames and timers, stores and sends the results, and publishes the view.
    fn advance(&mut self, now: Instant, received: Vec<(MemberId, Frame)>) -> Result<(), HaltReason> {
        let Phase::Running(participant) = &mut self.phase else { return Ok(()) };
        for (from, frame) in received {
            participant.receive(from, frame);
        }
        participant.tick(now, &self.membership, &mut self.links, self.graceful_stop.is_some())?;
        participant.drive(now, &mut self.links, &mut self.counters)?;
        let changed = participant.log_events(&mut self.counters);
        if let Some(recovery) = self.outage.recovered(now) {
            let (lasted_ms, failures) = (recovery.lasted.as_millis(), recovery.failures);
            info!(lasted_ms, failures, "federation: this member has recovered");
        }
        if changed || self.next_publication <= now {
            self.next_publication = now + PUBLISH_INTERVAL;
            let now = Instant::ZERO + Span::from(self.started.elapsed()); // saving may have taken some time
            let view = participant.view(now, &self.membership.settings, &self.links);
            self.view = View { listen: self.listen.map(|address| address.to_string()), ..view };
            self.publish();
        }
        Ok(())
    }
}

/// Discards the bytes that were written to wake the poll.
fn drain(wake_pipe: &mut UnixStream) {
    let mut bytes = [0; 64];
    while wake_pipe.read(&mut bytes).is_ok_and(|count| count == bytes.len()) {}
}

/// Returns the addresses of the other members. Voters dial each other at once; other members are dialled when
/// there is something to send to them.
fn peer_addresses(settings: &FederationSettings) -> BTreeMap<MemberId, PeerAddress> {
    let is_voter = settings.members.get(&settings.id).is_some_and(|own| own.voter);
    let others = settings.members.iter().filter(|(id, _)| **id != settings.id);
    let reached =
        |member: &ListedMember| PeerAddress { address: member.address, eager: is_voter && member.voter };
    others.map(|(id, member)| (*id, reached(member))).collect()
}
