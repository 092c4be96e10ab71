//! Engines and servers of plain services.

use std::sync::Arc;

use monsoonspread_model::{InstanceKind, InstanceState, ListedInstance};
use monsoonspread_standin::weights::WeightSource;
use monsoonspread_standin::{Engine, EngineSettings, Service, ServiceSettings};

use super::{Region, RegionError, zone_name};

/// Plain services, one server of each in each zone.
const SERVICES: [&str; 2] = ["records", "calendar"];

impl Region {
    pub(super) async fn start_upstreams(&mut self) -> Result<(), RegionError> {
        for (index, (zone, number)) in self.shape.engines().into_iter().enumerate() {
            let every = self.shape.every_unfenced;
            let checks_fencing = every == 0 || (index + 1) % every != 0;
            self.start_engine(zone, number, checks_fencing).await?;
        }
        for zone in 1..=self.shape.zones {
            for service in SERVICES {
                self.start_service(zone, service).await?;
            }
        }
        Ok(())
    }

    async fn start_engine(
        &mut self,
        zone: usize,
        number: usize,
        checks_fencing: bool,
    ) -> Result<(), RegionError> {
        let settings = EngineSettings {
            name: format!("engine-{zone}-{number}"),
            checks_fencing,
            ..self.shape.engine.clone()
        };
        let weights = Arc::clone(self.weights.target()) as Arc<dyn WeightSource>;
        let engine = Engine::start(settings.clone(), weights).await?;
        self.list.put(ListedInstance {
            name: settings.name.clone(),
            kind: InstanceKind::Engine,
            zone: zone_name(zone),
            address: engine.address(),
            state: InstanceState::Live,
            service: None,
            checks_fencing,
            adapter_slots: settings.adapter_slots as u32,
            batch_places: settings.batch_places as u32,
        });
        self.engines.insert(settings.name, engine);
        Ok(())
    }

    async fn start_service(&mut self, zone: usize, service: &str) -> Result<(), RegionError> {
        let settings = ServiceSettings {
            name: format!("{service}-{zone}"),
            ..self.shape.service.clone()
        };
        let name = settings.name.clone();
        let server = Service::start(settings).await?;
        self.list.put(ListedInstance {
            name: name.clone(),
            kind: InstanceKind::Service,
            zone: zone_name(zone),
            address: server.address(),
            state: InstanceState::Live,
            service: Some(service.to_owned()),
            checks_fencing: false,
            adapter_slots: 0,
            batch_places: 0,
        });
        self.services.insert(name, server);
        Ok(())
    }
}
