//! Operators' HCL files, read with places: every error names file, line and column (`hcl-edit` keeps the spans that
//! `hcl-rs` drops).
//!
//! - `document`: a file's name and text, and errors at a place in it.
//! - `reader`: reads one block by its keys; a key that was not read is an error at the end.
//! - `position`: line and column, and values with their place.
//! - `suggestion`: what an unknown name may have been meant to be.

mod document;
mod position;
mod reader;
mod suggestion;

pub use document::{HclDocument, HclError};
pub use position::{Located, Position};
pub use reader::{BlockReader, NamedNumber};
pub use suggestion::unknown_name;

#[cfg(test)]
mod tests;
