//! Checked options of the process.

use displaydoc::Display;
use monsoonspread_model::toml_check::Findings;
use thiserror::Error;

use crate::cli::Cli;
use crate::settings::{self, Settings};

/// Options after every check.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings.
    pub settings: Settings,
    /// Whether to stop after the check.
    pub check_only: bool,
}

impl Options {
    /// Reads and checks what the command line names.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be read or its settings are wrong.
    pub fn from_cli(cli: &Cli) -> Result<Self, OptionsError> {
        let path = cli.config.as_deref().ok_or(OptionsError::NoFile)?;
        let file = path.display().to_string();
        let toml = std::fs::read_to_string(path)
            .map_err(|error| OptionsError::Unreadable(file.clone(), error.to_string()))?;
        Ok(Self {
            settings: settings::parse(&file, &toml)?,
            check_only: cli.check,
        })
    }
}

/// Why the process does not start.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum OptionsError {
    /// no settings file is named
    NoFile,
    /// settings file "{0}" can't be read: {1}
    Unreadable(String, String),
    /// {0}
    Wrong(#[from] Findings),
}
