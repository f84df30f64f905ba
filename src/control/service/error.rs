//! The errors of the control service.

use crate::config::hcl_document::HclError;
use crate::config::ConfigError;
use crate::control::model::ModelError;

/// Why the control service cannot start, cannot reload its file or ends early.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A file cannot be read, or the configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file is invalid.
    #[error(transparent)]
    File(#[from] HclError),
    /// The model cannot be created from the settings.
    #[error(transparent)]
    Model(#[from] ModelError),
    /// A socket, signal handler, thread or the runtime cannot be created, or the server task panicked.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The gRPC server ended with an error.
    #[error("the gRPC server failed: {0}")]
    Serve(#[from] tonic::transport::Error),
}

impl ControlError {
    /// Whether the error is in a file: the configuration or the operator's file.
    pub fn is_config(&self) -> bool {
        matches!(self, ControlError::Config(_) | ControlError::File(_) | ControlError::Model(_))
    }
}
