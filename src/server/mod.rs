//! The edge proxy: one loop over sockets, deadlines and the core's commands. It ties fronts, upstream and
//! feed to the core and translates between their words; it decides nothing about requests.

mod admit;
mod federate;
mod figures;
mod handover;
mod leave;
mod reload;
mod translate;

use crate::admission::AdmissionSettings;
use crate::config::events::{Batch, Numbered};
use crate::config::settings::Names;
use crate::config::settings::Parsed;
use crate::config::signed::Signed;
use crate::config::{Config, ConfigError, Files};
use crate::core::{self, Ask, Command, Core, Final, RequestKey};
use crate::deadlines::{Deadlines, Schedule};
use crate::feed::{self, Feed};
use crate::front::admin;
use crate::front::signed::{self, route::Place};
use crate::front::thrift::{self, codec::Reply};
use crate::interface::{ClassId, ListKind, Micros, ObjectId, Purge, ServerId, ServerState, Why};
use crate::members::Members;
use crate::net::fabric::Fabric;
use crate::net::{Clock, ConnKey, Listener, Net, Ready, Reason, Role};
use crate::slots::Key;
use crate::upstream::{self, Happening, Upstream};
use crate::{GroupId, SettingsError};
use bytes::Bytes;
use federate::Tie;
use handover::{Handover, NEWER, OLDER, PLACE};
use reload::{Budget, Started};
use signal_hook::consts::signal::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tracing::{info, warn};

/// The numbers under which the loop watches what is no connection.
const LISTENER: usize = 0;
const SIGNALS: usize = 1;
const LINKS: usize = 2;
const ADMIN: usize = 3;

/// The numbers under which the processes of one edge proxy watch each other: the older one, the newer one.
pub const SIBLINGS: [usize; 2] = [OLDER, NEWER];

/// A client counts its patience from its send; the request has been under way for about this long, us.
const WAY: Micros = 12_000;
/// The pause before connections are taken again when descriptors ran out, us.
const ACCEPT_AGAIN: Micros = 50_000;
/// Connections taken at a turn, and the pause before the next one, us: hundreds at once wait for each other and not
/// the others for them.
const ACCEPTS: usize = 32;
const ACCEPT_NEXT: Micros = 1_000;

/// Whose turn is first where several are ready at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    Admin,
    Feed,
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

/// The second front, where there is one.
struct Links {
    listener: Option<Listener>,
    front: signed::Front,
    /// Each route's class, and how long its answers are waited for.
    classes: Vec<(ClassId, Micros)>,
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
        mut clock: Clock,
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
        if self.thrift.turns() > 0 {
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

    /// The order in which what is ready at once is taken in: operators' calls go ahead of whatever clients send, and
    /// news of the list ahead of decisions that rest on it.
    fn precedence(&self, ready: Ready) -> Precedence {
        match ready {
            _ if self.is_for_admin(ready) => Precedence::Admin,
            Ready::Conn { key, .. } if self.feed.owns(key) => Precedence::Feed,
            _ => Precedence::Rest,
        }
    }

    fn on_ready(&mut self, ready: Ready) {
        match ready {
            Ready::Source(ADMIN) => self.accept_callers(),
            Ready::Source(number @ (PLACE | OLDER | NEWER)) => {
                let mut handed = Vec::new();
                let others = self.handover.ready(number, &mut self.net, &mut handed);
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
            Due::Accept => {
                self.accept_callers();
                self.accept();
            }
            Due::Stop => self.look_for_end(),
        }
    }

    fn accept(&mut self) {
        for role in [Role::Thrift, Role::Signed] {
            for taken in 0.. {
                if taken == ACCEPTS {
                    self.due.add(self.now + ACCEPT_NEXT, Due::Accept);
                    break;
                }
                let Some(conn) = self.accept_one(role) else { break };
                self.take_in(role, conn);
            }
        }
    }

    fn take_in(&mut self, role: Role, conn: ConnKey) {
        if !self.has_room() {
            self.net.close(self.now, conn, Reason::TooMany);
        } else if !self.admit(role, conn, false) {
            // refused, and answered so
        } else if role == Role::Thrift {
            self.thrift.open(self.now, conn, &mut self.due);
        } else if let Some(links) = &mut self.links {
            links.front.open(self.now, conn, &mut self.due);
        }
    }

    /// Connections of clients that this process holds.
    fn clients(&self) -> usize {
        self.net.count(Role::Thrift) + self.net.count(Role::Signed)
    }

    /// Whether clients are within their budget, or one that is missed less than a new one could be ended.
    fn has_room(&mut self) -> bool {
        let clients = self.clients() + self.handover.clients();
        let links = self.links.as_mut().map(|links| &mut links.front);
        clients <= self.budget.clients
            || self.thrift.evict(self.now, &mut self.net, &mut self.due)
            || links.is_some_and(|front| front.evict(self.now, &mut self.net, &mut self.due))
    }

    fn accept_one(&mut self, role: Role) -> Option<ConnKey> {
        match self.accept_raw(role) {
            Ok(Err(())) => None,
            Ok(Ok(conn)) => {
                if role != Role::Admin {
                    self.accept_worked();
                }
                conn
            }
            Err(error) => {
                self.accept_failed(role, &error);
                None
            }
        }
    }

    /// Takes the next connection of a role's listener; `Err(())` if there is no such listener.
    fn accept_raw(&mut self, role: Role) -> io::Result<Result<Option<ConnKey>, ()>> {
        let listener = match role {
            Role::Thrift => self.listener.as_ref(),
            Role::Admin => self.admin.as_ref().map(|admin| &admin.listener),
            _ => self.links.as_ref().and_then(|links| links.listener.as_ref()),
        };
        let Some(listener) = listener else { return Ok(Err(())) };
        self.net.accept(self.now, listener, role).map(Ok)
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
        let (now, core, members) = (self.now, &mut self.core, &self.members);
        let (waiting, names) = (&self.waiting, &self.names);
        self.upstream.dispatch(now, &mut self.net, &mut self.due, &mut |job, due| {
            let order = core.launch(now, Key::from_number(job), due)?;
            let asked = waiting.get(&order.request)?;
            let class = names.classes.get(usize::from(asked.class.0))?;
            let from = order.source.and_then(|source| members.name(source));
            // One tag can be passed on; several are looked through when the answer is there.
            let seen = if let [tag] = &asked.tags[..] { Some(tag.clone()) } else { None };
            let key = asked.idempotency_key.clone();
            Some(translate::fetch(&order, class, from, &asked.item, seen, key, &asked.body))
        });
    }

    fn on_happening(&mut self, happening: Happening) {
        match happening {
            Happening::Ended { job, ending } => {
                let end = translate::end(ending, &self.names);
                self.core.ended(self.now, Key::from_number(job), end, &mut self.due);
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

    /// A request's answer has begun.
    fn over(&mut self, request: RequestKey) {
        self.forget(request);
        self.core.begun(self.now, request, &mut self.due);
    }

    /// Writes what answers of a second front's connection have their turn, each as it is at its first byte.
    fn advance(&mut self, conn: ConnKey) {
        let now = self.now;
        while let Some(links) = &mut self.links {
            let Some(number) = links.front.next(now, conn, &mut self.net, &mut self.due) else { break };
            let request = Key::from_number(number);
            let Some(answer) = self.core.answer_now(now, request) else { break };
            let tags = self.waiting.get(&request).map(|waiting| &waiting.tags[..]).unwrap_or_default();
            let answer = translate::answer(answer, tags, now);
            if !links.front.begin(now, conn, answer, &mut self.net, &mut self.due) {
                break;
            }
            self.over(request);
        }
        if self.links.as_ref().is_some_and(|links| links.front.has_more(conn)) {
            self.read_links(conn);
            return self.advance(conn);
        }
        if let Some(links) = &mut self.links {
            links.front.finish(now, conn, &mut self.net, &mut self.due);
            let gone = links.front.gone();
            gone.into_iter().for_each(|number| self.gone(number));
        }
    }

    fn read_links(&mut self, conn: ConnKey) {
        let Some(links) = &mut self.links else { return };
        let asks = links.front.ready(self.now, conn, &mut self.net, &mut self.due);
        asks.into_iter().for_each(|ask| self.get(ask));
    }

    fn gone(&mut self, number: u64) {
        let request = Key::from_number(number);
        self.forget(request);
        self.core.gone(self.now, request, &mut self.due);
    }

    fn wait(&mut self, request: RequestKey, waiting: Waiting) {
        self.bodies += waiting.body.len();
        self.ids.insert(waiting.trace.clone());
        self.waiting.insert(request, waiting);
    }

    fn forget(&mut self, request: RequestKey) {
        if let Some(waiting) = self.waiting.remove(&request) {
            self.bodies -= waiting.body.len();
            self.ids.remove(&waiting.trace);
        }
    }

    /// Whether there is no room for another request: refused now, it does no harm.
    fn is_full(&self, conn: ConnKey) -> bool {
        let held = self.net.held() + self.core.held() + self.bodies;
        self.budget.is_full(held, self.net.unwritten(conn)) || self.waiting.len() >= self.names.most_held
    }

    /// Hands in a request of the second front, which has checked its right.
    fn get(&mut self, ask: signed::Ask) {
        let signed::Ask::Get { conn, number, place, tags, expires } = ask;
        let Place { route, object, group, part } = place;
        let (full, now) = (self.is_full(conn), self.now);
        let Some(links) = self.links.as_mut().filter(|links| links.front.is_open(conn, number)) else {
            return;
        };
        let Some((class, patience)) = links.classes.get(route).copied() else { return };
        if full {
            let refused = Final::Refused { pause: self.core.pause(class), late: false, why: Why::Full };
            self.core.count(class, &refused);
            return links.front.say(conn, number, translate::answer(refused, &[], now));
        }
        let (object, group, expires) = (ObjectId(object), GroupId(group), Some(expires));
        let ask = Ask { class, object, part, group, patience, expires };
        let request = self.core.submit(now, ask, &mut self.due);
        links.front.bind(conn, number, request.number());
        // The servers know a request by an id that no other edge proxy's requests have.
        let trace = format!("{:016x}", self.seed ^ request.number().rotate_left(32));
        let (client, item, body) = (Client::Signed { conn }, format!("{:016x}", object.0), Bytes::new());
        self.wait(request, Waiting { client, tags, class, trace, item, idempotency_key: None, body });
    }

    fn asked(&mut self, asks: Vec<thrift::Ask>) {
        for ask in asks {
            match ask {
                thrift::Ask::Invoke { conn, seqid, fields, body } => {
                    let class = translate::class(&fields, &self.names);
                    if let Some(refused) = self.refused_call(conn, class) {
                        let asks =
                            self.thrift.answer(self.now, conn, seqid, refused, &mut self.net, &mut self.due);
                        self.asked(asks);
                    } else if self.thrift.is_open(conn, seqid) {
                        let form = translate::form(&fields, &self.names).and_then(|form| match &form {
                            _ if body.len() > thrift::MOST_BODY => Err("the body is too long".into()),
                            form if self.ids.contains(&form.trace) => Err("trace is another's".into()),
                            _ => Ok(form),
                        });
                        let class = translate::class(&fields, &self.names);
                        self.invoke(conn, seqid, class, form, body);
                    }
                }
                thrift::Ask::Over { conn, seqid, fields } => {
                    let class = translate::class(&fields, &self.names);
                    let refused = self.refused_call(conn, class).unwrap_or_else(|| self.refuse(class));
                    self.say(conn, seqid, refused);
                }
                thrift::Ask::Ping { conn, seqid } => {
                    if !self.admitting.refusing.contains_key(&conn) {
                        self.in_good_standing(conn);
                    }
                    self.say(conn, seqid, Reply::Pong(self.takes_clients()));
                }
                thrift::Ask::Gone(number) => self.gone(number),
            }
        }
    }

    fn say(&mut self, conn: ConnKey, seqid: i32, reply: Reply) {
        let asks = self.thrift.say(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
        self.asked(asks);
    }

    /// A refusal that the core does not hear of.
    fn refuse(&mut self, class: Option<ClassId>) -> Reply {
        let pause = self.core.pause(class.unwrap_or(ClassId(0)));
        self.refusal(class, pause)
    }

    /// A refusal with this pause (us), counted for its class.
    fn refusal(&mut self, class: Option<ClassId>, pause: Micros) -> Reply {
        let refused = Final::Refused { pause, late: false, why: Why::Full };
        class.into_iter().for_each(|class| self.core.count(class, &refused));
        translate::reply(refused)
    }

    fn invoke(
        &mut self,
        conn: ConnKey,
        seqid: i32,
        class: Option<ClassId>,
        form: Result<translate::Form, String>,
        body: Bytes,
    ) {
        let refused = match form {
            Err(text) => {
                class.into_iter().for_each(|class| self.core.count(class, &Final::Failed { late: false }));
                Err(Reply::Exception { name: "invoke".into(), kind: 7, text })
            }
            Ok(_) if self.is_full(conn) => Err(self.refuse(class)),
            Ok(form) => Ok(form),
        };
        let form = match refused {
            Ok(form) => form,
            Err(reply) => {
                let asks = self.thrift.answer(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
                return self.asked(asks);
            }
        };
        self.in_good_standing(conn);
        let translate::Form { class, object, part, group, patience, trace, item, seen, idempotency_key } =
            form;
        let patience = (patience - WAY).max(1);
        let ask = Ask { class, object, part, group, patience, expires: None };
        let request = self.core.submit(self.now, ask, &mut self.due);
        self.thrift.bind(conn, seqid, request.number());
        let (client, tags) = (Client::Thrift { conn, seqid }, Vec::from_iter(seen));
        // A copy: a slice would keep the whole buffer that the frame came in.
        let body = Bytes::copy_from_slice(&body);
        self.wait(request, Waiting { client, tags, class, trace, item, idempotency_key, body });
    }

    /// Takes in events of the control feed, in their order.
    fn news(&mut self, batch: Batch) {
        for Numbered { n, members, purge } in batch.events {
            if let Some(change) = members {
                self.listed |= change.whole;
                let mut entries: Vec<_> = Vec::with_capacity(change.hosts.len());
                for host in &change.hosts {
                    let member = self.members.member(host, &self.names);
                    let id = member.server.0;
                    match host.dial.filter(|_| member.state != ServerState::Gone) {
                        Some(addr) => {
                            let (now, since) = (self.now, member.up_since);
                            self.upstream.set_host(now, id, addr, since, &mut self.net, &mut self.due);
                        }
                        None => self.upstream.remove_host(self.now, id, &mut self.net, &mut self.due),
                    }
                    info!("event {n}: {} is {:?}", host.host, host.health);
                    entries.push(member);
                }
                let kind = if change.whole { ListKind::Full } else { ListKind::Delta };
                let gone: Vec<ServerId> =
                    entries.iter().filter(|m| m.state == ServerState::Gone).map(|m| m.server).collect();
                self.core.members(self.now, kind, entries, &mut self.due);
                gone.into_iter().for_each(|server| self.members.forget(server));
            }
            if let Some(purge) = purge {
                let object = purge.key.as_deref().map(|key| u64::from_str_radix(key, 16));
                let what = match (object, purge.group) {
                    (Some(Ok(object)), _) => Purge::Object(ObjectId(object)),
                    (None, Some(group)) => Purge::Group(GroupId(group)),
                    _ => {
                        warn!("event {n} purges nothing that can be read");
                        continue;
                    }
                };
                self.core.purge(self.now, what, (purge.at * 1000.0) as Micros, &mut self.due);
            }
        }
    }
}

fn listen(net: &mut Net, addr: SocketAddr, shared: bool, number: usize) -> Result<Listener, ServerError> {
    net.listen(addr, shared, number).map_err(|error| ServerError::Listen { addr, error })
}

impl Links {
    fn start(signed: Signed, config: &Config, net: &mut Net) -> Result<Self, ServerError> {
        let classes = route_classes(&signed, &config.settings)?;
        let listener = Some(listen(net, signed.listen, true, LINKS)?);
        Ok(Links { listener, classes, front: signed::Front::new(signed) })
    }
}

/// Each route's class, and how long its answers are waited for.
///
/// # Errors
///
/// A class that is unknown, or whose requests are never kept.
pub fn route_classes(signed: &Signed, settings: &Parsed) -> Result<Vec<(ClassId, Micros)>, ServerError> {
    let Parsed { names, settings } = settings;
    let class = |route: &crate::config::signed::Route| {
        let id = names.class(&route.class)?;
        let class = settings.classes.get(usize::from(id.0)).filter(|class| !class.never_kept)?;
        let patience = route.patience_ms.map_or(class.deadline, |ms| ms as Micros * 1000);
        Some((id, patience))
    };
    let found = signed.routes.iter().map(|route| {
        let bad = || ServerError::Route { path: route.path.clone(), class: route.class.clone() };
        class(route).ok_or_else(bad)
    });
    found.collect()
}
