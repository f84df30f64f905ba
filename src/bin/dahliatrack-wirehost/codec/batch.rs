//! Parses a batch: its header and its records.

use super::codes::{record_code, RecordCode};
use super::error::CodecError;
use super::event;
use super::reader::Reader;
use super::InstanceId;
use dahliatrack::{Event, Instant};

/// Length of a batch header, in bytes.
pub const HEADER_BYTES: usize = 16;
/// Length of the shortest record, in bytes: the code and the instance.
const MIN_RECORD_BYTES: usize = 6;

/// The header of a batch.
#[derive(Clone, Copy, Debug)]
pub struct BatchHeader {
    /// The time at which all records of the batch happen.
    pub now: Instant,
    /// Length of the frame in bytes, including the header; at least [`HEADER_BYTES`].
    pub frame_bytes: usize,
    /// Number of records in the batch.
    pub records: u32,
}

/// A record of a batch.
#[derive(Debug, PartialEq)]
pub struct Record {
    /// The instance that the record is for.
    pub instance: InstanceId,
    /// What happens to the instance.
    pub incoming: Incoming,
}

/// What happens to an instance.
#[derive(Debug, PartialEq)]
pub enum Incoming {
    /// The instance is created; an instance with the same number is replaced.
    Created {
        /// Seed of the instance's random choices.
        seed: u64,
        /// Settings as JSON.
        settings: Vec<u8>,
    },
    /// The instance is removed.
    Killed,
    /// An event for the instance's decision module.
    Event(Event),
}

impl BatchHeader {
    /// Parses a header.
    pub fn parse(bytes: &[u8; HEADER_BYTES]) -> Result<Self, CodecError> {
        let mut reader = Reader::new(bytes, 0);
        let now = reader.instant()?;
        let (frame_bytes, records) = (reader.count()?, reader.u32()?);
        if frame_bytes < HEADER_BYTES {
            return Err(CodecError::ShortFrame(frame_bytes));
        }
        Ok(BatchHeader { now, frame_bytes, records })
    }

    /// Parses the records of the batch; `body` is the frame without its header.
    pub fn parse_records(&self, body: &[u8]) -> Result<Vec<Record>, CodecError> {
        let mut reader = Reader::new(body, HEADER_BYTES);
        let mut records = Vec::with_capacity((self.records as usize).min(body.len() / MIN_RECORD_BYTES));
        for number in 0..self.records {
            let at = reader.frame_position();
            let record = Record::read(&mut reader);
            let located = |error| CodecError::Record { number, at, error: Box::new(error) };
            records.push(record.map_err(located)?);
        }
        match reader.remaining() {
            0 => Ok(records),
            left => Err(CodecError::TrailingBytes(left)),
        }
    }
}

impl Record {
    fn read(reader: &mut Reader) -> Result<Self, CodecError> {
        let code = reader.u16()?;
        let instance = InstanceId(reader.u32()?);
        let incoming = match record_code(code)? {
            RecordCode::InstanceCreated => read_created(reader)?,
            RecordCode::InstanceKilled => Incoming::Killed,
            RecordCode::Event(code) => Incoming::Event(event::read(code, reader)?),
        };
        Ok(Record { instance, incoming })
    }
}

fn read_created(reader: &mut Reader) -> Result<Incoming, CodecError> {
    let seed = reader.u64()?;
    let settings_bytes = reader.count()?;
    Ok(Incoming::Created { seed, settings: reader.bytes(settings_bytes)?.to_vec() })
}
