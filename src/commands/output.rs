//! What commands write to standard output.

use clap::ValueEnum;
use serde::Serialize;
use std::fmt::Display;

/// How results are written.
#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    /// Lines for people
    Text,
    /// One JSON object
    Json,
}

/// Prints a line.
pub fn print(line: &dyn Display) {
    println!("{line}");
}

/// Prints a report in a format.
pub fn print_report(report: &(impl Display + Serialize), format: Format) {
    match format {
        Format::Text => print(report),
        Format::Json => print(&serde_json::json!(report)),
    }
}
