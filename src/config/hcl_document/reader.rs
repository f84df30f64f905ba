//! Reads the attributes and inner blocks of one HCL block.

use super::{unknown_name, HclDocument, HclError, Located, Position};
use crate::interface::ObjectId;
use hcl_edit::expr::{Expression, ObjectKey, ObjectValue};
use hcl_edit::structure::{Attribute, Block, Body, Structure};
use std::collections::BTreeSet;

/// An entry of an object of names and numbers, such as `{ name = 2.5 }`.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedNumber {
    /// The name, with the position of its number.
    pub name: Located<String>,
    /// The number, 0 or more.
    pub number: f64,
}

/// Reads the attributes and inner blocks of one block by name. [`BlockReader::finish`] returns an error for a name that
/// was not read.
pub struct BlockReader<'a> {
    doc: HclDocument<'a>,
    body: &'a Body,
    /// The names that were read, whether they are present or not.
    known: BTreeSet<String>,
}

impl<'a> BlockReader<'a> {
    pub(super) fn new(doc: HclDocument<'a>, body: &'a Body) -> Self {
        BlockReader { doc, body, known: BTreeSet::new() }
    }

    fn attribute(&mut self, key: &str) -> Option<&'a Attribute> {
        self.known.insert(key.to_owned());
        self.body.get_attribute(key)
    }

    /// Returns an attribute's value with its position, or an error that states what the attribute must be.
    fn located<T>(
        &self,
        attribute: &Attribute,
        value: Option<T>,
        expected: &str,
    ) -> Result<Located<T>, HclError> {
        let at = self.doc.position(&attribute.value);
        let unexpected = || self.doc.error(at, format!("{} must be {expected}", attribute.key.as_str()));
        Ok(Located { value: value.ok_or_else(unexpected)?, at })
    }

    /// Returns the position of an attribute's value; `None` if the attribute is absent.
    pub fn position_of(&self, key: &str) -> Option<Position> {
        self.body.get_attribute(key).map(|attribute| self.doc.position(&attribute.value))
    }

    /// Reads a string; `None` if the attribute is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has another type.
    pub fn string(&mut self, key: &str) -> Result<Option<Located<String>>, HclError> {
        let Some(attribute) = self.attribute(key) else { return Ok(None) };
        let value = attribute.value.as_str().map(str::to_owned);
        self.located(attribute, value, "a string").map(Some)
    }

    /// Reads a string or a list of strings; an empty list if the attribute is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has another type or is an empty list.
    pub fn strings(&mut self, key: &str) -> Result<Vec<Located<String>>, HclError> {
        let Some(attribute) = self.attribute(key) else { return Ok(Vec::new()) };
        let text = |value: &Expression| {
            let at = self.doc.position(value);
            Some(Located { value: value.as_str()?.to_owned(), at })
        };
        let list = match &attribute.value {
            Expression::Array(array) => array.iter().map(text).collect(),
            one => text(one).map(|one| vec![one]),
        };
        let list = list.filter(|list: &Vec<_>| !list.is_empty());
        Ok(self.located(attribute, list, "a string, or a list of strings that is not empty")?.value)
    }

    /// Reads object ids of 16 hex digits each, as a string or a list of strings; an empty list if the attribute is
    /// absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has another type, or an id has another form.
    pub fn object_ids(&mut self, key: &str) -> Result<Vec<ObjectId>, HclError> {
        let (texts, doc) = (self.strings(key)?, self.doc);
        let object = |text: Located<String>| {
            let number = u64::from_str_radix(&text.value, 16).ok().filter(|_| text.value.len() == 16);
            let invalid = || doc.error(text.at, format!("{:?} is not 16 hex digits", text.value));
            number.map(ObjectId).ok_or_else(invalid)
        };
        texts.into_iter().map(object).collect()
    }

    /// Reads `true` or `false`; `None` if the attribute is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has another type.
    pub fn boolean(&mut self, key: &str) -> Result<Option<Located<bool>>, HclError> {
        let Some(attribute) = self.attribute(key) else { return Ok(None) };
        self.located(attribute, attribute.value.as_bool(), "true or false").map(Some)
    }

    /// Reads a number from `min` to `max`, both included; `None` if the attribute is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has another type or is out of its range.
    pub fn number(&mut self, key: &str, min: f64, max: f64) -> Result<Option<Located<f64>>, HclError> {
        let Some(attribute) = self.attribute(key) else { return Ok(None) };
        let value = attribute.value.as_number().and_then(hcl_edit::Number::as_f64);
        let value = value.filter(|value| (min..=max).contains(value));
        self.located(attribute, value, &format!("a number from {min} to {max}")).map(Some)
    }

    /// Reads a whole number from `min` to `max`, both included; `None` if the attribute is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has another type, has a fraction, or is out of its range.
    pub fn integer(&mut self, key: &str, min: u64, max: u64) -> Result<Option<Located<u64>>, HclError> {
        let Some(attribute) = self.attribute(key) else { return Ok(None) };
        let value = attribute.value.as_number().and_then(hcl_edit::Number::as_u64);
        let value = value.filter(|value| (min..=max).contains(value));
        self.located(attribute, value, &format!("a whole number from {min} to {max}")).map(Some)
    }

    /// Reads an object of names and numbers of 0 or more, such as `{ name = 2.5 }`; an empty list if the attribute is
    /// absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the value has another form.
    pub fn named_numbers(&mut self, key: &str) -> Result<Vec<NamedNumber>, HclError> {
        let Some(attribute) = self.attribute(key) else { return Ok(Vec::new()) };
        let object = attribute.value.as_object();
        let entries = object.and_then(|object| object.iter().map(|entry| self.named_number(entry)).collect());
        Ok(self.located(attribute, entries, "an object of names and numbers of 0 or more")?.value)
    }

    fn named_number(&self, (key, value): (&ObjectKey, &ObjectValue)) -> Option<NamedNumber> {
        let at = self.doc.position(value.expr());
        let identifier = key.as_ident().map(|name| name.as_str().to_owned());
        let name = identifier.or_else(|| Some(key.as_expr()?.as_str()?.to_owned()))?;
        let number = value.expr().as_number()?.as_f64()?;
        let valid = number.is_finite() && number >= 0.0;
        valid.then_some(NamedNumber { name: Located { value: name, at }, number })
    }

    /// Returns the inner blocks of a name, in the order of the file.
    pub fn blocks(&mut self, name: &str) -> Vec<&'a Block> {
        self.known.insert(name.to_owned());
        self.body.blocks().filter(|block| block.has_ident(name)).collect()
    }

    /// Returns the only inner block of a name; `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if there is a second one.
    pub fn block(&mut self, name: &str) -> Result<Option<&'a Block>, HclError> {
        match self.blocks(name)[..] {
            [] => Ok(None),
            [one] => Ok(Some(one)),
            [_, second, ..] => {
                Err(self.doc.error(self.doc.position(second), format!("a second {name} block")))
            }
        }
    }

    /// Checks that all attributes and blocks were read.
    ///
    /// # Errors
    ///
    /// Returns an error for the first attribute or block that was not read; it suggests or lists the known names.
    pub fn finish(self) -> Result<(), HclError> {
        match self.body.iter().find(|part| !self.known.contains(name_of(part))) {
            Some(extra) => {
                let text = unknown_name("key", name_of(extra), self.known.iter().map(String::as_str));
                Err(self.doc.error(self.doc.position(extra), text))
            }
            None => Ok(()),
        }
    }
}

fn name_of(part: &Structure) -> &str {
    match part {
        Structure::Attribute(attribute) => attribute.key.as_str(),
        Structure::Block(block) => block.ident.as_str(),
    }
}
