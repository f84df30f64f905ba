//! The part of the settings that the program around the decision module uses: names and transport limits.

use crate::interface::{Class, ClassId, Idempotency, Span};

/// What the program needs to know of a class. A retired class keeps its entry, and so its number.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// The class's name on the wire.
    pub name: String,
    /// Whether new requests no longer get this class.
    pub retired: bool,
    /// Whether its requests write: they are not idempotent, or only with an idempotency key.
    pub is_write: bool,
    /// The longest time a client waits for an answer.
    pub client_deadline: Span,
}

impl ClassInfo {
    /// The entry of a class that is in use.
    pub fn new(name: String, class: &Class) -> Self {
        ClassInfo {
            name,
            retired: false,
            is_write: class.idempotency != Idempotency::Always,
            client_deadline: class.client_deadline,
        }
    }
}

/// What the program needs of the settings and the decision module does not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgramSettings {
    /// The classes, by number.
    pub classes: Vec<ClassInfo>,
    /// The names of the kinds of machine, by number.
    pub kinds: Vec<String>,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The names of the values in a load report, in its order.
    pub load_report_names: Vec<String>,
    /// Servers close a connection that was idle for this time.
    pub connection_idle_timeout: Span,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Span,
    /// Attempts in flight on one connection, at most.
    pub max_streams_per_connection: usize,
    /// Open requests, at most.
    pub max_open_requests: usize,
    /// Transfer rate of a single answer at full pace, bytes per second; 0: not stated.
    pub transfer_bytes_per_s: f64,
}

impl ProgramSettings {
    /// The number of the class in use that has this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        let number = self.classes.iter().position(|class| class.name == name && !class.retired)?;
        Some(ClassId(number as u16))
    }

    /// The entry of a class.
    pub fn class_info(&self, class: ClassId) -> Option<&ClassInfo> {
        self.classes.get(usize::from(class.0))
    }

    /// The names of all classes, by number; a name can occur more than once.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }
}
