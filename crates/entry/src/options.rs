//! Validated command-line options.

use displaydoc::Display;
use monsoonspread_model::toml_check::Findings;
use thiserror::Error;

use crate::cli::Cli;
use crate::settings::{self, Settings};

/// Validated options of the process.
#[derive(Clone, Debug)]
pub struct Options {
    /// Settings from the settings file.
    pub settings: Settings,
    /// Whether to exit after validating the settings.
    pub check_only: bool,
}

impl Options {
    /// Reads and validates the settings file named on the command line.
    ///
    /// # Errors
    ///
    /// Fails if no file is named, the file can't be read, or its settings are invalid.
    pub fn from_cli(cli: &Cli) -> Result<Self, OptionsError> {
        let path = cli.config.as_deref().ok_or(OptionsError::MissingFile)?;
        let file = path.display().to_string();
        let toml = std::fs::read_to_string(path)
            .map_err(|error| OptionsError::Unreadable(file.clone(), error.to_string()))?;
        Ok(Self {
            settings: settings::parse(&file, &toml)?,
            check_only: cli.check,
        })
    }
}

/// Error in the options or settings.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum OptionsError {
    /// no settings file given
    MissingFile,
    /// settings file "{0}" can't be read: {1}
    Unreadable(String, String),
    /// {0}
    Invalid(#[from] Findings),
}
