//! The results of a flood, and their text.

use super::flooder::FloodCounts;
use super::known_clients::KnownClientCounts;
use std::fmt;
use std::time::Duration;

/// The results of a flood.
#[derive(Debug)]
pub struct FloodReport {
    /// Counts and latency of the known clients.
    pub known: KnownClientCounts,
    /// Counts of the flood's connections.
    pub flood: FloodCounts,
    /// Duration of the whole run.
    pub lasted: Duration,
}

impl fmt::Display for FloodReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let known = &self.known;
        let share = |count: u64| if known.tried == 0 { 0.0 } else { count as f64 / known.tried as f64 };
        writeln!(f, "lasted {:.1} s", self.lasted.as_secs_f64())?;
        writeln!(
            f,
            "known clients: {} connections tried, {:.3} connected, {:.3} refused, {:.3} broken",
            known.tried,
            share(known.connected),
            share(known.rejected),
            share(known.broken)
        )?;
        let percentile = |quantile: f64| known.latency.value_at_quantile(quantile);
        writeln!(
            f,
            "known clients' connect to first answer, us: p50 {} p99 {} max {}",
            percentile(0.5),
            percentile(0.99),
            known.latency.max()
        )?;
        let (written, answered) = (known.written, known.answered);
        let unanswered = written - answered;
        writeln!(f, "requests written whole {written}, answered {answered}, unanswered {unanswered}")?;
        let FloodCounts { opened, ended } = self.flood;
        write!(f, "flood: {opened} connections opened, {ended} ended by the edge proxy")
    }
}
