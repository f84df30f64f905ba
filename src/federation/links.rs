//! The connections between this member and the others. Each member dials the others to send its messages, and
//! listens for theirs. After the handshake, the accepting side uses a connection only for pongs and for
//! messages to a member that it cannot dial, because its own settings file does not list that member.
//!
//! Queues are bounded, so that a slow peer delays only itself. Messages that do not fit are dropped; the
//! consensus library sends them again.

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

/// Poll token of the listener.
pub(super) const LISTENER_TOKEN: usize = 0;
/// Frames are dropped while a connection has at least this many unwritten bytes.
const MAX_QUEUE_BYTES: usize = 256 * 1024;
/// Maximum number of unprocessed bytes in a connection's input buffer; the longest frame fits.
const READ_BYTES: usize = wire::MAX_MESSAGE_BYTES + 64;
/// Maximum duration of a connection's handshake.
const HANDSHAKE_TIMEOUT: Span = Span::from_secs(1);
/// Number of pings sent within the silence timeout on an established connection.
const PINGS_PER_SILENCE: i64 = 4;

/// What this member presents to the others in the handshake.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    cluster: String,
    id: MemberId,
    /// Identity of the federation, 0 while it is not known.
    federation: u64,
    incarnation: u64,
    key: Key,
}

impl Identity {
    pub fn of(settings: &FederationSettings, federation: u64, incarnation: u64) -> Self {
        let FederationSettings { cluster, id, key, .. } = settings;
        Identity { cluster: cluster.clone(), id: *id, federation, incarnation, key: key.clone() }
    }

    /// Returns the signed answer to the challenge of member `to`.
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

/// The state of a connection after both sides have authenticated each other.
struct PeerSession {
    /// Tags the frames that are sent.
    sending: MessageAuthenticator,
    /// Verifies the tags of the frames that are received.
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

    /// Queues a frame. Returns `false` if the queue is full or the frame is too long.
    fn send(&mut self, net: &mut Net, connection: ConnectionKey, frame: &Frame) -> Result<bool, Reason> {
        if net.unwritten_bytes(connection) >= MAX_QUEUE_BYTES {
            return Ok(false);
        }
        match wire::encode(frame, Some(&mut self.sending)) {
            Some(bytes) => net.write(connection, [bytes]).map(|()| true),
            None => {
                warn!("federation: a message exceeds the maximum length and is dropped");
                Ok(false)
            }
        }
    }

    /// Returns the next received frame, or `None` if it is not complete yet.
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

/// Returns the next message that a connection has received, or `None` if it is not complete yet.
fn read_message<T: DeserializeOwned>(
    net: &mut Net,
    connection: ConnectionKey,
    authenticator: Option<&mut MessageAuthenticator>,
) -> Result<Option<T>, WireError> {
    net.input(connection, |input| wire::decode(input, authenticator)).unwrap_or(Ok(None))
}

/// The result of reading one message from a connection.
enum ReceiveStep {
    Received,
    /// The message is not complete yet.
    Incomplete,
    Closed,
}

/// The address of a member, and when it is dialled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PeerAddress {
    pub address: SocketAddr,
    /// Whether the member is dialled at once; otherwise only when there is something to send.
    pub eager: bool,
}

/// Checks that the connecting member is admitted with the store that it uses.
pub(super) type AdmissionCheck<'a> = &'a dyn Fn(&Hello) -> Result<(), AdmissionError>;

/// All connections to and from other members, and the listener.
pub(super) struct Links {
    net: Net,
    identity: Identity,
    /// A connection on which nothing is received for this long is closed.
    silence_timeout: Span,
    listener: Option<Listener>,
    peers: BTreeMap<MemberId, Peer>,
    /// The connections that this member dialled, with the dialled member.
    dialled: BTreeMap<ConnectionKey, MemberId>,
    inbound: BTreeMap<ConnectionKey, InboundState>,
    random: ChaCha8Rng,
    /// Number of frames that could not be sent.
    pub dropped: u64,
    /// Number of inbound connections that were rejected.
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

    /// Opens the listener and returns its address.
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

    /// Sends a frame to a member. Returns `false` and counts it as dropped if the member is not connected or
    /// its queue is full. A peer without a connection is dialled, unless its backoff lasts.
    pub fn send(&mut self, now: Instant, to: MemberId, frame: &Frame) -> bool {
        let sent = if self.peers.contains_key(&to) {
            self.send_to_peer(now, to, frame)
        } else {
            self.send_on_inbound(now, to, frame)
        };
        self.dropped += u64::from(!sent);
        sent
    }

    /// Writes and reads a ready connection, and appends the received frames to `received`.
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

    /// Reads a connection until no more bytes are available.
    fn read(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        peer: Option<MemberId>,
        admits: AdmissionCheck<'_>,
        received: &mut Vec<(MemberId, Frame)>,
    ) {
        loop {
            let outcome = self.net.read(connection, READ_BYTES);
            let open = match peer {
                Some(id) => self.receive_from_peer(now, connection, id, received),
                None => self.receive_inbound(now, connection, admits, received),
            };
            if !open {
                return;
            }
            let reason = match outcome {
                Ok(read) if read.is_buffer_full => continue,
                Ok(read) if read.has_peer_ended => Reason::PeerClosed,
                Ok(_) => return,
                Err(reason) => reason,
            };
            return self.close_connection(now, connection, peer, reason);
        }
    }

    /// Closes a connection: one that this member dialled to `peer`, or an inbound one if `peer` is `None`.
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

    /// Closes silent connections, pings the peers, and dials the peers that are due.
    pub fn tick(&mut self, now: Instant) {
        self.close_silent_inbound(now);
        self.tick_peers(now);
    }
}
