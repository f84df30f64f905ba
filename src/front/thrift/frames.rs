//! Splits the input into frames: a length of four bytes, followed by a message of that many bytes.

use super::codec::{self, Method, LENGTH_BYTES};
use super::limits::MAX_FRAME_BYTES;
use super::SequenceId;
use crate::net::Reason;
use bytes::{Buf, Bytes, BytesMut};

/// Removes the next frame from the input and returns its message; `None` if it is not complete.
///
/// # Errors
///
/// The length is negative, or above [`MAX_FRAME_BYTES`].
pub(super) fn next_frame(input: &mut BytesMut) -> Result<Option<Bytes>, Reason> {
    let Some(length) = message_length(input)?.filter(|length| LENGTH_BYTES + length <= input.len()) else {
        return Ok(None);
    };
    input.advance(LENGTH_BYTES);
    Ok(Some(input.split_to(length).freeze()))
}

/// Returns the length of the first frame's message; `None` if the length itself is not complete.
///
/// # Errors
///
/// The length is negative, or above [`MAX_FRAME_BYTES`].
pub(super) fn message_length(input: &[u8]) -> Result<Option<usize>, Reason> {
    let Some(prefix) = input.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = usize::try_from(i32::from_be_bytes(*prefix)).map_err(|_| Reason::BadMessage)?;
    if length > MAX_FRAME_BYTES {
        return Err(Reason::Oversize);
    }
    Ok(Some(length))
}

/// Returns the sequence numbers that complete messages of the input cancel. The search starts after the first
/// `scanned` bytes, which were searched before, and advances `scanned` past the messages that it has
/// searched.
pub(super) fn find_cancellations(input: &[u8], scanned: &mut usize) -> Vec<SequenceId> {
    let mut cancelled = Vec::new();
    while let Some((prefix, rest)) = input.get(*scanned..).and_then(<[u8]>::split_first_chunk::<LENGTH_BYTES>)
    {
        let length = usize::try_from(i32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
        let Some(message) = rest.get(..length) else { break };
        let call = codec::decode_call(Bytes::copy_from_slice(message));
        if let Ok(codec::Call { method: Method::Abort(seqid), .. }) = call {
            cancelled.push(seqid);
        }
        *scanned += LENGTH_BYTES + length;
    }
    cancelled
}
