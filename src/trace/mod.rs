//! Public cluster traces in CSV as load: published formats mapped to our classes, put in order, sampled to a test's
//! length without bending the rate. See docs/traces.md.

pub mod map;
pub mod reorder;
pub mod sample;

use crate::config::located::{Doc, DocError};
use crate::spread::mix;
use csv::StringRecord;
use map::{ClassRule, TraceMap};
use reorder::Reorder;
use sample::{Rates, Slices};
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// Rows that the reorder window holds at the most, and rows that a test plays at the most.
const MOST_HELD: usize = 1 << 20;
const MOST_PLAYED: usize = 5_000_000;
/// Times past this many microseconds are none of a trace (some formats mark "after its end" so).
const MOST_TIME: f64 = 4.0e18;

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
    Map(#[from] DocError),
    /// Not one row of it can.
    #[error("{path}: no row can be used; {counts}")]
    Empty {
        /// The file.
        path: String,
        /// What became of the rows.
        counts: String,
    },
    /// It is more than a test can hold.
    #[error("{0} rows fall into the test, over {MOST_PLAYED}: shorten window_s")]
    Much(usize),
}

/// A request of a trace, when it is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Played {
    /// From the start of the test, us.
    pub at: i64,
    /// The class, by its place in the map.
    pub class: usize,
    /// The object.
    pub object: u64,
}

/// What became of a trace's rows: each is in one of these figures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Rows of the file.
    pub rows: u64,
    /// Those that became requests of the whole trace.
    pub used: u64,
    /// Those that `only` leaves out, such as other events.
    pub other: u64,
    /// Those that no class fits.
    pub unclassed: u64,
    /// By column: rows skipped for it, and why the first one was, with its line.
    pub skipped: BTreeMap<String, (u64, String)>,
    /// Rows out of order that were put in order.
    pub reordered: u64,
    /// Rows that came too late for that and were moved to the time reached.
    pub moved: u64,
    /// By how much at the most, us.
    pub moved_most: i64,
}

impl Counts {
    fn skip(&mut self, column: &str, line: u64, why: &str) {
        let entry =
            self.skipped.entry(column.to_owned()).or_insert_with(|| (0, format!("line {line}: {why}")));
        entry.0 += 1;
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Counts { rows, used, other, unclassed, reordered, moved, .. } = self;
        write!(f, "{rows} rows: {used} used, {other} left out by `only`, {unclassed} of no class")?;
        for (column, (count, why)) in &self.skipped {
            write!(f, ", {count} skipped for {column} ({why})")?;
        }
        write!(f, "; {reordered} put in order, {moved} moved by up to {:.1} s", self.moved_most as f64 / 1e6)
    }
}

/// A trace, read and sampled.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The classes' names, in the map's order.
    pub classes: Vec<String>,
    /// The requests, in order.
    pub requests: Vec<Played>,
    /// How long the test is, us.
    pub length: i64,
    /// Slices that it is made of.
    pub slices: usize,
    /// What became of the rows.
    pub counts: Counts,
    /// The rates of the trace and of the sample.
    pub rates: Rates,
}

/// Reads a trace by its map: once for its span and rates, once for what is played.
///
/// # Errors
///
/// Files that cannot be read, a map that cannot be used, a trace without one usable row.
pub fn load(path: &Path, map: Doc<'_>) -> Result<Trace, TraceError> {
    let read_error = |error| TraceError::Read { path: path.display().to_string(), error };
    let mut first = reader(path, false).map_err(read_error)?;
    let header: Vec<String> = match first.records().next() {
        Some(record) => record.map_err(read_error)?.iter().map(|name| name.trim().to_owned()).collect(),
        None => Vec::new(),
    };
    let map = TraceMap::parse(map, &header)?;
    let names = if map.columns.is_empty() { header } else { map.columns.clone() };
    let mut counts = Counts::default();
    let mut rates = Rates::default();
    let (mut earliest, mut latest) = (i64::MAX, i64::MIN);
    each(path, &map, &names, &mut counts, &mut |at, class, _| {
        (earliest, latest) = (earliest.min(at), latest.max(at));
        *rates.all.entry(map.classes[class].class.clone()).or_default() += 1;
    })
    .map_err(read_error)?;
    if counts.used == 0 {
        return Err(TraceError::Empty { path: path.display().to_string(), counts: counts.to_string() });
    }
    let slices = Slices::new(earliest, latest, map.window, map.slices, map.seed);
    (rates.span, rates.played) = (latest - earliest + 1, slices.length());
    let mut window = Reorder::new(map.reorder, MOST_HELD);
    let mut requests = Vec::new();
    let mut play = |(at, (class, object)): (i64, (usize, u64))| {
        if let Some(at) = slices.played(at) {
            requests.push(Played { at, class, object });
        }
    };
    each(path, &map, &names, &mut Counts::default(), &mut |at, class, object| {
        if let Some(row) = window.push(at, (class, object)) {
            play(row);
        }
        while let Some(row) = window.ready() {
            play(row);
        }
    })
    .map_err(read_error)?;
    while let Some(row) = window.pop() {
        play(row);
    }
    if requests.len() > MOST_PLAYED {
        return Err(TraceError::Much(requests.len()));
    }
    (counts.reordered, counts.moved, counts.moved_most) = (window.reordered, window.moved, window.moved_most);
    for request in &requests {
        *rates.taken.entry(map.classes[request.class].class.clone()).or_default() += 1;
    }
    let classes = map.classes.into_iter().map(|rule| rule.class).collect();
    Ok(Trace { classes, requests, length: slices.length(), slices: slices.count(), counts, rates })
}

fn reader(path: &Path, header: bool) -> Result<csv::Reader<std::fs::File>, csv::Error> {
    // Rows may lack fields at their end; they are counted by column and not taken for an error of the file.
    csv::ReaderBuilder::new().has_headers(header).flexible(true).trim(csv::Trim::All).from_path(path)
}

/// Reads all rows: gives time (us), class and object of each that can be used, and counts the others.
fn each(
    path: &Path,
    map: &TraceMap,
    names: &[String],
    counts: &mut Counts,
    with: &mut dyn FnMut(i64, usize, u64),
) -> Result<(), csv::Error> {
    let mut reader = reader(path, map.header)?;
    let name = |column: usize| names.get(column).map_or("?", String::as_str);
    let mut record = StringRecord::new();
    loop {
        match reader.read_record(&mut record) {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            // A line that is not UTF-8 is a row that can't be used; a file that can't be read ends it.
            Err(error) if matches!(error.kind(), csv::ErrorKind::Utf8 { .. }) => {
                let line = error.position().map_or(0, csv::Position::line);
                counts.rows += 1;
                counts.skip("line", line, "not UTF-8");
                continue;
            }
            Err(error) => return Err(error),
        }
        counts.rows += 1;
        let line = record.position().map_or(0, csv::Position::line);
        let field = |column: usize| record.get(column).filter(|value| !value.is_empty());
        if map.only.as_ref().is_some_and(|(column, value)| field(*column).is_some_and(|field| field != value))
        {
            counts.other += 1;
            continue;
        }
        let read = (|| {
            let number = |column: usize| {
                let text = field(column).ok_or((column, "missing"))?;
                let value: f64 = text.parse().map_err(|_| (column, "no number"))?;
                let value = value * map.unit;
                (value.is_finite() && (0.0..MOST_TIME).contains(&value))
                    .then_some(value)
                    .ok_or((column, "out of range"))
            };
            if let Some((column, _)) = &map.only {
                field(*column).ok_or((*column, "missing"))?;
            }
            let at = number(map.time)? - map.minus.map_or(Ok(0.0), number)?;
            let mut object = 0xcbf2_9ce4_8422_2325_u64;
            for column in &map.object {
                for byte in field(*column).ok_or((*column, "missing"))?.bytes().chain([0]) {
                    object = (object ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
                }
            }
            Ok::<_, (usize, &str)>((at as i64, mix(object)))
        })();
        match read {
            Err((column, why)) => counts.skip(name(column), line, why),
            Ok((at, object)) => match class(map, object, &field) {
                Some(class) => {
                    counts.used += 1;
                    with(at, class, object);
                }
                None => counts.unclassed += 1,
            },
        }
    }
}

/// The first class that fits a row.
fn class<'a>(map: &TraceMap, object: u64, field: &dyn Fn(usize) -> Option<&'a str>) -> Option<usize> {
    let fits = |(place, rule): (usize, &ClassRule)| {
        let value = rule.column.map(field);
        let matches = match value {
            None => true,
            Some(None) => false,
            Some(Some(value)) => {
                let within =
                    |(from, below): (f64, f64)| value.parse().is_ok_and(|v: f64| v >= from && v < below);
                rule.one_of.contains(value) || rule.range.is_some_and(within)
            }
        };
        // An object is wholly of a part or not at all.
        let drawn = mix(object ^ (place as u64 + 1)) as f64 / u64::MAX as f64;
        matches && (rule.part >= 1.0 || drawn < rule.part)
    };
    map.classes.iter().enumerate().position(fits)
}

#[cfg(test)]
mod tests;
