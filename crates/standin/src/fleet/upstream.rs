//! Upstreams of a fleet.

use monsoonspread_model::{InstanceKind, InstanceState, ListedInstance, ZoneName};

use crate::engine::{Engine, EngineSettings};
use crate::server::Running;
use crate::service::Service;

/// An engine of a fleet.
#[derive(Debug)]
pub struct FleetEngine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its settings.
    pub settings: EngineSettings,
    /// The engine itself.
    pub running: Running<Engine>,
}

impl FleetEngine {
    /// Its row in the instance list.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fleet, Plan};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let plan = Plan::default().with_zone("zone-1", 1, &["records"]);
    /// let fleet = Fleet::start(&plan).await.unwrap();
    /// assert!(fleet.engines[0].row().checks_fencing);
    /// # });
    /// ```
    pub fn row(&self) -> ListedInstance {
        ListedInstance {
            name: self.name.clone(),
            kind: InstanceKind::Engine,
            zone: self.zone.clone(),
            address: self.running.address(),
            state: InstanceState::Live,
            service: None,
            checks_fencing: self.settings.checks_fencing,
            adapter_slots: self.settings.adapter_slots as u32,
            batch_places: self.settings.batch_places as u32,
        }
    }
}

/// A server of a plain service in a fleet.
#[derive(Debug)]
pub struct FleetService {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// The service that it belongs to.
    pub service: String,
    /// The server itself.
    pub running: Running<Service>,
}

impl FleetService {
    /// Its row in the instance list.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fleet, Plan};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let plan = Plan::default().with_zone("zone-1", 1, &["records"]);
    /// let fleet = Fleet::start(&plan).await.unwrap();
    /// assert_eq!(fleet.services[0].row().service.as_deref(), Some("records"));
    /// # });
    /// ```
    pub fn row(&self) -> ListedInstance {
        ListedInstance {
            name: self.name.clone(),
            kind: InstanceKind::Service,
            zone: self.zone.clone(),
            address: self.running.address(),
            state: InstanceState::Live,
            service: Some(self.service.clone()),
            checks_fencing: false,
            adapter_slots: 0,
            batch_places: 0,
        }
    }
}
