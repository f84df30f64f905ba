//! The edge proxy: one loop over sockets, deadlines and the core's commands. It ties fronts, upstream and
//! feed to the core and translates between their words; it decides nothing about requests.

mod accept;
mod admit;
mod federate;
mod figures;
mod handover;
mod instants;
mod leave;
mod links;
mod list;
mod reload;
mod requests;
mod translate;

use crate::admission::AdmissionSettings;
use crate::config::settings::Names;
use crate::config::signed::Signed;
use crate::config::{Config, ConfigError, Files};
use crate::core::{self, Command, Core, RequestKey};
use crate::deadlines::Deadlines;
use crate::feed::{self, Feed};
use crate::front::admin;
use crate::front::signed;
use crate::front::thrift;
use crate::interface::{ClassId, Micros, CacheStatus, ServerId};
use crate::members::Members;
use crate::net::fabric::Fabric;
use crate::net::{Clock, ConnKey, Listener, Net, Ready};
use crate::slots::Key;
use crate::upstream::lines::Fetch;
use crate::upstream::{self, Happening, Upstream, Wording};
use crate::SettingsError;
use bytes::Bytes;
use federate::Tie;
use handover::{Handover, NEWER, OLDER, PLACE};
use instants::Instants;
pub use links::route_classes;
use links::Links;
use reload::{Budget, Started};
use signal_hook::consts::signal::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tracing::info;

/// The numbers under which the loop watches what is no connection.
const LISTENER: usize = 0;
const SIGNALS: usize = 1;
const LINKS: usize = 2;
const ADMIN: usize = 3;

/// The numbers under which the processes of one edge proxy watch each other: the older one, the newer one.
pub const SIBLINGS: [usize; 2] = [OLDER, NEWER];

/// The pause before connections are taken again when descriptors ran out, us.
const ACCEPT_AGAIN: Micros = 50_000;

/// Whose turn is first where several are ready at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    Admin,
    Feed,
    ClientLeft,
    Rest,
}

#[derive(Clone, Copy, Debug)]
enum Due {
    Core(core::Due),
    Upstream(upstream::Due),
    Feed(feed::Due),
    Thrift(thrift::Due),
    Signed(signed::Due),
    Admin(admin::Due),
    Accept,
    Stop,
}

macro_rules! due_from {
    ($($part:ident $of:ty),*) => {
        $(impl From<$of> for Due {
            fn from(due: $of) -> Self {
                Due::$part(due)
            }
        })*
    };
}
due_from!(Core core::Due, Upstream upstream::Due, Feed feed::Due, Thrift thrift::Due, Signed signed::Due, Admin admin::Due);

/// Why the edge proxy cannot start, or had to end.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// A file cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The settings are of no use to the module.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The address cannot be listened on.
    #[error("{addr}: {error}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// A route of the second front names a class that it cannot serve.
    #[error("route {path:?}: class {class:?} is unknown or never kept")]
    Route {
        /// The route.
        path: String,
        /// The class that it names.
        class: String,
    },
    /// The loop itself broke.
    #[error("poll: {0}")]
    Poll(#[from] io::Error),
}

impl ServerError {
    /// Whether a configuration is to blame.
    pub fn is_config(&self) -> bool {
        matches!(self, ServerError::Config(_) | ServerError::Settings(_) | ServerError::Route { .. })
    }
}

/// Whom a request's answer is for.
enum Client {
    Thrift { conn: ConnKey, seqid: i32 },
    Signed { conn: ConnKey },
}

/// A request that is owed an answer, and what of it the core does not know.
struct Waiting {
    client: Client,
    tags: Vec<String>,
    class: ClassId,
    trace: String,
    item: String,
    idempotency_key: Option<String>,
    body: Bytes,
}

/// The admin endpoint, where there is one.
struct AdminEndpoint {
    listener: Listener,
    front: admin::Front,
}

/// The edge proxy.
pub struct Server {
    files: Files,
    started: Started,
    clock: Clock,
    now: Micros,
    net: Net,
    due: Deadlines<Due>,
    core: Core,
    members: Members,
    instants: Instants,
    upstream: Upstream,
    feed: Feed,
    thrift: thrift::Front,
    links: Option<Links>,
    admin: Option<AdminEndpoint>,
    federation: Tie,
    /// Files accepted and turned down at SIGHUP.
    reloads: [u64; 2],
    seed: u64,
    waiting: BTreeMap<RequestKey, Waiting>,
    /// The ids of these requests: servers could not tell two under one id apart.
    ids: BTreeSet<String>,
    /// Bytes of the bodies that these requests brought.
    bodies: usize,
    names: Names,
    /// None once a newer process takes the clients.
    listener: Option<Listener>,
    /// None in the simulator, which calls what they would.
    signals: Option<Signals>,
    handover: Handover,
    budget: Budget,
    accepting: accept::Accepting,
    admitting: admit::Admitting,
    /// Whether the list of servers has been had.
    listed: bool,
    stopping: Option<Micros>,
    /// While no more clients are taken: since when all is answered.
    answered_since: Option<Micros>,
    stopped: bool,
}

impl Server {
    /// Reads the configuration, listens, and takes in what is known.
    ///
    /// # Errors
    ///
    /// Files, settings or routes that cannot be used, or an address that cannot be listened on.
    pub fn start(files: Files) -> Result<Self, ServerError> {
        let mut net = Net::new()?;
        // First of all: a signal that comes before it is watched for ends the program.
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        net.watch(&mut signals, SIGNALS)?;
        let admission = files.admission()?;
        let (config, signed) = files.read()?;
        let federation = Tie::read(&files)?;
        let (seed, handover) = (config.seed, Handover::begin);
        let read = (config, signed, admission);
        let mut server = Self::begin(files, read, net, Clock::default(), Some(signals), handover)?;
        server.federation = Tie::start(federation, seed)?;
        Ok(server)
    }

    /// Starts as a process of a simulated network, with what the files would have held.
    ///
    /// # Errors
    ///
    /// Settings or routes that cannot be used.
    pub fn start_on(fabric: &Fabric, process: u32, config: Config) -> Result<Self, ServerError> {
        let files =
            Files { config: PathBuf::new(), signed: None, admin: None, admission: None, federation: None };
        let handover = |addr, _: &mut Net| Handover::begin_on(addr, fabric, process);
        let (net, clock) = (Net::on(fabric, process), Clock::of(fabric));
        Self::begin(files, (config, None, AdmissionSettings::off()), net, clock, None, handover)
    }

    fn begin(
        files: Files,
        (config, signed, admission): (Config, Option<Signed>, AdmissionSettings),
        mut net: Net,
        clock: Clock,
        signals: Option<Signals>,
        handover: impl FnOnce(SocketAddr, &mut Net) -> Handover,
    ) -> Result<Self, ServerError> {
        let now = clock.now();
        let listener = listen(&mut net, config.listen, true, LISTENER)?;
        let addr = listener.local_addr()?;
        let links = signed.map(|signed| Links::start(signed, &config, &mut net)).transpose()?;
        let admin = config.admin.map(|addr| {
            let listener = listen(&mut net, addr, false, ADMIN)?;
            Ok::<_, ServerError>(AdminEndpoint { listener, front: admin::Front::default() })
        });
        let admin = admin.transpose()?;
        let started = Started::of(&config);
        let names = config.settings.names;
        let budget = Budget::of(&config.limits, 1);
        let figures = budget.figures(&names);
        let mut server = Server {
            files,
            started,
            core: Core::new(config.settings.settings, config.seed, now)?,
            members: Members::default(),
            instants: Instants::new(now, net.unix_time()),
            upstream: Upstream::new(figures),
            feed: Feed::new(config.feed, config.known.n),
            thrift: thrift::Front::default(),
            links,
            admin,
            federation: Tie::default(),
            reloads: [0; 2],
            seed: config.seed,
            waiting: BTreeMap::new(),
            ids: BTreeSet::new(),
            bodies: 0,
            due: Deadlines::default(),
            listener: Some(listener),
            handover: handover(addr, &mut net),
            budget,
            accepting: accept::Accepting::default(),
            admitting: admit::Admitting::new(admission),
            listed: false,
            stopping: None,
            answered_since: None,
            stopped: false,
            clock,
            now,
            net,
            names,
            signals,
        };
        server.share();
        server.news(config.known);
        server.feed.start(now, &mut server.net, &mut server.due);
        info!("{} listens on {addr}", config.name);
        if let Some(listener) = server.links.as_ref().and_then(|links| links.listener.as_ref()) {
            info!("links are served on {}", listener.local_addr()?);
        }
        if let Some(admin) = &server.admin {
            info!("operators are answered on {}", admin.listener.local_addr()?);
        }
        Ok(server)
    }

    /// Serves until a signal says to stop and all is answered.
    ///
    /// # Errors
    ///
    /// The poll broke.
    pub fn run(&mut self) -> Result<(), ServerError> {
        let mut ready = Vec::new();
        while !self.stopped {
            self.turn(&mut ready)?;
        }
        self.finish();
        Ok(())
    }

    /// When there is something to do even if nothing comes.
    pub fn next_due(&self) -> Option<Micros> {
        if self.thrift.turns() + self.upstream.turns() > 0 {
            Some(self.now)
        } else {
            self.due.next()
        }
    }

    /// Waits until something comes or falls due, and does what is to be done about it. `ready` is only a buffer.
    ///
    /// # Errors
    ///
    /// The poll broke.
    pub fn turn(&mut self, ready: &mut Vec<Ready>) -> Result<(), ServerError> {
        self.now = self.clock.now();
        let wait = self.next_due().map(|at| Duration::from_micros((at - self.now).max(0) as u64));
        self.net.poll(wait, ready)?;
        self.now = self.clock.now();
        ready.sort_by_key(|one| self.precedence(*one));
        for one in ready.drain(..) {
            self.on_ready(one);
            self.settle();
        }
        while let Some(due) = self.due.pop(self.now) {
            self.on_due(due);
            self.settle();
        }
        // Each that has more to read has one turn, behind all that was ready.
        for _ in 0..self.thrift.turns() {
            let Some(conn) = self.thrift.turn() else { break };
            self.on_ready(Ready::readable(conn));
            self.settle();
        }
        for _ in 0..self.upstream.turns() {
            let Some(conn) = self.upstream.turn() else { break };
            self.on_ready(Ready::readable(conn));
            self.settle();
        }
        // Attempts are written behind all that came in the same turn: the news of the list and what clients gave up.
        self.pump();
        self.fade();
        self.forget_closed();
        self.handover.tell(self.clients());
        Ok(())
    }

    /// Whether all is answered and the process may end.
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Begins to stop, as at SIGTERM; a second call does nothing.
    pub fn terminate(&mut self) {
        if self.stopping.is_none() {
            self.now = self.clock.now();
            self.stop();
            self.pump();
        }
    }

    /// Bytes that buffers, bodies and waiting copies hold, and requests that are open.
    pub fn load(&self) -> (usize, usize) {
        (self.net.held() + self.core.held() + self.bodies, self.waiting.len())
    }

    /// The end of a process that has stopped.
    pub fn finish(&mut self) {
        self.handover.end(&mut self.net);
        self.federation.finish();
        self.thrift.stop(self.now, &mut self.net, &mut self.due);
        if let Some(links) = &mut self.links {
            links.front.stop(self.now, &mut self.net, &mut self.due);
        }
        if let Some(admin) = &mut self.admin {
            admin.front.stop(self.now, &mut self.net, &mut self.due);
        }
        self.upstream.stop(self.now, &mut self.net, &mut self.due);
        info!("stopped");
    }

    fn is_for_admin(&self, ready: Ready) -> bool {
        match ready {
            Ready::Source(number) => number == ADMIN,
            Ready::Conn { key, .. } => self.admin.as_ref().is_some_and(|admin| admin.front.owns(key)),
        }
    }

    fn is_client(&self, conn: ConnKey) -> bool {
        self.thrift.owns(conn) || self.links.as_ref().is_some_and(|links| links.front.owns(conn))
    }

    /// The order in which what is ready at once is taken in: operators' calls go ahead of whatever clients send, and
    /// news of the list ahead of decisions that rest on it, and clients' leaving ahead of answers to what they asked.
    fn precedence(&self, ready: Ready) -> Precedence {
        match ready {
            _ if self.is_for_admin(ready) => Precedence::Admin,
            Ready::Conn { key, .. } if self.feed.owns(key) => Precedence::Feed,
            Ready::Conn { key, closed: true, .. } if self.is_client(key) => Precedence::ClientLeft,
            _ => Precedence::Rest,
        }
    }

    fn on_ready(&mut self, ready: Ready) {
        match ready {
            Ready::Source(ADMIN) => self.accept_callers(),
            Ready::Source(number @ (PLACE | OLDER | NEWER)) => {
                let mut handed = Vec::new();
                let others = self.handover.ready(number, &mut self.net, &mut handed);
                if self.handover.missed_newer() {
                    self.accept_at(self.now + ACCEPT_AGAIN);
                }
                handed.into_iter().for_each(|handed| self.adopt(handed));
                if others {
                    self.share();
                    self.federation.newer(self.handover.has_newer());
                }
                if others && self.is_leaving() && !self.handover.has_newer() {
                    self.thrift.resume();
                }
            }
            Ready::Source(LISTENER | LINKS) => self.accept(),
            Ready::Source(_) => {
                let signals: Vec<i32> = self.signals.iter_mut().flat_map(Signals::pending).collect();
                if signals.contains(&SIGHUP) {
                    self.reload();
                }
                if signals.iter().any(|signal| *signal != SIGHUP) && self.stopping.is_none() {
                    self.stop();
                }
            }
            Ready::Conn { key, read, write, closed } => {
                if self.feed.owns(key) {
                    for batch in self.feed.ready(self.now, &mut self.net, &mut self.due) {
                        self.news(batch);
                    }
                } else if self.is_for_admin(ready) {
                    self.called(key);
                } else if self.thrift.owns(key) {
                    let asks = self.thrift.ready(self.now, key, closed, &mut self.net, &mut self.due);
                    self.asked(asks);
                    self.end_refused(key);
                } else if self.links.as_ref().is_some_and(|links| links.front.owns(key)) {
                    match self.links.as_mut().filter(|_| closed) {
                        Some(links) => links.front.closed(self.now, key, &mut self.net, &mut self.due),
                        None => self.read_links(key),
                    }
                    self.advance(key);
                } else {
                    self.upstream.held_elsewhere(self.core.held() + self.bodies);
                    self.upstream.ready(self.now, key, read, write, &mut self.net, &mut self.due);
                }
            }
        }
    }

    fn on_due(&mut self, due: Due) {
        match due {
            Due::Core(what) => self.core.due(self.now, what, &mut self.due),
            Due::Upstream(what) => self.upstream.due(self.now, what, &mut self.net, &mut self.due),
            Due::Feed(what) => self.feed.due(self.now, what, &mut self.net, &mut self.due),
            Due::Thrift(what) => {
                let asks = self.thrift.due(self.now, what, &mut self.net, &mut self.due);
                self.asked(asks);
            }
            Due::Signed(what) => {
                let Some(links) = &mut self.links else { return };
                let conn = links.front.due(self.now, what, &mut self.net, &mut self.due);
                self.advance(conn);
            }
            Due::Admin(what) => {
                if let Some(admin) = &mut self.admin {
                    admin.front.due(self.now, what, &mut self.net, &mut self.due);
                }
            }
            Due::Accept => self.accept_now(),
            Due::Stop => self.look_for_end(),
        }
    }

    /// Does what the core wants, and tells it what came of it, until both are quiet; writes no attempt.
    fn settle(&mut self) {
        while self.settle_once() {}
    }

    /// The same, and writes the attempts that connections take.
    fn pump(&mut self) {
        loop {
            self.settle();
            self.dispatch();
            // An attempt that may not be written any more is decided on anew.
            if !self.settle_once() {
                return;
            }
        }
    }

    /// Whether there was anything to tell the core or to do for it.
    fn settle_once(&mut self) -> bool {
        let happened = self.upstream.happened();
        let mut busy = !happened.is_empty();
        happened.into_iter().for_each(|happening| self.on_happening(happening));
        while let Some(command) = self.core.command() {
            busy = true;
            self.carry_out(command);
        }
        busy
    }

    fn dispatch(&mut self) {
        // The time of the writing itself: what is waited for an answer counts from here.
        self.now = self.clock.now();
        let mut wording = AttemptWording {
            now: self.now,
            core: &mut self.core,
            members: &self.members,
            waiting: &self.waiting,
            names: &self.names,
        };
        self.upstream.dispatch(self.now, &mut self.net, &mut self.due, &mut wording);
    }

    fn on_happening(&mut self, happening: Happening) {
        match happening {
            Happening::Ended { job, ending } => {
                let end = translate::end(ending, &self.names);
                let attempt = Key::from_number(job);
                let asked = self.core.launched_at(attempt).filter(|_| end.note == Some(CacheStatus::FilledByOrigin));
                self.instants.witness_copy(self.now, end.copy.born, asked);
                self.core.ended(self.now, attempt, end, &mut self.due);
            }
            Happening::Probed { host, ending, elapsed } => {
                let end = translate::end(ending, &self.names);
                self.core.probed(self.now, ServerId(host), end.result, elapsed, end.load, &mut self.due);
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send { attempt, request, server } => {
                let waiting = self.waiting.get(&request);
                let (id, class) = waiting.map_or_else(Default::default, |w| (w.trace.clone(), w.class.0));
                let write = self.names.writes.get(usize::from(class)).is_some_and(|write| *write);
                let tally = Some(class).filter(|_| self.core.is_cache(server));
                self.upstream.queue(self.now, server.0, attempt.number(), id, write, tally);
            }
            Command::Drop(attempt) => {
                self.upstream.give_up(self.now, attempt.number(), &mut self.net, &mut self.due);
            }
            Command::Answer(request) => match self.waiting.get(&request).map(|waiting| &waiting.client) {
                Some(Client::Thrift { conn, seqid }) => {
                    let (conn, seqid) = (*conn, *seqid);
                    let Some(answer) = self.core.answer_now(self.now, request) else { return };
                    self.over(request);
                    let reply = translate::reply(answer);
                    let asks = self.thrift.answer(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
                    self.asked(asks);
                }
                Some(Client::Signed { conn }) => {
                    let conn = *conn;
                    self.advance(conn);
                }
                None => {}
            },
            Command::Probe(server) => self.upstream.probe(self.now, server.0),
            Command::CloseIdle(server) => {
                self.upstream.close_idle(self.now, server.0, &mut self.net, &mut self.due);
            }
            Command::Log(line) => info!("module: {line}"),
        }
    }
}

/// Words attempts for the servers' wire as they are written.
struct AttemptWording<'a> {
    now: Micros,
    core: &'a mut Core,
    members: &'a Members,
    waiting: &'a BTreeMap<RequestKey, Waiting>,
    names: &'a Names,
}

impl Wording<Deadlines<Due>> for AttemptWording<'_> {
    fn fetch(&mut self, job: u64, due: &mut Deadlines<Due>) -> Option<Fetch> {
        let order = self.core.launch(self.now, Key::from_number(job), due)?;
        let asked = self.waiting.get(&order.request)?;
        let class = self.names.classes.get(usize::from(asked.class.0))?;
        let from = order.source.and_then(|source| self.members.name(source));
        // One tag can be passed on; several are looked through when the answer is there.
        let seen = if let [tag] = &asked.tags[..] { Some(tag.clone()) } else { None };
        let key = asked.idempotency_key.clone();
        Some(translate::fetch(&order, class, from, &asked.item, seen, key, &asked.body))
    }

    fn not_written(&mut self, job: u64) {
        self.core.not_launched(Key::from_number(job));
    }
}

fn listen(net: &mut Net, addr: SocketAddr, shared: bool, number: usize) -> Result<Listener, ServerError> {
    net.listen(addr, shared, number).map_err(|error| ServerError::Listen { addr, error })
}
