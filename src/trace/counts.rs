//! What became of a trace's rows.

use crate::interface::Span;
use std::collections::BTreeMap;
use std::fmt;

/// The rows that were skipped for one column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SkippedRows {
    /// How many.
    pub rows: u64,
    /// Why the first one was, with its line.
    pub first_reason: String,
}

/// What became of a trace's rows: each is in one of the first five figures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RowCounts {
    /// Rows of the file.
    pub rows: u64,
    /// Those that became requests of the whole trace.
    pub used: u64,
    /// Those that `only` leaves out, such as other events.
    pub filtered: u64,
    /// Those that no class matches.
    pub unclassified: u64,
    /// By column: rows skipped for it.
    pub skipped: BTreeMap<String, SkippedRows>,
    /// Rows out of order that were put in order.
    pub reordered: u64,
    /// Rows that came too late for that and were moved to the time reached.
    pub moved: u64,
    /// By how much at the most.
    pub max_moved: Span,
}

impl RowCounts {
    /// Counts a row that was skipped for a column.
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
            "{rows} rows: {used} used, {filtered} left out by `only`, {unclassified} of no class"
        )?;
        for (column, SkippedRows { rows, first_reason }) in &self.skipped {
            write!(formatter, ", {rows} skipped for {column} ({first_reason})")?;
        }
        let max_moved_s = self.max_moved.as_secs_f64();
        write!(formatter, "; {reordered} put in order, {moved} moved by up to {max_moved_s:.1} s")
    }
}
