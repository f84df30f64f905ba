//! Writes the log: each structured event of `tracing` as one line on standard error, as text or as JSON.
//!
//! - Text: `MILLISECONDS LEVEL MODULE: TEXT FIELD=VALUE...`;
//! - JSON: one object per line with `timestamp` (Unix time in milliseconds), `level`, `target` and the
//!   event's `fields`.

use clap::ValueEnum;
use std::fmt;
use std::time::{SystemTime, UNIX_EPOCH};
use tracing::level_filters::LevelFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum LogFormat {
    /// One line of text per event
    Text,
    /// One JSON object per event
    Json,
}

/// Writes the current Unix time in milliseconds.
struct UnixMillis;

impl FormatTime for UnixMillis {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
        write!(w, "{now}")
    }
}

/// Starts logging; a second call does nothing. Errors of the writer are ignored, since the proxy must keep
/// serving when its log can't be written. The subscriber's own report of such errors would panic on a broken
/// pipe.
pub fn start(level: LevelFilter, format: LogFormat) {
    let builder = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_timer(UnixMillis)
        .with_ansi(false)
        .log_internal_errors(false)
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
}
