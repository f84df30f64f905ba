//! The configuration of an edge proxy: what it reads at its start and at SIGHUP.
//!
//! - `proxy_config`: PROXY_CONFIG, the platform's file.
//! - `settings`: the settings message in it, converted for the decision module and the program around it.
//! - `events`: the control feed's events, which the file and the feed state in one form.
//! - `signed`: the operator's file of the second front.
//! - `hcl_document`: operators' HCL files, read with the place of each value.
//! - `files`: which files are read; `key_paths`: whether one was written completely.
//! - `error`: why a file cannot be used.

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
