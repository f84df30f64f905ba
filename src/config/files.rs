//! Reading of the configuration files.

use super::signed::SignedConfig;
use super::{Config, ConfigError};
use crate::admission::AdmissionSettings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The paths of the configuration files, which are read at the start and at each SIGHUP.
#[derive(Clone, Debug)]
pub struct Files {
    /// PROXY_CONFIG: the platform's file.
    pub config: PathBuf,
    /// The operator's file for the signed front; `None` turns that front off.
    pub signed: Option<PathBuf>,
    /// PROXY_ADMIN: the address of the admin endpoint, which overrides the one in PROXY_CONFIG.
    pub admin: Option<SocketAddr>,
    /// PROXY_ADMISSION: the operator's admission file, in HCL; `None` accepts every connection.
    pub admission: Option<PathBuf>,
    /// PROXY_FEDERATION: the operator's federation file, in HCL; `None` turns the federation off.
    pub federation: Option<PathBuf>,
}

/// The contents of the files, except those for admission and federation.
#[derive(Debug)]
pub struct LoadedFiles {
    /// PROXY_CONFIG, with the effective address of the admin endpoint.
    pub config: Config,
    /// The operator's file for the signed front; `None` if there is none.
    pub signed: Option<SignedConfig>,
}

impl Files {
    /// Reads and checks PROXY_CONFIG and the file for the signed front.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be read or used.
    pub fn read(&self) -> Result<LoadedFiles, ConfigError> {
        let signed = self.signed.as_deref().map(SignedConfig::read).transpose()?;
        let config = Config::read(&self.config)?;
        Ok(LoadedFiles { config: Config { admin: self.admin.or(config.admin), ..config }, signed })
    }

    /// Reads and checks the admission file. Without one, the settings have admission turned off.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, is not HCL, or has a value out of its range.
    pub fn read_admission(&self) -> Result<AdmissionSettings, ConfigError> {
        let Some(path) = &self.admission else { return Ok(AdmissionSettings::disabled()) };
        let text = read_text_file(path)?;
        AdmissionSettings::parse(&text).map_err(|error| ConfigError::invalid(path, error))
    }
}

/// Reads a file; the error names its path.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read_file(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|error| ConfigError::Read { path: path.to_owned(), error })
}

/// Reads a text file; the error names its path.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not UTF-8.
pub fn read_text_file(path: &Path) -> Result<String, ConfigError> {
    String::from_utf8(read_file(path)?).map_err(|_| ConfigError::invalid(path, "the file is not UTF-8"))
}
