//! Requests, attempts and outcomes, whatever wire they come by. The core feeds the decision module's
//! [`Router`], carries out its actions, and sees to it that each request gets one final answer and each
//! attempt one legal end. It reads no clock: the time is passed in.

mod attempts;
mod events;
mod messages;
mod requests;

pub use messages::{
    AnswerCounts, AttemptEnd, CacheCounts, CachedCopy, ClientRequest, Command, FinalAnswer, OutgoingAttempt,
    RejectionCount,
};

use crate::deadlines::DeadlineHandle;
use crate::interface::{
    Action, ClassId, Event, FillAttempt, Instant, Purge, RejectionReason, RequestId, ServerId, ServerState,
    Settings, Span,
};
use crate::slots::{Key, Slots};
use crate::{Router, SettingsError};
use std::collections::{BTreeMap, VecDeque};

/// A request of the core's table.
pub type RequestKey = Key;
/// An attempt of the core's table.
pub type AttemptKey = Key;

/// What falls due for the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoreDeadline {
    /// A timer of the decision module.
    RouterTimer(u32),
    /// An attempt's time is over.
    AttemptTimeout(AttemptKey),
    /// The client stops waiting.
    ClientTimeout(RequestKey),
    /// The client's right to an answer ends, unless the answer has begun.
    AuthorizationExpiry(RequestKey),
}

enum AnswerState {
    Pending,
    /// The answer is known, and no byte of it is out.
    Chosen(FinalAnswer),
}

struct OpenRequest {
    client_request: ClientRequest,
    arrived: Instant,
    state: AnswerState,
    attempts_sent: u8,
    /// Attempts that it may have, by the settings that held when it came.
    max_attempts: u32,
    /// When the first of its ended attempts that may have run was written.
    first_possible_run: Option<Instant>,
    timeout_deadline: Option<DeadlineHandle>,
    authorization_deadline: Option<DeadlineHandle>,
}

struct Attempt {
    request: RequestId,
    number: u8,
    server: ServerId,
    fill: Option<FillAttempt>,
    purge_scopes: [Purge; 2],
    started_at: Instant,
    deadline: Instant,
    timeout_deadline: Option<DeadlineHandle>,
    /// When its bytes may have left.
    written_at: Option<Instant>,
}

/// The requests and attempts of one edge proxy, around its decision module.
pub struct Core {
    router: Router,
    settings: Settings,
    requests: Slots<OpenRequest>,
    attempts: Slots<Attempt>,
    server_states: BTreeMap<ServerId, ServerState>,
    purge_times: BTreeMap<Purge, Instant>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Bytes of copies whose answers have not begun.
    held_bytes: usize,
    /// By class; a request that its client abandons before its answer begins is in none.
    answer_counts: Vec<AnswerCounts>,
    /// Refusals by what stood in the way, in the order of [`RejectionReason::ALL`].
    rejection_counts: [u64; RejectionReason::COUNT],
}

impl Core {
    /// A core whose module knows nothing yet but its settings.
    ///
    /// # Errors
    ///
    /// Settings that the module cannot use.
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
            answer_counts: Vec::new(),
            rejection_counts: [0; RejectionReason::COUNT],
        })
    }

    /// Goes on by other settings, in which every class that was there has its number and its rules: requests that are
    /// open keep those, their deadlines and their number of attempts.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.router.reconfigure(settings.clone());
        self.settings = settings;
    }

    /// Tells how many processes serve as this edge proxy just now, and which of them this is.
    pub fn set_process_share(&mut self, processes: u32, place: u32) {
        self.router.share(processes, place);
    }

    /// The next thing that the core wants done.
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

    /// Whether a server is a cache: no parent, and not the origin.
    pub fn is_cache(&self, server: ServerId) -> bool {
        self.router.is_cache(server)
    }

    /// The caches of the list, and how many of them the module avoids now.
    pub fn cache_counts(&self) -> CacheCounts {
        let (listed, avoided) = self.router.targets();
        CacheCounts { listed, avoided }
    }

    /// The advice on staying away that the module gives a class's clients.
    pub fn retry_after(&self, class: ClassId) -> Span {
        self.router.advice(class)
    }
}

#[cfg(test)]
mod tests;
