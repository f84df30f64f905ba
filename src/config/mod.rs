//! The configuration of an edge proxy, which is read at the start and at SIGHUP.
//!
//! - `proxy_config`: the platform's file, PROXY_CONFIG.
//! - `settings`: the settings message in PROXY_CONFIG, converted for the decision module and the program around it.
//! - `events`: the events of the control feed, which have the same form in PROXY_CONFIG and on the feed.
//! - `signed`: the operator's file for the signed front (HTTP/1.1 with signed URLs and tokens).
//! - `hcl_document`: a reader for operators' HCL files, whose errors state line and column.
//! - `files`: the files that are read.
//! - `key_paths`: the keys of a file, by which an incompletely written file is recognised.
//! - `error`: errors of files that cannot be used.

mod error;
pub mod events;
mod files;
pub mod hcl_document;
mod key_paths;
mod proxy_config;
pub mod settings;
pub mod signed;

pub use error::{ConfigError, ConfigParseError};
pub use files::{read_file, read_text_file, Files, LoadedFiles};
pub use proxy_config::{Config, ProcessLimits};
