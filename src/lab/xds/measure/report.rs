//! The result of a measurement, and its text.

use crate::lab::views::Breach;
use hdrhistogram::Histogram;
use std::fmt;
use std::time::Duration;

/// Number of breaches that the text lists at most.
const LISTED_BREACHES: usize = 5;

/// The result of a measurement.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// Time from a drain to each client's view without the cache, in us.
    pub each_client: Histogram<u64>,
    /// Time from a drain to the last client's view without the cache, in us.
    pub last_client: Histogram<u64>,
    /// Rules that the clients' logs break.
    pub breaches: Vec<Breach>,
    /// Memory that the process gained since before the clients were started, in bytes per client. It includes
    /// both ends of each connection.
    pub memory_per_client: u64,
    /// Processor time of the process during the drains, per snapshot. It includes both ends of each
    /// connection.
    pub processor_time_per_snapshot: Duration,
    /// Number of snapshots that the service published during the drains.
    pub snapshots: u64,
    /// Number of responses that the service sent during the drains.
    pub sent: u64,
    /// Number of clients that had views of all types before the drains began.
    pub ready_clients: usize,
    /// Time from the start of the clients until these had all views, or until the timeout.
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

/// Writes a breach on a line of its own, with its time span in us.
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
