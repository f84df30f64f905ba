//! Reads frames from the input. Each frame is one batch.

use crate::codec::{BatchHeader, CodecError, HEADER_BYTES};
use std::io::{self, Read};

/// Error of reading a frame.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The input cannot be read.
    #[error(transparent)]
    Input(#[from] io::Error),
    /// The input ends within a header.
    #[error("the input ends after {read} of {HEADER_BYTES} header bytes")]
    TruncatedHeader { read: usize },
    /// The input ends within a frame.
    #[error("the input ends after {read} of {frame_bytes} bytes")]
    TruncatedFrame { read: usize, frame_bytes: usize },
    /// The header is invalid.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// A batch whose header is parsed and whose records are not.
pub struct Frame {
    pub header: BatchHeader,
    pub body: Vec<u8>,
}

impl Frame {
    /// Reads the next frame; `None` if the input ends where a frame would begin.
    pub fn read(input: &mut impl Read) -> Result<Option<Self>, FrameError> {
        let Some(header) = read_header(input)? else { return Ok(None) };
        let header = BatchHeader::parse(&header)?;
        let body_bytes = header.frame_bytes - HEADER_BYTES;
        let mut body = Vec::new();
        input.take(body_bytes as u64).read_to_end(&mut body)?;
        if body.len() < body_bytes {
            let read = HEADER_BYTES + body.len();
            return Err(FrameError::TruncatedFrame { read, frame_bytes: header.frame_bytes });
        }
        Ok(Some(Frame { header, body }))
    }
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; HEADER_BYTES]>, FrameError> {
    let mut header = Vec::with_capacity(HEADER_BYTES);
    input.take(HEADER_BYTES as u64).read_to_end(&mut header)?;
    match <[u8; HEADER_BYTES]>::try_from(header) {
        Ok(header) => Ok(Some(header)),
        Err(partial) if partial.is_empty() => Ok(None),
        Err(partial) => Err(FrameError::TruncatedHeader { read: partial.len() }),
    }
}
