//! A client of the Thrift front, with framed transport and strict binary protocol. It implements only what is
//! needed to call `ping`, `invoke` and `abort` and to distinguish the kinds of answer.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Field types on the wire.
mod field_type {
    pub const STOP: u8 = 0;
    pub const BOOL: u8 = 2;
    pub const I32: u8 = 8;
    pub const STRING: u8 = 11;
    pub const STRUCT: u8 = 12;
    pub const MAP: u8 = 13;
}

/// First bytes of a message: protocol version 1 and the message type.
const CALL_HEADER: [u8; 4] = [0x80, 1, 0, 1];
const REPLY_HEADER: [u8; 4] = [0x80, 1, 0, 2];
const EXCEPTION_TYPE: u8 = 3;
const ONEWAY_TYPE: u8 = 4;
/// Offset of the message type in a frame. It is the last byte of the version, which follows the frame's
/// length.
const MESSAGE_TYPE_OFFSET: usize = 7;
/// Maximum size of an answer that is read from a stream; the rest of a longer frame is not read.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// The kind of an answer, determined by the field that is set in the result struct.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// `Answer` of `invoke`, or the result of `ping`.
    Served,
    /// `Trylater`: the request was rejected, and a retry does no harm.
    Rejected,
    /// `Aborted`, or an application exception of Thrift.
    Failed,
}

impl AnswerKind {
    /// Returns the kind by the number of the field that is set in the result struct.
    fn by_field(number: u8) -> Self {
        match number {
            0 => AnswerKind::Served,
            1 => AnswerKind::Rejected,
            _ => AnswerKind::Failed,
        }
    }
}

fn put_length(bytes: &mut Vec<u8>, length: usize) {
    bytes.extend((length as i32).to_be_bytes());
}

fn put_string(bytes: &mut Vec<u8>, string: &[u8]) {
    put_length(bytes, string.len());
    bytes.extend(string);
}

fn message(name: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    let mut message = CALL_HEADER.to_vec();
    put_string(&mut message, name.as_bytes());
    message.extend(seqid.to_be_bytes());
    message.extend(arguments);
    message.push(field_type::STOP);
    let mut frame = Vec::new();
    put_string(&mut frame, &message);
    frame
}

/// Returns the frame of a `ping` call.
pub fn ping(seqid: i32) -> Vec<u8> {
    message("ping", seqid, &[field_type::BOOL, 0, 1, 0])
}

/// Returns the frame of an `invoke` call with these fields and body.
pub fn invoke(seqid: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut arguments = vec![field_type::MAP, 0, 1, field_type::STRING, field_type::STRING];
    put_length(&mut arguments, fields.len());
    for (name, value) in fields {
        put_string(&mut arguments, name.as_bytes());
        put_string(&mut arguments, value.as_bytes());
    }
    arguments.extend([field_type::STRING, 0, 2]);
    put_string(&mut arguments, body);
    message("invoke", seqid, &arguments)
}

/// Returns the frame of an `abort` call, which cancels the call with the sequence number `aborted_seqid`. It
/// is a one-way message, which gets no answer.
pub fn abort(seqid: i32, aborted_seqid: i32) -> Vec<u8> {
    let mut frame =
        message("abort", seqid, &[&[field_type::I32, 0, 1][..], &aborted_seqid.to_be_bytes()].concat());
    frame[MESSAGE_TYPE_OFFSET] = ONEWAY_TYPE;
    frame
}

/// A parsed answer of the Thrift front.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Sequence number of the request that is answered.
    pub seqid: i32,
    /// Whether the request was served, rejected or failed.
    pub kind: AnswerKind,
    /// Served bytes; empty if the answer has none.
    pub body: Vec<u8>,
    /// Names and values of the answer's fields, in the order on the wire.
    pub fields: Vec<(String, String)>,
}

/// Why a frame is not a valid answer of the Thrift front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// A length is negative.
    #[error("a length in the answer is negative")]
    NegativeLength,
    /// The frame ends in the middle of a value.
    #[error("the answer ends in the middle of a value")]
    CutOff,
    /// The result contains no struct.
    #[error("the result of the answer contains no struct")]
    NoStruct,
    /// A field has a type that does not occur in answers.
    #[error("a field of the answer has an unknown type")]
    FieldType,
    /// A text is not UTF-8.
    #[error("a text in the answer is not UTF-8")]
    NotUtf8,
}

/// Removes the next answer from the received bytes and returns it; `None` if it is not complete yet.
///
/// # Errors
///
/// The frame is not a valid answer of the Thrift front.
pub fn take_answer(input: &mut Vec<u8>) -> Result<Option<Answer>, AnswerError> {
    let Some(length) = input.first_chunk::<4>().map(|length| i32::from_be_bytes(*length)) else {
        return Ok(None);
    };
    let length = usize::try_from(length).map_err(|_| AnswerError::NegativeLength)?;
    if input.len() < 4 + length {
        return Ok(None);
    }
    let frame: Vec<u8> = input.drain(..4 + length).skip(4).collect();
    FrameReader(&frame).read_answer().map(Some)
}

/// Parses a frame from its start; holds the bytes that are not parsed yet.
struct FrameReader<'a>(&'a [u8]);

impl<'a> FrameReader<'a> {
    fn read_answer(&mut self) -> Result<Answer, AnswerError> {
        let version = self.bytes(4)?;
        self.text()?;
        let seqid = self.number()?;
        let mut answer = Answer { seqid, kind: AnswerKind::Failed, body: Vec::new(), fields: Vec::new() };
        if version != REPLY_HEADER {
            return Ok(answer); // an application exception
        }
        let &[field_type::STRUCT, 0, field] = self.bytes(3)? else { return Err(AnswerError::NoStruct) };
        answer.kind = AnswerKind::by_field(field);
        while self.struct_field(&mut answer)? {}
        Ok(answer)
    }

    /// Reads one field of the result struct; returns `false` at the end of the struct.
    fn struct_field(&mut self, answer: &mut Answer) -> Result<bool, AnswerError> {
        let kind = self.byte()?;
        if kind == field_type::STOP {
            return Ok(false);
        }
        let _number = self.bytes(2)?;
        match kind {
            field_type::BOOL => drop(self.byte()?),
            field_type::STRING => answer.body = self.string()?.to_vec(),
            field_type::MAP => {
                let _types = self.bytes(2)?;
                for _ in 0..self.number()? {
                    answer.fields.push((self.text()?, self.text()?));
                }
            }
            _ => return Err(AnswerError::FieldType),
        }
        Ok(true)
    }

    fn bytes(&mut self, count: usize) -> Result<&'a [u8], AnswerError> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(AnswerError::CutOff)?;
        self.0 = rest;
        Ok(taken)
    }

    fn byte(&mut self) -> Result<u8, AnswerError> {
        let (byte, rest) = self.0.split_first().ok_or(AnswerError::CutOff)?;
        self.0 = rest;
        Ok(*byte)
    }

    fn number(&mut self) -> Result<i32, AnswerError> {
        let bytes = self.bytes(4)?.first_chunk::<4>().ok_or(AnswerError::CutOff)?;
        Ok(i32::from_be_bytes(*bytes))
    }

    fn string(&mut self) -> Result<&'a [u8], AnswerError> {
        let length = usize::try_from(self.number()?).map_err(|_| AnswerError::NegativeLength)?;
        self.bytes(length)
    }

    fn text(&mut self) -> Result<String, AnswerError> {
        String::from_utf8(self.string()?.to_vec()).map_err(|_| AnswerError::NotUtf8)
    }
}

/// Reads one answer from a connection and returns its sequence number and kind.
///
/// # Errors
///
/// The connection has ended or failed, or the frame is not a valid answer.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<(i32, AnswerKind)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = usize::try_from(i32::from_be_bytes(length)).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut frame = vec![0; length.min(MAX_ANSWER_BYTES)];
    stream.read_exact(&mut frame)?;
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    let name = frame.get(4..8).ok_or_else(bad)?;
    let name = u32::from_be_bytes(name.try_into().map_err(|_| bad())?) as usize;
    let rest = frame.get(8 + name..).filter(|rest| rest.len() >= 7).ok_or_else(bad)?;
    let seqid = i32::from_be_bytes(rest[..4].try_into().map_err(|_| bad())?);
    let kind = match frame[3] {
        EXCEPTION_TYPE => AnswerKind::Failed,
        _ => AnswerKind::by_field(rest[6]),
    };
    Ok((seqid, kind))
}

/// Writes a frame to a connection.
///
/// # Errors
///
/// The connection has failed.
pub fn send(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_all(frame)
}
