//! Made-up traces in a published format, the same for the same seed: an evening that swells and falls, with bursts,
//! objects by Zipf's law, durations log-normal.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Zipf};
use std::io::{self, Write};

/// A made-up trace.
#[derive(Clone, Copy, Debug)]
pub struct Made {
    /// Its length, s.
    pub seconds: f64,
    /// Its mean rate, rows a second.
    pub rate: f64,
    /// Objects.
    pub objects: u64,
    /// The seed.
    pub seed: u64,
}

/// Writes it in the format of the Azure Functions Invocation Trace 2021: `app,func,end_timestamp,duration`, in the order of
/// the ends. Gives the rows.
///
/// # Errors
///
/// It cannot be written.
pub fn azure(made: &Made, out: &mut dyn Write) -> io::Result<u64> {
    let mut random = ChaCha8Rng::seed_from_u64(made.seed);
    let zipf = Zipf::new(made.objects.max(1) as f64, 1.0).map_err(io::Error::other)?;
    let durations = LogNormal::new(-3.0, 1.2).map_err(io::Error::other)?;
    let mut rows: Vec<(f64, f64, u64)> = Vec::new();
    let mut at = 0.0;
    while at < made.seconds {
        let part = at / made.seconds;
        // An evening: half its mean at the ends, one and a half times in the middle; bursts of half a minute.
        let evening = 0.5 + (std::f64::consts::PI * part).sin() * std::f64::consts::FRAC_PI_4;
        let burst = if (at / 30.0) as u64 % 7 == 3 { 1.6 } else { 0.9 };
        let rate = (made.rate * evening * burst).max(1e-6);
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        let duration: f64 = durations.sample(&mut random);
        let duration = duration.min(30.0);
        rows.push((at + duration, duration, zipf.sample(&mut random) as u64));
    }
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    writeln!(out, "app,func,end_timestamp,duration")?;
    for (end, duration, object) in &rows {
        writeln!(out, "app{},func{},{end:.6},{duration:.6}", object % 17, object)?;
    }
    Ok(rows.len() as u64)
}
