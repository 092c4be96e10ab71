//! A whole platform with its upstreams in one process.

mod plan;
mod upstream;

pub use plan::{Plan, ZonePlan};
pub use upstream::{FleetEngine, FleetService};

use std::io;
use std::sync::Arc;

use monsoonspread_model::ListedInstance;
use serde_json::{Value, json};

use crate::control::{Control, Controlled};
use crate::engine::Engine;
use crate::instances::{Instances, InstancesSettings};
use crate::server::Running;
use crate::service::Service;
use crate::store::Store;
use crate::weights::Weights;

/// A platform and its upstreams that run.
#[derive(Debug)]
pub struct Fleet {
    /// The key-value service.
    pub store: Running<Store>,
    /// The instance list.
    pub instances: Running<Instances>,
    /// The weight store.
    pub weights: Running<Weights>,
    /// The engines, zone by zone.
    pub engines: Vec<FleetEngine>,
    /// The servers of plain services, zone by zone.
    pub services: Vec<FleetService>,
    /// The control listener.
    pub control: Running<Control>,
}

impl Fleet {
    /// Starts all that `plan` names.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fleet, Plan};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let plan: Plan = toml::from_str("[[zones]]\nname = 'vestland-1'\nengines = 2").unwrap();
    /// let fleet = Fleet::start(&plan).await.unwrap();
    /// assert_eq!(fleet.engines.len(), 2);
    /// # });
    /// ```
    pub async fn start(plan: &Plan) -> io::Result<Self> {
        let store = Store::start_at(plan.store.clone(), plan.store_listen).await?;
        let weights = Weights::start(plan.weights()).await?;
        let engines = start_engines(plan, &weights).await?;
        let services = start_services(plan).await?;
        let instances = Instances::start_at(
            InstancesSettings {
                lag_ms: plan.instances.lag_ms,
                rows: rows(plan, &engines, &services),
            },
            plan.instances_listen,
        )
        .await?;
        let targets = controlled(&store, &instances, &weights, &engines, &services);
        let list = Some(Arc::clone(instances.target()));
        let control = Control::new(targets, list)
            .start_at(plan.control_listen)
            .await?;
        Ok(Self {
            store,
            instances,
            weights,
            engines,
            services,
            control,
        })
    }

    /// The engine named so.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fleet, Plan};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let fleet = Fleet::start(&Plan::default().with_zone("zone-1", 1, &[])).await.unwrap();
    /// assert!(fleet.engine("engine-zone-1-1").is_some());
    /// # });
    /// ```
    pub fn engine(&self, name: &str) -> Option<&FleetEngine> {
        self.engines.iter().find(|engine| engine.name == name)
    }

    /// Where everything listens.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fleet, Plan};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let fleet = Fleet::start(&Plan::default()).await.unwrap();
    /// assert!(fleet.addresses()["store"].is_string());
    /// # });
    /// ```
    pub fn addresses(&self) -> Value {
        let engines = self.engines.iter().map(FleetEngine::row);
        let services = self.services.iter().map(FleetService::row);
        json!({
            "control": self.control.address(),
            "store": self.store.address(),
            "instances": self.instances.address(),
            "weights": self.weights.address(),
            "engines": engines.collect::<Vec<_>>(),
            "services": services.collect::<Vec<_>>(),
        })
    }

    /// Stops everything.
    ///
    /// ```
    /// # use monsoonspread_standin::{Fleet, Plan};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// Fleet::start(&Plan::default()).await.unwrap().stop().await;
    /// # });
    /// ```
    pub async fn stop(self) {
        self.control.stop().await;
        for engine in self.engines {
            engine.running.stop().await;
        }
        for service in self.services {
            service.running.stop().await;
        }
        self.weights.stop().await;
        self.instances.stop().await;
        self.store.stop().await;
    }
}

async fn start_engines(plan: &Plan, weights: &Running<Weights>) -> io::Result<Vec<FleetEngine>> {
    let mut engines = Vec::new();
    for zone in &plan.zones {
        for number in 0..zone.engines {
            let settings = plan.engine_of(zone, number);
            let running =
                Engine::start(settings.clone(), Arc::clone(weights.target()) as _).await?;
            engines.push(FleetEngine {
                name: settings.name.clone(),
                zone: zone.name.clone(),
                settings,
                running,
            });
        }
    }
    Ok(engines)
}

async fn start_services(plan: &Plan) -> io::Result<Vec<FleetService>> {
    let mut services = Vec::new();
    for zone in &plan.zones {
        for (number, service) in zone.services.iter().enumerate() {
            let settings = plan.service_of(zone, number);
            let name = settings.name.clone();
            let running = Service::start(settings).await?;
            services.push(FleetService {
                name,
                zone: zone.name.clone(),
                service: service.clone(),
                running,
            });
        }
    }
    Ok(services)
}

fn rows(plan: &Plan, engines: &[FleetEngine], services: &[FleetService]) -> Vec<ListedInstance> {
    let given = plan.instances.rows.iter().cloned();
    let engines = engines.iter().map(FleetEngine::row);
    let services = services.iter().map(FleetService::row);
    given.chain(engines).chain(services).collect()
}

fn controlled(
    store: &Running<Store>,
    instances: &Running<Instances>,
    weights: &Running<Weights>,
    engines: &[FleetEngine],
    services: &[FleetService],
) -> Vec<Controlled> {
    let mut targets = vec![
        Controlled::new("store", store),
        Controlled::new("instances", instances),
        Controlled::new("weights", weights),
    ];
    let engines = engines
        .iter()
        .map(|engine| Controlled::new(&engine.name, &engine.running));
    let services = services
        .iter()
        .map(|service| Controlled::new(&service.name, &service.running));
    targets.extend(engines.chain(services));
    targets
}
