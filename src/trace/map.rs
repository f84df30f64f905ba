//! The map of a trace, in HCL: how its columns become requests. It names a published format or lists the columns one
//! by one, and has rules for the classes. Errors state line and column.
//!
//! - `formats`: the published formats; `columns`: the columns of a file.
//! - `rules`: the rules for the rows that are used, their times and their classes.
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
    /// Whether the file's first line is a header and not a row.
    pub header: bool,
    /// Names of the columns; empty if the file's header names them.
    pub columns: Vec<String>,
    /// How the time of a row is computed.
    pub time: TimeRule,
    /// Numbers of the columns whose values together identify the object.
    pub object: Vec<usize>,
    /// The value that rows must have to be used; `None` if all rows are.
    pub filter: Option<RowFilter>,
    /// The span over which rows are put in order.
    pub reorder: Span,
    /// The length of the test; a longer trace is sampled to it.
    pub window: Span,
    /// Number of slices that are taken of a longer trace.
    pub slices: usize,
    /// The seed from which the positions of the slices are drawn.
    pub seed: u64,
    /// The rules of the classes. A row belongs to the first one that matches.
    pub classes: Vec<ClassRule>,
}

impl TraceMap {
    /// Reads a map. `header` is the first line of the trace, which names the columns if the map does not.
    ///
    /// # Errors
    ///
    /// Returns an error with line and column for text that is not HCL, an unknown key or column, or a value out of
    /// its range.
    pub fn parse(doc: HclDocument<'_>, header: &[String]) -> Result<Self, HclError> {
        let body = doc.parse()?;
        let mut file = doc.reader(&body);
        let start = Position { line: 1, column: 1 };
        let block = file.block("trace")?.ok_or_else(|| doc.error(start, "the map has no trace block"))?;
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
            return Err(doc.error(
                doc.position(block),
                "the trace block has no class block, so no row would have a class",
            ));
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
