//! What this process uses, from `/proc`.

use std::time::Duration;

/// Bytes of a page.
const PAGE_BYTES: u64 = 4096;
/// A tick of processor time.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Bytes of memory held by this process; 0 where `/proc` does not say.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Processor time of this process, user and system; 0 where `/proc` does not say.
pub(super) fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The command's name, in parentheses, may hold blanks.
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let ticks = |field: usize| fields.split(' ').nth(field).and_then(|ticks| ticks.parse::<u32>().ok());
    CLOCK_TICK * (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0))
}

/// Raises the limit of open descriptors as far as the system lets it: both ends of each connection are in this
/// process.
pub(super) fn raise_descriptor_limit() {
    let mut limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current = limit.maximum;
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, limit);
}
