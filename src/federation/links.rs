//! A member's connections. Each member dials the others for what it has to say and listens for what they say; back
//! on a connection comes the sign that the other one is still there, and what a member says that cannot dial this one. A queue has an end: what does not fit is
//! dropped, since the consensus says it again, and a slow peer costs its own queue alone.

use super::backoff::Backoff;
use super::hello::{Challenge, Hello, Key, Nonce, Seal, Welcome};
use super::wire::{self, Frame};
use super::MemberId;
use crate::net::{ConnKey, Listener, Net, Ready, Reason, Role};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use tracing::{info, warn};

/// The number under which the listener is watched.
pub(super) const LISTENER: usize = 0;
/// Bytes that may wait for one peer.
const QUEUE: usize = 256 * 1024;
/// Bytes that are taken in of one connection at a time.
const INPUT: usize = wire::MOST + 64;
/// Connections that may be open before they said who they are.
const MOST_FRESH: usize = 64;
/// The first and the longest pause before a peer is dialled again, us.
const PAUSES: [i64; 2] = [20_000, 1_000_000];
/// How long members may take to know each other, us.
const HANDSHAKE: i64 = 1_000_000;

/// Who this member is.
#[derive(Clone, Debug)]
pub(super) struct Me {
    pub cluster: String,
    pub id: MemberId,
    pub identity: u64,
    pub incarnation: u64,
    pub key: Key,
}

enum Out {
    Waits { until: i64 },
    Dialling { conn: ConnKey, since: i64, said: Option<(Challenge, Hello)> },
    Up { conn: ConnKey, out: Seal, back: Seal, heard: i64, pinged: i64 },
}

struct Peer {
    address: SocketAddr,
    /// Dialled before there is anything to say.
    eager: bool,
    backoff: Backoff,
    out: Out,
}

enum In {
    Fresh { challenge: Challenge, since: i64 },
    Up { from: MemberId, seal: Seal, back: Seal, heard: i64 },
}

/// The connections.
pub(super) struct Links {
    net: Net,
    me: Me,
    silent: i64,
    listener: Option<Listener>,
    peers: BTreeMap<MemberId, Peer>,
    dialled: BTreeMap<ConnKey, MemberId>,
    inbound: BTreeMap<ConnKey, In>,
    random: ChaCha8Rng,
    pub dropped: u64,
    pub refused: u64,
}

/// Whether a store may speak for a member, and why not.
pub(super) type Admits<'a> = &'a dyn Fn(&Hello) -> Result<(), &'static str>;

impl Links {
    pub fn new(net: Net, me: Me, silent: i64, random: ChaCha8Rng) -> Self {
        Links {
            net,
            me,
            silent,
            listener: None,
            peers: BTreeMap::new(),
            dialled: BTreeMap::new(),
            inbound: BTreeMap::new(),
            random,
            dropped: 0,
            refused: 0,
        }
    }

    pub fn net(&mut self) -> &mut Net {
        &mut self.net
    }

    /// Who this member is, once its store is open and as the log tells it.
    pub fn set_me(&mut self, me: Me, silent: i64) {
        (self.me, self.silent) = (me, silent);
    }

    pub fn identity(&mut self, identity: u64) {
        self.me.identity = identity;
    }

    /// Listens.
    pub fn open(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = self.net.listen(address, false, LISTENER)?;
        let address = listener.local_addr();
        self.listener = Some(listener);
        address
    }

    /// Ends all that is open, and the listening.
    pub fn close(&mut self, now: i64) {
        if let Some(listener) = self.listener.take() {
            self.net.unlisten(listener);
        }
        let conns: Vec<ConnKey> = self.dialled.keys().chain(self.inbound.keys()).copied().collect();
        conns.into_iter().for_each(|conn| self.net.close(now, conn, Reason::Stopping));
        self.dialled.clear();
        self.inbound.clear();
        self.peers.values_mut().for_each(|peer| peer.out = Out::Waits { until: now });
    }

    /// The peers from now on: address, and whether it is dialled before there is anything to say.
    pub fn set_peers(&mut self, now: i64, wanted: &BTreeMap<MemberId, (SocketAddr, bool)>) {
        let gone = |(id, peer): (&MemberId, &Peer)| match wanted.get(id) {
            Some((address, _)) if *address == peer.address => None,
            _ => Some(*id),
        };
        let gone: Vec<MemberId> = self.peers.iter().filter_map(gone).collect();
        for id in gone {
            if let Some(Out::Dialling { conn, .. } | Out::Up { conn, .. }) =
                self.peers.remove(&id).map(|peer| peer.out)
            {
                self.dialled.remove(&conn);
                self.net.close(now, conn, Reason::Replaced);
            }
        }
        for (id, (address, eager)) in wanted {
            let backoff = Backoff::new(PAUSES[0], PAUSES[1]);
            let new = || Peer { address: *address, eager: *eager, backoff, out: Out::Waits { until: now } };
            self.peers.entry(*id).or_insert_with(new).eager = *eager;
        }
    }

    pub fn connected(&self, id: MemberId) -> bool {
        self.peers.get(&id).is_some_and(|peer| matches!(peer.out, Out::Up { .. }))
    }

    fn nonce(&mut self) -> Nonce {
        self.random.random()
    }

    /// Sends, if the peer is there and has room; else it is dialled.
    pub fn send(&mut self, now: i64, to: MemberId, frame: &Frame) -> bool {
        let went =
            if self.peers.contains_key(&to) { self.say(now, to, frame) } else { self.answer(now, to, frame) };
        self.dropped += u64::from(!went);
        went
    }

    fn say(&mut self, now: i64, to: MemberId, frame: &Frame) -> bool {
        let Some(peer) = self.peers.get_mut(&to) else { return false };
        match &mut peer.out {
            Out::Up { conn, out, .. } if self.net.unwritten(*conn) < QUEUE => {
                let conn = *conn;
                match wire::pack(frame, Some(out)) {
                    Some(bytes) => match self.net.write(conn, [bytes]) {
                        Ok(()) => true,
                        Err(reason) => {
                            self.lost(now, to, reason);
                            false
                        }
                    },
                    None => {
                        warn!(peer = to, "a message is longer than any may be");
                        false
                    }
                }
            }
            Out::Waits { until } if *until <= now => {
                self.dial(now, to);
                false
            }
            _ => false,
        }
    }

    /// Sends to a member that this one's file does not have (any more), on the connection that it came by.
    fn answer(&mut self, now: i64, to: MemberId, frame: &Frame) -> bool {
        let came = self.inbound.iter_mut().find_map(|(conn, one)| match one {
            In::Up { from, back, .. } if *from == to => Some((*conn, back)),
            _ => None,
        });
        match came {
            Some((conn, back)) if self.net.unwritten(conn) < QUEUE => {
                let bytes = wire::pack(frame, Some(back));
                match bytes.map(|bytes| self.net.write(conn, [bytes])) {
                    Some(Ok(())) => true,
                    Some(Err(reason)) => {
                        self.over(now, conn, reason);
                        false
                    }
                    None => false,
                }
            }
            _ => false,
        }
    }

    fn dial(&mut self, now: i64, to: MemberId) {
        let Some(peer) = self.peers.get_mut(&to) else { return };
        match self.net.connect(now, peer.address, Role::Federation) {
            Ok(conn) => {
                peer.out = Out::Dialling { conn, since: now, said: None };
                self.dialled.insert(conn, to);
            }
            Err(_) => peer.out = Out::Waits { until: now + peer.backoff.pause(&mut self.random) },
        }
    }

    /// The connection to a peer is over.
    fn lost(&mut self, now: i64, to: MemberId, reason: Reason) {
        let Some(peer) = self.peers.get_mut(&to) else { return };
        let until = now + peer.backoff.pause(&mut self.random);
        let before = std::mem::replace(&mut peer.out, Out::Waits { until });
        if let Out::Dialling { conn, .. } | Out::Up { conn, .. } = before {
            self.dialled.remove(&conn);
            self.net.close(now, conn, reason);
        }
        if matches!(before, Out::Up { .. }) {
            info!(peer = to, end = reason.code(), "federation: a member is not reached any more");
        }
    }

    /// Refuses a connection that came, with one line.
    fn refuse(&mut self, now: i64, conn: ConnKey, reason: Reason, why: &str) {
        let peer = self.net.address(conn).map(|address| address.to_string()).unwrap_or_default();
        warn!(%peer, why, "federation: a connection is refused");
        self.refused += 1;
        self.inbound.remove(&conn);
        self.net.close(now, conn, reason);
    }

    /// Takes the connections that wait.
    pub fn accept(&mut self, now: i64) {
        loop {
            let Some(listener) = &self.listener else { return };
            match self.net.accept(now, listener, Role::Federation) {
                Ok(Some(conn)) => {
                    let fresh = self.inbound.values().filter(|one| matches!(one, In::Fresh { .. })).count();
                    if fresh >= MOST_FRESH {
                        self.refuse(now, conn, Reason::TooMany, "too many have not said who they are");
                        continue;
                    }
                    let challenge = Challenge { nonce: self.nonce() };
                    let said = wire::pack(&challenge, None).map(|bytes| self.net.write(conn, [bytes]));
                    self.inbound.insert(conn, In::Fresh { challenge, since: now });
                    if let Some(Err(reason)) = said {
                        self.over(now, conn, reason);
                    }
                }
                Ok(None) => return,
                Err(error) => {
                    warn!("federation: {error}");
                    return;
                }
            }
        }
    }

    /// A connection that came is over.
    fn over(&mut self, now: i64, conn: ConnKey, reason: Reason) {
        self.inbound.remove(&conn);
        self.net.close(now, conn, reason);
    }

    /// A connection is ready; gives what members say.
    pub fn ready(&mut self, now: i64, ready: Ready, admits: Admits<'_>, said: &mut Vec<(MemberId, Frame)>) {
        let Ready::Conn { key, read, .. } = ready else { return };
        let peer = self.dialled.get(&key).copied();
        if let Some(id) = peer {
            match self.net.connected(key).and_then(|up| self.net.flush(key).map(|()| up)) {
                Ok(true) => {}
                Ok(false) => return,
                Err(reason) => return self.lost(now, id, reason),
            }
        } else if !self.inbound.contains_key(&key) {
            return;
        } else if let Err(reason) = self.net.flush(key) {
            return self.over(now, key, reason);
        }
        if !read {
            return;
        }
        loop {
            let got = self.net.read(key, INPUT);
            let went_on = match peer {
                Some(id) => self.hear_back(now, key, id, said),
                None => self.hear(now, key, admits, said),
            };
            if !went_on {
                return;
            }
            let reason = match got {
                Ok(got) if got.more => continue,
                Ok(got) if got.end => Reason::PeerClosed,
                Ok(_) => return,
                Err(reason) => reason,
            };
            return match peer {
                Some(id) => self.lost(now, id, reason),
                None => self.over(now, key, reason),
            };
        }
    }

    /// What a peer says on a connection that this member dialled; `false`: it is over.
    fn hear_back(
        &mut self,
        now: i64,
        conn: ConnKey,
        id: MemberId,
        said: &mut Vec<(MemberId, Frame)>,
    ) -> bool {
        loop {
            let Some(peer) = self.peers.get_mut(&id) else { return false };
            let step = match &mut peer.out {
                Out::Dialling { said: None, .. } => {
                    match self.net.input(conn, |input| wire::unpack(input, None)) {
                        Some(Ok(Some(challenge))) => {
                            let nonce = self.random.random();
                            let Me { cluster, id: from, identity, incarnation, key } = &self.me;
                            let (cluster, proof) = (cluster.clone(), [0; 32]);
                            let hello = Hello {
                                cluster,
                                identity: *identity,
                                from: *from,
                                to: id,
                                incarnation: *incarnation,
                                nonce,
                                proof,
                            };
                            let hello = key.prove(&challenge, hello);
                            let bytes = wire::pack(&hello, None).unwrap_or_default();
                            if let Out::Dialling { said, .. } = &mut peer.out {
                                *said = Some((challenge, hello));
                            }
                            self.net.write(conn, [bytes]).map(|()| true)
                        }
                        Some(Ok(None)) | None => Ok(false),
                        Some(Err(_)) => Err(Reason::BadMessage),
                    }
                }
                Out::Dialling { said: Some((challenge, hello)), .. } => {
                    match self.net.input(conn, |input| wire::unpack::<Welcome>(input, None)) {
                        Some(Ok(Some(welcome))) if self.me.key.welcomes(challenge, hello, &welcome) => {
                            let (out, back) = (
                                self.me.key.seal(challenge, hello, true),
                                self.me.key.seal(challenge, hello, false),
                            );
                            peer.out = Out::Up { conn, out, back, heard: now, pinged: now };
                            peer.backoff.reset();
                            info!(peer = id, "federation: a member is reached");
                            Ok(true)
                        }
                        Some(Ok(None)) | None => Ok(false),
                        Some(_) => Err(Reason::BadMessage),
                    }
                }
                Out::Up { back, heard, .. } => {
                    match self.net.input(conn, |input| wire::unpack::<Frame>(input, Some(back))) {
                        Some(Ok(Some(frame))) => {
                            *heard = now;
                            if !matches!(frame, Frame::Ping | Frame::Pong) {
                                said.push((id, frame));
                            }
                            Ok(true)
                        }
                        Some(Ok(None)) | None => Ok(false),
                        Some(Err(_)) => Err(Reason::BadMessage),
                    }
                }
                Out::Waits { .. } => return false,
            };
            match step {
                Ok(true) => {}
                Ok(false) => return true,
                Err(reason) => {
                    self.lost(now, id, reason);
                    return false;
                }
            }
        }
    }

    /// What a member says on a connection that it dialled; `false`: it is over.
    fn hear(
        &mut self,
        now: i64,
        conn: ConnKey,
        admits: Admits<'_>,
        said: &mut Vec<(MemberId, Frame)>,
    ) -> bool {
        loop {
            let Some(one) = self.inbound.get_mut(&conn) else { return false };
            match one {
                In::Fresh { challenge, .. } => {
                    let challenge = challenge.clone();
                    match self.net.input(conn, |input| wire::unpack::<Hello>(input, None)) {
                        Some(Ok(Some(hello))) => {
                            if let Err(why) = self.know(now, &challenge, &hello, admits) {
                                self.refuse(now, conn, Reason::Refused, why);
                                return false;
                            }
                            let key = &self.me.key;
                            let bytes =
                                wire::pack(&key.welcome(&challenge, &hello), None).unwrap_or_default();
                            let (seal, back) =
                                (key.seal(&challenge, &hello, true), key.seal(&challenge, &hello, false));
                            self.inbound.insert(conn, In::Up { from: hello.from, seal, back, heard: now });
                            if let Err(reason) = self.net.write(conn, [bytes]) {
                                self.over(now, conn, reason);
                                return false;
                            }
                        }
                        Some(Ok(None)) | None => return true,
                        Some(Err(bad)) => {
                            self.refuse(now, conn, Reason::BadMessage, &bad.to_string());
                            return false;
                        }
                    }
                }
                In::Up { from, seal, back, heard } => {
                    match self.net.input(conn, |input| wire::unpack::<Frame>(input, Some(seal))) {
                        Some(Ok(Some(frame))) => {
                            *heard = now;
                            let from = *from;
                            if frame == Frame::Ping {
                                let bytes = wire::pack(&Frame::Pong, Some(back)).unwrap_or_default();
                                if let Err(reason) = self.net.write(conn, [bytes]) {
                                    self.over(now, conn, reason);
                                    return false;
                                }
                            } else {
                                said.push((from, frame));
                            }
                        }
                        Some(Ok(None)) | None => return true,
                        Some(Err(bad)) => {
                            self.refuse(now, conn, Reason::BadMessage, &bad.to_string());
                            return false;
                        }
                    }
                }
            }
        }
    }

    /// Whether the one that dialled is who it says, and may be here.
    fn know(
        &self,
        now: i64,
        challenge: &Challenge,
        hello: &Hello,
        admits: Admits<'_>,
    ) -> Result<(), &'static str> {
        if hello.cluster != self.me.cluster {
            return Err("it is of another federation");
        }
        if !self.me.key.proves(challenge, hello) {
            return Err("it does not hold the key");
        }
        if hello.to != self.me.id {
            return Err("it wants another member");
        }
        if hello.from == self.me.id {
            return Err("it says that it is this member");
        }
        if hello.identity != 0 && self.me.identity != 0 && hello.identity != self.me.identity {
            return Err("its federation was founded with other members");
        }
        admits(hello)?;
        let same = |one: &In| matches!(one, In::Up { from, heard, .. } if *from == hello.from && now - heard < self.silent);
        if self.inbound.values().any(same) {
            return Err("this member is here already");
        }
        Ok(())
    }

    /// Time has passed: what is silent for too long is given up, who is quiet is asked, who is away is dialled.
    pub fn tick(&mut self, now: i64) {
        let silent = self.silent;
        let late = |(conn, one): (&ConnKey, &In)| match one {
            In::Fresh { since, .. } if now - since > HANDSHAKE => Some((*conn, Reason::HeadTimeout)),
            In::Up { heard, .. } if now - heard > silent => Some((*conn, Reason::Silent)),
            _ => None,
        };
        let late: Vec<_> = self.inbound.iter().filter_map(late).collect();
        late.into_iter().for_each(|(conn, reason)| self.over(now, conn, reason));
        let ids: Vec<MemberId> = self.peers.keys().copied().collect();
        for id in ids {
            let Some(peer) = self.peers.get_mut(&id) else { continue };
            match &mut peer.out {
                Out::Waits { until } if peer.eager && *until <= now => self.dial(now, id),
                Out::Waits { .. } => {}
                Out::Dialling { since, .. } if now - *since > HANDSHAKE => {
                    self.lost(now, id, Reason::ConnectTimeout)
                }
                Out::Dialling { .. } => {}
                Out::Up { heard, .. } if now - *heard > silent => self.lost(now, id, Reason::Silent),
                Out::Up { pinged, .. } if now - *pinged > silent / 4 => {
                    *pinged = now;
                    self.send(now, id, &Frame::Ping);
                }
                Out::Up { .. } => {}
            }
        }
    }
}
