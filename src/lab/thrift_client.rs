//! A client of the platform's front in a few functions: framed Thrift, strict binary protocol (see the protocol
//! page), enough to ping, invoke and tell the kinds of answer apart.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// The kind of an answer, by the field of the result struct that it sets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answered {
    /// `Answer` of `invoke`, or of `ping`.
    Served,
    /// `Trylater`: refused, trying again is harmless.
    Refused,
    /// `Aborted`, or an application exception.
    Failed,
}

fn text(bytes: &mut Vec<u8>, text: &str) {
    bytes.extend((text.len() as i32).to_be_bytes());
    bytes.extend(text.as_bytes());
}

fn message(name: &str, seqid: i32, arguments: &[u8]) -> Vec<u8> {
    let mut head = vec![0x80, 1, 0, 1];
    text(&mut head, name);
    head.extend(seqid.to_be_bytes());
    head.extend(arguments);
    head.push(0);
    [&(head.len() as i32).to_be_bytes()[..], &head].concat()
}

/// The frame of a `ping`.
pub fn ping(seqid: i32) -> Vec<u8> {
    message("ping", seqid, &[2, 0, 1, 0])
}

/// The frame of an `invoke` with these fields and body.
pub fn invoke(seqid: i32, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut arguments = vec![13, 0, 1, 11, 11];
    arguments.extend((fields.len() as i32).to_be_bytes());
    for (name, value) in fields {
        text(&mut arguments, name);
        text(&mut arguments, value);
    }
    arguments.extend([11, 0, 2]);
    arguments.extend((body.len() as i32).to_be_bytes());
    arguments.extend(body);
    message("invoke", seqid, &arguments)
}

/// Reads one answer: its sequence number and kind.
///
/// # Errors
///
/// The connection ended or broke, or the frame is not an answer.
pub fn answer(stream: &mut TcpStream) -> io::Result<(i32, Answered)> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = usize::try_from(i32::from_be_bytes(length)).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut frame = vec![0; length.min(1 << 20)];
    stream.read_exact(&mut frame)?;
    let bad = || io::Error::from(io::ErrorKind::InvalidData);
    let name = frame.get(4..8).ok_or_else(bad)?;
    let name = u32::from_be_bytes(name.try_into().map_err(|_| bad())?) as usize;
    let rest = frame.get(8 + name..).filter(|rest| rest.len() >= 7).ok_or_else(bad)?;
    let seqid = i32::from_be_bytes(rest[..4].try_into().map_err(|_| bad())?);
    let kind = match (frame[3], rest[6]) {
        (3, _) => Answered::Failed,
        (_, 0) => Answered::Served,
        (_, 1) => Answered::Refused,
        _ => Answered::Failed,
    };
    Ok((seqid, kind))
}

/// Writes a frame.
///
/// # Errors
///
/// The connection broke.
pub fn send(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_all(frame)
}
