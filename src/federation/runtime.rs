//! The thread on which a member runs, with a poll, a clock and a store of its own. The edge proxy's loop instructs it to stop,
//! to pause or to take new settings, reads the view that was published last, and waits for none of it.
//!
//! A member that fails (its disk, its store, its address, a check of the library's) is halted and started anew from its
//! store after a pause; the edge proxy serves meanwhile.

mod handle;
mod outage;
mod participant;

#[cfg(test)]
mod tests;

pub use handle::Handle;

use super::links::{Identity, Links, PeerAddress, LISTENER};
use super::log::StoredLog;
use super::settings::{FederationSettings, ListedMember};
use super::store::{Store, StoreError};
use super::view::View;
use super::wire::Frame;
use super::MemberId;
use crate::interface::{Instant, Span};
use crate::net::{Net, Ready};
use handle::Instruction;
use mio::net::UnixStream;
use outage::{HaltReason, Outage};
use participant::{Counters, Membership, Participant};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{self, Duration};
use tracing::{error, info};

/// The poll's token of the edge proxy's instructions.
const WAKE: usize = 1;
/// How long a leader that stops waits for another to lead.
const HAND_OVER_TIMEOUT: Span = Span::from_millis(200);
/// How often the view is published.
const PUBLISH_EVERY: Span = Span::from_millis(50);
/// Why a member that is paused takes no part, as operators are told.
const PAUSED: &str = "a newer process has the store";

/// The view that was published last.
type SharedView = Arc<Mutex<Arc<View>>>;
/// Opens the member's store.
type OpenStore = Box<dyn Fn(&FederationSettings) -> Result<(Store, StoredLog), StoreError> + Send>;

enum Phase {
    /// The member takes part.
    Running(Box<Participant>),
    /// It failed, and is started anew then.
    Halted { until: Instant },
    /// A newer process has the store.
    Paused,
}

/// A member that hands over what it holds before it pauses, or ends.
#[derive(Clone, Copy)]
struct HandOver {
    /// It waits for another leader no longer than that.
    until: Instant,
    /// The thread ends then.
    ends: bool,
}

struct Runtime {
    membership: Membership,
    links: Links,
    open_store: OpenStore,
    phase: Phase,
    outage: Outage,
    leaving: Option<HandOver>,
    counters: Counters,
    /// Where this member listens.
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
            leaving: None,
            counters: Counters::default(),
            listen: None,
            view: View::default(),
            shared,
            next_publication: Instant::ZERO,
            started: time::Instant::now(),
            random,
        }
    }

    fn now(&self) -> Instant {
        Instant::ZERO + Span::from(self.started.elapsed())
    }

    /// Runs until it is told to stop. A panic in a turn, be it a check of the library's, halts this member and nothing else.
    fn run(&mut self, instructions: &Receiver<Instruction>, woken: &mut UnixStream) {
        let mut ready = Vec::new();
        loop {
            match catch_unwind(AssertUnwindSafe(|| self.run_once(instructions, woken, &mut ready))) {
                Ok(true) => {}
                Ok(false) => break,
                Err(panic) => self.halt(&HaltReason::Panic(crate::caught::text(&*panic))),
            }
        }
        let now = self.now();
        self.links.close(now);
        info!("federation: stopped");
    }

    /// Waits for what comes next and handles it; `false`: the thread ends.
    fn run_once(
        &mut self,
        instructions: &Receiver<Instruction>,
        woken: &mut UnixStream,
        ready: &mut Vec<Ready>,
    ) -> bool {
        let timeout = self.timeout();
        if let Err(error) = self.links.net().poll(timeout, ready) {
            self.halt(&HaltReason::Poll(error));
        }
        drain(woken);
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
        !self.leave(now)
    }

    /// How long the poll may wait; `None`: until something comes.
    fn timeout(&self) -> Option<Duration> {
        let due = match &self.phase {
            Phase::Running(participant) => participant.next_tick(),
            Phase::Halted { until } => *until,
            Phase::Paused => return None,
        };
        Some((due - self.now()).to_std())
    }

    /// Follows the edge proxy's instructions; `false`: there is no edge proxy any more.
    fn process_instructions(&mut self, instructions: &Receiver<Instruction>) -> bool {
        loop {
            let now = self.now();
            match instructions.try_recv() {
                Ok(Instruction::Stop) => self.hand_over(now, true),
                Ok(Instruction::Pause) if matches!(self.phase, Phase::Paused) => {}
                Ok(Instruction::Pause) => self.hand_over(now, false),
                Ok(Instruction::Resume) => self.resume(now),
                Ok(Instruction::Reload(settings)) => self.reload(now, *settings),
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    fn resume(&mut self, now: Instant) {
        if self.leaving.is_some_and(|leaving| !leaving.ends) {
            self.leaving = None;
        }
        if matches!(self.phase, Phase::Paused) {
            self.phase = Phase::Halted { until: now };
        }
    }

    fn reload(&mut self, now: Instant, settings: FederationSettings) {
        info!(revision = settings.revision, "federation: a new file");
        self.membership = Membership::new(settings);
        self.introduce(now);
    }

    /// Tells the connections who this member is and whom it knows; one that takes no part does so once it does.
    fn introduce(&mut self, now: Instant) {
        let Phase::Running(participant) = &self.phase else { return };
        let settings = &self.membership.settings;
        let identity = Identity::of(settings, participant.identity(), participant.incarnation());
        self.links.introduce(identity, settings.silence_timeout);
        self.links.set_peers(now, &peers(settings));
    }

    /// Takes what connections have for this member.
    fn receive(&mut self, now: Instant, ready: &mut Vec<Ready>) -> Vec<(MemberId, Frame)> {
        let mut received = Vec::new();
        for one in ready.drain(..) {
            match (one, &self.phase) {
                (Ready::Source(LISTENER), _) => self.links.accept(now),
                (Ready::Source(_), _) => {}
                (connection, Phase::Running(participant)) => {
                    let settings = &self.membership.settings;
                    let admits = |hello: &_| participant.admits(settings, hello);
                    self.links.ready(now, connection, &admits, &mut received);
                }
                _ => {}
            }
        }
        received
    }

    /// Opens the store and the listener, and takes part.
    fn start(&mut self, now: Instant) {
        match self.try_start(now) {
            Ok((participant, address)) => {
                self.phase = Phase::Running(Box::new(participant));
                self.introduce(now);
                // In an outage it may come to this at each attempt.
                if !self.outage.lasts() || self.listen != Some(address) {
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
        let opened = self.links.open(address);
        Ok((participant, opened.map_err(|source| HaltReason::Listen { address, source })?))
    }

    /// Takes no part for a while: the member is started anew from its store then.
    fn halt(&mut self, reason: &HaltReason) {
        let now = self.now();
        self.links.close(now);
        let failure = self.outage.failed(now, reason, &mut self.random);
        self.phase = Phase::Halted { until: failure.retry_at };
        let settings = &self.membership.settings;
        // What is known of the others is void.
        self.view = View {
            cluster: settings.cluster.clone(),
            id: settings.id,
            file_revision: settings.revision,
            halted: Some(reason.to_string()),
            ..View::default()
        };
        let member = settings.id.get();
        // Published first: whoever reads the line finds the reason in the view.
        self.publish();
        if failure.report {
            error!(member, why = %reason, "federation: this member takes no part; the edge proxy serves alone");
        }
    }

    /// Handles what was received and what is due by the clock.
    fn advance(&mut self, now: Instant, received: Vec<(MemberId, Frame)>) -> Result<(), HaltReason> {
        let Phase::Running(participant) = &mut self.phase else { return Ok(()) };
        for (from, frame) in received {
            participant.receive(from, frame);
        }
        participant.tick(now, &self.membership, &mut self.links, self.leaving.is_some())?;
        participant.drive(now, &mut self.links, &mut self.counters)?;
        let news = participant.log_events(&mut self.counters);
        if let Some(recovery) = self.outage.recovered(now) {
            let (lasted_ms, failures) = (recovery.lasted.as_millis(), recovery.failures);
            info!(lasted_ms, failures, "federation: this member takes part again");
        }
        if news || self.next_publication <= now {
            self.next_publication = now + PUBLISH_EVERY;
            let now = Instant::ZERO + Span::from(self.started.elapsed()); // storing may have taken a while
            let view = participant.view(now, &self.membership.settings, &self.links);
            self.view = View { listen: self.listen.map(|address| address.to_string()), ..view };
            self.publish();
        }
        Ok(())
    }

    /// Begins to pause, or to end.
    fn hand_over(&mut self, now: Instant, ends: bool) {
        let ends = ends || self.leaving.is_some_and(|leaving| leaving.ends);
        if let Phase::Running(participant) = &mut self.phase {
            participant.hand_over(now, &mut self.links);
        }
        self.leaving = Some(HandOver { until: now + HAND_OVER_TIMEOUT, ends });
    }

    /// Pauses or ends a member that has handed over; `true`: the thread ends now.
    fn leave(&mut self, now: Instant) -> bool {
        let Some(leaving) = self.leaving else { return false };
        let leads = matches!(&self.phase, Phase::Running(participant) if participant.is_leader());
        if leads && now < leaving.until {
            return false;
        }
        if !leaving.ends {
            self.pause(now);
        }
        leaving.ends
    }

    fn pause(&mut self, now: Instant) {
        self.leaving = None;
        self.phase = Phase::Paused;
        self.links.close(now);
        info!("federation: left to a newer process");
        self.view.halted = Some(PAUSED.to_owned());
        self.publish();
    }

    /// Publishes the view with the counters as they are now.
    fn publish(&mut self) {
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
}

/// Takes the bytes by which the poll was woken.
fn drain(woken: &mut UnixStream) {
    let mut bytes = [0; 64];
    while woken.read(&mut bytes).is_ok_and(|count| count == bytes.len()) {}
}

/// How the other members are reached: voters dial each other at once, and a leader dials the rest.
fn peers(settings: &FederationSettings) -> BTreeMap<MemberId, PeerAddress> {
    let votes = settings.members.get(&settings.id).is_some_and(|own| own.voter);
    let others = settings.members.iter().filter(|(id, _)| **id != settings.id);
    let reached =
        |member: &ListedMember| PeerAddress { address: member.address, eager: votes && member.voter };
    others.map(|(id, member)| (*id, reached(member))).collect()
}
