//! The core: requests, their attempts and their final answers, whatever wire they come by.
//!
//! It feeds the decision module, [`Router`], with events and carries out its actions. It guarantees that each request
//! gets one final answer and that each attempt ends once. It has no sockets and reads no clock: times are passed in.
//!
//! - `messages`: what passes between the core and the program around it;
//! - `requests`: requests, from their arrival to the start of their answer;
//! - `attempts`: attempts, from the router's action to their end;
//! - `events`: the router's events and actions;
//! - `metrics`: counts of final answers.

mod attempts;
mod events;
mod messages;
mod metrics;
mod requests;

pub use messages::{AttemptEnd, CachedCopy, ClientRequest, Command, FinalAnswer, OutgoingAttempt};
pub use metrics::{AnswerCounts, RejectionCount};

use crate::deadlines::DeadlineHandle;
use crate::interface::{
    Action, ClassId, Event, FillAttempt, Instant, Purge, RequestId, ServerId, ServerState, Settings, Span,
};
use crate::slots::{Key, Slots};
use crate::{Router, SettingsError};
use metrics::AnswerMetrics;
use std::collections::{BTreeMap, VecDeque};

/// A request of the core's table.
pub type RequestKey = Key;
/// An attempt of the core's table.
pub type AttemptKey = Key;

/// A deadline of the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreDeadline {
    /// A timer of the decision module.
    RouterTimer(u32),
    /// An attempt times out.
    AttemptTimeout(AttemptKey),
    /// The client stops waiting.
    ClientTimeout(RequestKey),
    /// The client's credential expires; it counts unless the answer has begun.
    AuthorizationExpiry(RequestKey),
}

/// Whether a request's final answer is known.
enum AnswerState {
    Pending,
    /// The answer is known, and no byte of it has been written.
    Chosen(FinalAnswer),
}

/// A request whose answer has not begun.
struct OpenRequest {
    client_request: ClientRequest,
    arrived: Instant,
    state: AnswerState,
    attempts_sent: u8,
    /// Attempts that it may have, by the settings in force at its arrival.
    max_attempts: u32,
    /// When the first of its ended attempts that may have run was written, if there is one.
    first_possible_run: Option<Instant>,
    timeout_deadline: Option<DeadlineHandle>,
    authorization_deadline: Option<DeadlineHandle>,
}

/// An attempt that has not ended.
struct Attempt {
    request: RequestId,
    /// Its place in the order of the request's attempts, from 0.
    number: u8,
    server: ServerId,
    /// How the server may fetch a miss; `None`: not at all.
    fill: Option<FillAttempt>,
    /// The purges that concern it: of its object, and of the object's group.
    purge_scopes: [Purge; 2],
    started_at: Instant,
    deadline: Instant,
    timeout_deadline: Option<DeadlineHandle>,
    /// When it was written; from then on it may have run.
    written_at: Option<Instant>,
}

/// The requests and attempts of one edge proxy, around its decision module.
pub struct Core {
    router: Router,
    settings: Settings,
    requests: Slots<OpenRequest>,
    attempts: Slots<Attempt>,
    /// The listed servers; one that is missing counts as removed.
    server_states: BTreeMap<ServerId, ServerState>,
    /// When what was purged last, as long as servers may still have older copies.
    purge_times: BTreeMap<Purge, Instant>,
    /// Events that the router has not been given yet.
    events: VecDeque<Event>,
    /// A buffer for the router's actions, empty between two events.
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Bytes of copies whose answers have not begun.
    held_bytes: usize,
    metrics: AnswerMetrics,
}

impl Core {
    /// A core without servers or requests.
    ///
    /// # Errors
    ///
    /// The settings are not usable.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Result<Self, SettingsError> {
        Ok(Core {
            router: Router::new(settings.clone(), seed, now)?,
            settings,
            requests: Slots::default(),
            attempts: Slots::default(),
            server_states: BTreeMap::new(),
            purge_times: BTreeMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            held_bytes: 0,
            metrics: AnswerMetrics::default(),
        })
    }

    /// Applies new settings, in which every earlier class keeps its number and its rules. Open requests keep their
    /// deadlines and their number of attempts.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.router.reconfigure(settings.clone());
        self.settings = settings;
    }

    /// Sets how many processes serve as this edge proxy, and this one's place among them.
    pub fn set_process_share(&mut self, processes: u32, position: u32) {
        self.router.set_process_share(processes, position);
    }

    /// The next command to be carried out.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Bytes of copies whose answers have not begun.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Requests whose answer has not begun.
    pub fn unanswered(&self) -> usize {
        self.requests.len()
    }

    /// Whether a server is a cache, neither a parent nor the origin.
    pub fn is_cache(&self, server: ServerId) -> bool {
        self.router.is_cache(server)
    }

    /// The Retry-After that rejected requests of a class get.
    pub fn retry_after(&self, class: ClassId) -> Span {
        self.router.retry_after(class)
    }
}

#[cfg(test)]
mod tests;
