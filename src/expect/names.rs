//! Resolves names in expectations to the site's zones, classes, kinds and cells.

use crate::config::hcl_document::unknown_name;

/// The reason why a name or a selector in an expectation cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// The site has no such zone, class, kind or server; the text suggests the closest name.
    #[error("{0}")]
    Unknown(String),
    /// The cell of a `cell:NUMBER` selector is not a number.
    #[error("cell {0:?} is not a number from 0 to 65535")]
    InvalidCell(String),
    /// The selector matches no listed server, so that no rule could ever apply to it.
    #[error("{0} matches no server of the endpoint list")]
    NoServers(String),
}

/// Returns the index of a name in a list; `what` is the kind of name for the error.
pub(super) fn index_of(what: &str, name: &str, known: &[String]) -> Result<u16, NameError> {
    let index = known.iter().position(|known| known == name);
    let unknown = || NameError::Unknown(unknown_name(what, name, known.iter().map(String::as_str)));
    index.map(|index| index as u16).ok_or_else(unknown)
}
