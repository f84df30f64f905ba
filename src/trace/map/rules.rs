//! Which rows of a trace are used, when they happened, and of which class they are.

use crate::splitmix64::mix;
use std::collections::BTreeSet;
use std::ops::Range;

/// A class of requests, and which rows are of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRule {
    /// The class's name in the configuration.
    pub class: String,
    /// The column that is looked at, by number; `None`: all rows match.
    pub column: Option<usize>,
    /// Its value is one of these.
    pub one_of: BTreeSet<String>,
    /// Or a number in this range.
    pub range: Option<Range<f64>>,
    /// Of the rows that match, this part of the objects.
    pub share: f64,
}

impl ClassRule {
    /// Whether a row matches by the value of the rule's column; `None`: the rule has no column, `Some(None)`: the row
    /// has no value.
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

    /// Whether an object is of the rule's part: an object is of it with all its rows, or with none. `index` is the
    /// rule's place in the map.
    pub(in crate::trace) fn includes(&self, index: usize, object: u64) -> bool {
        let drawn = mix(object ^ (index as u64 + 1)) as f64 / u64::MAX as f64;
        self.share >= 1.0 || drawn < self.share
    }
}

/// The time of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeRule {
    /// The column, by number.
    pub column: usize,
    /// Microseconds in its unit.
    pub unit_micros: f64,
    /// A column that is subtracted from the time.
    pub minus: Option<usize>,
}

/// A value that rows must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowFilter {
    /// The column, by number.
    pub column: usize,
    /// The value.
    pub value: String,
}
