//! Public cluster traces in CSV as load: published formats mapped to our classes, put in order, sampled to a test's
//! length without changing the rate. See docs/traces.md.

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

/// The most rows that the reorder window holds.
const MAX_HELD_ROWS: usize = 1 << 20;
/// The most rows that a test plays.
const MAX_SAMPLED_ROWS: usize = 5_000_000;

/// Why a trace cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Read {
        /// The file.
        path: String,
        /// Why.
        error: csv::Error,
    },
    /// The map cannot be used.
    #[error(transparent)]
    Map(#[from] HclError),
    /// Not one row of it can.
    #[error("{path}: no row can be used; {counts}")]
    Empty {
        /// The file.
        path: String,
        /// What became of the rows.
        counts: RowCounts,
    },
    /// It is more than a test can hold.
    #[error("{0} rows fall into the test, over {MAX_SAMPLED_ROWS}: shorten window_s")]
    TooManyRows(usize),
}

/// A request of a trace, when it is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedRequest {
    /// From the start of the test.
    pub at: Span,
    /// The class, by its place in the map.
    pub class: usize,
    /// The object.
    pub object: u64,
}

/// A trace, read and sampled.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The classes' names, in the map's order.
    pub classes: Vec<String>,
    /// The requests, in order.
    pub requests: Vec<TimedRequest>,
    /// How long the test is.
    pub length: Span,
    /// Slices that it is made of.
    pub slices: usize,
    /// What became of the rows.
    pub counts: RowCounts,
    /// The rates of the trace and of the sample.
    pub rates: Rates,
}

/// Reads a trace by its map: once for its span and rates, once for what is played.
///
/// # Errors
///
/// Files that cannot be read, a map that cannot be used, a trace without one usable row.
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

/// A trace's file, and how it is read.
struct TraceFile<'a> {
    path: &'a Path,
    map: &'a TraceMap,
    /// The columns' names.
    names: Vec<String>,
}

/// The first and the last time of a trace.
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

/// What the first reading finds.
struct Survey {
    /// `None`: no row can be used.
    range: Option<TimeRange>,
    /// With the rows of the trace by class alone.
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

    /// Reads the file for what is played, in order; counts the rows out of order.
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
