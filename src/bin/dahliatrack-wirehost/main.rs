//! Hosts routers of the library on the simulator's wire: batches on standard input, replies on standard
//! output. It decides nothing itself.
//!
//! - `frames`: reads frames from the input.
//! - `codec`: the records in them, and the replies.
//! - `host`: the router instances.

mod codec;
mod frames;
mod host;

use codec::{CodecError, Reply};
use frames::{Frame, FrameError};
use host::{CreateError, Host};
use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why the program ends before its input does.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("frame at byte {offset} of the input: {error}")]
    Batch { offset: u64, error: BatchError },
    #[error("output: {0}")]
    Output(#[from] io::Error),
}

/// Why a batch cannot be answered.
#[derive(Debug, thiserror::Error)]
enum BatchError {
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error(transparent)]
    Create(#[from] CreateError),
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| ())); // a panic is reported on the wire instead
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliatrack-wirehost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), ServeError> {
    let mut host = Host::default();
    let mut offset: u64 = 0;
    loop {
        let located = |error| ServeError::Batch { offset, error };
        let frame = Frame::read(input).map_err(|error| located(error.into()))?;
        let Some(frame) = frame else { return Ok(()) };
        let reply = answer(&mut host, &frame).map_err(located)?;
        output.write_all(&reply.finish())?;
        output.flush()?;
        offset += frame.header.frame_bytes as u64;
    }
}

/// Passes a batch's records to their instances.
fn answer(host: &mut Host, frame: &Frame) -> Result<Reply, BatchError> {
    let mut reply = Reply::default();
    for record in frame.header.parse_records(&frame.body)? {
        host.handle(frame.header.now, record, &mut reply)?;
    }
    Ok(reply)
}
