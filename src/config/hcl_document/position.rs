//! Positions in a file, and values with their position.

use std::fmt;

/// A position in a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Number of the line, from 1.
    pub line: usize,
    /// Number of the character in the line, from 1.
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A value and its position in the file.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value that was read.
    pub value: T,
    /// Where the value begins.
    pub at: Position,
}
