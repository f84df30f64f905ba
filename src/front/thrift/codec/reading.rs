//! Decoding of calls.

use super::error::DecodeError;
use super::format::{argument, field_type, message_type, method, MESSAGE_TYPE_MASK, VERSION, VERSION_MASK};
use crate::front::thrift::SequenceId;
use bytes::Bytes;
use std::collections::BTreeMap;

/// Maximum nesting depth of structs and containers in unknown fields.
const MAX_DEPTH: u32 = 16;

/// A decoded call.
#[derive(Debug, PartialEq, Eq)]
pub struct Call {
    /// The sequence number, which the reply repeats.
    pub seqid: SequenceId,
    /// The method's name, which an exception repeats.
    pub name: String,
    /// The method with its arguments.
    pub method: Method,
}

/// What the first bytes of a call tell of it.
#[derive(Debug, PartialEq, Eq)]
pub struct CallStart {
    /// The sequence number, which the reply repeats.
    pub seqid: SequenceId,
    /// The method's name, which an exception repeats.
    pub name: String,
    /// The fields of the request, if the method is `invoke`; empty if they are not complete.
    pub fields: Option<BTreeMap<String, String>>,
}

/// A method with its arguments.
#[derive(Debug, PartialEq, Eq)]
pub enum Method {
    /// `invoke`: a request.
    Invoke {
        /// The request's fields by name.
        fields: BTreeMap<String, String>,
        /// The request's body; empty if it has none.
        body: Bytes,
    },
    /// `abort`: cancels the request with this sequence number.
    Abort(SequenceId),
    /// `ping`: checks whether the edge proxy is ready.
    Ping,
    /// A method that the service does not have.
    Unknown,
    /// Arguments of `invoke` or `ping` that cannot be decoded.
    Malformed(DecodeError),
}

/// Decodes the message of a frame.
///
/// # Errors
///
/// The message's head cannot be decoded, so no sequence number is known for an answer, or it is an `abort`
/// with invalid arguments. Other arguments that cannot be decoded give [`Method::Malformed`].
pub fn decode_call(frame: Bytes) -> Result<Call, DecodeError> {
    let mut reader = Reader { bytes: frame };
    let (name, seqid) = reader.call_head()?;
    let method = match name.as_str() {
        method::INVOKE => reader.invoke_arguments(),
        // `abort` is one-way, so invalid arguments cannot be answered with an exception: the whole message
        // fails.
        method::ABORT => Ok(reader.abort_arguments()?),
        method::PING => reader.fields(|_, _, _| Ok(FieldUse::Unknown)).map(|()| Method::Ping),
        _ => Ok(Method::Unknown),
    };
    Ok(Call { seqid, name, method: method.unwrap_or_else(Method::Malformed) })
}

/// Decodes as much as possible of a message of which only the first bytes are known.
///
/// # Errors
///
/// The message's head is not complete or cannot be decoded, so no sequence number is known for an answer.
pub fn decode_call_start(start: Bytes) -> Result<CallStart, DecodeError> {
    let mut reader = Reader { bytes: start };
    let (name, seqid) = reader.call_head()?;
    let is_request = name == method::INVOKE;
    let fields = is_request.then(|| {
        let mut arguments = InvokeArguments::default();
        // The error tells only that the rest of the message is missing.
        let _ = reader.read_invoke_arguments(&mut arguments);
        arguments.fields.unwrap_or_default()
    });
    Ok(CallStart { seqid, name, fields })
}

/// The arguments of `invoke`, as far as they were read.
#[derive(Default)]
struct InvokeArguments {
    fields: Option<BTreeMap<String, String>>,
    body: Bytes,
}

/// Whether a field was read.
#[derive(PartialEq, Eq)]
enum FieldUse {
    Read,
    Unknown,
}

/// Reads values from the rest of a message.
struct Reader {
    bytes: Bytes,
}

impl Reader {
    fn take(&mut self, count: usize) -> Result<Bytes, DecodeError> {
        if count > self.bytes.len() {
            return Err(DecodeError::Truncated);
        }
        Ok(self.bytes.split_to(count))
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let bytes = self.take(N)?;
        bytes.first_chunk().copied().ok_or(DecodeError::Truncated)
    }

    fn u8(&mut self) -> Result<u8, DecodeError> {
        self.array().map(u8::from_be_bytes)
    }

    fn i16(&mut self) -> Result<i16, DecodeError> {
        self.array().map(i16::from_be_bytes)
    }

    fn i32(&mut self) -> Result<i32, DecodeError> {
        self.array().map(i32::from_be_bytes)
    }

    fn length(&mut self) -> Result<usize, DecodeError> {
        usize::try_from(self.i32()?).map_err(|_| DecodeError::NegativeLength)
    }

    fn binary(&mut self) -> Result<Bytes, DecodeError> {
        let length = self.length()?;
        self.take(length)
    }

    fn text(&mut self) -> Result<String, DecodeError> {
        String::from_utf8(self.binary()?.to_vec()).map_err(|_| DecodeError::InvalidUtf8)
    }

    fn string_map(&mut self) -> Result<BTreeMap<String, String>, DecodeError> {
        let (key_type, value_type, count) = (self.u8()?, self.u8()?, self.length()?);
        if count > 0 && (key_type, value_type) != (field_type::STRING, field_type::STRING) {
            return Err(DecodeError::MapNotOfStrings);
        }
        // Each pair takes at least eight bytes, so too large a count fails early with `Truncated`.
        (0..count).map(|_| Ok((self.text()?, self.text()?))).collect()
    }

    /// Reads the fields of a struct. `read_field` reads those whose number and type it knows; the others are
    /// skipped.
    fn fields(
        &mut self,
        mut read_field: impl FnMut(&mut Self, i16, u8) -> Result<FieldUse, DecodeError>,
    ) -> Result<(), DecodeError> {
        loop {
            let value_type = self.u8()?;
            if value_type == field_type::STOP {
                return Ok(());
            }
            let number = self.i16()?;
            if read_field(self, number, value_type)? == FieldUse::Unknown {
                self.skip(value_type, 0)?;
            }
        }
    }

    /// Reads what precedes the arguments: the method's name and the sequence number.
    fn call_head(&mut self) -> Result<(String, SequenceId), DecodeError> {
        let first_word = self.i32()? as u32;
        if first_word & VERSION_MASK != VERSION {
            return Err(DecodeError::NotStrictProtocol);
        }
        if !matches!(first_word & MESSAGE_TYPE_MASK, message_type::CALL | message_type::ONEWAY) {
            return Err(DecodeError::NotACall);
        }
        Ok((self.text()?, SequenceId(self.i32()?)))
    }

    fn invoke_arguments(&mut self) -> Result<Method, DecodeError> {
        let mut arguments = InvokeArguments::default();
        self.read_invoke_arguments(&mut arguments)?;
        let InvokeArguments { fields, body } = arguments;
        Ok(Method::Invoke { fields: fields.ok_or(DecodeError::MissingFields)?, body })
    }

    fn read_invoke_arguments(&mut self, into: &mut InvokeArguments) -> Result<(), DecodeError> {
        self.fields(|reader, number, value_type| {
            match (number, value_type) {
                (argument::FIELDS, field_type::MAP) => into.fields = Some(reader.string_map()?),
                (argument::BODY, field_type::STRING) => into.body = reader.binary()?,
                _ => return Ok(FieldUse::Unknown),
            }
            Ok(FieldUse::Read)
        })
    }

    fn abort_arguments(&mut self) -> Result<Method, DecodeError> {
        let mut target = None;
        self.fields(|reader, number, value_type| {
            if (number, value_type) != (argument::TARGET, field_type::I32) {
                return Ok(FieldUse::Unknown);
            }
            target = Some(SequenceId(reader.i32()?));
            Ok(FieldUse::Read)
        })?;
        Ok(Method::Abort(target.ok_or(DecodeError::MissingSequenceId)?))
    }

    fn skip(&mut self, value_type: u8, depth: u32) -> Result<(), DecodeError> {
        if depth > MAX_DEPTH {
            return Err(DecodeError::NestedTooDeep);
        }
        match value_type {
            field_type::BOOL | field_type::BYTE => self.take(1).map(drop),
            field_type::I16 => self.take(2).map(drop),
            field_type::I32 => self.take(4).map(drop),
            field_type::DOUBLE | field_type::I64 => self.take(8).map(drop),
            field_type::STRING => self.binary().map(drop),
            field_type::STRUCT => self.skip_struct(depth),
            field_type::MAP => {
                let (key_type, value_type, count) = (self.u8()?, self.u8()?, self.length()?);
                self.skip_elements(count, &[key_type, value_type], depth)
            }
            field_type::SET | field_type::LIST => {
                let (element_type, count) = (self.u8()?, self.length()?);
                self.skip_elements(count, &[element_type], depth)
            }
            _ => Err(DecodeError::UnknownType),
        }
    }

    fn skip_struct(&mut self, depth: u32) -> Result<(), DecodeError> {
        loop {
            let value_type = self.u8()?;
            if value_type == field_type::STOP {
                return Ok(());
            }
            self.i16()?;
            self.skip(value_type, depth + 1)?;
        }
    }

    /// Skips `count` elements of a container; each element has one value of each of the `types`.
    fn skip_elements(&mut self, count: usize, types: &[u8], depth: u32) -> Result<(), DecodeError> {
        // Every element takes at least one byte, so a larger count is wrong and must not be looped over.
        if count > self.bytes.len() {
            return Err(DecodeError::Truncated);
        }
        for _ in 0..count {
            for value_type in types {
                self.skip(*value_type, depth + 1)?;
            }
        }
        Ok(())
    }
}
