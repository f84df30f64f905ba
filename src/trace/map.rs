//! How a trace's columns become requests: a published format by its name, or columns named one by one, and classes
//! by rules. HCL, with places.

use crate::config::located::{unknown, Doc, DocError, Place, Reader};
use hcl_edit::structure::Block;
use std::collections::BTreeSet;

/// A published format: its name, whether the file has a header line, its columns, and which mean what.
struct Format {
    name: &'static str,
    header: bool,
    columns: &'static [&'static str],
    time: (&'static str, &'static str, Option<&'static str>),
    object: &'static [&'static str],
    only: Option<(&'static str, &'static str)>,
}

/// The published formats that are known by name. Sources: the README of each trace at its publisher.
const FORMATS: [Format; 3] = [
    // Azure Functions Invocation Trace 2021 (AzureFunctionsInvocationTraceForTwoWeeksJan2021): an invocation a line,
    // in the order of their ends; seconds.
    Format {
        name: "azure-functions-2021",
        header: true,
        columns: &["app", "func", "end_timestamp", "duration"],
        time: ("end_timestamp", "s", Some("duration")),
        object: &["app", "func"],
        only: None,
    },
    // Google cluster-usage traces v2 (clusterdata-2011-2), task_events: microseconds; event type 0 is SUBMIT.
    Format {
        name: "google-2011-task-events",
        header: false,
        columns: &[
            "time",
            "missing_info",
            "job_id",
            "task_index",
            "machine_id",
            "event_type",
            "user",
            "scheduling_class",
            "priority",
            "cpu_request",
            "memory_request",
            "disk_request",
            "different_machines",
        ],
        time: ("time", "us", None),
        object: &["job_id"],
        only: Some(("event_type", "0")),
    },
    // Alibaba cluster-trace-v2018, batch_task: seconds.
    Format {
        name: "alibaba-2018-batch-task",
        header: false,
        columns: &[
            "task_name",
            "instance_num",
            "job_name",
            "task_type",
            "status",
            "start_time",
            "end_time",
            "plan_cpu",
            "plan_mem",
        ],
        time: ("start_time", "s", None),
        object: &["job_name", "task_name"],
        only: None,
    },
];

/// A class of requests, and which rows are of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassRule {
    /// The class's name in the configuration.
    pub class: String,
    /// The column that is looked at, by number.
    pub column: Option<usize>,
    /// Its value is one of these.
    pub one_of: BTreeSet<String>,
    /// Or a number from the first up to, not including, the second.
    pub range: Option<(f64, f64)>,
    /// Of the rows that fit, this part of the objects.
    pub part: f64,
}

/// How a trace is read and sampled.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceMap {
    /// Whether the first line names the columns.
    pub header: bool,
    /// The columns' names; empty: the header's.
    pub columns: Vec<String>,
    /// The column of the time, by number.
    pub time: usize,
    /// Microseconds in its unit.
    pub unit: f64,
    /// A column that is taken off the time.
    pub minus: Option<usize>,
    /// The columns whose values name the object.
    pub object: Vec<usize>,
    /// Only rows whose column has this value.
    pub only: Option<(usize, String)>,
    /// Rows are put in order over this span, us.
    pub reorder: i64,
    /// The test's length, us.
    pub window: i64,
    /// Slices of a longer trace.
    pub slices: usize,
    /// The seed of their places.
    pub seed: u64,
    /// The classes, the first that fits.
    pub classes: Vec<ClassRule>,
}

/// The columns by name: those of the format, those that the map lists, or those of the file's header.
struct Columns<'a> {
    doc: Doc<'a>,
    names: Vec<String>,
}

impl Columns<'_> {
    fn number(&self, name: &str, at: Place) -> Result<usize, DocError> {
        let known = || unknown("column", name, self.names.iter().map(String::as_str));
        self.names.iter().position(|known| known == name).ok_or_else(|| self.doc.error(at, known()))
    }
}

impl TraceMap {
    /// Reads a map. `header` is the trace's first line, for formats whose columns it names.
    ///
    /// # Errors
    ///
    /// Text that is not HCL, an unknown key or column, a value out of its range; with line and column.
    pub fn parse(doc: Doc<'_>, header: &[String]) -> Result<Self, DocError> {
        let body = doc.body()?;
        let mut reader = doc.reader(&body);
        let start = Place { line: 1, column: 1 };
        let block = reader.block("trace")?.ok_or_else(|| doc.error(start, "no trace block"))?;
        reader.finish()?;
        let mut reader = doc.reader(&block.body);
        let format = match reader.string("format")? {
            None => None,
            Some(name) if name.value == "csv" => None,
            Some(name) => {
                let known = FORMATS.iter().find(|format| format.name == name.value);
                let names = FORMATS.iter().map(|format| format.name).chain(["csv"]);
                Some(known.ok_or_else(|| doc.error(name.at, unknown("format", &name.value, names)))?)
            }
        };
        let listed: Vec<String> = reader.strings("columns")?.into_iter().map(|name| name.value).collect();
        let has_header = reader.flag("header")?.map_or(format.is_none_or(|f| f.header), |flag| flag.value);
        let names = match format {
            _ if !listed.is_empty() => listed.clone(),
            Some(format) => format.columns.iter().map(|name| (*name).to_owned()).collect(),
            None if has_header => header.to_vec(),
            None => return Err(doc.error(doc.place(block), "without a header the columns have to be listed")),
        };
        let columns = Columns { doc, names };
        let (time, unit, minus) = time(&columns, &mut reader, block, format)?;
        let object = match reader.strings("object")? {
            named if !named.is_empty() => {
                named.iter().map(|name| columns.number(&name.value, name.at)).collect::<Result<_, _>>()?
            }
            _ => match format {
                Some(format) => {
                    let numbers = format.object.iter().map(|name| columns.number(name, doc.place(block)));
                    numbers.collect::<Result<_, _>>()?
                }
                None => return Err(doc.error(doc.place(block), "object names no columns")),
            },
        };
        let only = match reader.block("only")? {
            Some(only) => {
                let mut inner = doc.reader(&only.body);
                let missing = |what: &str| doc.error(doc.place(only), format!("only names no {what}"));
                let column = inner.string("column")?.ok_or_else(|| missing("column"))?;
                let value = inner.string("value")?.ok_or_else(|| missing("value"))?;
                inner.finish()?;
                Some((columns.number(&column.value, column.at)?, value.value))
            }
            None => match format.and_then(|format| format.only) {
                Some((column, value)) => Some((columns.number(column, doc.place(block))?, value.to_owned())),
                None => None,
            },
        };
        let mut seconds = |key: &str, usual: u64, least: u64| {
            let read = reader.whole(key, least, 10_000_000)?;
            Ok::<_, DocError>(read.map_or(usual, |n| n.value) as i64 * 1_000_000)
        };
        let (reorder, window) = (seconds("reorder_s", 60, 0)?, seconds("window_s", 600, 1)?);
        let slices = reader.whole("slices", 1, 100_000)?.map_or(20, |n| n.value as usize);
        let seed = reader.whole("seed", 0, u64::MAX)?.map_or(1, |n| n.value);
        let mut classes = Vec::new();
        for block in reader.blocks("class") {
            classes.push(class(&columns, block)?);
        }
        reader.finish()?;
        if classes.is_empty() {
            return Err(doc.error(doc.place(block), "no class block: which class are the requests of?"));
        }
        let columns = if listed.is_empty() { format.map_or(Vec::new(), |_| columns.names) } else { listed };
        Ok(TraceMap {
            header: has_header,
            columns,
            time,
            unit,
            minus,
            object,
            only,
            reorder,
            window,
            slices,
            seed,
            classes,
        })
    }
}

/// The time's column, the microseconds in its unit, and the column that is taken off it.
fn time(
    columns: &Columns<'_>,
    reader: &mut Reader<'_>,
    block: &Block,
    format: Option<&Format>,
) -> Result<(usize, f64, Option<usize>), DocError> {
    let doc = columns.doc;
    let (column, unit, minus, at) = match (reader.block("time")?, format) {
        (Some(time), _) => {
            let mut inner = doc.reader(&time.body);
            let missing = || doc.error(doc.place(time), "time names no column");
            let column = inner.string("column")?.ok_or_else(missing)?;
            let unit = inner.string("unit")?.map_or("s".to_owned(), |unit| unit.value);
            let minus = inner.string("minus")?.map(|minus| minus.value);
            inner.finish()?;
            (column.value, unit, minus, column.at)
        }
        (None, Some(Format { time: (column, unit, minus), .. })) => {
            ((*column).to_owned(), (*unit).to_owned(), minus.map(str::to_owned), doc.place(block))
        }
        (None, None) => return Err(doc.error(doc.place(block), "no time block")),
    };
    let unit = match unit.as_str() {
        "s" => 1e6,
        "ms" => 1e3,
        "us" => 1.0,
        "ns" => 1e-3,
        other => return Err(doc.error(at, format!("unit {other:?} is none of s, ms, us, ns"))),
    };
    let minus = minus.map(|minus| columns.number(&minus, at)).transpose()?;
    Ok((columns.number(&column, at)?, unit, minus))
}

fn class(columns: &Columns<'_>, block: &Block) -> Result<ClassRule, DocError> {
    let doc = columns.doc;
    let at = doc.place(block);
    let [label] = &block.labels[..] else {
        return Err(doc.error(at, "a class has one name: class \"NAME\" { ... }"));
    };
    let mut inner = doc.reader(&block.body);
    let column = inner.string("column")?.map(|name| columns.number(&name.value, name.at)).transpose()?;
    let one_of: BTreeSet<String> = inner.strings("one_of")?.into_iter().map(|value| value.value).collect();
    let (from, below) = (inner.number("from", -1e300, 1e300)?, inner.number("below", -1e300, 1e300)?);
    let part = inner.number("part", 0.0, 1.0)?.map_or(1.0, |part| part.value);
    inner.finish()?;
    let range = (from.is_some() || below.is_some())
        .then(|| (from.map_or(f64::NEG_INFINITY, |n| n.value), below.map_or(f64::INFINITY, |n| n.value)));
    if column.is_none() != (one_of.is_empty() && range.is_none()) {
        return Err(
            doc.error(at, "a class names a column together with one_of, from or below, or none of them")
        );
    }
    Ok(ClassRule { class: label.as_str().to_owned(), column, one_of, range, part })
}
