//! The operator's file of the control service, in HCL: one `control` block.
//!
//! ```hcl
//! control {
//!   listen           = "127.0.0.1:18000"
//!   most_clients     = 2000   # streams at once; one more is rejected
//!   debounce_ms      = 50     # changes that may wait are published together once none came for so long
//!   debounce_most_ms = 250    # and after so long at the latest
//!   poll_ms          = 250    # how long the control feed may hold an answer back
//!   refresh_s        = 5      # how often the decision module is asked for hot objects' delegates again
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

/// The most hot objects that a file may name: the decision module is asked for each at each point.
const MAX_HOT_OBJECTS: usize = 1000;

const DEFAULT_MAX_CLIENTS: u64 = 2000;
const DEFAULT_DEBOUNCE_MS: u64 = 50;
const DEFAULT_DEBOUNCE_LIMIT_MS: u64 = 250;
const DEFAULT_POLL_MS: u64 = 250;
const DEFAULT_REFRESH_S: u64 = 5;

/// The settings of the control service.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Where xDS clients connect.
    pub listen: SocketAddr,
    /// Streams at once.
    pub max_clients: usize,
    /// Changes that may wait are published once none came for this long.
    pub debounce: Duration,
    /// And after this long at the latest.
    pub debounce_limit: Duration,
    /// How long the control feed may hold an answer back.
    pub poll_wait: Duration,
    /// How often the decision module is asked for hot objects' delegates.
    pub refresh: Duration,
    /// Hot objects by their class.
    pub hot: Vec<HotClass>,
}

/// The hot objects of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct HotClass {
    /// The class's name, and where the file names it.
    pub class: Located<String>,
    /// The objects.
    pub objects: Vec<ObjectId>,
}

impl ControlSettings {
    /// Reads the file's text.
    ///
    /// # Errors
    ///
    /// Text that is not HCL, an unknown key, a value out of its range; with line and column.
    pub fn parse(doc: HclDocument<'_>) -> Result<Self, HclError> {
        let body = doc.parse()?;
        let mut file = doc.reader(&body);
        let start = Position { line: 1, column: 1 };
        let block = file.block("control")?.ok_or_else(|| doc.error(start, "no control block"))?;
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
            return Err(doc.error(at, "debounce_ms is over debounce_most_ms"));
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
    let listen = listen.ok_or_else(|| doc.error(doc.position(block), "control names no listen"))?;
    let address = listen.value.parse();
    address.map_err(|_| doc.error(listen.at, "listen is no address, as 127.0.0.1:18000"))
}

/// Reads a whole number in a range, both ends included.
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
    let text = format!("{count} hot objects, over {MAX_HOT_OBJECTS}");
    Err(doc.error(hot[0].class.at, text))
}

fn read_hot_class(doc: HclDocument<'_>, block: &Block) -> Result<HotClass, HclError> {
    let at = doc.position(block);
    let [label] = &block.labels[..] else {
        return Err(doc.error(at, "hot names one class: hot \"CLASS\" { ... }"));
    };
    let class = Located { value: label.as_str().to_owned(), at };
    let mut reader = doc.reader(&block.body);
    let objects = reader.object_ids("objects")?;
    reader.finish()?;
    Ok(HotClass { class, objects })
}
