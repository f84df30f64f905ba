//! Synthetic traces in a published format; the same seed gives the same trace. The rate rises and falls as
//! over an evening, with bursts. The objects' popularity follows Zipf's law, and durations are log-normal.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Zipf};
use std::io::{self, Write};

/// Size and seed of a synthetic trace.
#[derive(Clone, Copy, Debug)]
pub struct SyntheticTrace {
    /// Length of the trace, in s.
    pub seconds: f64,
    /// Mean rate, in rows per second.
    pub rate: f64,
    /// Number of different objects.
    pub objects: u64,
    /// Seed of all random draws.
    pub seed: u64,
}

/// A row of the trace.
struct SyntheticRow {
    /// End of the request, in s from the start of the trace.
    end: f64,
    /// Duration of the request, in s.
    duration: f64,
    object: u64,
}

/// Longest duration of a row, in s.
const MAX_DURATION_S: f64 = 30.0;
/// Parameters of the log-normal distribution of durations in seconds.
const DURATION_MU: f64 = -3.0;
const DURATION_SIGMA: f64 = 1.2;
/// Exponent of the objects' Zipf distribution.
const ZIPF_EXPONENT: f64 = 1.0;
/// One of every `BURST_PERIOD` half minutes has a burst: the one with index `BURST_OFFSET`, counted from 0.
const BURST_PERIOD: u64 = 7;
const BURST_OFFSET: u64 = 3;
/// Number of applications that the objects are spread over.
const APPLICATIONS: u64 = 17;

impl SyntheticTrace {
    /// Returns the rate at a time, in rows per second: the mean rate times two factors. The first is 0.5 at both
    /// ends of the trace and about 1.3 in the middle. The second is 1.6 in bursts of half a minute and 0.9
    /// otherwise. Each factor is 1 on average.
    fn rate_at(&self, at: f64) -> f64 {
        let progress = at / self.seconds;
        let evening_factor = 0.5 + (std::f64::consts::PI * progress).sin() * std::f64::consts::FRAC_PI_4;
        let is_burst = (at / 30.0) as u64 % BURST_PERIOD == BURST_OFFSET;
        let burst_factor = if is_burst { 1.6 } else { 0.9 };
        (self.rate * evening_factor * burst_factor).max(1e-6)
    }

    /// Draws the rows and returns them in the order of their ends.
    fn rows(&self) -> io::Result<Vec<SyntheticRow>> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let zipf = Zipf::new(self.objects.max(1) as f64, ZIPF_EXPONENT).map_err(io::Error::other)?;
        let durations = LogNormal::new(DURATION_MU, DURATION_SIGMA).map_err(io::Error::other)?;
        let mut rows = Vec::new();
        let mut at = 0.0;
        while at < self.seconds {
            at += -(1.0 - random.random::<f64>()).ln() / self.rate_at(at);
            let duration: f64 = durations.sample(&mut random);
            let duration = duration.min(MAX_DURATION_S);
            rows.push(SyntheticRow { end: at + duration, duration, object: zipf.sample(&mut random) as u64 });
        }
        rows.sort_by(|a, b| a.end.total_cmp(&b.end));
        Ok(rows)
    }

    /// Writes the trace in the format of the Azure Functions Invocation Trace 2021
    /// (`app,func,end_timestamp,duration`), in the order of the ends.
    ///
    /// # Errors
    ///
    /// Returns an error if `out` cannot be written, or if a distribution has no valid parameters.
    pub fn write_azure(&self, out: &mut dyn Write) -> io::Result<()> {
        let rows = self.rows()?;
        writeln!(out, "app,func,end_timestamp,duration")?;
        for SyntheticRow { end, duration, object } in rows {
            writeln!(out, "app{},func{object},{end:.6},{duration:.6}", object % APPLICATIONS)?;
        }
        Ok(())
    }
}
