//! A small logger: one line each on standard error, with the Unix time in milliseconds.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Logger;

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
        let line = format!("{now} {} {} {}\n", record.level(), record.target(), record.args());
        // A log that can't be written is no reason to stop serving.
        let _ = std::io::stderr().lock().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

/// Starts to log.
pub fn start(level: LevelFilter) {
    if log::set_logger(&Logger).is_ok() {
        log::set_max_level(level);
    }
}
