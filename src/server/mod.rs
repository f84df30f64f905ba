//! The edge proxy: one loop over sockets, deadlines and the core's commands. It ties fronts, upstream and
//! feed to the core and translates between their words; it decides nothing about requests.

mod members;
mod words;

use crate::config::events::{Batch, Numbered};
use crate::config::settings::Names;
use crate::config::Config;
use crate::core::{self, Ask, Command, Core, RequestKey};
use crate::deadlines::{Deadlines, Schedule};
use crate::feed::{self, Feed};
use crate::front::thrift::{self, codec::Reply};
use crate::interface::{ClassId, ListKind, Micros, ObjectId, Purge, ServerId, ServerState};
use crate::net::{Clock, ConnKey, Net, Ready, Reason, Role};
use crate::slots::Key;
use crate::upstream::{self, Figures, Happening, Upstream};
use crate::{GroupId, SettingsError};
use bytes::Bytes;
use log::{info, warn};
use members::Members;
use mio::net::TcpListener;
use signal_hook::consts::signal::{SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use std::collections::HashMap;
use std::io;
use std::time::Duration;

/// The numbers under which the loop watches what is no connection.
const LISTENER: usize = 0;
const SIGNALS: usize = 1;

/// A client counts its patience from its send; the request has been under way for about this long, us.
const WAY: Micros = 12_000;
/// After the signal to stop, new requests may come for 0.6 s: all of them are answered, us.
const STOP_AFTER: Micros = 800_000;
/// Longer than the longest deadline nothing is waited for, us.
const STOP_AT_LAST: Micros = 30_000_000;
/// How often the end is looked for then, us.
const STOP_LOOK: Micros = 20_000;
/// The pause before connections are taken again when descriptors ran out, us.
const ACCEPT_AGAIN: Micros = 50_000;
/// Descriptors besides clients' and servers' connections: listeners, poll, signals, standard streams, feed.
const OTHER_SOCKETS: usize = 24;
/// Parts of the memory limit: above the first new requests are refused, above the second no answer is kept.
const FULL: f64 = 0.25;
const NO_ROOM: f64 = 0.4;

#[derive(Clone, Copy, Debug)]
enum Due {
    Core(core::Due),
    Upstream(upstream::Due),
    Feed(feed::Due),
    Thrift(thrift::Due),
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
due_from!(Core core::Due, Upstream upstream::Due, Feed feed::Due, Thrift thrift::Due);

/// Why the edge proxy cannot start, or had to end.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The settings are of no use to the module.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The address cannot be listened on.
    #[error("{addr}: {error}")]
    Listen {
        /// The address.
        addr: std::net::SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// The loop itself broke.
    #[error("poll: {0}")]
    Poll(#[from] io::Error),
}

/// A request that is owed an answer, and what of it the core does not know.
struct Waiting {
    conn: ConnKey,
    seqid: i32,
    class: ClassId,
    trace: String,
    item: String,
    seen: Option<String>,
    body: Bytes,
}

/// The edge proxy.
pub struct Server {
    clock: Clock,
    now: Micros,
    net: Net,
    due: Deadlines<Due>,
    core: Core,
    members: Members,
    upstream: Upstream,
    feed: Feed,
    thrift: thrift::Front,
    waiting: HashMap<RequestKey, Waiting>,
    names: Names,
    listener: Option<TcpListener>,
    signals: Signals,
    most_clients: usize,
    full: usize,
    stopping: Option<Micros>,
    stopped: bool,
}

impl Server {
    /// Listens, and takes in what the configuration knows.
    ///
    /// # Errors
    ///
    /// Settings that cannot be used, or an address that cannot be listened on.
    pub fn start(config: Config) -> Result<Self, ServerError> {
        let mut clock = Clock::default();
        let now = clock.now();
        let mut net = Net::new()?;
        let addr = config.listen;
        let mut listener = TcpListener::bind(addr).map_err(|error| ServerError::Listen { addr, error })?;
        net.watch(&mut listener, LISTENER)?;
        let mut signals = Signals::new([SIGTERM, SIGINT])?;
        net.watch(&mut signals, SIGNALS)?;
        let memory = config.limits.memory_mb as f64 * 1e6;
        let sockets = config.limits.sockets.saturating_sub(OTHER_SOCKETS);
        let most_clients = config.limits.sockets.div_ceil(3).min(sockets / 2 + 1);
        let names = config.settings.names;
        let figures = Figures {
            connect_timeout: names.connect_timeout,
            idle: names.conn_idle,
            streams: names.streams_per_conn,
            most: sockets.saturating_sub(most_clients),
            bytes: (memory * NO_ROOM) as usize,
        };
        let mut server = Server {
            core: Core::new(config.settings.settings, config.seed, now)?,
            members: Members::default(),
            upstream: Upstream::new(figures),
            feed: Feed::new(config.feed, config.known.n),
            thrift: thrift::Front::default(),
            waiting: HashMap::new(),
            due: Deadlines::default(),
            listener: Some(listener),
            full: (memory * FULL) as usize,
            stopping: None,
            stopped: false,
            clock,
            now,
            net,
            names,
            signals,
            most_clients,
        };
        server.news(config.known);
        server.feed.start(now, &mut server.net, &mut server.due);
        info!("{} listens on {addr}", config.name);
        Ok(server)
    }

    /// Where clients connect, if they still may.
    pub fn listens_on(&self) -> Option<std::net::SocketAddr> {
        self.listener.as_ref().and_then(|listener| listener.local_addr().ok())
    }

    /// Serves until a signal says to stop and all is answered.
    ///
    /// # Errors
    ///
    /// The poll broke.
    pub fn run(&mut self) -> Result<(), ServerError> {
        let mut ready = Vec::new();
        while !self.stopped {
            self.now = self.clock.now();
            let wait = self.due.next().map(|at| Duration::from_micros((at - self.now).max(0) as u64));
            self.net.poll(wait, &mut ready)?;
            self.now = self.clock.now();
            for one in ready.drain(..) {
                self.on_ready(one);
                self.pump();
            }
            while let Some(due) = self.due.pop(self.now) {
                self.on_due(due);
                self.pump();
            }
        }
        self.thrift.stop(self.now, &mut self.net, &mut self.due);
        self.upstream.stop(self.now, &mut self.net, &mut self.due);
        info!("stopped");
        Ok(())
    }

    fn on_ready(&mut self, ready: Ready) {
        match ready {
            Ready::Source(LISTENER) => self.accept(),
            Ready::Source(_) => {
                if self.signals.pending().next().is_some() && self.stopping.is_none() {
                    info!("stopping");
                    self.stopping = Some(self.now);
                    self.due.add(self.now + STOP_AFTER, Due::Stop);
                }
            }
            Ready::Conn { key, read, write } => {
                if self.feed.owns(key) {
                    for batch in self.feed.ready(self.now, &mut self.net, &mut self.due) {
                        self.news(batch);
                    }
                } else if self.thrift.owns(key) {
                    let asks = self.thrift.ready(self.now, key, &mut self.net, &mut self.due);
                    self.asked(asks);
                } else {
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
            Due::Accept => self.accept(),
            Due::Stop => self.look_for_end(),
        }
    }

    fn look_for_end(&mut self) {
        let begun = self.stopping.unwrap_or(self.now);
        let idle = self.core.unanswered() == 0 && self.thrift.is_flushed(&self.net);
        if idle || begun + STOP_AT_LAST <= self.now {
            self.stopped = true;
        } else {
            self.due.add(self.now + STOP_LOOK, Due::Stop);
        }
    }

    fn accept(&mut self) {
        let Some(listener) = &self.listener else { return };
        loop {
            match self.net.accept(self.now, listener, Role::Thrift) {
                Ok(None) => return,
                Ok(Some(conn)) if self.net.count(Role::Thrift) > self.most_clients => {
                    self.net.close(self.now, conn, Reason::TooMany);
                }
                Ok(Some(conn)) => self.thrift.open(self.now, conn, &mut self.due),
                Err(error) => {
                    warn!("accept: {error}");
                    self.due.add(self.now + ACCEPT_AGAIN, Due::Accept);
                    return;
                }
            }
        }
    }

    /// Does what the core wants, and tells it what came of it, until both are quiet.
    fn pump(&mut self) {
        loop {
            let happened = self.upstream.happened();
            let mut quiet = happened.is_empty();
            happened.into_iter().for_each(|happening| self.on_happening(happening));
            while let Some(command) = self.core.command() {
                quiet = false;
                self.carry_out(command);
            }
            self.dispatch();
            if quiet {
                return;
            }
        }
    }

    fn dispatch(&mut self) {
        let (now, core, members) = (self.now, &mut self.core, &self.members);
        let (waiting, names) = (&self.waiting, &self.names);
        self.upstream.dispatch(now, &mut self.net, &mut self.due, &mut |job, due| {
            let order = core.launch(now, Key::from_number(job), due)?;
            let asked = waiting.get(&order.request)?;
            let class = names.classes.get(usize::from(asked.class.0))?;
            let from = order.source.and_then(|source| members.name(source));
            Some(words::fetch(&order, class, from, &asked.item, &asked.seen, &asked.body))
        });
    }

    fn on_happening(&mut self, happening: Happening) {
        match happening {
            Happening::Ended { job, ending } => {
                let end = words::end(ending, &self.names.report);
                self.core.ended(self.now, Key::from_number(job), end, &mut self.due);
            }
            Happening::Probed { host, ending, elapsed } => {
                let end = words::end(ending, &self.names.report);
                self.core.probed(self.now, ServerId(host), end.result, elapsed, end.load, &mut self.due);
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        match command {
            Command::Send { attempt, request, server } => {
                let id = self.waiting.get(&request).map(|waiting| waiting.trace.clone()).unwrap_or_default();
                self.upstream.queue(self.now, server.0, attempt.number(), id);
            }
            Command::Drop(attempt) => {
                self.upstream.give_up(self.now, attempt.number(), &mut self.net, &mut self.due);
            }
            Command::Answer(request) => {
                let Some(waiting) = self.waiting.remove(&request) else { return };
                let Some(answer) = self.core.take(self.now, request, &mut self.due) else { return };
                let reply = words::reply(answer);
                let (conn, seqid) = (waiting.conn, waiting.seqid);
                let asks = self.thrift.answer(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
                self.asked(asks);
            }
            Command::Probe(server) => self.upstream.probe(self.now, server.0),
            Command::CloseIdle(server) => {
                self.upstream.close_idle(self.now, server.0, &mut self.net, &mut self.due);
            }
            Command::Log(line) => info!("module: {line}"),
        }
    }

    fn asked(&mut self, asks: Vec<thrift::Ask>) {
        for ask in asks {
            match ask {
                thrift::Ask::Invoke { conn, seqid, fields, body } => {
                    if self.thrift.is_open(conn, seqid) {
                        self.invoke(conn, seqid, words::form(&fields, &self.names), body);
                    }
                }
                thrift::Ask::Over { conn, seqid, fields } => {
                    let class = words::form(&fields, &self.names).map_or(ClassId(0), |form| form.class);
                    let pause = self.core.pause(class) / 1000;
                    self.say(conn, seqid, Reply::Refused { pause });
                }
                thrift::Ask::Ping { conn, seqid } => {
                    self.say(conn, seqid, Reply::Pong(self.stopping.is_none()));
                }
                thrift::Ask::Gone(number) => {
                    let request = Key::from_number(number);
                    self.waiting.remove(&request);
                    self.core.gone(self.now, request, &mut self.due);
                }
            }
        }
    }

    fn say(&mut self, conn: ConnKey, seqid: i32, reply: Reply) {
        let asks = self.thrift.say(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
        self.asked(asks);
    }

    fn invoke(&mut self, conn: ConnKey, seqid: i32, form: Result<words::Form, String>, body: Bytes) {
        let refused = match &form {
            Err(text) => Some(Reply::Exception { kind: 7, text: text.clone() }),
            Ok(form) if self.net.held() > self.full || self.waiting.len() >= self.names.most_held => {
                Some(Reply::Refused { pause: self.core.pause(form.class) / 1000 })
            }
            Ok(_) => None,
        };
        let (form, reply) = match (form, refused) {
            (Ok(form), None) => (form, None),
            (_, reply) => (words::Form::default(), reply),
        };
        if let Some(reply) = reply {
            let asks = self.thrift.answer(self.now, conn, seqid, reply, &mut self.net, &mut self.due);
            return self.asked(asks);
        }
        let words::Form { class, object, part, group, patience, trace, item, seen } = form;
        let patience = (patience - WAY).max(1);
        let ask = Ask { class, object, part, group, patience, expires: None };
        let request = self.core.submit(self.now, ask, &mut self.due);
        self.thrift.bind(conn, seqid, request.number());
        self.waiting.insert(request, Waiting { conn, seqid, class, trace, item, seen, body });
    }

    /// Takes in events of the control feed, in their order.
    fn news(&mut self, batch: Batch) {
        for Numbered { n, members, purge } in batch.events {
            if let Some(change) = members {
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
                self.core.members(self.now, kind, entries, &mut self.due);
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
