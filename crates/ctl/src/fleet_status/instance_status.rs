//! What one instance says.

use std::fmt;
use std::net::SocketAddr;

use monsoonspread_model::BundleVersion;
use serde::{Deserialize, Serialize};

/// The state of an instance that is stopping.
const DRAINING: &str = "draining";

/// What one instance says of itself.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Its operators' listener.
    pub address: SocketAddr,
    /// Its name, when it answered.
    pub instance: Option<String>,
    /// Its zone, when it answered.
    pub zone: Option<String>,
    /// What it does with new requests, when it answered.
    pub state: Option<String>,
    /// The bundle that it has in force, when it answered.
    pub version: Option<BundleVersion>,
    /// Why it did not answer.
    pub error: Option<String>,
}

/// The part of a dump that is read here.
#[derive(Debug, Deserialize)]
struct Dump {
    instance: String,
    zone: String,
    state: String,
    bundle: Option<DumpedBundle>,
}

#[derive(Debug, Deserialize)]
struct DumpedBundle {
    version: BundleVersion,
}

impl InstanceStatus {
    /// An instance that did not answer.
    pub(super) fn failed(address: SocketAddr, error: &str) -> Self {
        Self {
            address,
            instance: None,
            zone: None,
            state: None,
            version: None,
            error: Some(error.to_owned()),
        }
    }

    /// Reads an instance's dump.
    pub(super) fn from_dump(address: SocketAddr, body: &[u8]) -> Self {
        match serde_json::from_slice::<Dump>(body) {
            Err(error) => Self::failed(address, &format!("the dump is not readable: {error}")),
            Ok(dump) => Self {
                address,
                instance: Some(dump.instance),
                zone: Some(dump.zone),
                state: Some(dump.state),
                version: dump.bundle.map(|bundle| bundle.version),
                error: None,
            },
        }
    }
}

impl InstanceStatus {
    /// Whether it serves or may serve without having `version` in force.
    ///
    /// An instance that is stopping takes no new work and needs no new bundle.
    ///
    /// ```
    /// # use monsoonspread_ctl::fleet_status::FleetStatus;
    /// # use monsoonspread_model::BundleVersion;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let fleet = FleetStatus::new(&["127.0.0.1:1".parse().unwrap()]);
    /// assert!(fleet.ask().await[0].lags(BundleVersion(1)));
    /// # });
    /// ```
    pub fn lags(&self, version: BundleVersion) -> bool {
        self.state.as_deref() != Some(DRAINING) && self.version < Some(version)
    }
}

impl fmt::Display for InstanceStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let absent = || "-".to_owned();
        let name = self.instance.clone().unwrap_or_else(absent);
        let zone = self.zone.clone().unwrap_or_else(absent);
        let version = self
            .version
            .map_or_else(absent, |version| version.to_string());
        let address = self.address.to_string();
        write!(f, "{name:<16} {zone:<12} {address:<21} bundle {version}")?;
        match (&self.error, &self.state) {
            (Some(error), _) => write!(f, "  {error}"),
            (None, Some(state)) => write!(f, "  {state}"),
            (None, None) => Ok(()),
        }
    }
}
