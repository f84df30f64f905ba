//! The thread on which a member runs: its own poll, its own clock and its store. The edge proxy's loop tells it to stop, to
//! pause or to take a new file, reads what it last published, and waits for none of it.

use super::backoff::Backoff;
use super::duties::{Grantor, Holder};
use super::hello::Hello;
use super::links::{Links, Me, LISTENER};
use super::log::Save;
use super::node::{Happened, Keep, Node};
use super::records::MessageKind;
use super::settings::FederationSettings;
use super::state::Command;
use super::store::{Store, StoreError};
use super::view::{DutyView, MemberView, View};
use super::wire::Frame;
use super::MemberId;
use crate::net::{Net, Ready};
use mio::net::UnixStream;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tracing::{error, info, warn};

/// The number under which the edge proxy's word is watched for.
const WAKE: usize = 1;
/// How long a leader that ends waits for another to lead, us.
const YIELD: i64 = 200_000;
/// The first and the longest pause before a store that can't be used is tried again, us.
const REOPEN: [i64; 2] = [50_000, 2_000_000];
/// How often a member without a place in the state says that it is here, us.
const ENROL: i64 = 200_000;
/// The duty of proposing what all sites are to hold in common; voters stand for it.
const PUBLISH_DUTY: &str = "publish";
/// How often the view is brought up to date, us.
const PUBLISH: i64 = 50_000;

enum Word {
    Stop,
    Pause,
    Resume,
    Reload(Box<FederationSettings>),
}

/// The edge proxy's hold on its member.
pub struct Handle {
    words: Sender<Word>,
    wake: UnixStream,
    view: Arc<Mutex<Arc<View>>>,
    thread: Option<JoinHandle<()>>,
    settings: FederationSettings,
}

impl Handle {
    /// Starts the member. What is wrong with its store or its address is told by the view and the log, and tried again.
    ///
    /// # Errors
    ///
    /// The system gives no thread, poll or socket pair.
    pub fn start(settings: FederationSettings, seed: u64) -> io::Result<Self> {
        let (wake, mut woken) = UnixStream::pair()?;
        let (words, heard) = channel();
        let view = Arc::new(Mutex::new(Arc::new(View::default())));
        let mut net = Net::new()?;
        net.watch(&mut woken, WAKE)?;
        let mut runtime = Runtime::new(settings.clone(), net, seed, view.clone());
        let run = move || runtime.run(&heard, &mut woken);
        let thread = Some(std::thread::Builder::new().name("federation".into()).spawn(run)?);
        Ok(Handle { words, wake, view, thread, settings })
    }

    fn say(&mut self, word: Word) {
        if self.words.send(word).is_ok() {
            let _ = self.wake.write(&[1]); // a full pipe wakes it, too
        }
    }

    /// Hands on what this member holds and ends it, soon.
    pub fn stop(&mut self) {
        self.say(Word::Stop);
    }

    /// Hands on what this member holds and lets go of the store: a newer process has it.
    pub fn pause(&mut self) {
        self.say(Word::Pause);
    }

    /// Takes the store again.
    pub fn resume(&mut self) {
        self.say(Word::Resume);
    }

    /// Whether a new file can be taken over in service.
    ///
    /// # Errors
    ///
    /// What of it can't.
    pub fn check(&self, settings: &FederationSettings) -> Result<(), &'static str> {
        self.settings.fixed(settings).map_or(Ok(()), Err)
    }

    /// Goes on by a new file that [`Handle::check`] has passed.
    pub fn reload(&mut self, settings: FederationSettings) {
        self.settings = settings.clone();
        self.say(Word::Reload(Box::new(settings)));
    }

    /// What was last published.
    pub fn view(&self) -> Arc<View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Joins the thread if it has ended.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take_if(|thread| thread.is_finished()) {
            let _ = thread.join(); // its panics are caught and told
        }
    }
}

/// The store, with how long it took.
struct Timed<'a> {
    store: &'a mut Store,
    slowest: &'a mut u64,
}

impl Keep for Timed<'_> {
    type Error = StoreError;

    fn save(&mut self, save: &Save) -> Result<(), StoreError> {
        let begun = Instant::now();
        let done = self.store.save(save);
        *self.slowest = (*self.slowest).max(begun.elapsed().as_micros() as u64);
        done
    }
}

enum Phase {
    /// Takes part.
    Runs { node: Box<Node>, store: Box<Store>, holder: Holder, grantor: Grantor },
    /// Takes no part until then.
    Halted { until: i64 },
    /// A newer process has the store.
    Paused,
}

struct Runtime {
    settings: FederationSettings,
    /// The file's members, as the log's decisions want them.
    wanted: BTreeMap<MemberId, (String, bool)>,
    links: Links,
    phase: Phase,
    begun: Instant,
    backoff: Backoff,
    random: ChaCha8Rng,
    view: View,
    shared: Arc<Mutex<Arc<View>>>,
    next_tick: i64,
    enrol_at: i64,
    publish_at: i64,
    /// Until when a leader that ends waits for another, and whether the thread ends then.
    leaving: Option<(i64, bool)>,
}

impl Runtime {
    fn new(settings: FederationSettings, net: Net, seed: u64, shared: Arc<Mutex<Arc<View>>>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ std::process::id() as u64);
        let FederationSettings { cluster, id, key, silent, .. } = settings.clone();
        let me = Me { cluster, id, identity: 0, incarnation: 0, key };
        let links = Links::new(net, me, silent, ChaCha8Rng::from_rng(&mut random));
        Runtime {
            wanted: settings.wanted(),
            settings,
            links,
            phase: Phase::Halted { until: 0 },
            begun: Instant::now(),
            backoff: Backoff::new(REOPEN[0], REOPEN[1]),
            random,
            view: View::default(),
            shared,
            next_tick: 0,
            enrol_at: 0,
            publish_at: 0,
            leaving: None,
        }
    }

    fn now(&self) -> i64 {
        self.begun.elapsed().as_micros() as i64
    }

    /// Runs until it is told to stop. What goes wrong inside a turn, be it the library's own check, halts this member and
    /// nothing else.
    fn run(&mut self, words: &Receiver<Word>, woken: &mut UnixStream) {
        let mut ready = Vec::new();
        loop {
            match catch_unwind(AssertUnwindSafe(|| self.turn(words, woken, &mut ready))) {
                Ok(true) => {}
                Ok(false) => break,
                Err(panic) => {
                    self.halt(&format!("a check failed: {}", crate::caught::text(&*panic)));
                }
            }
        }
        let now = self.now();
        self.links.close(now);
        info!("federation: stopped");
    }

    fn turn(&mut self, words: &Receiver<Word>, woken: &mut UnixStream, ready: &mut Vec<Ready>) -> bool {
        let now = self.now();
        let due = match &self.phase {
            Phase::Runs { .. } => Some(self.next_tick),
            Phase::Halted { until } => Some(*until),
            Phase::Paused => None,
        };
        let wait = due.map(|due| Duration::from_micros((due - now).max(0) as u64));
        if let Err(error) = self.links.net().poll(wait, ready) {
            self.halt(&format!("poll: {error}"));
        }
        if !self.hear(words, woken) {
            return false;
        }
        let now = self.now();
        let mut said = Vec::new();
        for one in ready.drain(..) {
            match (one, &self.phase) {
                (Ready::Source(LISTENER), _) => self.links.accept(now),
                (Ready::Source(_), _) => {}
                (conn, Phase::Runs { node, .. }) => {
                    let state = node.state().0;
                    let FederationSettings { revision, members, .. } = &self.settings;
                    let listed = |id| *revision > state.revision && members.contains_key(&id);
                    let admits =
                        |hello: &Hello| state.admits(hello.from, hello.incarnation, listed(hello.from));
                    self.links.ready(now, conn, &admits, &mut said);
                }
                _ => {}
            }
        }
        if matches!(self.phase, Phase::Halted { until } if until <= now) {
            self.open(now);
        }
        self.go_on(now, said);
        !self.ends(now)
    }

    /// Hears the edge proxy's words; `false`: there is no edge proxy any more.
    fn hear(&mut self, words: &Receiver<Word>, woken: &mut UnixStream) -> bool {
        let mut bytes = [0; 64];
        while woken.read(&mut bytes).is_ok_and(|n| n == bytes.len()) {}
        loop {
            let now = self.now();
            match words.try_recv() {
                Ok(Word::Stop) => self.leave(now, true),
                Ok(Word::Pause) if !matches!(self.phase, Phase::Paused) => self.leave(now, false),
                Ok(Word::Pause) => {}
                Ok(Word::Resume) => {
                    if matches!(self.leaving, Some((_, false))) {
                        self.leaving = None;
                    }
                    if matches!(self.phase, Phase::Paused) {
                        self.phase = Phase::Halted { until: now };
                    }
                }
                Ok(Word::Reload(settings)) => {
                    self.settings = *settings;
                    self.wanted = self.settings.wanted();
                    self.introduce(now);
                    info!(revision = self.settings.revision, "federation: a new file");
                }
                Err(TryRecvError::Empty) => return true,
                Err(TryRecvError::Disconnected) => return false,
            }
        }
    }

    /// Tells the connections who this member is and whom it knows; one that takes no part tells them once it does.
    fn introduce(&mut self, now: i64) {
        let Phase::Runs { node, store, .. } = &self.phase else { return };
        let (identity, incarnation) = (node.state().0.identity, store.owner().incarnation);
        let FederationSettings { cluster, id, key, silent, .. } = &self.settings;
        let me = Me { cluster: cluster.clone(), id: *id, identity, incarnation, key: key.clone() };
        self.links.set_me(me, *silent);
        self.links.set_peers(now, &peers(&self.settings));
    }

    fn leave(&mut self, now: i64, ends: bool) {
        let ends = ends || matches!(self.leaving, Some((_, true)));
        if let Phase::Runs { node, holder, .. } = &mut self.phase {
            // Duties first: what was proposed before the lead goes is still in the log.
            for command in holder.stand(&BTreeSet::new()) {
                propose(node, &mut self.links, now, command);
            }
            node.yield_lead();
        }
        self.leaving = Some((now + YIELD, ends));
    }

    /// Whether the thread ends now; a leader that leaves waits a moment for another.
    fn ends(&mut self, now: i64) -> bool {
        let Some((until, ends)) = self.leaving else { return false };
        let leads = matches!(&self.phase, Phase::Runs { node, .. } if node.is_leader());
        if leads && now < until {
            return false;
        }
        if !ends {
            self.leaving = None;
            self.phase = Phase::Paused;
            self.links.close(now);
            info!("federation: left to a newer process");
            self.view.halted = Some("a newer process has the store".to_owned());
            self.publish();
        }
        ends
    }

    fn open(&mut self, now: i64) {
        let FederationSettings { cluster, id, listen, store: path, tuning, terms, .. } = &self.settings;
        let (id, listen, tuning, terms) = (*id, *listen, *tuning, *terms);
        let opened = Store::open(path, cluster, id).map_err(|error| format!("{}: {error}", path.display()));
        let made = opened.and_then(|(store, saved)| {
            let node =
                Node::new(id, saved, tuning, self.random.random()).map_err(|error| error.to_string())?;
            let address = self.links.open(listen).map_err(|error| format!("{listen}: {error}"))?;
            Ok((node, store, address))
        });
        match made {
            Ok((node, store, address)) => {
                self.backoff.reset();
                self.view.halted = None;
                self.view.listen = Some(address.to_string());
                let (holder, grantor) = (Holder::new(id, terms, self.random.random()), Grantor::new(terms));
                self.phase = Phase::Runs { node: Box::new(node), store: Box::new(store), holder, grantor };
                self.introduce(now);
                self.next_tick = now;
                info!(id, "federation listens on {address}");
            }
            Err(why) => self.halt(&why),
        }
    }

    /// Takes no part for a while: what was kept is read anew then.
    fn halt(&mut self, why: &str) {
        let now = self.now();
        self.links.close(now);
        let pause = self.backoff.pause(&mut self.random);
        self.phase = Phase::Halted { until: now + pause };
        let news = self.view.halted.as_deref() != Some(why);
        let FederationSettings { cluster, id, revision, .. } = &self.settings;
        // Counts go on; what is known of the others is void.
        self.view = View {
            cluster: cluster.clone(),
            id: *id,
            file_revision: *revision,
            halted: Some(why.to_owned()),
            elections: self.view.elections,
            slowest_save_us: self.view.slowest_save_us,
            dropped: self.links.dropped,
            refused: self.links.refused,
            ..View::default()
        };
        self.publish();
        if news {
            error!(why, "federation: this member takes no part; the edge proxy serves alone");
        }
    }

    fn go_on(&mut self, now: i64, said: Vec<(MemberId, Frame)>) {
        let Phase::Runs { node, store, holder, grantor } = &mut self.phase else { return };
        for (from, frame) in said {
            match frame {
                Frame::Raft(message) if message.from == from => {
                    if let Err(why) = node.step(&message) {
                        warn!(peer = from, why, "federation: a message is passed over");
                    }
                }
                Frame::Propose(command) if speaks_for(from, &command) => {
                    let enrols = matches!(command, Command::Enrol { .. });
                    let member = node.state().0.members.get(&from);
                    if member.is_some_and(|member| !enrols || member.incarnation.is_none()) {
                        node.propose(&command);
                    }
                }
                _ => warn!(peer = from, "federation: a member speaks for another"),
            }
        }
        if self.next_tick <= now {
            // One tick however long it was: a process that was stopped must not stand for election at once.
            self.next_tick = now + self.settings.tick;
            node.tick();
            self.links.tick(now);
            if self.leaving.is_none() {
                node.reconcile(self.settings.revision, &self.wanted);
                let (state, leads) = (node.state().0, node.is_leader());
                let votes = state.members.get(&self.settings.id).is_some_and(|own| own.voter);
                let stands = votes.then(|| PUBLISH_DUTY.to_owned()).into_iter().collect();
                let mut asks = holder.stand(&stands);
                asks.extend(holder.due(now, state));
                asks.extend(grantor.due(now, state, leads));
                asks.into_iter().for_each(|command| propose(node, &mut self.links, now, command));
            }
            if self.enrol_at <= now {
                self.enrol_at = now + ENROL;
                let id = self.settings.id;
                let here = node.state().0.members.get(&id);
                let incarnation = store.owner().incarnation;
                if here.is_some_and(|member| member.incarnation.is_none()) {
                    let command = Command::Enrol { id, incarnation };
                    propose(node, &mut self.links, now, command);
                } else if here.and_then(|member| member.incarnation).is_some_and(|known| known != incarnation)
                {
                    let why =
                        "another store came for this member before: this one may have forgotten its votes";
                    return self.halt(why);
                }
            }
        }
        let mut timed = Timed { store, slowest: &mut self.view.slowest_save_us };
        let out = match node.drive(&mut timed) {
            Ok(out) => out,
            Err(error) => return self.halt(&error.to_string()),
        };
        for message in out {
            let (to, snapshot) = (message.to, message.kind == MessageKind::Snapshot);
            let went = self.links.send(now, to, &Frame::Raft(message));
            if snapshot {
                node.snapshot_went(to, went);
            } else if !went {
                node.unreachable(to);
            }
        }
        node.committed();
        holder.look(node.state().0);
        let mut news = false;
        for happened in node.happened() {
            news = true;
            match happened {
                Happened::Leader(leader, term) => {
                    self.view.elections += u64::from(leader != 0);
                    info!(leader, term, "federation: leader");
                }
                Happened::Changed(change) => info!(?change, "federation: the members changed"),
                Happened::CaughtUp(index) => info!(index, "federation: caught up by a snapshot"),
                Happened::Unknown(index) => {
                    warn!(index, "federation: an entry that can't be read is passed over")
                }
            }
        }
        self.links.identity(node.state().0.identity);
        if news || self.publish_at <= now {
            self.publish_at = now + PUBLISH;
            self.look();
            self.publish();
        }
    }

    /// Brings the view up to date.
    fn look(&mut self) {
        let Phase::Runs { node, holder, .. } = &self.phase else { return };
        let now = self.now();
        let duty = |(duty, lease): (&String, &super::state::Lease)| DutyView {
            duty: duty.clone(),
            holder: lease.holder,
            token: lease.token,
            held: holder.token(now, duty) == Some(lease.token),
        };
        let ((state, applied), progress) = (node.state(), node.progress());
        let (last, committed) = node.places();
        let (leader, term) = node.leader();
        let member = |(id, member): (&MemberId, &super::state::Member)| MemberView {
            id: *id,
            site: member.site.clone(),
            voter: member.voter,
            enrolled: member.incarnation.is_some(),
            connected: *id == self.settings.id || self.links.connected(*id),
            lag: progress.get(id).map(|p| p.lag),
            active: progress.get(id).map(|p| p.active || *id == self.settings.id),
        };
        self.view = View {
            cluster: self.settings.cluster.clone(),
            id: self.settings.id,
            term,
            leader,
            role: node.role().to_owned(),
            last,
            committed,
            applied,
            revision: state.revision,
            file_revision: self.settings.revision,
            members: state.members.iter().map(member).collect(),
            duties: state.duties.iter().map(duty).collect(),
            dropped: self.links.dropped,
            refused: self.links.refused,
            halted: None,
            listen: self.view.listen.clone(),
            ..self.view
        };
    }

    fn publish(&self) {
        let view = Arc::new(self.view.clone());
        *self.shared.lock().unwrap_or_else(PoisonError::into_inner) = view;
    }
}

/// Whether a member may propose this: it speaks for itself alone.
fn speaks_for(from: MemberId, command: &Command) -> bool {
    match command {
        Command::Enrol { id, .. }
        | Command::Acquire { id, .. }
        | Command::Renew { id, .. }
        | Command::Release { id, .. } => *id == from,
        Command::Begun { .. } | Command::Settled { .. } | Command::Expire { .. } => false,
    }
}

/// Proposes where the lead is.
fn propose(node: &mut Node, links: &mut Links, now: i64, command: Command) {
    match node.leader().0 {
        0 => {}
        leader if leader == node.id() => {
            node.propose(&command);
        }
        leader => {
            links.send(now, leader, &Frame::Propose(command));
        }
    }
}

/// The others' addresses. Voters talk to each other without being asked; a leader dials whoever else is a member.
fn peers(settings: &FederationSettings) -> BTreeMap<MemberId, (SocketAddr, bool)> {
    let votes = settings.members.get(&settings.id).is_some_and(|own| own.voter);
    let others = settings.members.iter().filter(|(id, _)| **id != settings.id);
    others.map(|(id, member)| (*id, (member.address, votes && member.voter))).collect()
}
