//! Snapshot of the instance list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use monsoonspread_model::{
    InstanceKind, InstanceName, InstanceState, ListedInstance, UpstreamName, ZoneName,
};

use super::{EngineRow, ServiceRow};
use crate::platform::Platform;

/// Snapshot of the instance list with a client for each upstream.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Entry instances.
    pub entries: Vec<ListedInstance>,
    /// Engines of the region by name.
    pub engines: BTreeMap<UpstreamName, EngineRow>,
    /// Servers of plain services by service name.
    pub services: BTreeMap<String, Vec<ServiceRow>>,
}

impl Directory {
    /// Builds a directory from `rows`; the clients of `previous` are reused for upstreams whose
    /// address has not changed.
    pub fn new(rows: &[ListedInstance], previous: &Self, platform: &Platform) -> Self {
        let mut directory = Self::default();
        for row in rows {
            match row.kind {
                InstanceKind::Entry => directory.entries.push(row.clone()),
                InstanceKind::Engine => directory.add_engine(row, previous, platform),
                InstanceKind::Service => directory.add_service(row, previous, platform),
            }
        }
        directory
    }

    /// Returns the addresses of the entry instances' mesh listeners.
    pub fn mesh_addresses(&self) -> Vec<(InstanceName, SocketAddr)> {
        self.entries
            .iter()
            .map(|row| (InstanceName::from(row.name.as_str()), row.address))
            .collect()
    }

    /// Returns the entry instances of one zone.
    pub fn entries_of(&self, zone: &ZoneName) -> Vec<ListedInstance> {
        self.entries
            .iter()
            .filter(|row| row.zone == *zone)
            .cloned()
            .collect()
    }

    /// Returns the listed engines of one zone.
    pub fn engines_of(&self, zone: &ZoneName) -> Vec<ListedInstance> {
        self.engines
            .values()
            .filter(|row| row.listed.zone == *zone)
            .map(|row| row.listed.clone())
            .collect()
    }

    /// Returns the number of live entry instances.
    pub fn live_entries(&self) -> usize {
        self.entries
            .iter()
            .filter(|row| row.state == InstanceState::Live)
            .count()
    }

    fn add_engine(&mut self, row: &ListedInstance, previous: &Self, platform: &Platform) {
        let name = UpstreamName::from(row.name.as_str());
        let client = previous
            .engines
            .get(&name)
            .filter(|known| known.listed.address == row.address)
            .map_or_else(
                || platform.engines.engine(row),
                |known| Arc::clone(&known.client),
            );
        let engine = EngineRow {
            name: name.clone(),
            listed: row.clone(),
            client,
        };
        self.engines.insert(name, engine);
    }

    fn add_service(&mut self, row: &ListedInstance, previous: &Self, platform: &Platform) {
        let service = row.service.clone().unwrap_or_default();
        let client = previous
            .services
            .get(&service)
            .into_iter()
            .flatten()
            .find(|known| known.listed.name == row.name && known.listed.address == row.address)
            .map_or_else(
                || platform.services.service(row),
                |known| Arc::clone(&known.client),
            );
        let server = ServiceRow {
            name: UpstreamName::from(row.name.as_str()),
            listed: row.clone(),
            client,
        };
        self.services.entry(service).or_default().push(server);
    }
}
