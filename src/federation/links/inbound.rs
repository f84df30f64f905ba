//! Inbound connections, which other members dial. Each is sent a challenge, and is established once the peer
//! has authenticated itself.

use super::{read_message, AdmissionCheck, Links, PeerSession, ReceiveStep, HANDSHAKE_TIMEOUT};
use crate::federation::hello::{Challenge, Hello};
use crate::federation::state::AdmissionError;
use crate::federation::wire::{self, Frame, WireError};
use crate::federation::MemberId;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Reason, Role};
use rand::Rng;
use tracing::warn;

/// Maximum number of open connections that are not authenticated yet.
const MAX_UNAUTHENTICATED: usize = 64;

/// The state of a connection that this member accepted.
pub(super) enum InboundState {
    /// The challenge was sent at `since`; the peer's hello is awaited.
    Challenged { challenge: Challenge, since: Instant },
    /// Member `from` is authenticated and uses the connection.
    Established { from: MemberId, session: PeerSession },
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Rejection {
    #[error("there are {MAX_UNAUTHENTICATED} unauthenticated connections already")]
    TooMany,
    #[error("the peer belongs to another federation")]
    OtherFederation,
    #[error("the peer does not have the federation's key")]
    WrongKey,
    #[error("the peer dialled another member")]
    OtherMember,
    #[error("the peer claims this member's own id")]
    ThisMember,
    #[error("the peer's federation was founded with other members")]
    OtherFounders,
    #[error("the peer has an established connection already")]
    Connected,
    #[error("{0}")]
    NotAdmitted(#[from] AdmissionError),
    #[error("{0}")]
    Malformed(#[from] WireError),
}

impl Rejection {
    /// Returns the reason with which the connection is closed.
    fn reason(self) -> Reason {
        match self {
            Rejection::TooMany => Reason::TooMany,
            Rejection::Malformed(_) => Reason::BadMessage,
            _ => Reason::Rejected,
        }
    }
}

/// Why an inbound connection is closed.
enum InboundError {
    Rejected(Rejection),
    Closed(Reason),
}

impl From<Rejection> for InboundError {
    fn from(rejection: Rejection) -> Self {
        InboundError::Rejected(rejection)
    }
}

impl From<WireError> for InboundError {
    fn from(error: WireError) -> Self {
        InboundError::Rejected(error.into())
    }
}

impl Links {
    /// Accepts the pending connections and sends a challenge on each.
    pub fn accept(&mut self, now: Instant) {
        loop {
            let Some(listener) = &self.listener else { return };
            match self.net.accept(now, listener, Role::Federation) {
                Ok(Some(connection)) => self.challenge(now, connection),
                Ok(None) => return,
                Err(error) => {
                    warn!("federation: cannot accept a connection: {error}");
                    return;
                }
            }
        }
    }

    fn challenge(&mut self, now: Instant, connection: ConnectionKey) {
        let unauthenticated = |state: &&InboundState| matches!(state, InboundState::Challenged { .. });
        if self.inbound.values().filter(unauthenticated).count() >= MAX_UNAUTHENTICATED {
            return self.reject(now, connection, Rejection::TooMany);
        }
        let challenge = Challenge { nonce: self.random.random() };
        let bytes = wire::encode(&challenge, None).unwrap_or_default();
        self.inbound.insert(connection, InboundState::Challenged { challenge, since: now });
        if let Err(reason) = self.net.write(connection, [bytes]) {
            self.close_inbound(now, connection, reason);
        }
    }

    /// Closes a connection, counts it as rejected and logs one line.
    fn reject(&mut self, now: Instant, connection: ConnectionKey, rejection: Rejection) {
        let peer = self.net.address(connection).map(|address| address.to_string()).unwrap_or_default();
        warn!(%peer, why = %rejection, "federation: a connection is rejected");
        self.rejected += 1;
        self.close_inbound(now, connection, rejection.reason());
    }

    pub(super) fn close_inbound(&mut self, now: Instant, connection: ConnectionKey, reason: Reason) {
        self.inbound.remove(&connection);
        self.net.close(now, connection, reason);
    }

    pub(super) fn close_silent_inbound(&mut self, now: Instant) {
        let overdue = |state: &InboundState| match state {
            InboundState::Challenged { since, .. } if now - *since > HANDSHAKE_TIMEOUT => {
                Some(Reason::HeadTimeout)
            }
            InboundState::Established { session, .. } if now - session.received_at > self.silence_timeout => {
                Some(Reason::Silent)
            }
            _ => None,
        };
        let overdue: Vec<(ConnectionKey, Reason)> = self
            .inbound
            .iter()
            .filter_map(|(connection, state)| Some((*connection, overdue(state)?)))
            .collect();
        overdue.into_iter().for_each(|(connection, reason)| self.close_inbound(now, connection, reason));
    }

    /// Sends to a member on the connection that it dialled. Used for members that this member's settings file
    /// does not list (any more), which therefore cannot be dialled.
    pub(super) fn send_on_inbound(&mut self, now: Instant, to: MemberId, frame: &Frame) -> bool {
        let dialled = self.inbound.iter_mut().find_map(|(connection, state)| match state {
            InboundState::Established { from, session } if *from == to => Some((*connection, session)),
            _ => None,
        });
        let Some((connection, session)) = dialled else { return false };
        let sent = session.send(&mut self.net, connection, frame);
        sent.unwrap_or_else(|reason| {
            self.close_inbound(now, connection, reason);
            false
        })
    }

    /// Reads the messages of an inbound connection. Returns `false` if it was closed.
    pub(super) fn receive_inbound(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        admits: AdmissionCheck<'_>,
        received: &mut Vec<(MemberId, Frame)>,
    ) -> bool {
        loop {
            match self.process_inbound_message(now, connection, admits, received) {
                Ok(ReceiveStep::Received) => continue,
                Ok(ReceiveStep::Incomplete) => return true,
                Ok(ReceiveStep::Closed) => {}
                Err(InboundError::Rejected(rejection)) => self.reject(now, connection, rejection),
                Err(InboundError::Closed(reason)) => self.close_inbound(now, connection, reason),
            }
            return false;
        }
    }

    fn process_inbound_message(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        admits: AdmissionCheck<'_>,
        received: &mut Vec<(MemberId, Frame)>,
    ) -> Result<ReceiveStep, InboundError> {
        match self.inbound.get_mut(&connection) {
            None => Ok(ReceiveStep::Closed),
            Some(InboundState::Challenged { challenge, .. }) => {
                let challenge = challenge.clone();
                self.authenticate(now, connection, &challenge, admits)
            }
            Some(InboundState::Established { from, session }) => {
                match session.receive(&mut self.net, connection, now)? {
                    None => return Ok(ReceiveStep::Incomplete),
                    Some(Frame::Ping) => {
                        session
                            .send(&mut self.net, connection, &Frame::Pong)
                            .map_err(InboundError::Closed)?;
                    }
                    Some(frame) => received.push((*from, frame)),
                }
                Ok(ReceiveStep::Received)
            }
        }
    }

    /// Reads the hello that answers a challenge, and answers with a welcome if the member is authenticated
    /// and admitted.
    fn authenticate(
        &mut self,
        now: Instant,
        connection: ConnectionKey,
        challenge: &Challenge,
        admits: AdmissionCheck<'_>,
    ) -> Result<ReceiveStep, InboundError> {
        let hello: Option<Hello> = read_message(&mut self.net, connection, None)?;
        let Some(hello) = hello else { return Ok(ReceiveStep::Incomplete) };
        self.verify(now, challenge, &hello, admits)?;
        let key = &self.identity.key;
        let bytes = wire::encode(&key.sign_welcome(challenge, &hello), None).unwrap_or_default();
        let session = PeerSession::new(key, challenge, &hello, false, now);
        self.inbound.insert(connection, InboundState::Established { from: hello.from, session });
        self.net.write(connection, [bytes]).map_err(InboundError::Closed)?;
        Ok(ReceiveStep::Received)
    }

    /// Checks that the dialling member is authenticated and admitted.
    fn verify(
        &self,
        now: Instant,
        challenge: &Challenge,
        hello: &Hello,
        admits: AdmissionCheck<'_>,
    ) -> Result<(), Rejection> {
        let own = &self.identity;
        if hello.cluster != own.cluster {
            return Err(Rejection::OtherFederation);
        }
        if !own.key.verify_hello(challenge, hello) {
            return Err(Rejection::WrongKey);
        }
        if hello.to != own.id {
            return Err(Rejection::OtherMember);
        }
        if hello.from == own.id {
            return Err(Rejection::ThisMember);
        }
        if hello.identity != 0 && own.federation != 0 && hello.identity != own.federation {
            return Err(Rejection::OtherFounders);
        }
        admits(hello)?;
        let connected = |state: &InboundState| {
            matches!(state, InboundState::Established { from, session }
                if *from == hello.from && now - session.received_at < self.silence_timeout)
        };
        if self.inbound.values().any(connected) {
            return Err(Rejection::Connected);
        }
        Ok(())
    }
}
