//! Why the control service ends.

use crate::config::hcl_document::HclError;
use crate::config::ConfigError;
use crate::control::model::ModelError;

/// Why the control service ends.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A file cannot be read or used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    File(#[from] HclError),
    /// There is no model for these settings.
    #[error(transparent)]
    Model(#[from] ModelError),
    /// The system has no sockets, signals or threads left.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The gRPC server ended with an error.
    #[error("serving: {0}")]
    Serve(#[from] tonic::transport::Error),
}

impl ControlError {
    /// Whether a file is at fault.
    pub fn is_config(&self) -> bool {
        matches!(self, ControlError::Config(_) | ControlError::File(_) | ControlError::Model(_))
    }
}
