//! The settings of the control service: the operator's HCL file, which holds one `control` block.
//!
//! ```hcl
//! control {
//!   listen           = "127.0.0.1:18000"
//!   most_clients     = 2000   # maximum number of open streams; further ones are refused
//!   debounce_ms      = 50     # changes that may wait are published after this long without another change
//!   debounce_most_ms = 250    # and at the latest this long after the first change
//!   poll_ms          = 250    # how long the control feed may hold back a response
//!   refresh_s        = 5      # interval at which the decision module is queried for hot objects' delegates
//!   hot "piece" {
//!     objects = ["7f3a9c21e0b4d655"]
//!   }
//! }
//! ```

use crate::config::hcl_document::{BlockReader, HclDocument, HclError, Located, Position};
use crate::interface::ObjectId;
use hcl_edit::structure::Block;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of hot objects in a file. It is bounded because the decision module is queried for each of them at
/// each point.
const MAX_HOT_OBJECTS: usize = 1000;

const DEFAULT_MAX_CLIENTS: u64 = 2000;
const DEFAULT_DEBOUNCE_MS: u64 = 50;
const DEFAULT_DEBOUNCE_LIMIT_MS: u64 = 250;
const DEFAULT_POLL_MS: u64 = 250;
const DEFAULT_REFRESH_S: u64 = 5;

/// The settings of the control service.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// The address that xDS clients connect to.
    pub listen: SocketAddr,
    /// Maximum number of open streams.
    pub max_clients: usize,
    /// Changes that may wait are published after this long without another change.
    pub debounce: Duration,
    /// Changes that may wait are published at the latest this long after the first one.
    pub debounce_limit: Duration,
    /// How long the control feed may hold back a response.
    pub poll_wait: Duration,
    /// The interval at which the decision module is queried for hot objects' delegates.
    pub refresh: Duration,
    /// The hot objects, one entry for each `hot` block.
    pub hot: Vec<HotClass>,
}

/// The hot objects of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct HotClass {
    /// The name of the class, with its position in the file.
    pub class: Located<String>,
    /// The IDs of the objects.
    pub objects: Vec<ObjectId>,
}

impl ControlSettings {
    /// Parses the text of the file.
    ///
    /// # Errors
    ///
    /// Returns an error, with line and column, if the text is not HCL, a required part is missing, a key is unknown, or
    /// a value is invalid or out of its range.
    pub fn parse(doc: HclDocument<'_>) -> Result<Self, HclError> {
        let body = doc.parse()?;
        let mut file = doc.reader(&body);
        let start = Position { line: 1, column: 1 };
        let block =
            file.block("control")?.ok_or_else(|| doc.error(start, "the file has no control block"))?;
        file.finish()?;
        let mut reader = doc.reader(&block.body);
        let listen = read_listen(doc, block, &mut reader)?;
        let max_clients = read_number(&mut reader, "most_clients", DEFAULT_MAX_CLIENTS, 1, 100_000)? as usize;
        let debounce_ms = read_number(&mut reader, "debounce_ms", DEFAULT_DEBOUNCE_MS, 0, 10_000)?;
        let limit_ms = read_number(&mut reader, "debounce_most_ms", DEFAULT_DEBOUNCE_LIMIT_MS, 0, 10_000)?;
        let poll_ms = read_number(&mut reader, "poll_ms", DEFAULT_POLL_MS, 10, 5000)?;
        let refresh_s = read_number(&mut reader, "refresh_s", DEFAULT_REFRESH_S, 1, 600)?;
        if debounce_ms > limit_ms {
            let at =
                reader.position_of("debounce_ms").or(reader.position_of("debounce_most_ms")).unwrap_or(start);
            let text = format!("debounce_ms ({debounce_ms}) is greater than debounce_most_ms ({limit_ms})");
            return Err(doc.error(at, text));
        }
        let hot = read_hot_classes(doc, &mut reader)?;
        reader.finish()?;
        check_hot_count(doc, &hot)?;
        Ok(ControlSettings {
            listen,
            max_clients,
            debounce: Duration::from_millis(debounce_ms),
            debounce_limit: Duration::from_millis(limit_ms),
            poll_wait: Duration::from_millis(poll_ms),
            refresh: Duration::from_secs(refresh_s),
            hot,
        })
    }
}

fn read_listen(
    doc: HclDocument<'_>,
    block: &Block,
    reader: &mut BlockReader<'_>,
) -> Result<SocketAddr, HclError> {
    let listen = reader.string("listen")?;
    let listen =
        listen.ok_or_else(|| doc.error(doc.position(block), "the control block has no listen address"))?;
    let address = listen.value.parse();
    let invalid = |_| {
        doc.error(listen.at, format!("listen {:?} is not an address such as 127.0.0.1:18000", listen.value))
    };
    address.map_err(invalid)
}

/// Reads a whole number from `min` to `max`, both included.
fn read_number(
    reader: &mut BlockReader<'_>,
    key: &str,
    default: u64,
    min: u64,
    max: u64,
) -> Result<u64, HclError> {
    let number = reader.integer(key, min, max)?;
    Ok(number.map_or(default, |number| number.value))
}

fn read_hot_classes(doc: HclDocument<'_>, reader: &mut BlockReader<'_>) -> Result<Vec<HotClass>, HclError> {
    let blocks = reader.blocks("hot");
    blocks.into_iter().map(|block| read_hot_class(doc, block)).collect()
}

fn check_hot_count(doc: HclDocument<'_>, hot: &[HotClass]) -> Result<(), HclError> {
    let count: usize = hot.iter().map(|class| class.objects.len()).sum();
    if count <= MAX_HOT_OBJECTS {
        return Ok(());
    }
    let text = format!("the file names {count} hot objects, more than {MAX_HOT_OBJECTS}");
    Err(doc.error(hot[0].class.at, text))
}

fn read_hot_class(doc: HclDocument<'_>, block: &Block) -> Result<HotClass, HclError> {
    let at = doc.position(block);
    let [label] = &block.labels[..] else {
        return Err(doc.error(at, "a hot block must name exactly one class: hot \"CLASS\" { ... }"));
    };
    let class = Located { value: label.as_str().to_owned(), at };
    let mut reader = doc.reader(&block.body);
    let objects = reader.object_ids("objects")?;
    reader.finish()?;
    Ok(HotClass { class, objects })
}
