//! Settings of the process: read from TOML, checked as a whole.

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

/// Everything that one entry instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name, unique in the region.
    pub instance: InstanceName,
    /// The availability zone it stands in.
    pub zone: ZoneName,
    /// Every availability zone of the region.
    pub region_zones: Vec<ZoneName>,
    /// Where it listens.
    pub listeners: Listeners,
    /// How it speaks with other instances.
    pub mesh: MeshSettings,
    /// Where the platform's services are.
    pub platform: PlatformSettings,
    /// Checks who signed a bundle.
    pub verifier: Verifier,
    /// What it takes from callers.
    pub limits: Limits,
    /// Its part of the weight store's rate.
    pub load_budget: LoadBudget,
    /// Where metrics are sent, if anywhere.
    pub statsd: Option<SocketAddr>,
}

impl Settings {
    /// Settings of `instance` in `zone` that listen on loopback ports chosen by the system.
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

    /// Names the zones of the region.
    #[must_use]
    pub fn with_region_zones(mut self, zones: &[ZoneName]) -> Self {
        self.region_zones = zones.to_vec();
        self
    }

    /// Sets who may sign bundles.
    #[must_use]
    pub fn with_verifier(mut self, verifier: Verifier) -> Self {
        self.verifier = verifier;
        self
    }

    /// Sets the key that the instances share.
    #[must_use]
    pub fn with_mesh_key(mut self, key: MeshKey) -> Self {
        self.mesh.key = key;
        self
    }
}
