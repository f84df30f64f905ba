//! Prints the results of commands on standard output.

use clap::ValueEnum;
use serde::Serialize;
use std::fmt::Display;

/// The output format of results.
#[derive(Clone, Copy, ValueEnum)]
pub enum Format {
    /// Text for reading
    Text,
    /// One JSON object
    Json,
}

/// Prints a line.
pub fn print(line: &dyn Display) {
    println!("{line}");
}

/// Prints a report as text or as one line of JSON.
pub fn print_report(report: &(impl Display + Serialize), format: Format) {
    match format {
        Format::Text => print(report),
        Format::Json => print(&serde_json::json!(report)),
    }
}
