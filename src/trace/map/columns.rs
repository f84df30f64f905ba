//! The columns of a trace's file: those of a published format, listed by the map, or named by the file's header.

use super::formats::{Format, FORMATS};
use crate::config::hcl_document::{unknown_name, BlockReader, HclDocument, HclError};
use hcl_edit::structure::Block;

/// The format of a file whose columns are listed by the map or named by the file's header.
const CSV: &str = "csv";

fn owned(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Returns the published format that the map names; `None` if it names none or `csv`.
pub(super) fn read_format(
    doc: HclDocument<'_>,
    reader: &mut BlockReader<'_>,
) -> Result<Option<&'static Format>, HclError> {
    let Some(name) = reader.string("format")?.filter(|name| name.value != CSV) else { return Ok(None) };
    let known = FORMATS.iter().find(|format| format.name == name.value);
    let names = FORMATS.iter().map(|format| format.name).chain([CSV]);
    let format = known.ok_or_else(|| doc.error(name.at, unknown_name("format", &name.value, names)))?;
    Ok(Some(format))
}

/// The columns of a file.
pub(super) struct Columns {
    pub(super) names: Vec<String>,
    /// Whether the file's first line is a header.
    pub(super) has_header: bool,
    /// Whether `names` comes from the header.
    pub(super) from_header: bool,
}

/// Returns the columns that the map lists, otherwise those of the format, otherwise those of the file's header.
pub(super) fn read_columns(
    doc: HclDocument<'_>,
    block: &Block,
    format: Option<&Format>,
    reader: &mut BlockReader<'_>,
    header: &[String],
) -> Result<Columns, HclError> {
    let listed = reader.strings("columns")?;
    let flag = reader.boolean("header")?;
    let has_header = flag.map_or(format.is_none_or(|format| format.header), |flag| flag.value);
    let from_header = listed.is_empty() && format.is_none();
    if from_header && !has_header {
        return Err(doc.error(doc.position(block), "without a header the columns have to be listed"));
    }
    let names = match format {
        _ if from_header => header.to_vec(),
        Some(format) if listed.is_empty() => owned(format.columns),
        _ => listed.into_iter().map(|name| name.value).collect(),
    };
    Ok(Columns { names, has_header, from_header })
}
