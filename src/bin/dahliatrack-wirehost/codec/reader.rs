//! Reads numbers, times and ids from a section of a frame.

use super::error::CodecError;
use dahliatrack::{Instant, RequestId, ServerId, Span};

/// The largest absolute value of a time on the wire, in milliseconds.
const MAX_TIME_MS: f64 = 1e15;

/// A section of a frame that is being read.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Position of the section's first byte in the frame.
    frame_offset: usize,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8], frame_offset: usize) -> Self {
        Reader { bytes, position: 0, frame_offset }
    }

    /// Returns the position of the next byte in the frame.
    pub fn frame_position(&self) -> usize {
        self.frame_offset + self.position
    }

    /// Returns the number of bytes that are not read yet.
    pub fn remaining(&self) -> usize {
        self.bytes.len() - self.position
    }

    pub fn bytes(&mut self, count: usize) -> Result<&'a [u8], CodecError> {
        let left = self.remaining();
        if count > left {
            return Err(CodecError::Truncated { wanted: count, at: self.frame_position(), left });
        }
        let start = self.position;
        self.position += count;
        Ok(&self.bytes[start..self.position])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], CodecError> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N)?);
        Ok(array)
    }

    pub fn u8(&mut self) -> Result<u8, CodecError> {
        self.array().map(u8::from_le_bytes)
    }

    pub fn u16(&mut self) -> Result<u16, CodecError> {
        self.array().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, CodecError> {
        self.array().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, CodecError> {
        self.array().map(u64::from_le_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, CodecError> {
        self.array().map(f32::from_le_bytes)
    }

    pub fn f64(&mut self) -> Result<f64, CodecError> {
        self.array().map(f64::from_le_bytes)
    }

    pub fn flag(&mut self) -> Result<bool, CodecError> {
        Ok(self.u8()? != 0)
    }

    /// Reads a count of bytes or entries, which takes 4 bytes.
    pub fn count(&mut self) -> Result<usize, CodecError> {
        Ok(self.u32()? as usize)
    }

    pub fn span(&mut self) -> Result<Span, CodecError> {
        let millis = self.f64()?;
        if millis.is_nan() || millis.abs() > MAX_TIME_MS {
            return Err(CodecError::Time(millis));
        }
        Ok(Span::from_millis_f64(millis))
    }

    pub fn instant(&mut self) -> Result<Instant, CodecError> {
        Ok(Instant::ZERO + self.span()?)
    }

    pub fn request_id(&mut self) -> Result<RequestId, CodecError> {
        self.u64().map(RequestId)
    }

    pub fn server_id(&mut self) -> Result<ServerId, CodecError> {
        self.u32().map(ServerId)
    }
}
