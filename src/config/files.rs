//! The files that a configuration is read from.

use super::signed::SignedConfig;
use super::{Config, ConfigError};
use crate::admission::AdmissionSettings;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The files that a configuration comes from, at the start and at each SIGHUP.
#[derive(Clone, Debug)]
pub struct Files {
    /// PROXY_CONFIG.
    pub config: PathBuf,
    /// The operator's file of the second front, which is off without it.
    pub signed: Option<PathBuf>,
    /// PROXY_ADMIN: the address of the admin endpoint, which overrides the configuration's.
    pub admin: Option<SocketAddr>,
    /// PROXY_ADMISSION: the operator's admission file, in HCL; every connection is accepted without it.
    pub admission: Option<PathBuf>,
    /// PROXY_FEDERATION: the operator's file of the federation, in HCL; off without it.
    pub federation: Option<PathBuf>,
}

/// What the files hold, but for admission and federation.
#[derive(Debug)]
pub struct LoadedFiles {
    /// PROXY_CONFIG, with the address of the admin endpoint that is in force.
    pub config: Config,
    /// The operator's file of the second front, if there is one.
    pub signed: Option<SignedConfig>,
}

impl Files {
    /// Reads and checks the configuration and the file of the second front.
    ///
    /// # Errors
    ///
    /// A file that cannot be read or used.
    pub fn read(&self) -> Result<LoadedFiles, ConfigError> {
        let signed = self.signed.as_deref().map(SignedConfig::read).transpose()?;
        let config = Config::read(&self.config)?;
        Ok(LoadedFiles { config: Config { admin: self.admin.or(config.admin), ..config }, signed })
    }

    /// Reads and checks the admission file; without one, admission is off.
    ///
    /// # Errors
    ///
    /// A file that cannot be read, is not HCL, or holds a value out of its range.
    pub fn read_admission(&self) -> Result<AdmissionSettings, ConfigError> {
        let Some(path) = &self.admission else { return Ok(AdmissionSettings::disabled()) };
        let text = read_text_file(path)?;
        AdmissionSettings::parse(&text).map_err(|error| ConfigError::invalid(path, error))
    }
}

/// Reads a file.
///
/// # Errors
///
/// A file that cannot be read.
pub fn read_file(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|error| ConfigError::Read { path: path.to_owned(), error })
}

/// Reads a text file.
///
/// # Errors
///
/// A file that cannot be read, or is not UTF-8.
pub fn read_text_file(path: &Path) -> Result<String, ConfigError> {
    String::from_utf8(read_file(path)?).map_err(|_| ConfigError::invalid(path, "not UTF-8"))
}
