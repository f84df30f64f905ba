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
use crate::config::settings::SiteNames;
use crate::config::signed::SignedConfig;
use crate::config::{Config, ConfigError, Files};
use crate::core::{self, Command, Core, RequestKey};
use crate::deadlines::Deadlines;
use crate::feed::{self, Feed};
use crate::front::admin;
use crate::front::signed;
use crate::front::thrift;
use crate::interface::{CacheStatus, ClassId, Instant, Span};
use crate::net::fabric::Fabric;
use crate::net::{Clock, ConnectionKey, Listener, Net, Ready};
use crate::server_names::ServerNames;
use crate::slots::Key;
use crate::upstream::lines::{IdempotencyKey, WireRequest};
use crate::upstream::{self, JobId, QueueKind, QueuedRequest, RequestEncoder, Upstream, UpstreamEvent};
use crate::SettingsError;
use bytes::Bytes;
use federate::FederationHandle;
use handover::{Handover, NEWER, OLDER, PLACE};
use instants::UnixTimeConverter;
pub use links::route_classes;
use links::SignedLinks;
use reload::{ActiveConfig, ResourceBudget};
use signal_hook::consts::signal::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use tracing::info;

/// The numbers under which the loop watches what is no connection.
const LISTENER: usize = 0;
const SIGNALS: usize = 1;
const LINKS: usize = 2;
const ADMIN: usize = 3;

/// The numbers under which the processes of one edge proxy watch each other: the older one, the newer one.
pub const SIBLINGS: [usize; 2] = [OLDER, NEWER];

/// The pause before connections are taken again when descriptors ran out.
const ACCEPT_AGAIN: Span = Span::from_millis(50);

/// Whose turn is first where several are ready at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    Admin,
    Feed,
    ClientLeft,
    Rest,
}

#[derive(Clone, Copy, Debug)]
enum ServerDeadline {
    Core(core::CoreDeadline),
    Upstream(upstream::ConnectionDeadline),
    Feed(feed::FeedDeadline),
    Thrift(thrift::SessionDeadline),
    Signed(signed::SessionDeadline),
    Admin(admin::CallerDeadline),
    Accept,
    Stop,
}

macro_rules! due_from {
    ($($part:ident $of:ty),*) => {
        $(impl From<$of> for ServerDeadline {
            fn from(due: $of) -> Self {
                ServerDeadline::$part(due)
            }
        })*
    };
}
due_from!(Core core::CoreDeadline, Upstream upstream::ConnectionDeadline, Feed feed::FeedDeadline, Thrift thrift::SessionDeadline, Signed signed::SessionDeadline, Admin admin::CallerDeadline);

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
    Thrift { conn: ConnectionKey, seqid: i32 },
    Signed { conn: ConnectionKey },
}

/// A request that is owed an answer, and what of it the core does not know.
struct PendingRequest {
    client: Client,
    tags: Vec<String>,
    class: ClassId,
    trace: String,
    item: String,
    idempotency_key: Option<IdempotencyKey>,
    body: Bytes,
}

/// The admin endpoint, where there is one.
struct AdminEndpoint {
    listener: Listener,
    front: admin::AdminFront,
}

/// The edge proxy.
pub struct Server {
    files: Files,
    started: ActiveConfig,
    clock: Clock,
    now: Instant,
    net: Net,
    due: Deadlines<ServerDeadline>,
    core: Core,
    members: ServerNames,
    instants: UnixTimeConverter,
    upstream: Upstream,
    feed: Feed,
    thrift: thrift::ThriftFront,
    links: Option<SignedLinks>,
    admin: Option<AdminEndpoint>,
    federation: FederationHandle,
    /// Files accepted and turned down at SIGHUP.
    reloads: [u64; 2],
    seed: u64,
    pending: BTreeMap<RequestKey, PendingRequest>,
    /// The ids of these requests: servers could not tell two under one id apart.
    ids: BTreeSet<String>,
    /// Bytes of the bodies that these requests brought.
    bodies: usize,
    names: SiteNames,
    /// None once a newer process takes the clients.
    listener: Option<Listener>,
    /// None in the simulator, which calls what they would.
    signals: Option<Signals>,
    handover: Handover,
    budget: ResourceBudget,
    accepting: accept::Accepting,
    admitting: admit::Admitting,
    /// Whether the list of servers has been had.
    listed: bool,
    stopping: Option<Instant>,
    /// While no more clients are taken: since when all is answered.
    answered_since: Option<Instant>,
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
        let federation = FederationHandle::read(&files)?;
        let (seed, handover) = (config.seed, Handover::begin);
        let read = (config, signed, admission);
        let mut server = Self::begin(files, read, net, Clock::default(), Some(signals), handover)?;
        server.federation = FederationHandle::start(federation, seed)?;
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
        (config, signed, admission): (Config, Option<SignedConfig>, AdmissionSettings),
        mut net: Net,
        clock: Clock,
        signals: Option<Signals>,
        handover: impl FnOnce(SocketAddr, &mut Net) -> Handover,
    ) -> Result<Self, ServerError> {
        let now = clock.now();
        let listener = listen(&mut net, config.listen, true, LISTENER)?;
        let addr = listener.local_addr()?;
        let links = signed.map(|signed| SignedLinks::start(signed, &config, &mut net)).transpose()?;
        let admin = config.admin.map(|addr| {
            let listener = listen(&mut net, addr, false, ADMIN)?;
            Ok::<_, ServerError>(AdminEndpoint { listener, front: admin::AdminFront::default() })
        });
        let admin = admin.transpose()?;
        let started = ActiveConfig::of(&config);
        let names = config.settings.names;
        let budget = ResourceBudget::of(&config.limits, 1);
        let figures = budget.pool_limits(&names);
        let mut server = Server {
            files,
            started,
            core: Core::new(config.settings.settings, config.seed, now)?,
            members: ServerNames::default(),
            instants: UnixTimeConverter::new(now, net.unix_time()),
            upstream: Upstream::new(figures),
            feed: Feed::new(config.feed, config.known.n),
            thrift: thrift::ThriftFront::default(),
            links,
            admin,
            federation: FederationHandle::default(),
            reloads: [0; 2],
            seed: config.seed,
            pending: BTreeMap::new(),
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
        server.update_process_share();
        server.on_feed_batch(config.known);
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
    pub fn next_due(&self) -> Option<Instant> {
        if self.thrift.waiting_turns() + self.upstream.waiting_turns() > 0 {
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
        let wait = self.next_due().map(|at| (at - self.now).to_std());
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
        for _ in 0..self.thrift.waiting_turns() {
            let Some(conn) = self.thrift.next_turn() else { break };
            self.on_ready(Ready::readable(conn));
            self.settle();
        }
        for _ in 0..self.upstream.waiting_turns() {
            let Some(conn) = self.upstream.next_turn() else { break };
            self.on_ready(Ready::readable(conn));
            self.settle();
        }
        // Attempts are written behind all that came in the same turn: the news of the list and what clients gave up.
        self.pump();
        self.hand_over_or_close_idle();
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
            self.begin_shutdown();
            self.pump();
        }
    }

    /// Bytes that buffers, bodies and waiting copies hold, and requests that are open.
    pub fn load(&self) -> (usize, usize) {
        (self.net.held_bytes() + self.core.held_bytes() + self.bodies, self.pending.len())
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

    fn is_client(&self, conn: ConnectionKey) -> bool {
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
                    self.update_process_share();
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
                    self.begin_shutdown();
                }
            }
            Ready::Conn { key, read, write, closed } => {
                if self.feed.owns(key) {
                    for batch in self.feed.on_ready(self.now, &mut self.net, &mut self.due) {
                        self.on_feed_batch(batch);
                    }
                } else if self.is_for_admin(ready) {
                    self.called(key);
                } else if self.thrift.owns(key) {
                    let asks = self.thrift.ready(self.now, key, closed, &mut self.net, &mut self.due);
                    self.on_thrift_events(asks);
                    self.end_refused(key);
                } else if self.links.as_ref().is_some_and(|links| links.front.owns(key)) {
                    match self.links.as_mut().filter(|_| closed) {
                        Some(links) => links.front.closed(self.now, key, &mut self.net, &mut self.due),
                        None => self.read_links(key),
                    }
                    self.write_signed_answers(key);
                } else {
                    self.upstream.set_bytes_held_elsewhere(self.core.held_bytes() + self.bodies);
                    self.upstream.ready(self.now, key, read, write, &mut self.net, &mut self.due);
                }
            }
        }
    }

    fn on_due(&mut self, due: ServerDeadline) {
        match due {
            ServerDeadline::Core(what) => self.core.deadline_passed(self.now, what, &mut self.due),
            ServerDeadline::Upstream(what) => {
                self.upstream.deadline_passed(self.now, what, &mut self.net, &mut self.due)
            }
            ServerDeadline::Feed(what) => {
                self.feed.deadline_passed(self.now, what, &mut self.net, &mut self.due)
            }
            ServerDeadline::Thrift(what) => {
                let asks = self.thrift.due(self.now, what, &mut self.net, &mut self.due);
                self.on_thrift_events(asks);
            }
            ServerDeadline::Signed(what) => {
                let Some(links) = &mut self.links else { return };
                let conn = links.front.due(self.now, what, &mut self.net, &mut self.due);
                self.write_signed_answers(conn);
            }
            ServerDeadline::Admin(what) => {
                if let Some(admin) = &mut self.admin {
                    admin.front.due(self.now, what, &mut self.net, &mut self.due);
                }
            }
            ServerDeadline::Accept => self.accept_now(),
            ServerDeadline::Stop => self.check_stopped(),
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
        let happened = self.upstream.take_events();
        let mut busy = !happened.is_empty();
        happened.into_iter().for_each(|happening| self.on_happening(happening));
        while let Some(command) = self.core.next_command() {
            busy = true;
            self.carry_out(command);
        }
        busy
    }

    fn dispatch(&mut self) {
        // The time of the writing itself: what is waited for an answer counts from here.
        self.now = self.clock.now();
        let mut wording = AttemptEncoder {
            now: self.now,
            core: &mut self.core,
            members: &self.members,
            waiting: &self.pending,
            names: &self.names,
        };
        self.upstream.dispatch(self.now, &mut self.net, &mut self.due, &mut wording);
    }

    fn on_happening(&mut self, happening: UpstreamEvent) {
        match happening {
            UpstreamEvent::JobEnded { job, end: ending } => {
                let end = translate::end(ending, &self.names);
                let attempt = Key::from_number(job.0);
                let asked = self
                    .core
                    .written_at(attempt)
                    .filter(|_| end.cache_status == Some(CacheStatus::FilledByOrigin));
                self.instants.witness_copy(self.now, end.copy.generated_at_ms, asked);
                self.core.attempt_ended(self.now, attempt, end, &mut self.due);
            }
            UpstreamEvent::HealthChecked { server, end: ending, elapsed } => {
                let end = translate::end(ending, &self.names);
                self.core.health_checked(
                    self.now,
                    server,
                    end.result,
                    elapsed,
                    end.load_report,
                    &mut self.due,
                );
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::SendAttempt { attempt, request, server } => {
                let waiting = self.pending.get(&request);
                let (id, class) = waiting.map_or_else(Default::default, |w| (w.trace.clone(), w.class.0));
                let write = self.names.writes.get(usize::from(class)).is_some_and(|write| *write);
                let queue = if write { QueueKind::Writes } else { QueueKind::Reads };
                let counted_class = Some(ClassId(class)).filter(|_| self.core.is_cache(server));
                let job = JobId(attempt.number());
                let queued = QueuedRequest { job, server, wire_id: id, queue, counted_class };
                self.upstream.queue(self.now, queued);
            }
            Command::AbandonAttempt(attempt) => {
                self.upstream.cancel(self.now, JobId(attempt.number()), &mut self.net, &mut self.due);
            }
            Command::AnswerRequest(request) => {
                match self.pending.get(&request).map(|waiting| &waiting.client) {
                    Some(Client::Thrift { conn, seqid }) => {
                        let (conn, seqid) = (*conn, *seqid);
                        let Some(answer) = self.core.answer_now(self.now, request) else { return };
                        self.on_answer_begun(request);
                        let reply = translate::reply(answer);
                        let asks =
                            self.thrift.answer(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
                        self.on_thrift_events(asks);
                    }
                    Some(Client::Signed { conn }) => {
                        let conn = *conn;
                        self.write_signed_answers(conn);
                    }
                    None => {}
                }
            }
            Command::HealthCheck(server) => self.upstream.health_check(self.now, server),
            Command::CloseIdleConnections(server) => {
                self.upstream.close_idle(self.now, server, &mut self.net, &mut self.due);
            }
            Command::Log(line) => info!("module: {line}"),
        }
    }
}

/// Words attempts for the servers' wire as they are written.
struct AttemptEncoder<'a> {
    now: Instant,
    core: &'a mut Core,
    members: &'a ServerNames,
    waiting: &'a BTreeMap<RequestKey, PendingRequest>,
    names: &'a SiteNames,
}

impl RequestEncoder<Deadlines<ServerDeadline>> for AttemptEncoder<'_> {
    fn encode(&mut self, job: JobId, due: &mut Deadlines<ServerDeadline>) -> Option<WireRequest> {
        let order = self.core.write_attempt(self.now, Key::from_number(job.0), due)?;
        let asked = self.waiting.get(&order.request)?;
        let class = self.names.classes.get(usize::from(asked.class.0))?;
        let from = order.fill_source.and_then(|source| self.members.name(source));
        // One tag can be passed on; several are looked through when the answer is there.
        let seen = if let [tag] = &asked.tags[..] { Some(tag.clone()) } else { None };
        let key = asked.idempotency_key.clone();
        Some(translate::fetch(&order, class, from, &asked.item, seen, key, &asked.body))
    }

    fn not_written(&mut self, job: JobId) {
        self.core.attempt_not_written(Key::from_number(job.0));
    }
}

fn listen(net: &mut Net, addr: SocketAddr, shared: bool, number: usize) -> Result<Listener, ServerError> {
    net.listen(addr, shared, number).map_err(|error| ServerError::Listen { addr, error })
}
