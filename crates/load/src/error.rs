//! Errors of the command.

use std::path::PathBuf;

use displaydoc::Display;
use monsoonspread_ctl::RollOutError;
use monsoonspread_entry::StartError;
use monsoonspread_model::toml_check::Findings;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// file "{file}" can't be read: {source}
    Read {
        /// The file.
        file: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// the workload is faulty:\n{0}
    Workload(Findings),
    /// the stand-ins can't be started: {0}
    Fleet(std::io::Error),
    /// an entry instance can't be started: {0}
    Entry(#[from] StartError),
    /// the bundle can't be rolled out: {0}
    RollOut(#[from] RollOutError),
    /// the async runtime can't be started: {0}
    Runtime(std::io::Error),
    /// a plot can't be drawn: {0}
    Plot(String),
    /// file "{file}" can't be written: {source}
    Write {
        /// The file.
        file: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
}
