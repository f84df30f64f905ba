//! How a trace's columns become requests: a published format by its name, or columns named one by one, and classes
//! by rules. HCL, with places.
//!
//! - `formats`: the published formats; `columns`: the columns of a file.
//! - `rules`: which rows are used, and of which class they are.
//! - `reader`: reads the parts of the `trace` block.

mod columns;
mod formats;
mod reader;
mod rules;

pub use rules::{ClassRule, RowFilter, TimeRule};

use crate::config::hcl_document::{HclDocument, HclError, Position};
use crate::interface::Span;
use columns::{read_columns, read_format};
use reader::MapReader;

const DEFAULT_REORDER_S: u64 = 60;
const DEFAULT_WINDOW_S: u64 = 600;
const DEFAULT_SLICES: usize = 20;
const DEFAULT_SEED: u64 = 1;
const MAX_SLICES: u64 = 100_000;

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
    pub filter: Option<RowFilter>,
    /// Rows are put in order over this span.
    pub reorder: Span,
    /// The length of the test.
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
    pub fn parse(doc: HclDocument<'_>, header: &[String]) -> Result<Self, HclError> {
        let body = doc.parse()?;
        let mut file = doc.reader(&body);
        let start = Position { line: 1, column: 1 };
        let block = file.block("trace")?.ok_or_else(|| doc.error(start, "no trace block"))?;
        file.finish()?;
        let mut reader = doc.reader(&block.body);
        let format = read_format(doc, &mut reader)?;
        let columns = read_columns(doc, block, format, &mut reader, header)?;
        let mut map = MapReader { doc, block, format, names: columns.names, reader };
        let time = map.read_time()?;
        let object = map.read_object()?;
        let filter = map.read_filter()?;
        let reorder = map.read_seconds("reorder_s", DEFAULT_REORDER_S, 0)?;
        let window = map.read_seconds("window_s", DEFAULT_WINDOW_S, 1)?;
        let slices = map.reader.integer("slices", 1, MAX_SLICES)?;
        let seed = map.reader.integer("seed", 0, u64::MAX)?;
        let classes = map.read_classes()?;
        map.reader.finish()?;
        if classes.is_empty() {
            return Err(doc.error(doc.position(block), "no class block: which class are the requests of?"));
        }
        Ok(TraceMap {
            header: columns.has_header,
            columns: if columns.from_header { Vec::new() } else { map.names },
            time,
            object,
            filter,
            reorder,
            window,
            slices: slices.map_or(DEFAULT_SLICES, |slices| slices.value as usize),
            seed: seed.map_or(DEFAULT_SEED, |seed| seed.value),
            classes,
        })
    }
}
