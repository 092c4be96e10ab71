//! The stand-ins that a workload runs against.

mod entries;
mod totals;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use monsoonspread_model::{InstanceKind, InstanceState, ListedInstance, ZoneName};
use monsoonspread_standin::weights::WeightSource;
use monsoonspread_standin::{Engine, EngineSettings, Fault, Running, Weights, WeightsSettings};

use crate::workload::{EngineMix, Workload};

pub use entries::EntryFleet;
pub use totals::{FleetTotals, RunsByMarker};

/// One engine of the fleet.
#[derive(Debug)]
pub struct FleetEngine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    running: Running<Engine>,
}

impl FleetEngine {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Its row in the platform's instance list.
    fn listed(&self, mix: &EngineMix) -> ListedInstance {
        ListedInstance {
            name: self.name.clone(),
            kind: InstanceKind::Engine,
            zone: self.zone.clone(),
            address: self.address(),
            state: InstanceState::Live,
            service: None,
            checks_fencing: self.checks_fencing,
            adapter_slots: mix.adapter_slots as u32,
            batch_places: mix.batch_places as u32,
        }
    }
}

/// The engines and the weight store of a workload.
#[derive(Debug)]
pub struct Fleet {
    /// The engines.
    pub engines: Vec<FleetEngine>,
    weights: Running<Weights>,
    mix: EngineMix,
}

impl Fleet {
    /// Starts the stand-ins; with `auto_load`, engines load absent adapters by themselves.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound.
    pub async fn start(workload: &Workload, auto_load: bool) -> io::Result<Self> {
        let weights = Weights::start(weights_settings(workload)).await?;
        let mut engines = Vec::new();
        for number in 0..workload.engines.count as usize {
            let zone = workload.zones[number % workload.zones.len()].clone();
            let settings = engine_settings(&workload.engines, number, auto_load);
            let source: Arc<dyn WeightSource> = Arc::clone(weights.target()) as _;
            engines.push(FleetEngine {
                name: settings.name.clone(),
                zone,
                checks_fencing: settings.checks_fencing,
                running: Engine::start(settings, source).await?,
            });
        }
        Ok(Self {
            engines,
            weights,
            mix: workload.engines,
        })
    }

    /// Where the engines listen.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(FleetEngine::address).collect()
    }

    /// The engines' rows in the platform's instance list.
    pub fn listed(&self) -> Vec<ListedInstance> {
        let rows = self.engines.iter().map(|engine| engine.listed(&self.mix));
        rows.collect()
    }

    /// Slows the workload's slowed engines, or sets them back to their usual speed.
    pub fn set_slowed(&self, slowed: bool) {
        let factor = if slowed { self.mix.slowed_factor } else { 1.0 };
        let every = self.engines.len() / self.mix.slowed.max(1) as usize;
        self.engines
            .iter()
            .step_by(every.max(1))
            .take(self.mix.slowed as usize)
            .for_each(|engine| engine.running.apply(Fault::Slow { factor }));
    }

    /// What all engines counted so far.
    pub async fn totals(&self) -> FleetTotals {
        let mut totals = FleetTotals::default();
        for engine in &self.engines {
            totals.add(&engine.running.did().await);
        }
        totals
    }

    /// Which adapter versions ran each request.
    pub async fn runs(&self) -> RunsByMarker {
        let mut runs = RunsByMarker::new();
        for engine in &self.engines {
            for (marker, adapters) in engine.running.did().await.by_marker {
                runs.entry(marker).or_default().extend(adapters);
            }
        }
        runs
    }

    /// Stops every stand-in.
    pub async fn stop(self) {
        for engine in self.engines {
            engine.running.stop().await;
        }
        self.weights.stop().await;
    }
}

fn weights_settings(workload: &Workload) -> WeightsSettings {
    let weights = &workload.weights;
    WeightsSettings {
        loads_per_s: weights.loads_per_s,
        full_speed_loads: weights.full_speed_loads as u32,
        load_ms: weights.load_ms,
        transit_limit: weights.transit_limit as u32,
        ..WeightsSettings::default()
    }
}

fn engine_settings(mix: &EngineMix, number: usize, auto_load: bool) -> EngineSettings {
    let ms = |us: u64| us as f64 / 1_000.0;
    EngineSettings {
        name: format!("engine-{:02}", number + 1),
        adapter_slots: mix.adapter_slots as usize,
        batch_places: mix.batch_places as usize,
        checks_fencing: (number as f64) < mix.checking_share * mix.count as f64,
        auto_load,
        step_base_ms: ms(mix.step_base_us),
        step_per_request_ms: ms(mix.step_per_request_us),
        step_per_adapter_ms: ms(mix.step_per_adapter_us),
        prefill_per_token_ms: ms(mix.prefill_per_token_us),
        report_lag_ms: mix.report_lag_ms,
        ..EngineSettings::default()
    }
}
