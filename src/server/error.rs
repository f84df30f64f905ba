//! Errors that keep the edge proxy from starting, or end it.

use crate::config::ConfigError;
use crate::SettingsError;
use std::io;
use std::net::SocketAddr;

/// Why the edge proxy cannot start or had to end.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// A configuration file cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The policy rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// Listening on an address failed.
    #[error("{addr}: {error}")]
    Listen {
        /// The address to listen on.
        addr: SocketAddr,
        /// The error of the system.
        error: io::Error,
    },
    /// A route of the signed front names a class that it cannot serve.
    #[error("route {path:?}: class {class:?} is unknown or never kept")]
    Route {
        /// The path of the route.
        path: String,
        /// The class that the route names.
        class: String,
    },
    /// The event loop failed.
    #[error("poll: {0}")]
    Poll(#[from] io::Error),
}

impl ServerError {
    /// Whether the configuration is the cause.
    pub fn is_config(&self) -> bool {
        matches!(self, ServerError::Config(_) | ServerError::Settings(_) | ServerError::Route { .. })
    }
}
