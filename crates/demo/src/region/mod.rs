//! A small region on loopback: stand-ins for the platform and the upstreams, and entry
//! instances in front of them.

mod shape;
mod upstreams;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ed25519_dalek::SigningKey;
use monsoonspread_borders::store::EtcdGateway;
use monsoonspread_ctl::{RollOut, SignedBundle};
use monsoonspread_entry::settings::{LoadBudget, MeshKey};
use monsoonspread_entry::{Entry, Platform, Settings};
use monsoonspread_model::bundle::Verifier;
use monsoonspread_model::{
    Bundle, BundleVersion, InstanceKind, InstanceState, ListedInstance, UnixMs, ZoneName,
};
use monsoonspread_standin::{
    Engine, Instances, InstancesSettings, Running, Service, Store, StoreSettings, Weights,
};
use tokio::time::sleep;

pub use shape::RegionShape;

use crate::client::{Client, ClientError};

/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(20);
/// Longest that the key-value service may take to put a bundle in force.
const ROLL_OUT_TIMEOUT_MS: u64 = 30_000;

/// Why a region did not come up.
pub type RegionError = Box<dyn std::error::Error + Send + Sync>;

/// Everything that runs.
pub struct Region {
    /// What it was started with.
    pub shape: RegionShape,
    /// Key-value service.
    pub store: Running<Store>,
    /// Instance list.
    pub list: Running<Instances>,
    /// Weight store.
    pub weights: Running<Weights>,
    /// Engines by name.
    pub engines: BTreeMap<String, Running<Engine>>,
    /// Servers of plain services by name.
    pub services: BTreeMap<String, Running<Service>>,
    /// Entry instances by name.
    pub entries: BTreeMap<String, Entry>,
    /// Signs bundles.
    pub key: SigningKey,
}

impl Region {
    /// Starts the platform, the upstreams and the entry instances.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be opened.
    pub async fn start(shape: RegionShape) -> Result<Self, RegionError> {
        let mut region = Self::start_platform(shape).await?;
        for (zone, number) in region.shape.entries() {
            let name = format!("entry-{zone}-{number}");
            region.start_entry(&name, &zone_name(zone)).await?;
        }
        Ok(region)
    }

    /// Starts everything but the entry instances.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be opened.
    pub async fn start_platform(shape: RegionShape) -> Result<Self, RegionError> {
        let store = Store::start(StoreSettings::default()).await?;
        let weights = Weights::start(shape.weights.clone()).await?;
        let list = Instances::start(InstancesSettings {
            lag_ms: shape.list_lag_ms,
            rows: Vec::new(),
        })
        .await?;
        let mut region = Self {
            store,
            list,
            weights,
            engines: BTreeMap::new(),
            services: BTreeMap::new(),
            entries: BTreeMap::new(),
            key: SigningKey::from_bytes(&rand::random()),
            shape,
        };
        region.start_upstreams().await?;
        Ok(region)
    }

    /// Starts an entry instance and lists it.
    ///
    /// # Errors
    ///
    /// Fails when a port can't be opened.
    pub async fn start_entry(&mut self, name: &str, zone: &ZoneName) -> Result<(), RegionError> {
        let settings = self.settings(name, zone);
        let platform = Platform::connect(&settings);
        let entry = Entry::start(settings, platform).await?;
        self.list_entry(name, zone, entry.mesh_address());
        self.entries.insert(name.to_owned(), entry);
        Ok(())
    }

    /// Settings of an entry instance of this region.
    pub fn settings(&self, name: &str, zone: &ZoneName) -> Settings {
        let zones: Vec<ZoneName> = (1..=self.shape.zones).map(zone_name).collect();
        let verifier = Verifier::new(vec![self.key.verifying_key()]);
        let mut settings = Settings::new(name, zone.clone())
            .with_region_zones(&zones)
            .with_verifier(verifier)
            .with_mesh_key(MeshKey::new(b"demo-mesh-key-on-loopback"));
        settings.platform.store = vec![self.store.address()];
        settings.platform.instance_list = Some(self.list.address());
        settings.platform.list_poll_ms = self.shape.list_poll_ms;
        settings.load_budget = LoadBudget {
            loads_per_s: self.shape.weights.loads_per_s,
            share: None,
        };
        settings
    }

    /// Adds an entry instance to the instance list.
    pub fn list_entry(&self, name: &str, zone: &ZoneName, address: SocketAddr) {
        self.list.put(ListedInstance {
            name: name.to_owned(),
            kind: InstanceKind::Entry,
            zone: zone.clone(),
            address,
            state: InstanceState::Live,
            service: None,
            checks_fencing: false,
            adapter_slots: 0,
            batch_places: 0,
        });
    }

    /// A client of the key-value service.
    pub fn store_client(&self) -> EtcdGateway {
        EtcdGateway::new(vec![self.store.address()])
    }

    /// Puts a bundle in force and waits until every entry instance has it.
    ///
    /// # Errors
    ///
    /// Fails when the bundle can't be rolled out.
    pub async fn roll_out(&self, bundle: &Bundle) -> Result<(), RegionError> {
        let store = Arc::new(self.store_client());
        let deadline_unix_ms = UnixMs::now() + ROLL_OUT_TIMEOUT_MS;
        let signed = SignedBundle::sign(bundle.clone(), &self.key);
        RollOut::new(store, deadline_unix_ms).run(&signed).await?;
        self.wait_for_bundle(bundle.version).await;
        Ok(())
    }

    /// Waits until every entry instance has `version` in force.
    pub async fn wait_for_bundle(&self, version: BundleVersion) {
        for entry in self.entries.values() {
            let mut bundle = entry.bundle();
            let _ = bundle
                .wait_for(|view| view.bundle().version >= version)
                .await;
        }
    }

    /// Waits until every entry instance knows an owner of every engine.
    ///
    /// # Errors
    ///
    /// Fails when an operators' listener fails.
    pub async fn wait_for_owners(&self) -> Result<(), ClientError> {
        let client = Client::new("");
        for entry in self.entries.values() {
            loop {
                let dump = client.get(entry.operators_address(), "/dump").await?.json();
                let owned = dump["owners"].as_object().map_or(0, |owners| owners.len());
                if owned == self.engines.len() {
                    break;
                }
                sleep(POLL).await;
            }
        }
        Ok(())
    }

    /// Where callers of an entry instance connect.
    ///
    /// # Panics
    ///
    /// Panics when there is no such instance.
    pub fn callers_address(&self, entry: &str) -> SocketAddr {
        self.entries[entry].callers_address()
    }

    /// Where callers of every entry instance connect, in the order of names.
    pub fn callers_addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(Entry::callers_address).collect()
    }
}

/// Name of the zone with a number, counted from 1.
pub fn zone_name(number: usize) -> ZoneName {
    format!("zone-{number}").into()
}
