//! Names of an expectation that the site must have.

use crate::config::hcl_document::unknown_name;

/// Why a name or a selector of an expectation cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The site has no such zone, class, kind or server; the text names the closest one.
    #[error("{0}")]
    Unknown(String),
    /// A cell that is no number.
    #[error("cell {0:?} is no number")]
    Cell(String),
    /// A set with no server in it, which no expectation can be about.
    #[error("{0} names no server of the list")]
    Empty(String),
}

/// The index of a name in a list; `what` is the kind of name for the error.
pub(super) fn index_of(what: &str, name: &str, known: &[String]) -> Result<u16, NameError> {
    let index = known.iter().position(|known| known == name);
    let unknown = || NameError::Unknown(unknown_name(what, name, known.iter().map(String::as_str)));
    index.map(|index| index as u16).ok_or_else(unknown)
}
