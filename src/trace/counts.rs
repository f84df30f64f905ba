//! What became of a trace's rows.

use crate::interface::Span;
use std::collections::BTreeMap;
use std::fmt;

/// The rows that were skipped for one column.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Skipped {
    /// How many.
    pub rows: u64,
    /// Why the first one was, with its line.
    pub first: String,
}

/// What became of a trace's rows: each is in one of the first five figures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Rows of the file.
    pub rows: u64,
    /// Those that became requests of the whole trace.
    pub used: u64,
    /// Those that `only` leaves out, such as other events.
    pub other: u64,
    /// Those that no class matches.
    pub unclassed: u64,
    /// By column: rows skipped for it.
    pub skipped: BTreeMap<String, Skipped>,
    /// Rows out of order that were put in order.
    pub reordered: u64,
    /// Rows that came too late for that and were moved to the time reached.
    pub moved: u64,
    /// By how much at the most.
    pub max_moved: Span,
}

impl Counts {
    /// Counts a row that was skipped for a column.
    pub(super) fn skip(&mut self, column: &str, line: u64, reason: &str) {
        let new = || Skipped { rows: 0, first: format!("line {line}: {reason}") };
        let skipped = self.skipped.entry(column.to_owned()).or_insert_with(new);
        skipped.rows += 1;
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let Counts { rows, used, other, unclassed, reordered, moved, .. } = self;
        write!(formatter, "{rows} rows: {used} used, {other} left out by `only`, {unclassed} of no class")?;
        for (column, Skipped { rows, first }) in &self.skipped {
            write!(formatter, ", {rows} skipped for {column} ({first})")?;
        }
        let max_moved_s = self.max_moved.as_secs_f64();
        write!(formatter, "; {reordered} put in order, {moved} moved by up to {max_moved_s:.1} s")
    }
}
