//! Reads the parts of a map's `trace` block. A published format supplies the parts that the map leaves out.

use super::formats::Format;
use super::rules::{ClassRule, RowFilter, TimeRule};
use crate::config::hcl_document::{unknown_name, BlockReader, HclDocument, HclError, Located, Position};
use crate::interface::Span;
use hcl_edit::structure::Block;

/// The longest span that a map may state, in seconds.
const MAX_SECONDS: u64 = 10_000_000;
/// The largest absolute value of a bound of a class's range.
const MAX_BOUND: f64 = 1e300;

/// A `trace` block that is being read.
pub(super) struct MapReader<'a> {
    pub(super) doc: HclDocument<'a>,
    pub(super) block: &'a Block,
    pub(super) format: Option<&'static Format>,
    /// Names of the columns, in the file's order.
    pub(super) names: Vec<String>,
    pub(super) reader: BlockReader<'a>,
}

impl MapReader<'_> {
    /// Returns the number of a column; an error at `at` if there is none with this name.
    fn column(&self, name: &str, at: Position) -> Result<usize, HclError> {
        let number = self.names.iter().position(|known| known == name);
        number.ok_or_else(|| {
            let text = unknown_name("column", name, self.names.iter().map(String::as_str));
            self.doc.error(at, text)
        })
    }

    fn located_column(&self, name: &Located<String>) -> Result<usize, HclError> {
        self.column(&name.value, name.at)
    }

    /// Returns the number of a column that the format names; errors point at the `trace` block.
    fn column_of_format(&self, name: &str) -> Result<usize, HclError> {
        self.column(name, self.doc.position(self.block))
    }

    /// Reads how the time of a row is computed: from the `time` block, otherwise from the format.
    pub(super) fn read_time(&mut self) -> Result<TimeRule, HclError> {
        let Some(block) = self.reader.block("time")? else { return self.format_time() };
        let mut reader = self.doc.reader(&block.body);
        let column = reader.string("column")?;
        let column =
            column.ok_or_else(|| self.doc.error(self.doc.position(block), "the time block has no column"))?;
        let unit = reader.string("unit")?;
        let minus = reader.string("minus")?;
        reader.finish()?;
        let unit = unit.as_ref().map_or("s", |unit| unit.value.as_str());
        let unit_micros = self.micros_in(unit, column.at)?;
        let minus = minus.map(|minus| self.column(&minus.value, column.at)).transpose()?;
        Ok(TimeRule { column: self.located_column(&column)?, unit_micros, minus })
    }

    fn format_time(&self) -> Result<TimeRule, HclError> {
        let at = self.doc.position(self.block);
        let format = self.format.ok_or_else(|| self.doc.error(at, "the trace block has no time block"))?;
        let unit_micros = self.micros_in(format.time.unit, at)?;
        let minus = format.time.minus.map(|minus| self.column_of_format(minus)).transpose()?;
        Ok(TimeRule { column: self.column_of_format(format.time.column)?, unit_micros, minus })
    }

    /// Returns the number of microseconds in a unit.
    fn micros_in(&self, unit: &str, at: Position) -> Result<f64, HclError> {
        match unit {
            "s" => Ok(1e6),
            "ms" => Ok(1e3),
            "us" => Ok(1.0),
            "ns" => Ok(1e-3),
            other => Err(self.doc.error(at, format!("unit {other:?} is none of s, ms, us, ns"))),
        }
    }

    /// Reads the numbers of the columns that identify the object, from the map or from the format.
    pub(super) fn read_object(&mut self) -> Result<Vec<usize>, HclError> {
        let named = self.reader.strings("object")?;
        if !named.is_empty() {
            return named.iter().map(|name| self.located_column(name)).collect();
        }
        let at = self.doc.position(self.block);
        let format = self.format.ok_or_else(|| {
            self.doc.error(at, "the trace block has no object: list the columns that identify the object")
        })?;
        format.object.iter().map(|name| self.column_of_format(name)).collect()
    }

    /// Reads the value that rows must have, from the map's `only` block or from the format.
    pub(super) fn read_filter(&mut self) -> Result<Option<RowFilter>, HclError> {
        let Some(block) = self.reader.block("only")? else { return self.format_filter() };
        let mut reader = self.doc.reader(&block.body);
        let missing =
            |what: &str| self.doc.error(self.doc.position(block), format!("the only block has no {what}"));
        let column = reader.string("column")?.ok_or_else(|| missing("column"))?;
        let value = reader.string("value")?.ok_or_else(|| missing("value"))?;
        reader.finish()?;
        Ok(Some(RowFilter { column: self.located_column(&column)?, value: value.value }))
    }

    fn format_filter(&self) -> Result<Option<RowFilter>, HclError> {
        let Some(filter) = self.format.and_then(|format| format.filter.as_ref()) else { return Ok(None) };
        Ok(Some(RowFilter { column: self.column_of_format(filter.column)?, value: filter.value.to_owned() }))
    }

    /// Reads a span in whole seconds, from `min` to [`MAX_SECONDS`].
    pub(super) fn read_seconds(&mut self, key: &str, default: u64, min: u64) -> Result<Span, HclError> {
        let seconds = self.reader.integer(key, min, MAX_SECONDS)?;
        Ok(Span::from_secs(seconds.map_or(default, |seconds| seconds.value) as i64))
    }

    /// Reads all class rules, in the map's order.
    pub(super) fn read_classes(&mut self) -> Result<Vec<ClassRule>, HclError> {
        let blocks = self.reader.blocks("class");
        blocks.into_iter().map(|block| self.read_class(block)).collect()
    }

    fn read_class(&self, block: &Block) -> Result<ClassRule, HclError> {
        let at = self.doc.position(block);
        let [label] = &block.labels[..] else {
            return Err(self.doc.error(at, "a class block has exactly one label: class \"NAME\" { ... }"));
        };
        let mut reader = self.doc.reader(&block.body);
        let column = reader.string("column")?.map(|name| self.located_column(&name)).transpose()?;
        let one_of = reader.strings("one_of")?;
        let from = reader.number("from", -MAX_BOUND, MAX_BOUND)?;
        let below = reader.number("below", -MAX_BOUND, MAX_BOUND)?;
        let share = reader.number("part", 0.0, 1.0)?;
        reader.finish()?;
        let has_range = from.is_some() || below.is_some();
        if column.is_none() != (one_of.is_empty() && !has_range) {
            let text =
                "a class block must have a column together with one_of, from or below, or none of these";
            return Err(self.doc.error(at, text));
        }
        let start = from.map_or(f64::NEG_INFINITY, |from| from.value);
        let end = below.map_or(f64::INFINITY, |below| below.value);
        Ok(ClassRule {
            class: label.as_str().to_owned(),
            column,
            one_of: one_of.into_iter().map(|value| value.value).collect(),
            range: has_range.then_some(start..end),
            share: share.map_or(1.0, |share| share.value),
        })
    }
}
