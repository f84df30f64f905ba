//! The settings that only the program around the decision module uses: names and transport limits.

use crate::interface::{Class, ClassId, Idempotency, Span};

/// The properties of a class that the program uses. A retired class keeps its entry, so that its number stays.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassInfo {
    /// The class's name, as clients and servers state it.
    pub name: String,
    /// Whether the class is retired: new requests no longer get it.
    pub retired: bool,
    /// Whether the class's requests write, that is, are not idempotent or only with an idempotency key.
    pub is_write: bool,
    /// Longest time that a client waits for an answer.
    pub client_deadline: Span,
}

impl ClassInfo {
    /// Creates the entry of a class that is in use.
    pub fn new(name: String, class: &Class) -> Self {
        ClassInfo {
            name,
            retired: false,
            is_write: class.idempotency != Idempotency::Always,
            client_deadline: class.client_deadline,
        }
    }
}

/// The settings that the program uses and the decision module does not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProgramSettings {
    /// The classes, by number.
    pub classes: Vec<ClassInfo>,
    /// The names of the kinds of machine, by number.
    pub kinds: Vec<String>,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The names of the values in a load report, in the order of the report.
    pub load_report_names: Vec<String>,
    /// Idle time after which servers close a connection.
    pub connection_idle_timeout: Span,
    /// Time within which a connection must be established; otherwise it has failed.
    pub connect_timeout: Span,
    /// Maximum number of attempts in flight on one connection.
    pub max_streams_per_connection: usize,
    /// Maximum number of open requests.
    pub max_open_requests: usize,
    /// Top speed of the transfer of one answer, in bytes per second; 0 if it is not stated.
    pub transfer_bytes_per_s: f64,
}

impl ProgramSettings {
    /// Returns the class of this name that is in use; `None` if there is none.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        let number = self.classes.iter().position(|class| class.name == name && !class.retired)?;
        Some(ClassId(number as u16))
    }

    /// Returns the entry of a class; `None` if the number is not assigned.
    pub fn class_info(&self, class: ClassId) -> Option<&ClassInfo> {
        self.classes.get(usize::from(class.0))
    }

    /// Returns the names of all classes, by number. A name can occur more than once, since retired classes are
    /// included.
    pub fn class_names(&self) -> impl Iterator<Item = &str> {
        self.classes.iter().map(|class| class.name.as_str())
    }
}
