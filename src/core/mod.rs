//! The core: requests, their attempts and their final answers, independent of the protocol that they arrive by.
//!
//! The core passes events to the decision module, [`Router`], and carries out its actions. It guarantees that each
//! request gets exactly one final answer and that each attempt ends exactly once. It has no sockets and reads no clock;
//! times are passed in.
//!
//! - `messages`: the types that the core and the program around it exchange;
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

/// The key of a request in the core's table.
pub type RequestKey = Key;
/// The key of an attempt in the core's table.
pub type AttemptKey = Key;

/// A deadline that the core sets and the program reports back by [`Core::deadline_passed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreDeadline {
    /// A timer of the decision module expires; holds its token.
    RouterTimer(u32),
    /// An attempt times out.
    AttemptTimeout(AttemptKey),
    /// The client stops waiting.
    ClientTimeout(RequestKey),
    /// The client's credential expires. The request is denied unless its answer has begun.
    AuthorizationExpiry(RequestKey),
}

/// Whether a request's final answer is known.
enum AnswerState {
    Pending,
    /// The answer is known, and no byte of it has been written yet.
    Chosen(FinalAnswer),
}

/// A request whose answer has not begun.
struct OpenRequest {
    client_request: ClientRequest,
    arrived: Instant,
    state: AnswerState,
    attempts_sent: u8,
    /// Maximum number of attempts, by the settings in force at the request's arrival.
    max_attempts: u32,
    /// When the earliest of the ended attempts that may have run was written; `None` if there is none.
    first_possible_run: Option<Instant>,
    timeout_deadline: Option<DeadlineHandle>,
    authorization_deadline: Option<DeadlineHandle>,
}

/// An attempt that has not ended.
struct Attempt {
    request: RequestId,
    /// Index in the order of the request's attempts, from 0.
    number: u8,
    server: ServerId,
    /// How the server may fetch the object on a miss; `None` if it answers only from its cache.
    fill: Option<FillAttempt>,
    /// The purges that concern the attempt: of its object, and of the object's group.
    purge_scopes: [Purge; 2],
    started_at: Instant,
    deadline: Instant,
    timeout_deadline: Option<DeadlineHandle>,
    /// When the attempt was written; from then on it may have run.
    written_at: Option<Instant>,
}

/// The requests and attempts of one edge proxy, around its decision module.
pub struct Core {
    router: Router,
    settings: Settings,
    requests: Slots<OpenRequest>,
    attempts: Slots<Attempt>,
    /// The states of the listed servers; a server that is missing counts as removed.
    server_states: BTreeMap<ServerId, ServerState>,
    /// When each object and group was last purged, kept as long as servers may still have older copies.
    purge_times: BTreeMap<Purge, Instant>,
    /// Events that the router has not handled yet.
    events: VecDeque<Event>,
    /// A reused buffer for the router's actions; empty between two events.
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Bytes of the copies that are held for answers that have not begun.
    held_bytes: usize,
    metrics: AnswerMetrics,
}

impl Core {
    /// Creates a core without servers and requests.
    ///
    /// # Errors
    ///
    /// Returns an error for the first setting that is not valid.
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

    /// Applies new settings, in which every earlier class must keep its number and its rules. Open requests keep their
    /// deadlines and their maximum number of attempts.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.router.reconfigure(settings.clone());
        self.settings = settings;
    }

    /// Sets how many processes serve as this edge proxy, and this process's position among them, from 0.
    pub fn set_process_share(&mut self, processes: u32, position: u32) {
        self.router.set_process_share(processes, position);
    }

    /// Removes and returns the next command that the program must carry out.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Returns the bytes of the copies that are held for answers that have not begun.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of requests whose answer has not begun.
    pub fn unanswered(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a server is a cache, and neither a parent nor the origin.
    pub fn is_cache(&self, server: ServerId) -> bool {
        self.router.is_cache(server)
    }

    /// Returns the Retry-After of rejected requests of a class; zero means none.
    pub fn retry_after(&self, class: ClassId) -> Span {
        self.router.retry_after(class)
    }
}

#[cfg(test)]
mod tests;
