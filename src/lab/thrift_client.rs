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

/// The frame of an `abort` of another message.
pub fn abort(seqid: i32, of: i32) -> Vec<u8> {
    let mut frame = message("abort", seqid, &[&[8, 0, 1][..], &of.to_be_bytes()].concat());
    frame[7] = 4; // oneway
    frame
}

/// An answer, read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The sequence number that it is for.
    pub seqid: i32,
    /// Its kind.
    pub kind: Answered,
    /// The bytes, where it is served.
    pub body: Vec<u8>,
    /// Its fields.
    pub fields: Vec<(String, String)>,
}

/// Takes the next whole answer out of what has come; `None`: it is not whole yet.
///
/// # Errors
///
/// What is no answer of the platform's front.
pub fn take_answer(input: &mut Vec<u8>) -> Result<Option<Answer>, &'static str> {
    let Some(length) = input.first_chunk::<4>().map(|length| i32::from_be_bytes(*length)) else {
        return Ok(None);
    };
    let length = usize::try_from(length).map_err(|_| "a negative length")?;
    if input.len() < 4 + length {
        return Ok(None);
    }
    let frame: Vec<u8> = input.drain(..4 + length).skip(4).collect();
    let mut rest = Walk(&frame);
    let version = rest.bytes(4)?;
    rest.text()?;
    let seqid = rest.number()?;
    let mut answer = Answer { seqid, kind: Answered::Failed, body: Vec::new(), fields: Vec::new() };
    if version != [0x80, 1, 0, 2] {
        return Ok(Some(answer)); // an application exception
    }
    // The result's one field: a struct, by its number success, refused or failed.
    let &[12, 0, field] = rest.bytes(3)? else { return Err("no struct in the result") };
    answer.kind = match field {
        0 => Answered::Served,
        1 => Answered::Refused,
        _ => Answered::Failed,
    };
    loop {
        match rest.bytes(1)? {
            [0] => return Ok(Some(answer)),
            [kind] => {
                rest.bytes(2)?;
                match kind {
                    2 => drop(rest.bytes(1)?),
                    11 => answer.body = rest.blob()?.to_vec(),
                    13 => {
                        rest.bytes(2)?;
                        for _ in 0..rest.number()? {
                            answer.fields.push((rest.text()?, rest.text()?));
                        }
                    }
                    _ => return Err("a field of no known type"),
                }
            }
            _ => return Err("cut off"),
        }
    }
}

/// Walks over a frame.
struct Walk<'a>(&'a [u8]);

impl<'a> Walk<'a> {
    fn bytes(&mut self, count: usize) -> Result<&'a [u8], &'static str> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or("cut off")?;
        self.0 = rest;
        Ok(taken)
    }

    fn number(&mut self) -> Result<i32, &'static str> {
        let bytes = self.bytes(4)?.first_chunk::<4>().ok_or("cut off")?;
        Ok(i32::from_be_bytes(*bytes))
    }

    fn blob(&mut self) -> Result<&'a [u8], &'static str> {
        let length = usize::try_from(self.number()?).map_err(|_| "a negative length")?;
        self.bytes(length)
    }

    fn text(&mut self) -> Result<String, &'static str> {
        String::from_utf8(self.blob()?.to_vec()).map_err(|_| "not UTF-8")
    }
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
