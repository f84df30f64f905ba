//! Operators' HCL read with places: every error names file, line and column (`hcl-edit` keeps the spans that
//! `hcl-rs` drops). One [`Reader`] reads one block, and what nobody asked it for is an error at the end.

use crate::interface::ObjectId;
use hcl_edit::expr::Expression;
use hcl_edit::structure::{Attribute, Block, Body, Structure};
use hcl_edit::Span;
use std::collections::BTreeSet;
use std::fmt;

/// Where something stands in a file: line and column from 1, columns in characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A value and where it was written.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Its place.
    pub at: Place,
}

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
        Reader { doc: *self, body, asked: BTreeSet::new() }
    }
}

/// Reads one block's attributes and blocks by name, and says at the end what it was not asked for.
pub struct Reader<'a> {
    doc: Doc<'a>,
    body: &'a Body,
    asked: BTreeSet<String>,
}

impl<'a> Reader<'a> {
    fn attribute(&mut self, key: &str) -> Option<&'a Attribute> {
        self.asked.insert(key.to_owned());
        self.body.get_attribute(key)
    }

    fn wants<T>(&self, attribute: &Attribute, value: Option<T>, what: &str) -> Result<Located<T>, DocError> {
        let at = self.doc.place(&attribute.value);
        let value =
            value.ok_or_else(|| self.doc.error(at, format!("{} wants {what}", attribute.key.as_str())));
        Ok(Located { value: value?, at })
    }

    /// Where an attribute's value stands.
    pub fn place_of(&self, key: &str) -> Option<Place> {
        self.body.get_attribute(key).map(|attribute| self.doc.place(&attribute.value))
    }

    /// A text.
    ///
    /// # Errors
    ///
    /// A value of another type.
    pub fn string(&mut self, key: &str) -> Result<Option<Located<String>>, DocError> {
        let Some(attribute) = self.attribute(key) else { return Ok(None) };
        let value = attribute.value.as_str().map(str::to_owned);
        self.wants(attribute, value, "a text").map(Some)
    }

    /// A text or a list of texts; absent: an empty list.
    ///
    /// # Errors
    ///
    /// A value of another type, or an empty list.
    pub fn strings(&mut self, key: &str) -> Result<Vec<Located<String>>, DocError> {
        let Some(attribute) = self.attribute(key) else { return Ok(Vec::new()) };
        let text = |value: &Expression| {
            let at = self.doc.place(value);
            Some(Located { value: value.as_str()?.to_owned(), at })
        };
        let list = match &attribute.value {
            Expression::Array(array) => array.iter().map(text).collect(),
            one => text(one).map(|one| vec![one]),
        };
        let list = list.filter(|list: &Vec<_>| !list.is_empty());
        Ok(self.wants(attribute, list, "a text, or a list of texts that is not empty")?.value)
    }

    /// Objects of 16 hex digits each, a text or a list; absent: an empty list.
    ///
    /// # Errors
    ///
    /// A value of another type or form.
    pub fn objects(&mut self, key: &str) -> Result<Vec<ObjectId>, DocError> {
        let (texts, doc) = (self.strings(key)?, self.doc);
        let object = |text: Located<String>| {
            let number = u64::from_str_radix(&text.value, 16).ok().filter(|_| text.value.len() == 16);
            let wrong = || doc.error(text.at, format!("{:?} is not 16 hex digits", text.value));
            number.map(ObjectId).ok_or_else(wrong)
        };
        texts.into_iter().map(object).collect()
    }

    /// `true` or `false`.
    ///
    /// # Errors
    ///
    /// A value of another type.
    pub fn flag(&mut self, key: &str) -> Result<Option<Located<bool>>, DocError> {
        let Some(attribute) = self.attribute(key) else { return Ok(None) };
        self.wants(attribute, attribute.value.as_bool(), "true or false").map(Some)
    }

    /// A number in a range, both ends included.
    ///
    /// # Errors
    ///
    /// A value of another type, or out of its range.
    pub fn number(&mut self, key: &str, least: f64, most: f64) -> Result<Option<Located<f64>>, DocError> {
        let Some(attribute) = self.attribute(key) else { return Ok(None) };
        let value = attribute.value.as_number().and_then(hcl_edit::Number::as_f64);
        let value = value.filter(|value| (least..=most).contains(value));
        self.wants(attribute, value, &format!("a number from {least} to {most}")).map(Some)
    }

    /// A whole number in a range, both ends included.
    ///
    /// # Errors
    ///
    /// A value of another type, with a fraction, or out of its range.
    pub fn whole(&mut self, key: &str, least: u64, most: u64) -> Result<Option<Located<u64>>, DocError> {
        let Some(attribute) = self.attribute(key) else { return Ok(None) };
        let value = attribute.value.as_number().and_then(hcl_edit::Number::as_u64);
        let value = value.filter(|value| (least..=most).contains(value));
        self.wants(attribute, value, &format!("a whole number from {least} to {most}")).map(Some)
    }

    /// An object of names and numbers of 0 or more, `{ name = 2.5 }`; absent: empty.
    ///
    /// # Errors
    ///
    /// A value of another form.
    pub fn numbers(&mut self, key: &str) -> Result<Vec<(Located<String>, f64)>, DocError> {
        let Some(attribute) = self.attribute(key) else { return Ok(Vec::new()) };
        let read = |value: &Expression| {
            let object = value.as_object()?;
            let entry = |(key, value): (&hcl_edit::expr::ObjectKey, &hcl_edit::expr::ObjectValue)| {
                let at = self.doc.place(value.expr());
                let name = key.as_ident().map(|name| name.as_str().to_owned());
                let name = name.or_else(|| Some(key.as_expr()?.as_str()?.to_owned()))?;
                let number = value.expr().as_number()?.as_f64().filter(|n| n.is_finite() && *n >= 0.0)?;
                Some((Located { value: name, at }, number))
            };
            object.iter().map(entry).collect::<Option<Vec<_>>>()
        };
        let value = read(&attribute.value);
        Ok(self.wants(attribute, value, "an object of names and numbers of 0 or more")?.value)
    }

    /// The blocks of a name, in their order.
    pub fn blocks(&mut self, name: &str) -> Vec<&'a Block> {
        self.asked.insert(name.to_owned());
        self.body.blocks().filter(|block| block.has_ident(name)).collect()
    }

    /// The one block of a name, if it is there.
    ///
    /// # Errors
    ///
    /// A second one.
    pub fn block(&mut self, name: &str) -> Result<Option<&'a Block>, DocError> {
        match self.blocks(name)[..] {
            [] => Ok(None),
            [one] => Ok(Some(one)),
            [_, second, ..] => Err(self.doc.error(self.doc.place(second), format!("a second {name} block"))),
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    ///
    /// The first thing that was never asked for, with the names that are known.
    pub fn finish(self) -> Result<(), DocError> {
        let name = |part: &Structure| match part {
            Structure::Attribute(attribute) => attribute.key.as_str().to_owned(),
            Structure::Block(block) => block.ident.as_str().to_owned(),
        };
        let strange = self.body.iter().find(|part| !self.asked.contains(&name(part)));
        let Some(strange) = strange else { return Ok(()) };
        let text = unknown("key", &name(strange), self.asked.iter().map(String::as_str));
        Err(self.doc.error(self.doc.place(strange), text))
    }
}

/// Says that a name is not known, with the closest one that is (by edit distance, `strsim`).
pub fn unknown<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let known: BTreeSet<&str> = known.collect();
    let near = known.iter().map(|k| (strsim::damerau_levenshtein(k, name), *k)).min();
    match near.filter(|(distance, _)| *distance <= 1 + name.len() / 3) {
        Some((_, near)) => format!("no {what} {name:?}; did you mean {near:?}?"),
        None if known.is_empty() => format!("no {what} {name:?}; there is none"),
        None => {
            let list = known.iter().take(12).copied().collect::<Vec<_>>().join(", ");
            let more = if known.len() > 12 { ", ..." } else { "" };
            format!("no {what} {name:?}; there are {list}{more}")
        }
    }
}

#[cfg(test)]
mod tests;
