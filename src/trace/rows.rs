//! Reads a trace's rows by its map.

use super::counts::RowCounts;
use super::map::TraceMap;
use crate::interface::{Instant, Span};
use crate::splitmix64::mix;
use csv::StringRecord;
use std::fs::File;
use std::path::Path;

/// The first time, in microseconds, that is out of range. Some formats mark events after the trace's end by a larger
/// value, such as 2^63 - 1.
const TIME_LIMIT: f64 = 4.0e18;
/// Parameters of the 64-bit FNV-1a hash that identifies an object.
const HASH_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const HASH_PRIME: u64 = 0x0100_0000_01b3;

/// A row that became a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Row {
    /// Time in the trace.
    pub(super) at: Instant,
    /// Index of the class in the map.
    pub(super) class: usize,
    pub(super) object: u64,
}

/// Why a field cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum FieldProblem {
    #[error("missing")]
    Missing,
    #[error("not a number")]
    NoNumber,
    #[error("out of range")]
    OutOfRange,
}

/// The field because of which a row cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FieldError {
    /// Number of the column.
    column: usize,
    problem: FieldProblem,
}

/// The result of reading a row that has all the fields it needs.
enum RowOutcome {
    Used(Row),
    /// The map's `only` block leaves it out.
    Filtered,
    Unclassified,
}

/// Returns the fields of the file's first line; empty if the file is.
pub(super) fn header(path: &Path) -> Result<Vec<String>, csv::Error> {
    let mut reader = reader(path, false)?;
    let Some(record) = reader.records().next() else { return Ok(Vec::new()) };
    Ok(record?.iter().map(|name| name.trim().to_owned()).collect())
}

fn reader(path: &Path, header: bool) -> Result<csv::Reader<File>, csv::Error> {
    // Rows may lack fields at their end: such a row is counted by its missing column and is no error of the file.
    csv::ReaderBuilder::new().has_headers(header).flexible(true).trim(csv::Trim::All).from_path(path)
}

/// Reads all rows, passes each usable one to `handle_row`, and counts all of them. `names` are the columns' names.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub(super) fn for_each(
    path: &Path,
    map: &TraceMap,
    names: &[String],
    counts: &mut RowCounts,
    mut handle_row: impl FnMut(Row),
) -> Result<(), csv::Error> {
    let mut reader = reader(path, map.header)?;
    let mut record = StringRecord::new();
    loop {
        match reader.read_record(&mut record) {
            Ok(true) => {}
            Ok(false) => return Ok(()),
            // A line that is not UTF-8 is only an unusable row; any other error of the reader ends the reading.
            Err(error) if matches!(error.kind(), csv::ErrorKind::Utf8 { .. }) => {
                counts.rows += 1;
                counts.skip("line", line(error.position()), "not UTF-8");
                continue;
            }
            Err(error) => return Err(error),
        }
        counts.rows += 1;
        match (Fields { map, record: &record }).read() {
            Ok(RowOutcome::Used(row)) => {
                counts.used += 1;
                handle_row(row);
            }
            Ok(RowOutcome::Filtered) => counts.filtered += 1,
            Ok(RowOutcome::Unclassified) => counts.unclassified += 1,
            Err(FieldError { column, problem }) => {
                let name = names.get(column).map_or("?", String::as_str);
                counts.skip(name, line(record.position()), &problem.to_string());
            }
        }
    }
}

fn line(position: Option<&csv::Position>) -> u64 {
    position.map_or(0, csv::Position::line)
}

/// The fields of one row.
struct Fields<'a> {
    map: &'a TraceMap,
    record: &'a StringRecord,
}

impl<'a> Fields<'a> {
    fn read(&self) -> Result<RowOutcome, FieldError> {
        if let Some(filter) = &self.map.filter {
            if self.optional(filter.column).is_some_and(|value| value != filter.value) {
                return Ok(RowOutcome::Filtered);
            }
            self.required(filter.column)?;
        }
        let at = self.time()?;
        let object = self.object()?;
        Ok(match self.class(object) {
            Some(class) => RowOutcome::Used(Row { at, class, object }),
            None => RowOutcome::Unclassified,
        })
    }

    fn optional(&self, column: usize) -> Option<&'a str> {
        self.record.get(column).filter(|value| !value.is_empty())
    }

    fn required(&self, column: usize) -> Result<&'a str, FieldError> {
        self.optional(column).ok_or(FieldError { column, problem: FieldProblem::Missing })
    }

    /// Returns the value of a column with a time, converted from the map's unit to microseconds.
    fn micros(&self, column: usize) -> Result<f64, FieldError> {
        let fail = |problem| FieldError { column, problem };
        let text = self.required(column)?;
        let value: f64 = text.parse().map_err(|_| fail(FieldProblem::NoNumber))?;
        let micros = value * self.map.time.unit_micros;
        if (0.0..TIME_LIMIT).contains(&micros) {
            Ok(micros)
        } else {
            Err(fail(FieldProblem::OutOfRange))
        }
    }

    fn time(&self) -> Result<Instant, FieldError> {
        let time = self.micros(self.map.time.column)?;
        let minus = self.map.time.minus.map_or(Ok(0.0), |column| self.micros(column))?;
        Ok(Instant::ZERO + Span::from_micros_f64(time - minus))
    }

    /// Returns the hash of the values in the map's object columns.
    fn object(&self) -> Result<u64, FieldError> {
        let mut hash = HASH_BASIS;
        for column in &self.map.object {
            let value = self.required(*column)?;
            for byte in value.bytes().chain([0]) {
                hash = (hash ^ u64::from(byte)).wrapping_mul(HASH_PRIME);
            }
        }
        Ok(mix(hash))
    }

    /// Returns the index of the first class whose rule matches; `None` if none does.
    fn class(&self, object: u64) -> Option<usize> {
        let mut classes = self.map.classes.iter().enumerate();
        let matching = classes.find(|(index, rule)| {
            let value = rule.column.map(|column| self.optional(column));
            rule.matches(value) && rule.includes(*index, object)
        });
        matching.map(|(index, _)| index)
    }
}
