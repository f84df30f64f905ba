//! Synthetic traces in a published format, the same for the same seed: an evening that swells and falls, with bursts,
//! objects by Zipf's law, durations log-normal.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Zipf};
use std::io::{self, Write};

/// A synthetic trace.
#[derive(Clone, Copy, Debug)]
pub struct SyntheticTrace {
    /// Its length, s.
    pub seconds: f64,
    /// Its mean rate, rows a second.
    pub rate: f64,
    /// Objects.
    pub objects: u64,
    /// The seed.
    pub seed: u64,
}

/// A row of the trace.
struct SyntheticRow {
    /// When it ends, s.
    end: f64,
    /// How long it takes, s.
    duration: f64,
    object: u64,
}

/// The longest duration of a row, s.
const MAX_DURATION_S: f64 = 30.0;
/// The parameters of the durations' log-normal distribution, of seconds.
const DURATION_MU: f64 = -3.0;
const DURATION_SIGMA: f64 = 1.2;
/// The exponent of the objects' Zipf distribution.
const ZIPF_EXPONENT: f64 = 1.0;
/// One in so many half minutes has a burst.
const BURST_PERIOD: u64 = 7;
const BURST_OFFSET: u64 = 3;
/// Objects are spread over so many applications.
const APPLICATIONS: u64 = 17;

impl SyntheticTrace {
    /// Rows a second at a time: an evening with half its mean at the ends and one and a half times in the middle, and
    /// bursts of half a minute.
    fn rate_at(&self, at: f64) -> f64 {
        let part = at / self.seconds;
        let evening = 0.5 + (std::f64::consts::PI * part).sin() * std::f64::consts::FRAC_PI_4;
        let is_burst = (at / 30.0) as u64 % BURST_PERIOD == BURST_OFFSET;
        let burst = if is_burst { 1.6 } else { 0.9 };
        (self.rate * evening * burst).max(1e-6)
    }

    /// The rows, in the order of their ends.
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

    /// Writes it in the format of the Azure Functions Invocation Trace 2021:
    /// `app,func,end_timestamp,duration`, in the order of the ends.
    ///
    /// # Errors
    ///
    /// It cannot be written.
    pub fn write_azure(&self, out: &mut dyn Write) -> io::Result<()> {
        let rows = self.rows()?;
        writeln!(out, "app,func,end_timestamp,duration")?;
        for SyntheticRow { end, duration, object } in rows {
            writeln!(out, "app{},func{object},{end:.6},{duration:.6}", object % APPLICATIONS)?;
        }
        Ok(())
    }
}
