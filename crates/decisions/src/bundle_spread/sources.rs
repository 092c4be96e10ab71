//! Where a newer bundle can be had.

use std::collections::BTreeMap;

use monsoonspread_model::bundle::Manifest;
use monsoonspread_model::{BundleVersion, InstanceName, UnixMs};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::event::Source;

/// Content that was asked for.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    /// The lowest version that will do.
    pub(super) version: BundleVersion,
    pub(super) source: Source,
    pub(super) deadline_unix_ms: UnixMs,
}

/// The newest signed manifest whose content is not here yet.
#[derive(Clone, Debug)]
struct Wanted {
    manifest: Manifest,
    /// Whether the key-value service may be asked for the content.
    in_store: bool,
}

/// Peers that said they have a higher version, and the newest signed manifest.
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

    /// The highest version that anybody told of.
    pub(super) fn known_version(&self) -> BundleVersion {
        let told = self.peers.values().copied().max().unwrap_or_default();
        told.max(self.wanted_version())
    }

    /// Notes a signed manifest that is newer than the one wanted.
    pub(super) fn want(&mut self, manifest: Manifest, in_store: bool) {
        self.wanted = Some(Wanted { manifest, in_store });
    }

    /// The key-value service answered: it may be asked for the content.
    pub(super) fn note_store(&mut self, version: BundleVersion) {
        if version == self.wanted_version()
            && let Some(wanted) = &mut self.wanted
        {
            wanted.in_store = true;
        }
    }

    /// Notes that `peer` has `version`.
    pub(super) fn note_peer(&mut self, peer: &InstanceName, version: BundleVersion) {
        if self.peers.contains_key(peer) || self.peers.len() < self.max_peers {
            self.peers.insert(peer.clone(), version);
        }
    }

    /// Forgets a source that did not give content.
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

    /// Forgets what has nothing above `version`.
    pub(super) fn forget_up_to(&mut self, version: BundleVersion) {
        self.peers.retain(|_, held| *held > version);
        self.wanted
            .take_if(|wanted| wanted.manifest.version <= version);
    }

    /// The manifest to fetch from the key-value service, if only that has the newest version.
    pub(super) fn in_store(&self) -> Option<&Manifest> {
        let highest = self.peers.values().copied().max();
        self.wanted
            .as_ref()
            .filter(|wanted| wanted.in_store && Some(wanted.manifest.version) > highest)
            .map(|wanted| &wanted.manifest)
    }

    /// One of the peers with the highest version, and that version.
    pub(super) fn peer(&self, random: &mut ChaCha8Rng) -> Option<(InstanceName, BundleVersion)> {
        let highest = self.peers.values().copied().max()?;
        let holders = self.peers.iter().filter(|(_, held)| **held == highest);
        let holders: Vec<_> = holders.map(|(peer, _)| peer).collect();
        let peer = (*holders.choose(random)?).clone();
        Some((peer, highest))
    }
}
