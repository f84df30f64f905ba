//! Outbound connections: one to each peer, dialled again after a backoff when it is lost.

use super::{
    read_message, Links, PeerAddress, PeerSession, ReceiveStep, HANDSHAKE_TIMEOUT, PINGS_PER_SILENCE,
};
use crate::federation::backoff::Backoff;
use crate::federation::hello::{Challenge, Hello, Welcome};
use crate::federation::wire::{self, Frame};
use crate::federation::MemberId;
use crate::interface::{Instant, Span};
use crate::net::{ConnectionKey, Reason, Role};
use rand::Rng;
use std::collections::BTreeMap;
use tracing::info;

/// Minimum and maximum backoff before a peer is dialled again.
const REDIAL_PAUSES: [Span; 2] = [Span::from_millis(20), Span::from_secs(1)];

/// The state of the connection to a peer.
enum OutboundState {
    /// There is no connection; the peer may be dialled from `until` on.
    Waiting { until: Instant },
    /// The peer was dialled at `since`; its challenge is awaited.
    Dialled { connection: ConnectionKey, since: Instant },
    /// The challenge was answered with a hello; the peer's welcome is awaited.
    HelloSent { connection: ConnectionKey, since: Instant, challenge: Challenge, hello: Hello },
    /// Both sides are authenticated; the last ping was sent at `pinged_at`.
    Established { connection: ConnectionKey, session: PeerSession, pinged_at: Instant },
}

impl OutboundState {
    fn connection(&self) -> Option<ConnectionKey> {
        match self {
            OutboundState::Waiting { .. } => None,
            OutboundState::Dialled { connection, .. }
            | OutboundState::HelloSent { connection, .. }
            | OutboundState::Established { connection, .. } => Some(*connection),
        }
    }
}

/// A member that this one dials.
pub(super) struct Peer {
    target: PeerAddress,
    backoff: Backoff,
    outbound: OutboundState,
}

impl Peer {
    fn new(now: Instant, target: PeerAddress) -> Self {
        let backoff = Backoff::new(REDIAL_PAUSES[0], REDIAL_PAUSES[1]);
        Peer { target, backoff, outbound: OutboundState::Waiting { until: now } }
    }

    /// Marks the connection as closed; the peer may be dialled again from `until` on.
    pub fn wait_until(&mut self, until: Instant) {
        self.outbound = OutboundState::Waiting { until };
    }
}

impl Links {
    /// Sets the peers, and closes the connections to those that were removed or have another address.
    pub fn set_peers(&mut self, now: Instant, wanted: &BTreeMap<MemberId, PeerAddress>) {
        let stays =
            |id: &MemberId, peer: &Peer| wanted.get(id).is_some_and(|at| at.address == peer.target.address);
        let gone: Vec<MemberId> =
            self.peers.iter().filter(|(id, peer)| !stays(id, peer)).map(|(id, _)| *id).collect();
        for id in gone {
            if let Some(connection) = self.peers.remove(&id).and_then(|peer| peer.outbound.connection()) {
                self.dialled.remove(&connection);
                self.net.close(now, connection, Reason::Replaced);
            }
        }
        for (id, at) in wanted {
            self.peers.entry(*id).or_insert_with(|| Peer::new(now, *at)).target = *at;
        }
    }

    /// Whether the outbound connection to a peer is established.
    pub fn connected(&self, id: MemberId) -> bool {
        self.peers.get(&id).is_some_and(|peer| matches!(peer.outbound, OutboundState::Established { .. }))
    }

    pub(super) fn send_to_peer(&mut self, now: Instant, to: MemberId, frame: &Frame) -> bool {
        let Some(peer) = self.peers.get_mut(&to) else { return false };
        match &mut peer.outbound {
            OutboundState::Established { connection, session, .. } => {
                let sent = session.send(&mut self.net, *connection, frame);
                sent.unwrap_or_else(|reason| {
                    self.close_outbound(now, to, reason);
                    false
                })
            }
            OutboundState::Waiting { until } if *until <= now => {
                self.dial(now, to);
                false
            }
            _ => false,
        }
    }

    fn dial(&mut self, now: Instant, to: MemberId) {
        let Some(peer) = self.peers.get_mut(&to) else { return };
        match self.net.connect(now, peer.target.address, Role::Federation) {
            Ok(connection) => {
                peer.outbound = OutboundState::Dialled { connection, since: now };
                self.dialled.insert(connection, to);
            }
            Err(_) => {
                let until = now + peer.backoff.next_pause(&mut self.random);
                peer.wait_until(until);
            }
        }
    }

    /// Closes the connection to a peer, which is dialled again after a backoff.
    pub(super) fn close_outbound(&mut self, now: Instant, to: MemberId, reason: Reason) {
        let Some(peer) = self.peers.get_mut(&to) else { return };
        let until = now + peer.backoff.next_pause(&mut self.random);
        let before = std::mem::replace(&mut peer.outbound, OutboundState::Waiting { until });
        if let Some(connection) = before.connection() {
            self.dialled.remove(&connection);
            self.net.close(now, connection, reason);
        }
        if matches!(before, OutboundState::Established { .. }) {
            info!(peer = to.get(), end = reason.code(), "federation: the connection to a member is lost");
        }
    }

    /// Reads the messages of a peer on the outbound connection. Returns `false` if it was closed.
    pub(super) fn receive_from_peer(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        id: MemberId,
        received: &mut Vec<(MemberId, Frame)>,
    ) -> bool {
        loop {
            match self.process_peer_message(now, connection, id, received) {
                Ok(ReceiveStep::Received) => {}
                Ok(ReceiveStep::Incomplete) => return true,
                Ok(ReceiveStep::Closed) => return false,
                Err(reason) => {
                    self.close_outbound(now, id, reason);
                    return false;
                }
            }
        }
    }

    fn process_peer_message(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        id: MemberId,
        received: &mut Vec<(MemberId, Frame)>,
    ) -> Result<ReceiveStep, Reason> {
        match self.peers.get_mut(&id).map(|peer| &mut peer.outbound) {
            None | Some(OutboundState::Waiting { .. }) => Ok(ReceiveStep::Closed),
            Some(OutboundState::Dialled { since, .. }) => {
                let since = *since;
                self.answer_challenge(connection, id, since)
            }
            Some(OutboundState::HelloSent { .. }) => self.process_welcome(now, connection, id),
            Some(OutboundState::Established { session, .. }) => {
                let frame = session.receive(&mut self.net, connection, now);
                match frame.map_err(|_| Reason::BadMessage)? {
                    None => return Ok(ReceiveStep::Incomplete),
                    Some(Frame::Ping | Frame::Pong) => {}
                    Some(frame) => received.push((id, frame)),
                }
                Ok(ReceiveStep::Received)
            }
        }
    }

    /// Answers the challenge that a peer sends first.
    fn answer_challenge(
        &mut self,
        connection: ConnectionKey,
        id: MemberId,
        since: Instant,
    ) -> Result<ReceiveStep, Reason> {
        let challenge: Option<Challenge> =
            read_message(&mut self.net, connection, None).map_err(|_| Reason::BadMessage)?;
        let Some(challenge) = challenge else { return Ok(ReceiveStep::Incomplete) };
        let hello = self.identity.hello(&challenge, id, self.random.random());
        let bytes = wire::encode(&hello, None).unwrap_or_default();
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.outbound = OutboundState::HelloSent { connection, since, challenge, hello };
        }
        self.net.write(connection, [bytes])?;
        Ok(ReceiveStep::Received)
    }

    /// Verifies the welcome, which authenticates the peer, and establishes the connection.
    fn process_welcome(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        id: MemberId,
    ) -> Result<ReceiveStep, Reason> {
        let welcome: Option<Welcome> =
            read_message(&mut self.net, connection, None).map_err(|_| Reason::BadMessage)?;
        let Some(welcome) = welcome else { return Ok(ReceiveStep::Incomplete) };
        let Some(peer) = self.peers.get_mut(&id) else { return Ok(ReceiveStep::Closed) };
        let OutboundState::HelloSent { challenge, hello, .. } = &peer.outbound else {
            return Ok(ReceiveStep::Closed);
        };
        let key = &self.identity.key;
        if !key.verify_welcome(challenge, hello, &welcome) {
            return Err(Reason::BadMessage);
        }
        let session = PeerSession::new(key, challenge, hello, true, now);
        peer.outbound = OutboundState::Established { connection, session, pinged_at: now };
        peer.backoff.reset();
        info!(peer = id.get(), "federation: connected to a member");
        Ok(ReceiveStep::Received)
    }

    pub(super) fn tick_peers(&mut self, now: Instant) {
        let ids: Vec<MemberId> = self.peers.keys().copied().collect();
        ids.into_iter().for_each(|id| self.tick_peer(now, id));
    }

    fn tick_peer(&mut self, now: Instant, id: MemberId) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        match &mut peer.outbound {
            OutboundState::Waiting { until } => {
                if peer.target.eager && *until <= now {
                    self.dial(now, id);
                }
            }
            OutboundState::Dialled { since, .. } | OutboundState::HelloSent { since, .. } => {
                if now - *since > HANDSHAKE_TIMEOUT {
                    self.close_outbound(now, id, Reason::ConnectTimeout);
                }
            }
            OutboundState::Established { session, pinged_at, .. } => {
                if now - session.received_at > self.silence_timeout {
                    self.close_outbound(now, id, Reason::Silent);
                } else if now - *pinged_at > self.silence_timeout / PINGS_PER_SILENCE {
                    *pinged_at = now;
                    self.send(now, id, &Frame::Ping);
                }
            }
        }
    }
}
