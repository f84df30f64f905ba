//! Thrift's strict binary protocol in frames, as far as the service `Front` needs it.

use bytes::{BufMut, Bytes, BytesMut};
use std::collections::BTreeMap;

/// The version bits of the strict protocol.
const VERSION: u32 = 0x8001_0000;
/// Structs and containers in unknown fields may nest this deep.
const DEEPEST: u32 = 16;
/// Bytes of a frame's length.
pub const PREFIX: usize = 4;

const STOP: u8 = 0;
const BOOL: u8 = 2;
const I32: u8 = 8;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// A call, with its sequence number.
#[derive(Debug, PartialEq, Eq)]
pub struct Call {
    /// The sequence number.
    pub seqid: i32,
    /// The name under which it is called, and answered.
    pub name: String,
    /// What is called.
    pub method: Method,
}

/// What is called.
#[derive(Debug, PartialEq, Eq)]
pub enum Method {
    /// A request.
    Invoke {
        /// Its fields.
        fields: BTreeMap<String, String>,
        /// Its body.
        body: Bytes,
    },
    /// The client stops waiting for a request.
    Abort(i32),
    /// Whether this edge proxy is ready.
    Ping,
    /// A method of no known name.
    Unknown,
    /// Arguments that can't be read.
    Malformed(&'static str),
}

/// A message whose head can't be read: there is no sequence number to answer under.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a message can't be read: {0}")]
pub struct MalformedMessage(pub &'static str);

struct Reader {
    bytes: Bytes,
}

type Read<T> = Result<T, MalformedMessage>;

impl Reader {
    fn take(&mut self, n: usize) -> Read<Bytes> {
        if n > self.bytes.len() {
            return Err(MalformedMessage("a message ends early"));
        }
        Ok(self.bytes.split_to(n))
    }

    fn u8(&mut self) -> Read<u8> {
        Ok(self.take(1)?[0])
    }

    fn i16(&mut self) -> Read<i16> {
        let bytes = self.take(2)?;
        Ok(i16::from_be_bytes([bytes[0], bytes[1]]))
    }

    fn i32(&mut self) -> Read<i32> {
        let bytes = self.take(4)?;
        Ok(i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn length(&mut self) -> Read<usize> {
        usize::try_from(self.i32()?).map_err(|_| MalformedMessage("a negative length"))
    }

    fn binary(&mut self) -> Read<Bytes> {
        let n = self.length()?;
        self.take(n)
    }

    fn text(&mut self) -> Read<String> {
        String::from_utf8(self.binary()?.to_vec()).map_err(|_| MalformedMessage("a string is not UTF-8"))
    }

    fn map(&mut self) -> Read<BTreeMap<String, String>> {
        let (key, value, n) = (self.u8()?, self.u8()?, self.length()?);
        if n > 0 && (key, value) != (STRING, STRING) {
            return Err(MalformedMessage("a map is not of strings"));
        }
        // Each pair takes eight bytes at least, so a huge count ends early.
        (0..n).map(|_| Ok((self.text()?, self.text()?))).collect()
    }

    fn skip(&mut self, kind: u8, depth: u32) -> Read<()> {
        if depth > DEEPEST {
            return Err(MalformedMessage("a value nests too deep"));
        }
        match kind {
            BOOL | 3 => self.take(1).map(drop),
            6 => self.take(2).map(drop),
            I32 => self.take(4).map(drop),
            4 | 10 => self.take(8).map(drop),
            STRING => self.binary().map(drop),
            STRUCT => loop {
                match self.u8()? {
                    STOP => break Ok(()),
                    kind => {
                        self.i16()?;
                        self.skip(kind, depth + 1)?;
                    }
                }
            },
            MAP => {
                let (key, value, n) = (self.u8()?, self.u8()?, self.length()?);
                self.many(n, |reader| {
                    reader.skip(key, depth + 1)?;
                    reader.skip(value, depth + 1)
                })
            }
            14 | 15 => {
                let (kind, n) = (self.u8()?, self.length()?);
                self.many(n, |reader| reader.skip(kind, depth + 1))
            }
            _ => Err(MalformedMessage("an unknown type")),
        }
    }

    fn many(&mut self, n: usize, mut one: impl FnMut(&mut Self) -> Read<()>) -> Read<()> {
        // Every value takes a byte at least: a count past that is a lie, and is not walked through.
        if n > self.bytes.len() {
            return Err(MalformedMessage("a message ends early"));
        }
        (0..n).try_for_each(|_| one(self))
    }

    /// Reads a struct's fields; `one` takes those that it knows and says so.
    fn fields(&mut self, mut one: impl FnMut(&mut Self, i16, u8) -> Read<bool>) -> Read<()> {
        loop {
            let kind = self.u8()?;
            if kind == STOP {
                return Ok(());
            }
            let id = self.i16()?;
            if !one(self, id, kind)? {
                self.skip(kind, 0)?;
            }
        }
    }

    fn invoke(&mut self) -> Read<Method> {
        let (mut map, mut body) = (None, Bytes::new());
        self.fields(|reader, id, kind| {
            match (id, kind) {
                (1, MAP) => map = Some(reader.map()?),
                (2, STRING) => body = reader.binary()?,
                _ => return Ok(false),
            }
            Ok(true)
        })?;
        Ok(Method::Invoke { fields: map.ok_or(MalformedMessage("no fields"))?, body })
    }

    fn abort(&mut self) -> Read<Method> {
        let mut target = None;
        self.fields(|reader, id, kind| {
            let known = (id, kind) == (1, I32);
            if known {
                target = Some(reader.i32()?);
            }
            Ok(known)
        })?;
        Ok(Method::Abort(target.ok_or(MalformedMessage("no seqid"))?))
    }
}

/// Reads a frame's message.
///
/// # Errors
///
/// Its head can't be read. Arguments that can't be read are [`Method::Malformed`].
pub fn call(frame: Bytes) -> Result<Call, MalformedMessage> {
    let mut reader = Reader { bytes: frame };
    let version = reader.i32()? as u32;
    if version & 0xffff_0000 != VERSION {
        return Err(MalformedMessage("not the strict protocol"));
    }
    if !matches!(version & 0xff, 1 | 4) {
        return Err(MalformedMessage("not a call"));
    }
    let name = reader.text()?;
    let seqid = reader.i32()?;
    let method = match name.as_str() {
        "invoke" => reader.invoke(),
        // It is one-way: there is nothing to answer, not even that it can't be read.
        "abort" => Ok(reader.abort()?),
        "ping" => reader.fields(|_, _, _| Ok(false)).map(|()| Method::Ping),
        _ => Ok(Method::Unknown),
    };
    Ok(Call { seqid, name, method: method.unwrap_or_else(|MalformedMessage(why)| Method::Malformed(why)) })
}

/// An answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ThriftReply {
    /// `Answer` of `invoke`.
    Answer {
        /// The object's bytes.
        body: Bytes,
        /// Its fields.
        fields: Vec<(&'static str, String)>,
    },
    /// `Answer` of `ping`.
    Pong(bool),
    /// `Trylater`.
    Rejected {
        /// How long the client should stay away, in milliseconds; 0: not said.
        pause: i64,
    },
    /// `Aborted`.
    Failed,
    /// An application exception.
    Exception {
        /// The name of what was called.
        name: String,
        /// Its type: 1 an unknown method, 7 a protocol error.
        kind: i32,
        /// What is wrong.
        text: String,
    },
}

fn put_text(out: &mut BytesMut, text: &str) {
    out.put_i32(text.len() as i32);
    out.put_slice(text.as_bytes());
}

fn put_field(out: &mut BytesMut, kind: u8, id: i16) {
    out.put_u8(kind);
    out.put_i16(id);
}

fn put_map(out: &mut BytesMut, id: i16, fields: &[(&'static str, String)]) {
    put_field(out, MAP, id);
    out.put_slice(&[STRING, STRING]);
    out.put_i32(fields.len() as i32);
    for (name, value) in fields {
        put_text(out, name);
        put_text(out, value);
    }
}

/// An answer's frame, in parts: the object's bytes are passed on without another copy.
pub fn reply(seqid: i32, reply: ThriftReply) -> [Bytes; 3] {
    let mut head = BytesMut::with_capacity(64);
    head.put_i32(0); // the length, once it is known
    let (kind, name) = match &reply {
        ThriftReply::Exception { name, .. } => (3, name.as_str()),
        ThriftReply::Pong(_) => (2, "ping"),
        _ => (2, "invoke"),
    };
    head.put_u32(VERSION | kind);
    put_text(&mut head, name);
    head.put_i32(seqid);
    let (mut bytes, mut tail) = (Bytes::new(), BytesMut::new());
    let mut answer = |head: &mut BytesMut, body: Bytes, fields: &[(&'static str, String)], good: bool| {
        put_field(head, STRUCT, 0);
        put_field(head, STRING, 1);
        head.put_i32(body.len() as i32);
        bytes = body;
        put_map(&mut tail, 2, fields);
        put_field(&mut tail, BOOL, 3);
        tail.put_slice(&[good.into(), STOP, STOP]);
    };
    match reply {
        ThriftReply::Answer { body, fields } => answer(&mut head, body, &fields, true),
        ThriftReply::Pong(good) => answer(&mut head, Bytes::new(), &[], good),
        ThriftReply::Rejected { pause } => {
            put_field(&mut head, STRUCT, 1);
            let fields = if pause > 0 { vec![("pause", pause.to_string())] } else { Vec::new() };
            put_map(&mut head, 1, &fields);
            head.put_slice(&[STOP, STOP]);
        }
        ThriftReply::Failed => {
            put_field(&mut head, STRUCT, 2);
            put_map(&mut head, 1, &[]);
            head.put_slice(&[STOP, STOP]);
        }
        ThriftReply::Exception { kind, text, .. } => {
            put_field(&mut head, STRING, 1);
            put_text(&mut head, &text);
            put_field(&mut head, I32, 2);
            head.put_i32(kind);
            head.put_u8(STOP);
        }
    }
    let length = (head.len() + bytes.len() + tail.len() - PREFIX) as u32;
    head[..PREFIX].copy_from_slice(&length.to_be_bytes());
    [head.freeze(), bytes, tail.freeze()]
}

#[cfg(test)]
mod tests;
