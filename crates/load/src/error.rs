//! Errors of the command.

use std::path::PathBuf;

use displaydoc::Display;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// file "{file}" can't be written: {source}
    Write {
        /// The file.
        file: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
}
