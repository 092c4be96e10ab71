//! Plans of fleets.

use std::net::SocketAddr;

use monsoonspread_model::ZoneName;
use serde::Deserialize;

use crate::LOOPBACK;
use crate::engine::EngineSettings;
use crate::instances::InstancesSettings;
use crate::service::ServiceSettings;
use crate::store::StoreSettings;
use crate::weights::WeightsSettings;

/// What a fleet consists of.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Plan {
    /// Factor on the times of engines, weight store and services.
    pub time_scale: f64,
    /// Where the control listener stands.
    pub control_listen: SocketAddr,
    /// Where the key-value service stands.
    pub store_listen: SocketAddr,
    /// Where the instance list stands.
    pub instances_listen: SocketAddr,
    /// The key-value service.
    pub store: StoreSettings,
    /// The instance list; the fleet's upstreams join its rows.
    pub instances: InstancesSettings,
    /// The weight store.
    pub weights: WeightsSettings,
    /// Every engine, but for its name and fencing.
    pub engine: EngineSettings,
    /// Every server of a plain service, but for its name.
    pub service: ServiceSettings,
    /// The zones.
    pub zones: Vec<ZonePlan>,
}

/// The upstreams of one zone.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct ZonePlan {
    /// Name of the zone.
    pub name: ZoneName,
    /// Engines in it.
    #[serde(default)]
    pub engines: u32,
    /// Engines, the last ones, that ignore fencing numbers.
    #[serde(default)]
    pub unfenced_engines: u32,
    /// Plain services with a server in it; a service named twice has two.
    #[serde(default)]
    pub services: Vec<String>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            time_scale: 1.0,
            control_listen: LOOPBACK,
            store_listen: LOOPBACK,
            instances_listen: LOOPBACK,
            store: StoreSettings::default(),
            instances: InstancesSettings::default(),
            weights: WeightsSettings::default(),
            engine: EngineSettings::default(),
            service: ServiceSettings::default(),
            zones: Vec::new(),
        }
    }
}

impl Plan {
    /// Adds a zone with engines that check fencing numbers and a server of each service named.
    ///
    /// ```
    /// # use monsoonspread_standin::Plan;
    /// let plan = Plan::default().with_zone("vestland-1", 6, &["records"]);
    /// assert_eq!(plan.zones[0].engines, 6);
    /// ```
    #[must_use]
    pub fn with_zone(mut self, name: &str, engines: u32, services: &[&str]) -> Self {
        self.zones.push(ZonePlan {
            name: name.into(),
            engines,
            unfenced_engines: 0,
            services: services.iter().map(ToString::to_string).collect(),
        });
        self
    }

    /// Sets the factor on the times of engines, weight store and services.
    ///
    /// ```
    /// # use monsoonspread_standin::Plan;
    /// assert_eq!(Plan::default().with_time_scale(0.1).time_scale, 0.1);
    /// ```
    #[must_use]
    pub fn with_time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    pub(super) fn weights(&self) -> WeightsSettings {
        WeightsSettings {
            time_scale: self.weights.time_scale * self.time_scale,
            ..self.weights.clone()
        }
    }

    pub(super) fn engine_of(&self, zone: &ZonePlan, number: u32) -> EngineSettings {
        let is_fenced = number < zone.engines.saturating_sub(zone.unfenced_engines);
        EngineSettings {
            name: format!("engine-{}-{}", zone.name, number + 1),
            checks_fencing: self.engine.checks_fencing && is_fenced,
            time_scale: self.engine.time_scale * self.time_scale,
            ..self.engine.clone()
        }
    }

    pub(super) fn service_of(&self, zone: &ZonePlan, number: usize) -> ServiceSettings {
        ServiceSettings {
            name: format!("{}-{}-{}", zone.services[number], zone.name, number + 1),
            time_scale: self.service.time_scale * self.time_scale,
            ..self.service.clone()
        }
    }
}
