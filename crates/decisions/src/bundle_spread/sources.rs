//! Sources of newer bundles.

use std::collections::BTreeMap;

use monsoonspread_model::bundle::Manifest;
use monsoonspread_model::{BundleVersion, InstanceName, UnixMs};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::event::Source;

/// A request for content in flight.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// The lowest acceptable version.
    pub(super) version: BundleVersion,
    pub(super) source: Source,
    pub(super) deadline_unix_ms: UnixMs,
}

/// The newest signed manifest whose content was not received yet.
#[derive(Clone, Debug)]
struct Wanted {
    manifest: Manifest,
    /// Whether the content may be fetched from the key-value service.
    in_store: bool,
}

/// Peers that announced a higher version, and the newest signed manifest.
#[derive(Clone, Debug)]
pub(super) struct Sources {
    peers: BTreeMap<InstanceName, BundleVersion>,
    max_peers: usize,
    wanted: Option<Wanted>,
}

impl Sources {
    pub(super) fn new(max_peers: usize) -> Self {
        Self {
            peers: BTreeMap::new(),
            max_peers,
            wanted: None,
        }
    }

    /// The version of the newest signed manifest, 0 for none.
    pub(super) fn wanted_version(&self) -> BundleVersion {
        let wanted = self.wanted.as_ref();
        wanted.map_or(BundleVersion(0), |wanted| wanted.manifest.version)
    }

    /// The highest version announced by a peer or a signed manifest.
    pub(super) fn known_version(&self) -> BundleVersion {
        let announced = self.peers.values().copied().max().unwrap_or_default();
        announced.max(self.wanted_version())
    }

    /// Sets a signed manifest that is newer than the wanted one.
    pub(super) fn want(&mut self, manifest: Manifest, in_store: bool) {
        self.wanted = Some(Wanted { manifest, in_store });
    }

    /// Allows fetching the wanted content from the key-value service, which answered with this
    /// version.
    pub(super) fn allow_store(&mut self, version: BundleVersion) {
        if version == self.wanted_version()
            && let Some(wanted) = &mut self.wanted
        {
            wanted.in_store = true;
        }
    }

    /// Records that `peer` has `version`, up to the maximum number of peers.
    pub(super) fn record_peer(&mut self, peer: &InstanceName, version: BundleVersion) {
        if self.peers.contains_key(peer) || self.peers.len() < self.max_peers {
            self.peers.insert(peer.clone(), version);
        }
    }

    /// Removes a source that failed to deliver content.
    pub(super) fn fail(&mut self, source: &Source) {
        match source {
            Source::Peer(peer) => {
                self.peers.remove(peer);
            }
            Source::Store => {
                if let Some(wanted) = &mut self.wanted {
                    wanted.in_store = false;
                }
            }
        }
    }

    /// Removes sources without a version above `version`.
    pub(super) fn remove_up_to(&mut self, version: BundleVersion) {
        self.peers
            .retain(|_, announced_version| *announced_version > version);
        self.wanted
            .take_if(|wanted| wanted.manifest.version <= version);
    }

    /// The manifest to fetch from the key-value service, if no peer has its version or a higher
    /// one.
    pub(super) fn store_manifest(&self) -> Option<&Manifest> {
        let highest = self.peers.values().copied().max();
        self.wanted
            .as_ref()
            .filter(|wanted| wanted.in_store && Some(wanted.manifest.version) > highest)
            .map(|wanted| &wanted.manifest)
    }

    /// A random peer among those with the highest version, and that version.
    pub(super) fn choose_peer(
        &self,
        random: &mut ChaCha8Rng,
    ) -> Option<(InstanceName, BundleVersion)> {
        let highest = self.peers.values().copied().max()?;
        let holders = self
            .peers
            .iter()
            .filter(|(_, announced_version)| **announced_version == highest);
        let holders: Vec<_> = holders.map(|(peer, _)| peer).collect();
        let peer = (*holders.choose(random)?).clone();
        Some((peer, highest))
    }
}
