//! The entry instances of a workload, with the platform services that they need.

use std::sync::Arc;
use std::time::Duration;

use ed25519_dalek::SigningKey;
use monsoonspread_borders::store::EtcdGateway;
use monsoonspread_ctl::{RollOut, SignedBundle};
use monsoonspread_entry::settings::{LoadBudget, MeshKey};
use monsoonspread_entry::{Entry, Platform, Settings};
use monsoonspread_model::bundle::{self, AdapterEntry, CallerEntry, Verifier};
use monsoonspread_model::{
    Bundle, BundleVersion, InstanceKind, InstanceState, ListedInstance, UnixMs, ZoneName,
};
use monsoonspread_standin::{Instances, InstancesSettings, Running, Store, StoreSettings};
use serde_json::Value;

use super::Fleet;
use crate::client::{ADAPTER_VERSION, JsonReader, adapter_name, caller_key, caller_name};
use crate::error::LoadError;
use crate::workload::Workload;

/// The group of every caller and adapter.
const GROUP: &str = "load";
/// The base model of every adapter.
const BASE_MODEL: &str = "base-8b";
/// Priority of every adapter's requests.
const PRIORITY: u8 = 3;
/// Requests of a caller in flight on one instance.
const MAX_IN_FLIGHT: u32 = 10_000;
/// Signs the bundle.
const SIGNING_KEY: [u8; 32] = [7; 32];
/// Shared by the instances.
const MESH_KEY: &[u8] = b"load-mesh-key-on-loopback";
/// Longest that a roll-out may take.
const ROLL_OUT_MS: u64 = 10_000;
/// Pause between two looks at an instance's dump.
const POLL: Duration = Duration::from_millis(50);

/// Entry instances that serve.
pub struct EntryFleet {
    entries: Vec<Entry>,
    zones: Vec<ZoneName>,
    reader: JsonReader,
    _store: Running<Store>,
    _list: Running<Instances>,
}

impl EntryFleet {
    /// Starts the instances in front of `fleet` and waits until they serve.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be bound or the bundle is not taken.
    pub async fn start(workload: &Workload, fleet: &Fleet) -> Result<Self, LoadError> {
        let store = Store::start(StoreSettings::default()).await;
        let store = store.map_err(LoadError::Fleet)?;
        let list = Instances::start(InstancesSettings {
            rows: fleet.listed(),
            ..InstancesSettings::default()
        });
        let list = list.await.map_err(LoadError::Fleet)?;
        let zones = &workload.zones;
        let mut entries = Vec::new();
        let mut entry_zones = Vec::new();
        for number in 0..workload.entries as usize {
            let zone = &zones[number % zones.len()];
            let mut settings = settings(workload, number, zone);
            settings.platform.store = vec![store.address()];
            settings.platform.instance_list = Some(list.address());
            let platform = Platform::connect(&settings);
            let name = settings.instance.to_string();
            let entry = Entry::start(settings, platform).await?;
            list.put(listed(name, zone, &entry));
            entries.push(entry);
            entry_zones.push(zone.clone());
        }
        let started = Self {
            entries,
            zones: entry_zones,
            reader: JsonReader::new(),
            _store: store,
            _list: list,
        };
        started.roll_out(&bundle_of(workload)).await?;
        started.wait_until_owned(fleet.engines.len()).await;
        Ok(started)
    }

    /// The instances with their zones.
    pub fn entries(&self) -> impl Iterator<Item = (&ZoneName, &Entry)> {
        self.zones.iter().zip(&self.entries)
    }

    /// State dumps of all instances.
    pub async fn dumps(&self) -> Vec<Value> {
        let mut dumps = Vec::new();
        for entry in &self.entries {
            let dump = self.reader.get(entry.operators_address(), "/dump").await;
            dumps.push(dump.unwrap_or_default());
        }
        dumps
    }

    async fn roll_out(&self, bundle: &Bundle) -> Result<(), LoadError> {
        let gateway = Arc::new(EtcdGateway::new(vec![self._store.address()]));
        let signed = SignedBundle::sign(bundle.clone(), &signing_key());
        RollOut::new(gateway, UnixMs::now() + ROLL_OUT_MS)
            .run(&signed)
            .await?;
        for entry in &self.entries {
            let mut in_force = entry.bundle();
            let is_there = |view: &Arc<monsoonspread_entry::bundle_view::BundleView>| {
                view.bundle().version >= bundle.version
            };
            let _ = in_force.wait_for(is_there).await;
        }
        Ok(())
    }

    /// Waits until every instance knows an owner of every engine.
    async fn wait_until_owned(&self, engines: usize) {
        let owners = |dump: &Value| dump["owners"].as_object().map_or(0, |owners| owners.len());
        while !self
            .dumps()
            .await
            .iter()
            .all(|dump| owners(dump) == engines)
        {
            tokio::time::sleep(POLL).await;
        }
    }
}

fn settings(workload: &Workload, number: usize, zone: &ZoneName) -> Settings {
    let mut settings = Settings::new(format!("entry-{}", number + 1), zone.clone())
        .with_region_zones(&workload.zones)
        .with_verifier(Verifier::new(vec![signing_key().verifying_key()]))
        .with_mesh_key(MeshKey::new(MESH_KEY));
    settings.load_budget = LoadBudget {
        loads_per_s: workload.weights.loads_per_s,
        share: None,
    };
    settings
}

fn signing_key() -> SigningKey {
    SigningKey::from_bytes(&SIGNING_KEY)
}

fn listed(name: String, zone: &ZoneName, entry: &Entry) -> ListedInstance {
    ListedInstance {
        name,
        kind: InstanceKind::Entry,
        zone: zone.clone(),
        address: entry.mesh_address(),
        state: InstanceState::Live,
        service: None,
        checks_fencing: false,
        adapter_slots: 0,
        batch_places: 0,
    }
}

/// A bundle that offers every adapter of the workload to every caller.
fn bundle_of(workload: &Workload) -> Bundle {
    let adapter = |number| (adapter_name(number).into(), adapter_entry());
    let caller = |number| (caller_name(number).into(), caller_entry(number));
    Bundle {
        version: BundleVersion(1),
        base_models: vec![BASE_MODEL.into()],
        adapters: (0..workload.adapters.count as u32).map(adapter).collect(),
        callers: (0..workload.callers as u32).map(caller).collect(),
        ..Bundle::default()
    }
}

fn adapter_entry() -> AdapterEntry {
    AdapterEntry {
        base_model: BASE_MODEL.into(),
        versions: vec![ADAPTER_VERSION],
        default_version: ADAPTER_VERSION,
        group: GROUP.into(),
        priority: PRIORITY,
    }
}

fn caller_entry(number: u32) -> CallerEntry {
    CallerEntry {
        key_sha256: bundle::digest(caller_key(number).as_bytes()),
        groups: vec![GROUP.into()],
        priority: 0,
        max_in_flight: MAX_IN_FLIGHT,
    }
}
