//! Requests, attempts and outcomes, whatever wire they come by. The core feeds the decision module's
//! [`Router`], carries out its actions, and sees to it that each request gets one final answer and each
//! attempt one legal end. It reads no clock: the time is passed in.

mod attempts;
mod events;
mod messages;
mod requests;

pub use messages::{Answered, Ask, CacheCounts, Command, Copy, End, Final, Order, RejectionCount};

use crate::deadlines::Handle;
use crate::interface::{
    Action, ClassId, Event, FillAttempt, Micros, Purge, RequestId, ServerId, ServerState, Settings, RejectionReason,
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
pub enum Due {
    /// A timer of the decision module.
    Timer(u32),
    /// An attempt's time is over.
    Attempt(AttemptKey),
    /// The client stops waiting.
    Patience(RequestKey),
    /// The client's right to an answer ends, unless the answer has begun.
    Expiry(RequestKey),
}

enum State {
    Open,
    /// The answer is known, and no byte of it is out.
    Chosen(Final),
}

struct Request {
    ask: Ask,
    arrived: Micros,
    state: State,
    sent: u8,
    /// Attempts that it may have, by the settings that held when it came.
    most: u32,
    /// When the first of its ended attempts that may have run was written.
    may_have_run: Option<Micros>,
    patience: Option<Handle>,
    expiry: Option<Handle>,
}

struct Attempt {
    request: RequestId,
    number: u8,
    server: ServerId,
    get: Option<FillAttempt>,
    purge: [Purge; 2],
    sent: Micros,
    until: Micros,
    due: Option<Handle>,
    /// When its bytes may have left.
    launched: Option<Micros>,
}

/// The requests and attempts of one edge proxy, around its decision module.
pub struct Core {
    router: Router,
    settings: Settings,
    requests: Slots<Request>,
    attempts: Slots<Attempt>,
    states: BTreeMap<ServerId, ServerState>,
    purged: BTreeMap<Purge, Micros>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Bytes of copies whose answers have not begun.
    held: usize,
    /// By class; a request that its client abandons before its answer begins is in none.
    answered: Vec<Answered>,
    /// Refusals by what stood in the way, in the order of [`Why::ALL`].
    refused: [u64; RejectionReason::ALL.len()],
}

impl Core {
    /// A core whose module knows nothing yet but its settings.
    ///
    /// # Errors
    ///
    /// Settings that the module cannot use.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Self, SettingsError> {
        Ok(Core {
            router: Router::new(settings.clone(), seed, now)?,
            settings,
            requests: Slots::default(),
            attempts: Slots::default(),
            states: BTreeMap::new(),
            purged: BTreeMap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            commands: VecDeque::new(),
            held: 0,
            answered: Vec::new(),
            refused: [0; RejectionReason::ALL.len()],
        })
    }

    /// Goes on by other settings, in which every class that was there has its number and its rules: requests that are
    /// open keep those, their deadlines and their number of attempts.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.router.reconfigure(settings.clone());
        self.settings = settings;
    }

    /// Tells how many processes serve as this edge proxy just now, and which of them this is.
    pub fn share(&mut self, processes: u32, place: u32) {
        self.router.share(processes, place);
    }

    /// The next thing that the core wants done.
    pub fn command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Bytes of copies whose answers have not begun.
    pub fn held(&self) -> usize {
        self.held
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
    pub fn caches(&self) -> CacheCounts {
        let (listed, avoided) = self.router.targets();
        CacheCounts { listed, avoided }
    }

    /// The advice on staying away that the module gives a class's clients.
    pub fn pause(&self, class: ClassId) -> Micros {
        self.router.advice(class)
    }
}

#[cfg(test)]
mod tests;
