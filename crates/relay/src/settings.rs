//! Settings of the process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use displaydoc::Display;
use monsoonspread_model::{InstanceName, ZoneName};
use serde::Deserialize;
use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// settings file "{0}" can't be read: {1}
    Unreadable(PathBuf, std::io::Error),
    /// settings file "{0}" is wrong: {1}
    Invalid(PathBuf, toml::de::Error),
}

/// Settings of the process.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses that it listens on.
    pub listen: ListenSettings,
    /// Bounds that the operators set.
    #[serde(default)]
    pub bounds: BoundSettings,
}

/// Addresses that an instance listens on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Clients.
    pub callers: SocketAddr,
    /// The platform, which asks whether to send clients here.
    pub readiness: SocketAddr,
    /// Other instances.
    pub peers: SocketAddr,
    /// Metrics and state dump.
    pub metrics: Option<SocketAddr>,
}

/// Bounds that the operators set.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Least time between orders of two holders to one engine, in milliseconds.
    pub order_gap_ms: u64,
    /// Time from the signal to stop until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Further attempts for each request that a service may get, over all instances.
    pub retry_ratio: f64,
    /// Further attempts beside those, over all instances.
    pub retry_slack: f64,
    /// Time in which requests must begin on a newly named version, in milliseconds.
    pub version_ms: u64,
    /// Time after which no request may reach an upstream that said it leaves, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a configuration must be in force, in milliseconds.
    pub config_ms: u64,
}

impl BoundSettings {
    /// Time in which any change must be known everywhere, in milliseconds.
    pub fn change_ms(&self) -> u64 {
        self.drain_ms.min(self.config_ms)
    }
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            order_gap_ms: 3_000,
            stop_grace_s: 8.0,
            retry_ratio: 0.1,
            retry_slack: 10.0,
            version_ms: 5_000,
            drain_ms: 2_000,
            config_ms: 2_000,
        }
    }
}

impl RelaySettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// Names the file, and the line and key that are wrong.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        toml::from_str(&text).map_err(|error| SettingsError::Invalid(path.to_owned(), error))
    }
}
