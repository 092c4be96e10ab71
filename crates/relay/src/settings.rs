//! Process settings.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use displaydoc::Display;
use monsoonspread_decisions::config_age::AgeBounds;
use monsoonspread_model::{InstanceName, ZoneName};
use serde::Deserialize;
use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Display, Error)]
pub enum SettingsError {
    /// cannot read settings file "{0}": {1}
    Unreadable(PathBuf, std::io::Error),
    /// invalid settings file "{0}": {1}
    Invalid(PathBuf, toml::de::Error),
}

/// Process settings.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Name of this instance.
    pub instance: InstanceName,
    /// Availability zone of this instance.
    pub zone: ZoneName,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub bootstrap: bool,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// Limits set by the operators.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// The machine that the process runs on.
    #[serde(default)]
    pub machine: MachineSettings,
    /// Limits on how slowly callers may send and read.
    #[serde(default)]
    pub callers: CallerSettings,
}

/// Limits on how slowly callers may send and read.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CallerSettings {
    /// Span over which the progress of a body is checked, in milliseconds.
    pub body_window_ms: u64,
    /// Minimum rate at which a body arrives in each such span, in bytes per second.
    pub body_bytes_per_s: u64,
    /// Time after which a connection is closed whose client takes nothing of its answer, in milliseconds.
    pub unread_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            // Longer than the platform's clients wait for an answer to a request with a body.
            body_window_ms: 10_000,
            // About a thousandth of the slowest link.
            body_bytes_per_s: 1_024,
            // Longer than the platform's servers wait for a reader.
            unread_ms: 10_000,
        }
    }
}

/// The machine that the process runs on; a limit that isn't set is taken from the operating system.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct MachineSettings {
    /// Memory that the process may use, in megabytes.
    pub memory_mb: Option<u64>,
    /// File descriptors that the process may open.
    pub max_descriptors: Option<u64>,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Client requests.
    pub callers: SocketAddr,
    /// Readiness checks of the platform.
    pub readiness: SocketAddr,
    /// Messages of other instances.
    pub peers: SocketAddr,
    /// Metrics and state dump; `None` disables them.
    pub metrics: Option<SocketAddr>,
}

/// Limits set by the operators.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct BoundSettings {
    /// Minimum time between orders of two holders to one engine, in milliseconds.
    pub order_gap_ms: u64,
    /// Time from the signal to stop until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Maximum retries per request of a service, over all instances.
    pub retry_ratio: f64,
    /// Retries allowed in addition to those, over all instances.
    pub retry_slack: f64,
    /// Time within which requests must begin on a newly named version, in milliseconds.
    pub version_ms: u64,
    /// Time after which no request may reach an upstream that announced that it is leaving, in
    /// milliseconds.
    pub drain_ms: u64,
    /// How often upstreams write their entries in the store, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time within which a configuration must be in force, in milliseconds.
    pub config_ms: u64,
    /// Time within which a key that was taken away admits no more requests, in milliseconds.
    pub revoke_ms: u64,
    /// Whether that also holds for instances that have lost the store.
    pub revoke_strict: bool,
    /// Span over which quotas are counted, in seconds.
    pub quota_window_s: f64,
    /// How much a workspace may use beyond its quota, as a share of it.
    pub quota_overage: f64,
    /// How much a workspace may use beyond that, in units of its quota.
    pub quota_slack: f64,
}

/// Share of the time for a new adapter version in which requests are sent to older ones, in percent: the rest
/// is for the announcement to arrive and for requests that wait at their engine.
const VERSION_LEEWAY_PERCENT: u64 = 70;

impl BoundSettings {
    /// Returns the time within which every instance must know any change, in milliseconds.
    pub fn change_ms(&self) -> u64 {
        let change_ms = self.drain_ms.min(self.config_ms);
        match self.strict_revoke_ms() {
            Some(revoke_ms) => change_ms.min(AgeBounds::max_change_ms(revoke_ms)),
            None => change_ms,
        }
    }

    /// Returns how long after the announcement of an adapter version requests may be sent to an engine that
    /// has an older one, in milliseconds.
    pub fn version_leeway_ms(&self) -> u64 {
        self.version_ms * VERSION_LEEWAY_PERCENT / 100
    }

    /// Returns how old the knowledge of a configuration may be.
    pub fn config_age(&self) -> AgeBounds {
        AgeBounds::new(self.config_ms, self.strict_revoke_ms())
    }

    /// Returns the time within which every instance must know that a key was taken away, in milliseconds;
    /// `None` if instances that have lost the store need not.
    fn strict_revoke_ms(&self) -> Option<u64> {
        self.revoke_strict.then_some(self.revoke_ms)
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
            heartbeat_ms: 1_200,
            config_ms: 2_000,
            revoke_ms: 5_000,
            revoke_strict: false,
            quota_window_s: 8.0,
            quota_overage: 0.1,
            quota_slack: 0.0,
        }
    }
}

impl RelaySettings {
    /// Reads a settings file.
    ///
    /// # Errors
    ///
    /// The error names the file, and the line and key at fault.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        toml::from_str(&text).map_err(|error| SettingsError::Invalid(path.to_owned(), error))
    }
}
