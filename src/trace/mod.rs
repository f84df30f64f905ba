//! Reads public cluster traces (CSV) as load for tests: maps the rows to classes, puts them in order, and samples them
//! to a test's length without changing the rate. See docs/traces.md.

pub mod counts;
pub mod map;
pub mod reorder;
mod rows;
pub mod sample;

use crate::config::hcl_document::{HclDocument, HclError};
use crate::interface::{Instant, Span};
use counts::RowCounts;
use map::TraceMap;
use reorder::ReorderWindow;
use rows::Row;
use sample::{Rates, Slices};
use std::path::Path;

/// The largest number of rows that the reorder window holds.
const MAX_HELD_ROWS: usize = 1 << 20;
/// The largest number of rows in a sample.
const MAX_SAMPLED_ROWS: usize = 5_000_000;

/// Error of a trace that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// Path of the trace.
        path: String,
        /// The error of the CSV reader.
        error: csv::Error,
    },
    /// The map cannot be used.
    #[error(transparent)]
    Map(#[from] HclError),
    /// The trace has no usable row.
    #[error("{path}: no row can be used; {counts}")]
    Empty {
        /// Path of the trace.
        path: String,
        /// Counts of its rows, with the reasons why they were not used.
        counts: RowCounts,
    },
    /// The sample has more rows than a test can hold.
    #[error("the sample has {0} rows, more than {MAX_SAMPLED_ROWS}: shorten window_s")]
    TooManyRows(usize),
}

/// A request of a trace, and when it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedRequest {
    /// When the request is sent, from the start of the test.
    pub at: Span,
    /// Index of the class in [`Trace::classes`].
    pub class: usize,
    /// The requested object: a hash of the row's values in the object columns.
    pub object: u64,
}

/// A trace, read and sampled.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Names of the classes, in the map's order.
    pub classes: Vec<String>,
    /// The requests of the sample, in order of time.
    pub requests: Vec<TimedRequest>,
    /// The length of the test at the trace's own speed.
    pub length: Span,
    /// Number of slices that the sample consists of; 1 if the trace is taken whole.
    pub slices: usize,
    /// Counts of the rows by how they were handled.
    pub counts: RowCounts,
    /// Counts by class of the trace and of the sample, for comparing their rates.
    pub rates: Rates,
}

/// Reads a trace by its map. The file is read twice: first for its span and its rates, then for the sample.
///
/// # Errors
///
/// Returns an error if the file cannot be read, the map cannot be used, the trace has no usable row, or the sample has
/// too many rows.
pub fn load(path: &Path, map: HclDocument<'_>) -> Result<Trace, TraceError> {
    let read_error = |error| TraceError::Read { path: path.display().to_string(), error };
    let header = rows::header(path).map_err(read_error)?;
    let map = TraceMap::parse(map, &header)?;
    let names = if map.columns.is_empty() { header } else { map.columns.clone() };
    let file = TraceFile { path, map: &map, names };
    let Survey { range, mut rates, mut counts } = file.survey().map_err(read_error)?;
    let Some(range) = range else {
        return Err(TraceError::Empty { path: path.display().to_string(), counts });
    };
    let slices = Slices::new(range.first, range.last, map.window, map.slices, map.seed);
    rates.trace_span = range.last - range.first + Span::from_micros(1);
    rates.sampled_span = slices.length();
    let requests = file.sample(&slices, &mut counts).map_err(read_error)?;
    if requests.len() > MAX_SAMPLED_ROWS {
        return Err(TraceError::TooManyRows(requests.len()));
    }
    for request in &requests {
        *rates.sampled_rows.entry(map.classes[request.class].class.clone()).or_default() += 1;
    }
    let classes = map.classes.into_iter().map(|rule| rule.class).collect();
    Ok(Trace { classes, requests, length: slices.length(), slices: slices.count(), counts, rates })
}

/// The file of a trace, and the map by which it is read.
struct TraceFile<'a> {
    path: &'a Path,
    map: &'a TraceMap,
    /// Names of the columns, in the file's order.
    names: Vec<String>,
}

/// The earliest and the latest time of a trace.
#[derive(Clone, Copy)]
struct TimeRange {
    first: Instant,
    last: Instant,
}

impl TimeRange {
    fn including(range: Option<TimeRange>, at: Instant) -> TimeRange {
        let TimeRange { first, last } = range.unwrap_or(TimeRange { first: at, last: at });
        TimeRange { first: first.min(at), last: last.max(at) }
    }
}

/// The result of the first reading of a file.
struct Survey {
    /// `None` if no row can be used.
    range: Option<TimeRange>,
    /// Only `trace_rows` is set.
    rates: Rates,
    counts: RowCounts,
}

impl TraceFile<'_> {
    /// Reads the file for its span and rates.
    fn survey(&self) -> Result<Survey, csv::Error> {
        let mut range = None;
        let mut rates = Rates::default();
        let mut counts = RowCounts::default();
        rows::for_each(self.path, self.map, &self.names, &mut counts, |row| {
            range = Some(TimeRange::including(range, row.at));
            *rates.trace_rows.entry(self.map.classes[row.class].class.clone()).or_default() += 1;
        })?;
        Ok(Survey { range, rates, counts })
    }

    /// Reads the file for the requests of the sample, in order of time. Counts the rows that were out of order.
    fn sample(&self, slices: &Slices, counts: &mut RowCounts) -> Result<Vec<TimedRequest>, csv::Error> {
        let mut window = ReorderWindow::new(self.map.reorder, MAX_HELD_ROWS);
        let mut requests = Vec::new();
        let mut add_sampled = |at: Instant, row: Row| {
            let replay_time = slices.replay_time(at);
            requests.extend(replay_time.map(|at| TimedRequest { at, class: row.class, object: row.object }));
        };
        rows::for_each(self.path, self.map, &self.names, &mut RowCounts::default(), |row| {
            window.push(row.at, row);
            while let Some((at, row)) = window.pop_ready() {
                add_sampled(at, row);
            }
        })?;
        while let Some((at, row)) = window.pop() {
            add_sampled(at, row);
        }
        counts.reordered = window.reordered;
        counts.moved = window.moved;
        counts.max_moved = window.max_moved;
        Ok(requests)
    }
}

#[cfg(test)]
mod tests;
