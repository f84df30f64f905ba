//! The platform's protocol: framed Thrift, strict binary protocol.

const VERSION_CALL: u32 = 0x8001_0001;
const TYPE_REPLY: u32 = 2;
const STOP: u8 = 0;
const BOOL: u8 = 2;
const STRING: u8 = 11;
const STRUCT: u8 = 12;
const MAP: u8 = 13;

/// An answer of the edge proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served { body: Vec<u8>, is_current: bool, is_good: bool },
    Refused,
    Failed,
}

impl Answer {
    pub fn name(&self) -> &'static str {
        match self {
            Answer::Served { .. } => "served",
            Answer::Refused => "refused",
            Answer::Failed => "failed",
        }
    }
}

fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend((text.len() as u32).to_be_bytes());
    out.extend(text);
}

fn frame(message: Vec<u8>) -> Vec<u8> {
    let mut out = (message.len() as u32).to_be_bytes().to_vec();
    out.extend(message);
    out
}

fn call(name: &str, seqid: i32) -> Vec<u8> {
    let mut out = VERSION_CALL.to_be_bytes().to_vec();
    put_text(&mut out, name.as_bytes());
    out.extend(seqid.to_be_bytes());
    out
}

pub fn encode_invoke(seqid: i32, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = call("invoke", seqid);
    out.push(MAP);
    out.extend(1i16.to_be_bytes());
    out.extend([STRING, STRING]);
    out.extend((fields.len() as u32).to_be_bytes());
    for (name, value) in fields {
        put_text(&mut out, name.as_bytes());
        put_text(&mut out, value.as_bytes());
    }
    out.push(STRING);
    out.extend(2i16.to_be_bytes());
    put_text(&mut out, body);
    out.push(STOP);
    frame(out)
}

pub fn encode_ping(seqid: i32) -> Vec<u8> {
    let mut out = call("ping", seqid);
    out.push(BOOL);
    out.extend(1i16.to_be_bytes());
    out.extend([0, STOP]);
    frame(out)
}

/// Reads values from a message; `None` if it ends early.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(taken)
    }

    fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }

    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_be_bytes(self.take(4)?.try_into().ok()?))
    }

    fn binary(&mut self) -> Option<&'a [u8]> {
        let length = self.u32()? as usize;
        self.take(length)
    }

    /// Reads a field's type and number; `None` as the type means the end of the struct.
    fn field(&mut self) -> Option<(u8, i16)> {
        let value_type = self.u8()?;
        if value_type == STOP {
            return Some((STOP, 0));
        }
        Some((value_type, i16::from_be_bytes(self.take(2)?.try_into().ok()?)))
    }

    fn map(&mut self) -> Option<Vec<(String, String)>> {
        self.take(2)?;
        let count = self.u32()?;
        let mut text = || Some(String::from_utf8_lossy(self.binary()?).into_owned());
        (0..count).map(|_| Some((text()?, text()?))).collect()
    }
}

/// Decodes a reply; `None` if it cannot be read.
pub fn decode_reply(message: &[u8]) -> Option<(i32, Answer)> {
    let mut reader = Reader(message);
    let kind = reader.u32()? & 0xff;
    reader.binary()?;
    let seqid = reader.u32()? as i32;
    if kind != TYPE_REPLY {
        return Some((seqid, Answer::Failed)); // an application exception
    }
    let (_, number) = reader.field()?;
    match number {
        1 => return Some((seqid, Answer::Refused)),
        2 => return Some((seqid, Answer::Failed)),
        _ => {}
    }
    let (mut body, mut is_current, mut is_good) = (Vec::new(), false, false);
    loop {
        match reader.field()? {
            (STOP, _) => break,
            (STRING, 1) => body = reader.binary()?.to_vec(),
            (MAP, 2) => {
                is_current = reader.map()?.iter().any(|(name, value)| name == "current" && value == "1")
            }
            (BOOL, 3) => is_good = reader.u8()? == 1,
            (STRUCT, _) | (_, _) => return None,
        }
    }
    Some((seqid, Answer::Served { body, is_current, is_good }))
}

/// Reads one frame from a stream; `None` at its end.
pub fn read_frame(stream: &mut impl std::io::Read) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).ok()?;
    let mut message = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut message).ok()?;
    Some(message)
}
