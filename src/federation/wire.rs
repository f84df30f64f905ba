//! Messages between members: a version, a length, and postcard (serde) bytes, which has no nesting for a peer to grow; and
//! once the members know each other, a tag before them.

use super::hello::{Seal, TAG};
use super::records::MessageRecord;
use super::state::Command;
use bytes::{Buf, Bytes, BytesMut};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// The version of all that goes over a connection.
pub const VERSION: u8 = 1;
/// Bytes of the version and the length.
const HEAD: usize = 5;
/// Bytes of one message before the members know each other.
pub const MOST_HELLO: usize = 1024;
/// Bytes of one message.
pub const MOST: usize = 1 << 20;

/// What members that know each other send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The consensus library's.
    Raft(MessageRecord),
    /// A command for the leader to propose.
    Propose(Command),
    /// Is anybody there?
    Ping,
    /// Yes.
    Pong,
}

/// What can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    /// Another version than ours.
    #[error("it speaks version {0}, this is {VERSION}")]
    Version(u8),
    /// Too long.
    #[error("a message is too long")]
    Oversize,
    /// No message, or one that was altered.
    #[error("a message can't be read")]
    Malformed,
}

/// A message's bytes; with a seal where the members know each other. `None`: longer than any may be.
pub fn pack(message: &impl Serialize, seal: Option<&mut Seal>) -> Option<Bytes> {
    let body = postcard::to_stdvec(message).ok().filter(|body| body.len() <= MOST)?;
    let tag = seal.map(|seal| seal.tag(&body));
    let length = body.len() + tag.map_or(0, |tag| tag.len());
    let mut out = Vec::with_capacity(HEAD + length);
    out.push(VERSION);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    tag.iter().for_each(|tag| out.extend_from_slice(tag));
    out.extend_from_slice(&body);
    Some(out.into())
}

/// Takes the next message out of what has come; `None`: it is not whole.
///
/// # Errors
///
/// What has come can never be a message.
pub fn unpack<T: DeserializeOwned>(input: &mut BytesMut, seal: Option<&mut Seal>) -> Result<Option<T>, Bad> {
    let Some([version, length @ ..]) = input.first_chunk::<HEAD>() else {
        return match input.first() {
            Some(version) if *version != VERSION => Err(Bad::Version(*version)),
            _ => Ok(None),
        };
    };
    if *version != VERSION {
        return Err(Bad::Version(*version));
    }
    let length = u32::from_be_bytes(*length) as usize;
    if length > if seal.is_some() { MOST + TAG } else { MOST_HELLO } {
        return Err(Bad::Oversize);
    }
    let Some(message) = input.get(HEAD..HEAD + length) else { return Ok(None) };
    let body = match seal {
        None => message,
        Some(seal) => {
            let (tag, body) = message.split_at_checked(TAG).ok_or(Bad::Malformed)?;
            if !seal.fits(body, tag) {
                return Err(Bad::Malformed);
            }
            body
        }
    };
    let read = postcard::take_from_bytes(body).ok().filter(|(_, rest): &(T, &[u8])| rest.is_empty());
    let read = read.map(|(message, _)| message).ok_or(Bad::Malformed)?;
    input.advance(HEAD + length);
    Ok(Some(read))
}
