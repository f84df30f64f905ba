//! The operator's file of the control service, in HCL: one `control` block.
//!
//! ```hcl
//! control {
//!   listen           = "127.0.0.1:18000"
//!   most_clients     = 2000   # streams at once; one more is refused
//!   debounce_ms      = 50     # changes that may wait are told together once so long nothing came
//!   debounce_most_ms = 250    # and after so long at the latest
//!   poll_ms          = 250    # how long the control feed may hold an answer back
//!   refresh_s        = 5      # how often popular objects' delegates are asked of the module again
//!   hot "piece" {
//!     objects = ["7f3a9c21e0b4d655"]
//!   }
//! }
//! ```

use crate::config::located::{Doc, DocError, Located, Place};
use crate::interface::{Micros, ObjectId};
use std::net::SocketAddr;

/// Popular objects in all that a file may name: each is asked of the module at each point.
const MOST_HOT: usize = 1000;

/// What the control service goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlSettings {
    /// Where xDS clients connect.
    pub listen: SocketAddr,
    /// Streams at once.
    pub most_clients: usize,
    /// Changes that may wait are told once this long nothing came, us.
    pub debounce: Micros,
    /// And after this long at the latest, us.
    pub debounce_most: Micros,
    /// How long the control feed may hold an answer back, ms.
    pub poll_ms: i64,
    /// How often popular objects' delegates are asked for, us.
    pub refresh: Micros,
    /// Popular objects by the name of their class, and where the class was named.
    pub hot: Vec<(Located<String>, Vec<ObjectId>)>,
}

impl ControlSettings {
    /// Reads the file's text.
    ///
    /// # Errors
    ///
    /// Text that is not HCL, an unknown key, a value out of its range; with line and column.
    pub fn parse(doc: Doc<'_>) -> Result<Self, DocError> {
        let body = doc.body()?;
        let mut reader = doc.reader(&body);
        let start = Place { line: 1, column: 1 };
        let block = reader.block("control")?.ok_or_else(|| doc.error(start, "no control block"))?;
        reader.finish()?;
        let mut reader = doc.reader(&block.body);
        let listen =
            reader.string("listen")?.ok_or_else(|| doc.error(doc.place(block), "control names no listen"))?;
        let address = listen
            .value
            .parse()
            .map_err(|_| doc.error(listen.at, "listen is no address, as 127.0.0.1:18000"))?;
        let mut whole = |key: &str, usual: u64, least: u64, most: u64| {
            Ok::<_, DocError>(reader.whole(key, least, most)?.map_or(usual, |n| n.value))
        };
        let most_clients = whole("most_clients", 2000, 1, 100_000)? as usize;
        let debounce = whole("debounce_ms", 50, 0, 10_000)? as Micros * 1000;
        let debounce_most = whole("debounce_most_ms", 250, 0, 10_000)? as Micros * 1000;
        let poll_ms = whole("poll_ms", 250, 10, 5000)? as i64;
        let refresh = whole("refresh_s", 5, 1, 600)? as Micros * 1_000_000;
        if debounce > debounce_most {
            let at = reader.place_of("debounce_ms").or(reader.place_of("debounce_most_ms")).unwrap_or(start);
            return Err(doc.error(at, "debounce_ms is over debounce_most_ms"));
        }
        let mut hot: Vec<(Located<String>, Vec<ObjectId>)> = Vec::new();
        for block in reader.blocks("hot") {
            let at = doc.place(block);
            let [label] = &block.labels[..] else {
                return Err(doc.error(at, "hot names one class: hot \"CLASS\" { ... }"));
            };
            let mut inner = doc.reader(&block.body);
            let objects = inner.objects("objects")?;
            inner.finish()?;
            hot.push((Located { value: label.as_str().to_owned(), at }, objects));
        }
        reader.finish()?;
        let count: usize = hot.iter().map(|(_, objects)| objects.len()).sum();
        if count > MOST_HOT {
            return Err(doc.error(hot[0].0.at, format!("{count} hot objects, over {MOST_HOT}")));
        }
        Ok(ControlSettings { listen: address, most_clients, debounce, debounce_most, poll_ms, refresh, hot })
    }
}
