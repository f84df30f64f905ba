//! The rules that decide which rows of a trace are used, their times and their classes.

use crate::splitmix64::mix;
use std::collections::BTreeSet;
use std::ops::Range;

/// Assigns rows to a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRule {
    /// Name of the class in the configuration.
    pub class: String,
    /// Number of the column whose value decides; `None` if all rows match.
    pub column: Option<usize>,
    /// The rule matches if the column's value is one of these.
    pub one_of: BTreeSet<String>,
    /// The rule also matches if the column's value is a number in this range.
    pub range: Option<Range<f64>>,
    /// Share of the objects, from 0 to 1, whose matching rows belong to the class.
    pub share: f64,
}

impl ClassRule {
    /// Whether a row matches by the value of the rule's column. `None` means that the rule has no column, `Some(None)`
    /// that the row has no value in it.
    pub(in crate::trace) fn matches(&self, value: Option<Option<&str>>) -> bool {
        match value {
            None => true,
            Some(None) => false,
            Some(Some(value)) => self.one_of.contains(value) || self.is_in_range(value),
        }
    }

    fn is_in_range(&self, value: &str) -> bool {
        let Some(range) = &self.range else { return false };
        value.parse().is_ok_and(|number| range.contains(&number))
    }

    /// Whether an object belongs to the rule's share. The decision depends only on the object and the rule, so either
    /// all rows of an object belong to it or none. `index` is the rule's position in the map.
    pub(in crate::trace) fn includes(&self, index: usize, object: u64) -> bool {
        let drawn = mix(object ^ (index as u64 + 1)) as f64 / u64::MAX as f64;
        self.share >= 1.0 || drawn < self.share
    }
}

/// How the time of a row is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeRule {
    /// Number of the column with the time.
    pub column: usize,
    /// Microseconds in one unit of the column.
    pub unit_micros: f64,
    /// Number of a column that is subtracted from the time, in the same unit.
    pub minus: Option<usize>,
}

/// The value that rows must have to be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowFilter {
    /// Number of the column.
    pub column: usize,
    /// The exact text that the column must have.
    pub value: String,
}
