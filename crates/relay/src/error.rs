//! Why the process ends.

use std::net::SocketAddr;

use displaydoc::Display;
use thiserror::Error;

use crate::settings::SettingsError;

/// Why the process ends.
#[derive(Debug, Display, Error)]
pub enum RunError {
    /// no settings file is given
    NoSettings,
    /// {0}
    Settings(#[from] SettingsError),
    /// can't listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// can't start the runtime: {0}
    Runtime(std::io::Error),
}
