//! The connections that other members dial: each is challenged, and accepted once it has proved who it is.

use super::{read_message, AdmissionCheck, Links, PeerSession, ReceiveStep, HANDSHAKE_TIMEOUT};
use crate::federation::hello::{Challenge, Hello};
use crate::federation::state::AdmissionError;
use crate::federation::wire::{self, Frame, WireError};
use crate::federation::MemberId;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Reason, Role};
use rand::Rng;
use tracing::warn;

/// Connections that may be open and not authenticated.
const MAX_UNAUTHENTICATED: usize = 64;

/// A connection that this member accepted.
pub(super) enum InboundState {
    /// It was challenged at `since`, and has not answered yet.
    Challenged { challenge: Challenge, since: Instant },
    /// It is in use by this member.
    Established { from: MemberId, session: PeerSession },
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum Rejection {
    #[error("too many have not said who they are")]
    TooMany,
    #[error("it is of another federation")]
    OtherFederation,
    #[error("it does not hold the key")]
    WrongKey,
    #[error("it wants another member")]
    OtherMember,
    #[error("it says that it is this member")]
    ThisMember,
    #[error("its federation was founded with other members")]
    OtherFounders,
    #[error("this member is here already")]
    Connected,
    #[error("{0}")]
    NotAdmitted(#[from] AdmissionError),
    #[error("{0}")]
    Malformed(#[from] WireError),
}

impl Rejection {
    /// The reason with which the connection is closed.
    fn reason(self) -> Reason {
        match self {
            Rejection::TooMany => Reason::TooMany,
            Rejection::Malformed(_) => Reason::BadMessage,
            _ => Reason::Rejected,
        }
    }
}

/// Why an inbound connection ends.
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
    fn from(bad: WireError) -> Self {
        InboundError::Rejected(bad.into())
    }
}

impl Links {
    /// Accepts the connections that wait, and challenges each.
    pub fn accept(&mut self, now: Instant) {
        loop {
            let Some(listener) = &self.listener else { return };
            match self.net.accept(now, listener, Role::Federation) {
                Ok(Some(connection)) => self.challenge(now, connection),
                Ok(None) => return,
                Err(error) => {
                    warn!("federation: {error}");
                    return;
                }
            }
        }
    }

    fn challenge(&mut self, now: Instant, connection: ConnectionKey) {
        let unauthenticated = |one: &&InboundState| matches!(one, InboundState::Challenged { .. });
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

    /// Closes a connection with one line in the log.
    fn reject(&mut self, now: Instant, connection: ConnectionKey, rejection: Rejection) {
        let peer = self.net.address(connection).map(|address| address.to_string()).unwrap_or_default();
        warn!(%peer, why = %rejection, "federation: a connection is refused");
        self.rejected += 1;
        self.close_inbound(now, connection, rejection.reason());
    }

    pub(super) fn close_inbound(&mut self, now: Instant, connection: ConnectionKey, reason: Reason) {
        self.inbound.remove(&connection);
        self.net.close(now, connection, reason);
    }

    pub(super) fn close_silent_inbound(&mut self, now: Instant) {
        let overdue = |one: &InboundState| match one {
            InboundState::Challenged { since, .. } if now - *since > HANDSHAKE_TIMEOUT => {
                Some(Reason::HeadTimeout)
            }
            InboundState::Established { session, .. } if now - session.received_at > self.silence_timeout => {
                Some(Reason::Silent)
            }
            _ => None,
        };
        let overdue: Vec<(ConnectionKey, Reason)> =
            self.inbound.iter().filter_map(|(connection, one)| Some((*connection, overdue(one)?))).collect();
        overdue.into_iter().for_each(|(connection, reason)| self.close_inbound(now, connection, reason));
    }

    /// Sends to a member that the own file does not list (any more), on the connection that it opened.
    pub(super) fn send_on_inbound(&mut self, now: Instant, to: MemberId, frame: &Frame) -> bool {
        let dialled = self.inbound.iter_mut().find_map(|(connection, one)| match one {
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

    /// Reads the messages of an accepted connection. Returns `false` if it was closed.
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

    /// Reads the answer to a challenge, and welcomes the member if it is authenticated and admitted.
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
        let connected = |one: &InboundState| {
            matches!(one, InboundState::Established { from, session }
                if *from == hello.from && now - session.received_at < self.silence_timeout)
        };
        if self.inbound.values().any(connected) {
            return Err(Rejection::Connected);
        }
        Ok(())
    }
}
