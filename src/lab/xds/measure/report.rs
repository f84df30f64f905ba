//! What was measured, and how it is printed.

use crate::lab::views::Breach;
use hdrhistogram::Histogram;
use std::fmt;
use std::time::Duration;

/// The breaches that a report lists.
const LISTED_BREACHES: usize = 5;

/// What was measured.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// From a drain to each client's view without the cache, us.
    pub each_client: Histogram<u64>,
    /// From a drain to the last client's view without the cache, us.
    pub last_client: Histogram<u64>,
    /// What the logs break.
    pub breaches: Vec<Breach>,
    /// Memory of the process beyond what it had before clients came, bytes by client: both ends of each connection.
    pub memory_per_client: u64,
    /// Processor time of the process during the drains, by snapshot: both ends.
    pub processor_time_per_snapshot: Duration,
    /// Snapshots that were published meanwhile.
    pub snapshots: u64,
    /// Responses that were sent meanwhile.
    pub sent: u64,
    /// Clients that had views of all types in time.
    pub ready_clients: usize,
    /// How long until the last of them had.
    pub ready_after: Duration,
}

impl fmt::Display for Measurement {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let ready_ms = self.ready_after.as_secs_f64() * 1000.0;
        writeln!(formatter, "{} clients had all views after {ready_ms:.0} ms", self.ready_clients)?;
        write_delays(formatter, "each client's view", &self.each_client)?;
        write_delays(formatter, "the last client's view", &self.last_client)?;
        writeln!(formatter, "memory by client, both ends: {} KB", self.memory_per_client / 1024)?;
        let processor_ms = self.processor_time_per_snapshot.as_secs_f64() * 1000.0;
        writeln!(
            formatter,
            "{} snapshots, {} responses; CPU by snapshot, both ends: {processor_ms:.1} ms",
            self.snapshots, self.sent,
        )?;
        let breaches = self.breaches.len();
        write!(formatter, "{breaches} breaches of the drain deadline of 1 s or of the order of versions")?;
        let listed = &self.breaches[..breaches.min(LISTED_BREACHES)];
        listed.iter().try_for_each(|breach| write_breach(formatter, breach))
    }
}

/// Writes a breach on a line of its own, its span in microseconds.
fn write_breach(formatter: &mut fmt::Formatter, breach: &Breach) -> fmt::Result {
    let Breach::StaleServer { client, server, after } = breach else {
        return write!(formatter, "\n  {breach:?}");
    };
    let after_us = after.as_micros();
    write!(formatter, "\n  StaleServer {{ client: {client:?}, server: {server:?}, after: {after_us} }}")
}

fn write_delays(formatter: &mut fmt::Formatter, whose: &str, delays: &Histogram<u64>) -> fmt::Result {
    let ms = |micros: u64| micros as f64 / 1000.0;
    let p50 = ms(delays.value_at_quantile(0.5));
    let p99 = ms(delays.value_at_quantile(0.99));
    let max = ms(delays.max());
    let count = delays.len();
    writeln!(
        formatter,
        "from a drain to {whose} without it, ms: p50 {p50:.1}, p99 {p99:.1}, max {max:.1} ({count})"
    )
}
