//! `dahliatrack lab trace`: generates a synthetic trace.

use crate::commands::CommandError;
use dahliatrack::lab::replay::ReplayError;
use dahliatrack::lab::synthetic_trace::SyntheticTrace;
use std::io::{self, Write};

const MIN_SECONDS: f64 = 1.0;
const MAX_SECONDS: f64 = 1e7;
const MIN_RATE_PER_S: f64 = 0.001;
const MAX_RATE_PER_S: f64 = 1e5;

/// The size of a synthetic trace.
#[derive(clap::Args)]
pub struct TraceArgs {
    /// The length of the trace in seconds
    #[arg(long, default_value_t = 3600.0)]
    seconds: f64,
    /// The mean rate of the trace, in rows per second
    #[arg(long, default_value_t = 50.0)]
    rate: f64,
    /// The number of objects
    #[arg(long, default_value_t = 2000)]
    objects: u64,
    /// The seed of the trace's random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Writes a synthetic trace to standard output.
pub fn run(args: TraceArgs) -> Result<(), CommandError> {
    let synthetic = SyntheticTrace {
        seconds: args.seconds.clamp(MIN_SECONDS, MAX_SECONDS),
        rate: args.rate.clamp(MIN_RATE_PER_S, MAX_RATE_PER_S),
        objects: args.objects,
        seed: args.seed,
    };
    let mut out = io::BufWriter::new(io::stdout().lock());
    synthetic.write_azure(&mut out).and_then(|()| out.flush()).map_err(ReplayError::from)?;
    Ok(())
}
