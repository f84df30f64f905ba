//! How a trace's columns become requests: a published format by its name, or columns named one by one, and classes
//! by rules. HCL, with places.

mod formats;

use crate::config::located::{unknown, Doc, DocError, Located, Place, Reader};
use crate::interface::Span;
use crate::spread::mix;
use formats::{Format, FORMATS};
use hcl_edit::structure::Block;
use std::collections::BTreeSet;
use std::ops::Range;

/// The name of a file whose columns the map names.
const CSV: &str = "csv";
const DEFAULT_REORDER_S: u64 = 60;
const DEFAULT_WINDOW_S: u64 = 600;
const DEFAULT_SLICES: usize = 20;
const DEFAULT_SEED: u64 = 1;
const MAX_SECONDS: u64 = 10_000_000;
const MAX_SLICES: u64 = 100_000;
/// The largest number that a range's bound may be.
const MAX_BOUND: f64 = 1e300;

/// A class of requests, and which rows are of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRule {
    /// The class's name in the configuration.
    pub class: String,
    /// The column that is looked at, by number; `None`: all rows match.
    pub column: Option<usize>,
    /// Its value is one of these.
    pub one_of: BTreeSet<String>,
    /// Or a number in this range.
    pub range: Option<Range<f64>>,
    /// Of the rows that match, this part of the objects.
    pub part: f64,
}

impl ClassRule {
    /// Whether a row matches by the value of the rule's column; `None`: the rule has no column, `Some(None)`: the row
    /// has no value.
    pub(super) fn matches(&self, value: Option<Option<&str>>) -> bool {
        match value {
            None => true,
            Some(None) => false,
            Some(Some(value)) => self.one_of.contains(value) || self.is_in_range(value),
        }
    }

    fn is_in_range(&self, value: &str) -> bool {
        let Some(range) = &self.range else { return false };
        value.parse().is_ok_and(|number| range.contains(&number))
    }

    /// Whether an object is of the rule's part: an object is of it with all its rows, or with none. `place` is the
    /// rule's place in the map.
    pub(super) fn draws(&self, place: usize, object: u64) -> bool {
        let drawn = mix(object ^ (place as u64 + 1)) as f64 / u64::MAX as f64;
        self.part >= 1.0 || drawn < self.part
    }
}

/// The time of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeRule {
    /// The column, by number.
    pub column: usize,
    /// Microseconds in its unit.
    pub unit: f64,
    /// A column that is subtracted from the time.
    pub minus: Option<usize>,
}

/// A value that rows must have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnlyRule {
    /// The column, by number.
    pub column: usize,
    /// The value.
    pub value: String,
}

/// How a trace is read and sampled.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceMap {
    /// Whether the first line names the columns.
    pub header: bool,
    /// The columns' names; empty: the header's.
    pub columns: Vec<String>,
    /// The time of a row.
    pub time: TimeRule,
    /// The columns whose values name the object.
    pub object: Vec<usize>,
    /// Only rows that have this value.
    pub only: Option<OnlyRule>,
    /// Rows are put in order over this span.
    pub reorder: Span,
    /// The test's length.
    pub window: Span,
    /// Slices of a longer trace.
    pub slices: usize,
    /// The seed of their places.
    pub seed: u64,
    /// The classes; a row is of the first that matches.
    pub classes: Vec<ClassRule>,
}

impl TraceMap {
    /// Reads a map. `header` is the trace's first line, for formats whose columns it names.
    ///
    /// # Errors
    ///
    /// Text that is not HCL, an unknown key or column, a value out of its range; with line and column.
    pub fn parse(doc: Doc<'_>, header: &[String]) -> Result<Self, DocError> {
        let body = doc.body()?;
        let mut file = doc.reader(&body);
        let start = Place { line: 1, column: 1 };
        let block = file.block("trace")?.ok_or_else(|| doc.error(start, "no trace block"))?;
        file.finish()?;
        let mut reader = doc.reader(&block.body);
        let format = read_format(doc, &mut reader)?;
        let columns = read_columns(doc, block, format, &mut reader, header)?;
        let mut map = MapReader { doc, block, format, names: columns.names, reader };
        let time = map.read_time()?;
        let object = map.read_object()?;
        let only = map.read_only()?;
        let reorder = map.read_seconds("reorder_s", DEFAULT_REORDER_S, 0)?;
        let window = map.read_seconds("window_s", DEFAULT_WINDOW_S, 1)?;
        let slices = map.reader.whole("slices", 1, MAX_SLICES)?;
        let seed = map.reader.whole("seed", 0, u64::MAX)?;
        let classes = map.read_classes()?;
        map.reader.finish()?;
        if classes.is_empty() {
            return Err(doc.error(doc.place(block), "no class block: which class are the requests of?"));
        }
        Ok(TraceMap {
            header: columns.has_header,
            columns: if columns.from_header { Vec::new() } else { map.names },
            time,
            object,
            only,
            reorder,
            window,
            slices: slices.map_or(DEFAULT_SLICES, |slices| slices.value as usize),
            seed: seed.map_or(DEFAULT_SEED, |seed| seed.value),
            classes,
        })
    }
}

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// The format that the map names; `None`: its columns are named one by one.
fn read_format(doc: Doc<'_>, reader: &mut Reader<'_>) -> Result<Option<&'static Format>, DocError> {
    let Some(name) = reader.string("format")?.filter(|name| name.value != CSV) else { return Ok(None) };
    let known = FORMATS.iter().find(|format| format.name == name.value);
    let names = FORMATS.iter().map(|format| format.name).chain([CSV]);
    let format = known.ok_or_else(|| doc.error(name.at, unknown("format", &name.value, names)))?;
    Ok(Some(format))
}

/// The columns of a file.
struct Columns {
    names: Vec<String>,
    /// Whether the file's first line is a header.
    has_header: bool,
    /// Whether the names are those of the header.
    from_header: bool,
}

/// The columns that the map lists, those of the format, or those of the file's header.
fn read_columns(
    doc: Doc<'_>,
    block: &Block,
    format: Option<&Format>,
    reader: &mut Reader<'_>,
    header: &[String],
) -> Result<Columns, DocError> {
    let listed = reader.strings("columns")?;
    let flag = reader.flag("header")?;
    let has_header = flag.map_or(format.is_none_or(|format| format.header), |flag| flag.value);
    let from_header = listed.is_empty() && format.is_none();
    if from_header && !has_header {
        return Err(doc.error(doc.place(block), "without a header the columns have to be listed"));
    }
    let names = match format {
        _ if from_header => header.to_vec(),
        Some(format) if listed.is_empty() => owned(format.columns),
        _ => listed.into_iter().map(|name| name.value).collect(),
    };
    Ok(Columns { names, has_header, from_header })
}

/// Reads the `trace` block.
struct MapReader<'a> {
    doc: Doc<'a>,
    block: &'a Block,
    format: Option<&'static Format>,
    /// The columns' names.
    names: Vec<String>,
    reader: Reader<'a>,
}

impl MapReader<'_> {
    /// The number of a column.
    fn column(&self, name: &str, at: Place) -> Result<usize, DocError> {
        let number = self.names.iter().position(|known| known == name);
        number.ok_or_else(|| {
            let text = unknown("column", name, self.names.iter().map(String::as_str));
            self.doc.error(at, text)
        })
    }

    fn located_column(&self, name: &Located<String>) -> Result<usize, DocError> {
        self.column(&name.value, name.at)
    }

    /// The number of a column that the format names.
    fn format_column(&self, name: &str) -> Result<usize, DocError> {
        self.column(name, self.doc.place(self.block))
    }

    fn read_time(&mut self) -> Result<TimeRule, DocError> {
        let Some(block) = self.reader.block("time")? else { return self.format_time() };
        let mut reader = self.doc.reader(&block.body);
        let column = reader.string("column")?;
        let column = column.ok_or_else(|| self.doc.error(self.doc.place(block), "time names no column"))?;
        let unit = reader.string("unit")?;
        let minus = reader.string("minus")?;
        reader.finish()?;
        let unit = unit.as_ref().map_or("s", |unit| unit.value.as_str());
        let unit = self.micros_in(unit, column.at)?;
        let minus = minus.map(|minus| self.column(&minus.value, column.at)).transpose()?;
        Ok(TimeRule { column: self.located_column(&column)?, unit, minus })
    }

    fn format_time(&self) -> Result<TimeRule, DocError> {
        let at = self.doc.place(self.block);
        let format = self.format.ok_or_else(|| self.doc.error(at, "no time block"))?;
        let unit = self.micros_in(format.time.unit, at)?;
        let minus = format.time.minus.map(|minus| self.format_column(minus)).transpose()?;
        Ok(TimeRule { column: self.format_column(format.time.column)?, unit, minus })
    }

    /// The microseconds in a unit.
    fn micros_in(&self, unit: &str, at: Place) -> Result<f64, DocError> {
        match unit {
            "s" => Ok(1e6),
            "ms" => Ok(1e3),
            "us" => Ok(1.0),
            "ns" => Ok(1e-3),
            other => Err(self.doc.error(at, format!("unit {other:?} is none of s, ms, us, ns"))),
        }
    }

    fn read_object(&mut self) -> Result<Vec<usize>, DocError> {
        let named = self.reader.strings("object")?;
        if !named.is_empty() {
            return named.iter().map(|name| self.located_column(name)).collect();
        }
        let at = self.doc.place(self.block);
        let format = self.format.ok_or_else(|| self.doc.error(at, "object names no columns"))?;
        format.object.iter().map(|name| self.format_column(name)).collect()
    }

    fn read_only(&mut self) -> Result<Option<OnlyRule>, DocError> {
        let Some(block) = self.reader.block("only")? else { return self.format_only() };
        let mut reader = self.doc.reader(&block.body);
        let missing = |what: &str| self.doc.error(self.doc.place(block), format!("only names no {what}"));
        let column = reader.string("column")?.ok_or_else(|| missing("column"))?;
        let value = reader.string("value")?.ok_or_else(|| missing("value"))?;
        reader.finish()?;
        Ok(Some(OnlyRule { column: self.located_column(&column)?, value: value.value }))
    }

    fn format_only(&self) -> Result<Option<OnlyRule>, DocError> {
        let Some(only) = self.format.and_then(|format| format.only.as_ref()) else { return Ok(None) };
        Ok(Some(OnlyRule { column: self.format_column(only.column)?, value: only.value.to_owned() }))
    }

    /// A span in whole seconds.
    fn read_seconds(&mut self, key: &str, default: u64, least: u64) -> Result<Span, DocError> {
        let seconds = self.reader.whole(key, least, MAX_SECONDS)?;
        Ok(Span::from_secs(seconds.map_or(default, |seconds| seconds.value) as i64))
    }

    fn read_classes(&mut self) -> Result<Vec<ClassRule>, DocError> {
        let blocks = self.reader.blocks("class");
        blocks.into_iter().map(|block| self.read_class(block)).collect()
    }

    fn read_class(&self, block: &Block) -> Result<ClassRule, DocError> {
        let at = self.doc.place(block);
        let [label] = &block.labels[..] else {
            return Err(self.doc.error(at, "a class has one name: class \"NAME\" { ... }"));
        };
        let mut reader = self.doc.reader(&block.body);
        let column = reader.string("column")?.map(|name| self.located_column(&name)).transpose()?;
        let one_of = reader.strings("one_of")?;
        let from = reader.number("from", -MAX_BOUND, MAX_BOUND)?;
        let below = reader.number("below", -MAX_BOUND, MAX_BOUND)?;
        let part = reader.number("part", 0.0, 1.0)?;
        reader.finish()?;
        let has_range = from.is_some() || below.is_some();
        if column.is_none() != (one_of.is_empty() && !has_range) {
            let text = "a class names a column together with one_of, from or below, or none of them";
            return Err(self.doc.error(at, text));
        }
        let start = from.map_or(f64::NEG_INFINITY, |from| from.value);
        let end = below.map_or(f64::INFINITY, |below| below.value);
        Ok(ClassRule {
            class: label.as_str().to_owned(),
            column,
            one_of: one_of.into_iter().map(|value| value.value).collect(),
            range: has_range.then_some(start..end),
            part: part.map_or(1.0, |part| part.value),
        })
    }
}
