//! Encoding of replies.

use super::format::{
    answer, exception, field_type, message_type, method, result, LENGTH_BYTES, REJECTION_FIELDS,
    RETRY_AFTER_FIELD, VERSION,
};
use crate::front::thrift::SequenceId;
use crate::interface::Span;
use bytes::{BufMut, Bytes, BytesMut};

/// Initial capacity for the part of a frame before the body, in bytes; most frames fit.
const HEAD_CAPACITY: usize = 64;

/// A reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ThriftReply {
    /// The result `Answer` of `invoke`: the request was served.
    Answer {
        /// The object's content.
        body: Bytes,
        /// The fields of the answer, as pairs of name and value.
        fields: Vec<(&'static str, String)>,
    },
    /// The result `Answer` of `ping`: whether the edge proxy is ready.
    Pong(bool),
    /// The result `Trylater`: the request was rejected.
    Rejected {
        /// Retry-After: how long the client should wait. Below 1 ms, the reply has none.
        retry_after: Span,
    },
    /// The result `Aborted`: the request failed.
    Failed,
    /// An application exception.
    Exception {
        /// The name of the method that was called.
        name: String,
        /// The type of the exception.
        kind: ExceptionKind,
        /// The message of the exception.
        text: String,
    },
}

impl ThriftReply {
    fn message_type(&self) -> u32 {
        match self {
            ThriftReply::Exception { .. } => message_type::EXCEPTION,
            _ => message_type::REPLY,
        }
    }

    fn method_name(&self) -> &str {
        match self {
            ThriftReply::Exception { name, .. } => name,
            ThriftReply::Pong(_) => method::PING,
            _ => method::INVOKE,
        }
    }
}

/// The types of Thrift application exceptions that are sent, with their numbers in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceptionKind {
    /// The service has no such method.
    UnknownMethod = 1,
    /// The arguments cannot be decoded or are not valid.
    ProtocolError = 7,
}

/// Encodes the frame of a reply, in parts, so that the object's content is not copied.
pub fn encode_reply(seqid: SequenceId, reply: ThriftReply) -> [Bytes; 3] {
    let mut frame = FrameWriter::new(seqid, &reply);
    match reply {
        ThriftReply::Answer { body, fields } => frame.put_answer(body, &fields, true),
        ThriftReply::Pong(is_ready) => frame.put_answer(Bytes::new(), &[], is_ready),
        ThriftReply::Rejected { retry_after } => {
            let millis = retry_after.as_millis();
            let field = (millis > 0).then(|| (RETRY_AFTER_FIELD, millis.to_string()));
            frame.put_rejection(result::TRY_LATER, field.as_slice());
        }
        ThriftReply::Failed => frame.put_rejection(result::ABORTED, &[]),
        ThriftReply::Exception { kind, text, .. } => frame.put_exception(kind, &text),
    }
    frame.finish()
}

/// Builds the frame of a reply: `head`, `body` and `tail` are sent one after the other.
struct FrameWriter {
    head: BytesMut,
    body: Bytes,
    tail: BytesMut,
}

impl FrameWriter {
    fn new(seqid: SequenceId, reply: &ThriftReply) -> Self {
        let mut head = BytesMut::with_capacity(HEAD_CAPACITY);
        head.put_bytes(0, LENGTH_BYTES); // replaced by the length in `finish`
        head.put_u32(VERSION | reply.message_type());
        put_text(&mut head, reply.method_name());
        head.put_i32(seqid.0);
        FrameWriter { head, body: Bytes::new(), tail: BytesMut::new() }
    }

    fn put_answer(&mut self, body: Bytes, fields: &[(&'static str, String)], is_good: bool) {
        put_field(&mut self.head, field_type::STRUCT, result::SUCCESS);
        put_field(&mut self.head, field_type::STRING, answer::BODY);
        self.head.put_i32(body.len() as i32);
        self.body = body;
        put_map(&mut self.tail, answer::FIELDS, fields);
        put_field(&mut self.tail, field_type::BOOL, answer::GOOD);
        self.tail.put_u8(is_good.into());
        put_ends(&mut self.tail);
    }

    fn put_rejection(&mut self, result: i16, fields: &[(&'static str, String)]) {
        put_field(&mut self.head, field_type::STRUCT, result);
        put_map(&mut self.head, REJECTION_FIELDS, fields);
        put_ends(&mut self.head);
    }

    fn put_exception(&mut self, kind: ExceptionKind, text: &str) {
        put_field(&mut self.head, field_type::STRING, exception::MESSAGE);
        put_text(&mut self.head, text);
        put_field(&mut self.head, field_type::I32, exception::KIND);
        self.head.put_i32(kind as i32);
        self.head.put_u8(field_type::STOP);
    }

    fn finish(mut self) -> [Bytes; 3] {
        let length = (self.head.len() + self.body.len() + self.tail.len() - LENGTH_BYTES) as u32;
        self.head[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        [self.head.freeze(), self.body, self.tail.freeze()]
    }
}

/// Writes the ends of the inner struct and of the result.
fn put_ends(out: &mut BytesMut) {
    out.put_slice(&[field_type::STOP, field_type::STOP]);
}

fn put_text(out: &mut BytesMut, text: &str) {
    out.put_i32(text.len() as i32);
    out.put_slice(text.as_bytes());
}

fn put_field(out: &mut BytesMut, value_type: u8, number: i16) {
    out.put_u8(value_type);
    out.put_i16(number);
}

fn put_map(out: &mut BytesMut, number: i16, fields: &[(&'static str, String)]) {
    put_field(out, field_type::MAP, number);
    out.put_slice(&[field_type::STRING, field_type::STRING]);
    out.put_i32(fields.len() as i32);
    for (name, value) in fields {
        put_text(out, name);
        put_text(out, value);
    }
}
