//! A file's name and text, and errors at a position in it.

use super::{BlockReader, Position};
use hcl_edit::structure::Body;
use hcl_edit::Span;

/// What is wrong with a file, and where. Its text is one line, `FILE:LINE:COLUMN: TEXT`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{at}: {text}")]
pub struct HclError {
    /// The file's name, as the operator stated it.
    pub file: String,
    /// Where in the file the error is.
    pub at: Position,
    /// What is wrong, without the position.
    pub text: String,
}

/// A file's name and text, for the positions in errors.
#[derive(Clone, Copy, Debug)]
pub struct HclDocument<'a> {
    /// The file's name, as the operator stated it.
    pub file: &'a str,
    /// The whole text of the file.
    pub text: &'a str,
}

impl<'a> HclDocument<'a> {
    /// Parses the text as HCL.
    ///
    /// # Errors
    ///
    /// Returns the parser's error and its position if the text is not HCL.
    pub fn parse(&self) -> Result<Body, HclError> {
        hcl_edit::parser::parse_body(self.text).map_err(|error| {
            let at = Position { line: error.location().line(), column: error.location().column() };
            HclError { file: self.file.to_owned(), at, text: format!("not HCL: {}", error.message()) }
        })
    }

    /// Returns the position at which a part of the parsed text begins.
    pub fn position(&self, part: &impl Span) -> Position {
        let offset = part.span().map_or(0, |span| span.start).min(self.text.len());
        let before = self.text.get(..offset).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |rest| rest.chars().count()) + 1;
        Position { line, column }
    }

    /// Creates an error at a position.
    pub fn error(&self, at: Position, text: impl Into<String>) -> HclError {
        HclError { file: self.file.to_owned(), at, text: text.into() }
    }

    /// Creates a reader for a body, that is the whole file or a block in it.
    pub fn reader(&self, body: &'a Body) -> BlockReader<'a> {
        BlockReader::new(*self, body)
    }
}
