//! A file's name and text, and the errors that name a place in it.

use super::{BlockReader, Position};
use hcl_edit::structure::Body;
use hcl_edit::Span;

/// What is wrong with a file, and where; its text is one line, `FILE:LINE:COLUMN: TEXT`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{at}: {text}")]
pub struct HclError {
    /// The file as it was named.
    pub file: String,
    /// The place.
    pub at: Position,
    /// What is wrong.
    pub text: String,
}

/// A file's name and text, for places.
#[derive(Clone, Copy, Debug)]
pub struct HclDocument<'a> {
    /// The file as the operator named it.
    pub file: &'a str,
    /// Its text.
    pub text: &'a str,
}

impl<'a> HclDocument<'a> {
    /// Parses the text.
    ///
    /// # Errors
    ///
    /// Text that is not HCL, at the parser's place.
    pub fn parse(&self) -> Result<Body, HclError> {
        hcl_edit::parser::parse_body(self.text).map_err(|error| {
            let at = Position { line: error.location().line(), column: error.location().column() };
            HclError { file: self.file.to_owned(), at, text: format!("not HCL: {}", error.message()) }
        })
    }

    /// Where a part of the parsed text stands.
    pub fn position(&self, part: &impl Span) -> Position {
        let offset = part.span().map_or(0, |span| span.start).min(self.text.len());
        let before = self.text.get(..offset).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |rest| rest.chars().count()) + 1;
        Position { line, column }
    }

    /// An error at a place.
    pub fn error(&self, at: Position, text: impl Into<String>) -> HclError {
        HclError { file: self.file.to_owned(), at, text: text.into() }
    }

    /// A reader of a body.
    pub fn reader(&self, body: &'a Body) -> BlockReader<'a> {
        BlockReader::new(*self, body)
    }
}
