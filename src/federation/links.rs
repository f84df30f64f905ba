//! The connections of a member. Each member dials the others for what it has to send and listens for what they send;
//! back on a connection come pongs, and the messages of a member that cannot dial this one.
//!
//! Queues are bounded: what does not fit is dropped, since the consensus sends it again, and a slow peer delays only
//! itself.

mod inbound;
mod outbound;

use super::hello::{Challenge, Hello, Key, MessageAuthenticator, Nonce};
use super::settings::FederationSettings;
use super::state::AdmissionError;
use super::wire::{self, Frame, WireError};
use super::MemberId;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Listener, Net, Ready, Reason};
use inbound::InboundState;
use outbound::Peer;
use rand_chacha::ChaCha8Rng;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use tracing::warn;

/// The poll's token of the listener.
pub(super) const LISTENER_TOKEN: usize = 0;
/// The maximum number of unwritten bytes to one peer.
const MAX_QUEUE_BYTES: usize = 256 * 1024;
/// The maximum number of bytes read from one connection at a time.
const READ_BYTES: usize = wire::MAX_MESSAGE_BYTES + 64;
/// How long the handshake of a connection may take.
const HANDSHAKE_TIMEOUT: Span = Span::from_secs(1);
/// The number of pings within the silence timeout of a connection.
const PINGS_PER_SILENCE: i64 = 4;

/// Who this member is to the others.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    cluster: String,
    id: MemberId,
    /// The federation's identity, 0 while it is not known.
    federation: u64,
    incarnation: u64,
    key: Key,
}

impl Identity {
    pub fn of(settings: &FederationSettings, federation: u64, incarnation: u64) -> Self {
        let FederationSettings { cluster, id, key, .. } = settings;
        Identity { cluster: cluster.clone(), id: *id, federation, incarnation, key: key.clone() }
    }

    /// The answer to a peer's challenge.
    fn hello(&self, challenge: &Challenge, to: MemberId, nonce: Nonce) -> Hello {
        let hello = Hello {
            cluster: self.cluster.clone(),
            identity: self.federation,
            from: self.id,
            to,
            incarnation: self.incarnation,
            nonce,
            proof: [0; 32],
        };
        self.key.sign_hello(challenge, hello)
    }
}

/// A connection whose two sides have authenticated each other.
struct PeerSession {
    /// Seals what is sent.
    sending: MessageAuthenticator,
    /// Verifies what is received.
    receiving: MessageAuthenticator,
    /// When a frame was last received.
    received_at: Instant,
}

impl PeerSession {
    fn new(key: &Key, challenge: &Challenge, hello: &Hello, dialled: bool, now: Instant) -> Self {
        let [sending, receiving] =
            [dialled, !dialled].map(|from_dialler| key.message_authenticator(challenge, hello, from_dialler));
        PeerSession { sending, receiving, received_at: now }
    }

    /// Sends a frame; `false`: it does not fit.
    fn send(&mut self, net: &mut Net, connection: ConnectionKey, frame: &Frame) -> Result<bool, Reason> {
        if net.unwritten_bytes(connection) >= MAX_QUEUE_BYTES {
            return Ok(false);
        }
        match wire::encode(frame, Some(&mut self.sending)) {
            Some(bytes) => net.write(connection, [bytes]).map(|()| true),
            None => {
                warn!("federation: a message is longer than any may be");
                Ok(false)
            }
        }
    }

    /// Takes the next frame that has been received, if it is complete.
    fn receive(
        &mut self,
        net: &mut Net,
        connection: ConnectionKey,
        now: Instant,
    ) -> Result<Option<Frame>, WireError> {
        let frame = read_message(net, connection, Some(&mut self.receiving))?;
        if frame.is_some() {
            self.received_at = now;
        }
        Ok(frame)
    }
}

/// Takes the next message that a connection has received, if it is complete.
fn read_message<T: DeserializeOwned>(
    net: &mut Net,
    connection: ConnectionKey,
    authenticator: Option<&mut MessageAuthenticator>,
) -> Result<Option<T>, WireError> {
    net.input(connection, |input| wire::decode(input, authenticator)).unwrap_or(Ok(None))
}

/// The result of reading one message from a connection.
enum ReceiveStep {
    /// A message was read.
    Received,
    /// It is not complete yet.
    Incomplete,
    /// The connection is closed.
    Closed,
}

/// How a member is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerAddress {
    pub address: SocketAddr,
    /// It is dialled before there is anything to send.
    pub eager: bool,
}

/// Decides whether the store that a connecting member comes with may speak for it.
pub(super) type AdmissionCheck<'a> = &'a dyn Fn(&Hello) -> Result<(), AdmissionError>;

/// The connections.
pub(super) struct Links {
    net: Net,
    identity: Identity,
    /// A connection on which nothing is received for this long is closed.
    silence_timeout: Span,
    listener: Option<Listener>,
    peers: BTreeMap<MemberId, Peer>,
    /// The connections that this member dialled, and to whom.
    dialled: BTreeMap<ConnectionKey, MemberId>,
    inbound: BTreeMap<ConnectionKey, InboundState>,
    random: ChaCha8Rng,
    /// The number of messages that were dropped.
    pub dropped: u64,
    /// The number of connections that were rejected.
    pub rejected: u64,
}

impl Links {
    pub fn new(net: Net, identity: Identity, silence_timeout: Span, random: ChaCha8Rng) -> Self {
        Links {
            net,
            identity,
            silence_timeout,
            listener: None,
            peers: BTreeMap::new(),
            dialled: BTreeMap::new(),
            inbound: BTreeMap::new(),
            random,
            dropped: 0,
            rejected: 0,
        }
    }

    pub fn net(&mut self) -> &mut Net {
        &mut self.net
    }

    /// Sets the identity of this member and the silence timeout.
    pub fn configure(&mut self, identity: Identity, silence_timeout: Span) {
        (self.identity, self.silence_timeout) = (identity, silence_timeout);
    }

    /// Sets the federation's identity once it is known.
    pub fn set_identity(&mut self, federation: u64) {
        self.identity.federation = federation;
    }

    /// Opens the listener.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = self.net.listen(address, false, LISTENER_TOKEN)?;
        let address = listener.local_addr();
        self.listener = Some(listener);
        address
    }

    /// Closes all connections and the listener.
    pub fn close(&mut self, now: Instant) {
        if let Some(listener) = self.listener.take() {
            self.net.unlisten(listener);
        }
        let open: Vec<ConnectionKey> = self.dialled.keys().chain(self.inbound.keys()).copied().collect();
        open.into_iter().for_each(|connection| self.net.close(now, connection, Reason::Stopping));
        self.dialled.clear();
        self.inbound.clear();
        self.peers.values_mut().for_each(|peer| peer.wait_until(now));
    }

    /// Sends a frame to a member, if it is connected and its queue has room; else it is dialled.
    pub fn send(&mut self, now: Instant, to: MemberId, frame: &Frame) -> bool {
        let sent = if self.peers.contains_key(&to) {
            self.send_to_peer(now, to, frame)
        } else {
            self.send_on_inbound(now, to, frame)
        };
        self.dropped += u64::from(!sent);
        sent
    }

    /// Handles a ready connection and appends the frames that members sent to `received`.
    pub fn handle_ready(
        &mut self,
        now: Instant,
        ready: Ready,
        admits: AdmissionCheck<'_>,
        received: &mut Vec<(MemberId, Frame)>,
    ) {
        let Ready::Conn { key, read, .. } = ready else { return };
        let peer = self.dialled.get(&key).copied();
        if peer.is_none() && !self.inbound.contains_key(&key) {
            return;
        }
        match self.flush(key, peer.is_some()) {
            Ok(true) if read => self.read(now, key, peer, admits, received),
            Ok(_) => {}
            Err(reason) => self.close_connection(now, key, peer, reason),
        }
    }

    /// Writes queued bytes. Returns `false` if the connection is not established yet.
    fn flush(&mut self, connection: ConnectionKey, dialled: bool) -> Result<bool, Reason> {
        let established = !dialled || self.net.connected(connection)?;
        self.net.flush(connection)?;
        Ok(established)
    }

    /// Reads a connection until it has no more.
    fn read(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        peer: Option<MemberId>,
        admits: AdmissionCheck<'_>,
        received: &mut Vec<(MemberId, Frame)>,
    ) {
        loop {
            let got = self.net.read(connection, READ_BYTES);
            let open = match peer {
                Some(id) => self.receive_from_peer(now, connection, id, received),
                None => self.receive_inbound(now, connection, admits, received),
            };
            if !open {
                return;
            }
            let reason = match got {
                Ok(got) if got.is_buffer_full => continue,
                Ok(got) if got.has_peer_ended => Reason::PeerClosed,
                Ok(_) => return,
                Err(reason) => reason,
            };
            return self.close_connection(now, connection, peer, reason);
        }
    }

    /// Ends a connection, which this member dialled to `peer` or accepted.
    fn close_connection(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        peer: Option<MemberId>,
        reason: Reason,
    ) {
        match peer {
            Some(id) => self.close_outbound(now, id, reason),
            None => self.close_inbound(now, connection, reason),
        }
    }

    /// Closes silent connections, pings idle ones, and dials peers.
    pub fn tick(&mut self, now: Instant) {
        self.close_silent_inbound(now);
        self.tick_peers(now);
    }
}
