//! The frames between members: a version, a length and a message in postcard, whose decoder does not recurse; once
//! the members have authenticated each other, with a tag before the message.

use super::hello::{MessageAuthenticator, TAG_BYTES};
use super::records::MessageRecord;
use super::state::Command;
use bytes::{Buf, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// The version of the protocol.
pub const VERSION: u8 = 1;
/// Bytes of the header: version and length.
const HEADER_BYTES: usize = 5;
/// Bytes of one message of the handshake.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Bytes of one message.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// What members send after the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A message of the consensus library.
    Raft(MessageRecord),
    /// A command for the leader to propose.
    Propose(Command),
    /// Asks for a [`Frame::Pong`].
    Ping,
    /// Answers a [`Frame::Ping`].
    Pong,
}

/// Why bytes are no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// It has another version.
    #[error("it speaks version {0}, this is {VERSION}")]
    Version(u8),
    /// It is too long.
    #[error("a message is too long")]
    Oversize,
    /// It cannot be decoded, or was altered.
    #[error("a message can't be read")]
    Malformed,
}

/// The frame of a message, with a tag if there is a seal; `None`: it is too long.
pub fn encode(message: &impl Serialize, authenticator: Option<&mut MessageAuthenticator>) -> Option<Bytes> {
    let body = postcard::to_stdvec(message).ok().filter(|body| body.len() <= MAX_MESSAGE_BYTES)?;
    let tag = authenticator.map(|authenticator| authenticator.tag(&body));
    let length = body.len() + tag.map_or(0, |tag| tag.len());
    let mut out = Vec::with_capacity(HEADER_BYTES + length);
    out.push(VERSION);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    tag.iter().for_each(|tag| out.extend_from_slice(tag));
    out.extend_from_slice(&body);
    Some(out.into())
}

/// Takes the next message out of the input; `None`: it is not complete.
///
/// # Errors
///
/// The input does not begin with a frame.
pub fn decode<T: DeserializeOwned>(
    input: &mut BytesMut,
    authenticator: Option<&mut MessageAuthenticator>,
) -> Result<Option<T>, WireError> {
    let Some([version, length @ ..]) = input.first_chunk::<HEADER_BYTES>() else {
        return match input.first() {
            Some(version) if *version != VERSION => Err(WireError::Version(*version)),
            _ => Ok(None),
        };
    };
    if *version != VERSION {
        return Err(WireError::Version(*version));
    }
    let length = u32::from_be_bytes(*length) as usize;
    if length > if authenticator.is_some() { MAX_MESSAGE_BYTES + TAG_BYTES } else { MAX_HANDSHAKE_BYTES } {
        return Err(WireError::Oversize);
    }
    let Some(message) = input.get(HEADER_BYTES..HEADER_BYTES + length) else { return Ok(None) };
    let body = match authenticator {
        None => message,
        Some(authenticator) => {
            let (tag, body) = message.split_at_checked(TAG_BYTES).ok_or(WireError::Malformed)?;
            if !authenticator.verify(body, tag) {
                return Err(WireError::Malformed);
            }
            body
        }
    };
    let read = postcard::take_from_bytes(body).ok().filter(|(_, rest): &(T, &[u8])| rest.is_empty());
    let read = read.map(|(message, _)| message).ok_or(WireError::Malformed)?;
    input.advance(HEADER_BYTES + length);
    Ok(Some(read))
}
