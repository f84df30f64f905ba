//! A reader for operators' HCL files. Every error states file, line and column, so the files are parsed by `hcl-edit`,
//! which keeps the positions that `hcl-rs` drops.
//!
//! - `document`: a file's name and text, and errors at a position in it.
//! - `reader`: reads the keys of one block; a key that the caller never reads is an error.
//! - `position`: line and column, and values with their position.
//! - `suggestion`: error texts for unknown names, with the closest known name.

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
