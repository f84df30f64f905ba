//! Errors that keep the edge proxy from starting, or that end it.

use crate::config::ConfigError;
use crate::SettingsError;
use std::io;
use std::net::SocketAddr;

/// Why the edge proxy cannot start, reload its configuration, or keep running.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// A configuration file cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The policy rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// A listener cannot be opened.
    #[error("listening on {addr} failed: {error}")]
    Listen {
        /// Address of the listener.
        addr: SocketAddr,
        /// The system's error.
        error: io::Error,
    },
    /// A route of the signed front names a class that it cannot serve.
    #[error("route {path:?}: class {class:?} is not defined in the settings or is never cached")]
    Route {
        /// Path of the route.
        path: String,
        /// Class named by the route.
        class: String,
    },
    /// A system call of the start or of the event loop failed.
    #[error("event loop: {0}")]
    Poll(#[from] io::Error),
}

impl ServerError {
    /// Whether the error is caused by the configuration.
    pub fn is_config(&self) -> bool {
        matches!(self, ServerError::Config(_) | ServerError::Settings(_) | ServerError::Route { .. })
    }
}
