//! The frames that members exchange. A frame consists of a version, a length and a message encoded with
//! postcard, whose decoder does not recurse. After the handshake a tag stands before the message.

use super::hello::{MessageAuthenticator, TAG_BYTES};
use super::records::MessageRecord;
use super::state::Command;
use bytes::{Buf, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Version of the protocol, the first byte of each frame.
pub const VERSION: u8 = 1;
/// Length of the header (version and length), in bytes.
const HEADER_BYTES: usize = 5;
/// Maximum length of one message of the handshake, in bytes.
pub const MAX_HANDSHAKE_BYTES: usize = 1024;
/// Maximum length of one encoded message without its tag, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message that members send after the handshake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A message of the consensus library.
    Raft(MessageRecord),
    /// A command for the leader to propose.
    Propose(Command),
    /// Requests a [`Frame::Pong`].
    Ping,
    /// Answers a [`Frame::Ping`].
    Pong,
}

/// Why received bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The frame has this version, not [`VERSION`].
    #[error("protocol version {0} is not supported, expected {VERSION}")]
    Version(u8),
    /// The length exceeds [`MAX_HANDSHAKE_BYTES`], or [`MAX_MESSAGE_BYTES`] and a tag after the handshake.
    #[error("a message is too long, the maximum is {max} bytes")]
    Oversize {
        /// Maximum length in bytes, with the tag.
        max: usize,
    },
    /// The message cannot be decoded, or its tag is wrong.
    #[error("a message cannot be decoded or its tag is wrong")]
    Malformed,
}

/// Encodes a message as a frame, with a tag if there is an authenticator. Returns `None` if the message is
/// too long.
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

/// Removes the next message from the input. Returns `None` if it is not complete yet.
///
/// # Errors
///
/// The input does not begin with a valid frame of this version, or the frame's tag is wrong.
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
    let max = if authenticator.is_some() { MAX_MESSAGE_BYTES + TAG_BYTES } else { MAX_HANDSHAKE_BYTES };
    if length > max {
        return Err(WireError::Oversize { max });
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
