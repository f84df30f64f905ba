//! Memory and processor time of this process, from `/proc`, and its descriptor limit.

use std::time::Duration;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;
/// Unit of the processor times in `/proc`.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// Returns the resident memory of this process in bytes, 0 if `/proc` cannot be read.
pub(super) fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the processor time of this process, user and system together; 0 if `/proc` cannot be read.
pub(super) fn processor_time() -> Duration {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The fields are counted from behind the command's name, since that is in parentheses and may contain
    // spaces.
    let fields = text.rsplit(") ").next().unwrap_or_default();
    let ticks = |field: usize| fields.split(' ').nth(field).and_then(|ticks| ticks.parse::<u32>().ok());
    CLOCK_TICK * (ticks(11).unwrap_or(0) + ticks(12).unwrap_or(0))
}

/// Raises the limit of open descriptors as far as the system allows, since this process holds both ends of
/// each connection.
pub(super) fn raise_descriptor_limit() {
    let mut limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current = limit.maximum;
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, limit);
}
