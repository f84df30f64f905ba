//! Counts of a trace's rows by how they were handled.

use crate::interface::Span;
use std::collections::BTreeMap;
use std::fmt;

/// The rows that were skipped because of one column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedRows {
    /// Number of skipped rows, at least 1.
    pub rows: u64,
    /// Why the first of them was skipped, with its line number.
    pub first_reason: String,
}

/// Counts of a trace's rows. Each row of the file is counted once in `used`, `filtered`, `unclassified` or `skipped`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowCounts {
    /// Number of rows in the file, without the header.
    pub rows: u64,
    /// Rows that became requests of the whole trace, whether they are in the sample or not.
    pub used: u64,
    /// Rows that the map's `only` block leaves out, such as other events.
    pub filtered: u64,
    /// Rows that match no class.
    pub unclassified: u64,
    /// Rows that were skipped, by the name of the column with the missing or invalid value; `line` if the line is
    /// not UTF-8.
    pub skipped: BTreeMap<String, SkippedRows>,
    /// Rows out of order that were put in order within the reorder span.
    pub reordered: u64,
    /// Rows that came too late to be reordered and were moved to the time of the last released row.
    pub moved: u64,
    /// The largest span by which a row was moved; zero if none was.
    pub max_moved: Span,
}

impl RowCounts {
    /// Counts a row that was skipped because of a column.
    pub(super) fn skip(&mut self, column: &str, line: u64, reason: &str) {
        let new = || SkippedRows { rows: 0, first_reason: format!("line {line}: {reason}") };
        let skipped = self.skipped.entry(column.to_owned()).or_insert_with(new);
        skipped.rows += 1;
    }
}

impl fmt::Display for RowCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let RowCounts { rows, used, filtered, unclassified, reordered, moved, .. } = self;
        write!(
            formatter,
            "{rows} rows: {used} used, {filtered} left out by `only`, {unclassified} without a class"
        )?;
        for (column, SkippedRows { rows, first_reason }) in &self.skipped {
            write!(formatter, ", {rows} skipped for {column} ({first_reason})")?;
        }
        let max_moved_s = self.max_moved.as_secs_f64();
        write!(formatter, "; {reordered} put in order, {moved} moved by up to {max_moved_s:.1} s")
    }
}
