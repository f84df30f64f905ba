//! The adapter between the simulator and the library's routers: reads batches of events on standard input, passes them
//! to the routers, and writes their actions as replies on standard output. It makes no decisions itself.
//!
//! - `frames`: reads frames from the input.
//! - `codec`: parses their records, and writes the replies.
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

/// Error that ends the program before the end of its input.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    #[error("frame at byte {offset} of the input: {error}")]
    Batch { offset: u64, error: BatchError },
    #[error("output: {0}")]
    Output(#[from] io::Error),
}

/// Error of a batch that cannot be answered.
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
    std::panic::set_hook(Box::new(|_| ())); // `Host` reports a router's panic in the reply instead
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

/// Passes the records of a batch to their instances, and returns the reply with the instances' actions.
fn answer(host: &mut Host, frame: &Frame) -> Result<Reply, BatchError> {
    let mut reply = Reply::default();
    for record in frame.header.parse_records(&frame.body)? {
        host.handle(frame.header.now, record, &mut reply)?;
    }
    Ok(reply)
}
