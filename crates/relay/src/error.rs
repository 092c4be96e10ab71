//! Errors that end the process.

use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error;

use crate::settings::SettingsError;

/// An error that ends the process.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// no settings file given
    NoSettings,
    /// {0}
    Settings(#[from] SettingsError),
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// cannot start the runtime: {0}
    Runtime(std::io::Error),
}
