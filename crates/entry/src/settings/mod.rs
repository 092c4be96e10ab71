//! Settings of the process, parsed from TOML and validated together.

mod limits;
mod listeners;
mod load_budget;
mod mesh_key;
mod mesh_settings;
mod parse;
mod platform_settings;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use monsoonspread_model::bundle::Verifier;
use monsoonspread_model::{InstanceName, ZoneName};

pub use limits::Limits;
pub use listeners::Listeners;
pub use load_budget::LoadBudget;
pub use mesh_key::MeshKey;
pub use mesh_settings::MeshSettings;
pub use parse::parse;
pub use platform_settings::PlatformSettings;

/// Configuration of one entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance, unique in the region.
    pub instance: InstanceName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// All availability zones of the region.
    pub region_zones: Vec<ZoneName>,
    /// Listener addresses.
    pub listeners: Listeners,
    /// Connections to other instances.
    pub mesh: MeshSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Verifies signatures of bundles.
    pub verifier: Verifier,
    /// Limits on callers.
    pub limits: Limits,
    /// Rate limit of the weight store and the share of this instance.
    pub load_budget: LoadBudget,
    /// Address of the statsd server; `None` disables metrics.
    pub statsd: Option<SocketAddr>,
}

impl Settings {
    /// Creates default settings that listen on loopback ports chosen by the operating system.
    ///
    /// ```
    /// # use monsoonspread_entry::Settings;
    /// let settings = Settings::new("entry-1", "vestland-1");
    /// assert_eq!(settings.region_zones.len(), 1);
    /// ```
    pub fn new(instance: impl Into<InstanceName>, zone: impl Into<ZoneName>) -> Self {
        let zone = zone.into();
        Self {
            instance: instance.into(),
            region_zones: vec![zone.clone()],
            zone,
            listeners: Listeners::default(),
            mesh: MeshSettings::default(),
            platform: PlatformSettings::default(),
            verifier: Verifier::new(Vec::new()),
            limits: Limits::default(),
            load_budget: LoadBudget::default(),
            statsd: None,
        }
    }

    /// Sets the zones of the region.
    #[must_use]
    pub fn with_region_zones(mut self, zones: &[ZoneName]) -> Self {
        self.region_zones = zones.to_vec();
        self
    }

    /// Sets the verifier for bundle signatures.
    #[must_use]
    pub fn with_verifier(mut self, verifier: Verifier) -> Self {
        self.verifier = verifier;
        self
    }

    /// Sets the pre-shared key of the mesh.
    #[must_use]
    pub fn with_mesh_key(mut self, key: MeshKey) -> Self {
        self.mesh.key = key;
        self
    }
}
