//! A file's name and text, and the errors that name a place in it.

use super::{Place, Reader};
use hcl_edit::structure::Body;
use hcl_edit::Span;

/// What is wrong with a file, and where; its text is one line, `FILE:LINE:COLUMN: TEXT`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{at}: {text}")]
pub struct DocError {
    /// The file as it was named.
    pub file: String,
    /// The place.
    pub at: Place,
    /// What is wrong.
    pub text: String,
}

/// A file's name and text, for places.
#[derive(Clone, Copy, Debug)]
pub struct Doc<'a> {
    /// The file as the operator named it.
    pub file: &'a str,
    /// Its text.
    pub text: &'a str,
}

impl<'a> Doc<'a> {
    /// Parses the text.
    ///
    /// # Errors
    ///
    /// Text that is not HCL, at the parser's place.
    pub fn body(&self) -> Result<Body, DocError> {
        hcl_edit::parser::parse_body(self.text).map_err(|error| {
            let at = Place { line: error.location().line(), column: error.location().column() };
            DocError { file: self.file.to_owned(), at, text: format!("not HCL: {}", error.message()) }
        })
    }

    /// Where a part of the parsed text stands.
    pub fn place(&self, part: &impl Span) -> Place {
        let offset = part.span().map_or(0, |span| span.start).min(self.text.len());
        let before = self.text.get(..offset).unwrap_or("");
        let line = before.matches('\n').count() + 1;
        let column = before.rsplit('\n').next().map_or(0, |rest| rest.chars().count()) + 1;
        Place { line, column }
    }

    /// An error at a place.
    pub fn error(&self, at: Place, text: impl Into<String>) -> DocError {
        DocError { file: self.file.to_owned(), at, text: text.into() }
    }

    /// A reader of a body.
    pub fn reader(&self, body: &'a Body) -> Reader<'a> {
        Reader::new(*self, body)
    }
}
