//! Bundle distribution state machine of one instance.

use std::sync::Arc;

use monsoonspread_model::bundle::{BundleDelta, Manifest};
use monsoonspread_model::message::{BundleNotice, BundleRequest};
use monsoonspread_model::{Bundle, BundleVersion, InstanceName, MeshMessage, UnixMs};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::checked::{self, Rejection};
use super::event::Source;
use super::history::History;
use super::sources::{Pending, Sources};
use super::{BundleAction, BundleDump, BundleEvent, BundleSpreadSettings, ManifestVerifier};

/// Decides which bundle is in force on one instance and distributes it to peers.
pub struct BundleSpread {
    pub(super) local: InstanceName,
    pub(super) settings: BundleSpreadSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) verifier: Box<dyn ManifestVerifier>,
    pub(super) current: Arc<Bundle>,
    pub(super) manifest: Option<Manifest>,
    pub(super) history: History,
    pub(super) peers: Vec<InstanceName>,
    pub(super) sources: Sources,
    pub(super) pending: Option<Pending>,
    pub(super) notices_left: u32,
    pub(super) next_notice_at: UnixMs,
}

impl BundleSpread {
    /// Starts without a bundle.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::{bundle::Verifier, BundleVersion};
    /// let verifier = Box::new(Verifier::new(Vec::new()));
    /// let spread = BundleSpread::new("entry-1".into(), BundleSpreadSettings::default(), verifier, 1);
    /// assert_eq!(spread.version(), BundleVersion(0));
    /// ```
    pub fn new(
        local: InstanceName,
        settings: BundleSpreadSettings,
        verifier: Box<dyn ManifestVerifier>,
        seed: u64,
    ) -> Self {
        let max_sources = settings.max_sources;
        Self {
            local,
            history: History::new(settings.max_deltas, settings.max_delta_entries),
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            verifier,
            current: Arc::default(),
            manifest: None,
            peers: Vec::new(),
            sources: Sources::new(max_sources),
            pending: None,
            notices_left: 0,
            next_notice_at: UnixMs(0),
        }
    }

    /// The bundle in force.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// assert!(spread.current().adapters.is_empty());
    /// ```
    pub fn current(&self) -> &Arc<Bundle> {
        &self.current
    }

    /// The version in force, 0 for none.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// assert_eq!(spread.version(), BundleVersion(0));
    /// ```
    pub fn version(&self) -> BundleVersion {
        self.current.version
    }

    /// The signed manifest of the bundle in force; `None` without a bundle.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// assert!(spread.manifest().is_none());
    /// ```
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// The state dump.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// assert!(!spread.dump(UnixMs(0)).fetching);
    /// ```
    pub fn dump(&self, _now: UnixMs) -> BundleDump {
        BundleDump {
            version: self.version(),
            digest: self
                .manifest
                .as_ref()
                .map(|manifest| manifest.digest.clone()),
            known_version: self.sources.known_version().max(self.version()),
            deltas_kept: self.history.len(),
            fetching: self.pending.is_some(),
        }
    }

    /// Sets the wanted manifest if it is signed and newer than the one in force and the wanted
    /// one.
    pub(super) fn want(&mut self, manifest: Manifest, from: &Source) -> Vec<BundleAction> {
        let version = manifest.version;
        if version <= self.version() || version <= self.sources.wanted_version() {
            return Vec::new();
        }
        if !self.verifier.verify(&manifest) {
            let from = from.clone();
            return vec![BundleAction::Event(BundleEvent::BadSignature {
                version,
                from,
            })];
        }
        self.sources.want(manifest, *from == Source::Store);
        Vec::new()
    }

    pub(super) fn record_peer(&mut self, peer: &InstanceName, version: BundleVersion) {
        if version > self.version() {
            self.sources.record_peer(peer, version);
        }
    }

    /// Requests a newer bundle: from the key-value service if no peer has its version, otherwise
    /// from a peer. A fetch in flight is replaced only by a newer version in the service.
    pub(super) fn fetch(&mut self, now: UnixMs) -> Option<BundleAction> {
        let requested = self.pending.as_ref().map(|pending| pending.version);
        let in_store = self.sources.store_manifest();
        let in_store = in_store.filter(|manifest| Some(manifest.version) > requested);
        if requested.is_some() && in_store.is_none() {
            return None;
        }
        let (version, source, action) = if let Some(manifest) = in_store {
            let action = BundleAction::FetchFromStore(manifest.clone());
            (manifest.version, Source::Store, action)
        } else {
            let (peer, version) = self.sources.choose_peer(&mut self.random)?;
            let have = self.version();
            let action = BundleAction::Send {
                to: peer.clone(),
                message: MeshMessage::BundleRequest(BundleRequest { have }),
            };
            (version, Source::Peer(peer), action)
        };
        self.pending = Some(Pending {
            version,
            source,
            deadline_unix_ms: now + self.settings.fetch_timeout_ms,
        });
        Some(action)
    }

    /// Removes the source of the failed fetch and tries another one.
    pub(super) fn fail_pending(&mut self, now: UnixMs) -> Vec<BundleAction> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        self.sources.fail(&pending.source);
        let mut actions = vec![BundleAction::Event(BundleEvent::FetchFailed {
            version: pending.version,
            from: pending.source,
        })];
        actions.extend(self.fetch(now));
        actions
    }

    pub(super) fn on_whole(
        &mut self,
        now: UnixMs,
        manifest: Manifest,
        content: &[u8],
        from: Source,
    ) -> Vec<BundleAction> {
        if manifest.version <= self.version() {
            return self.end_fetch(now, &from);
        }
        match checked::verify_whole(&*self.verifier, &manifest, content) {
            Ok(bundle) => self.adopt(now, bundle, manifest, None),
            Err(rejection) => self.reject(now, manifest.version, from, rejection),
        }
    }

    pub(super) fn on_delta(
        &mut self,
        now: UnixMs,
        manifest: Manifest,
        delta: BundleDelta,
        from: Source,
    ) -> Vec<BundleAction> {
        if manifest.version <= self.version() || delta.from != self.version() {
            return self.end_fetch(now, &from);
        }
        match checked::apply_delta(&*self.verifier, &manifest, &self.current, &delta) {
            Ok(bundle) => self.adopt(now, bundle, manifest, Some(delta)),
            Err(rejection) => self.reject(now, manifest.version, from, rejection),
        }
    }

    pub(super) fn reject(
        &mut self,
        now: UnixMs,
        version: BundleVersion,
        from: Source,
        rejection: Rejection,
    ) -> Vec<BundleAction> {
        let was_pending = self.is_pending_from(&from);
        let event = match rejection {
            Rejection::BadSignature => BundleEvent::BadSignature { version, from },
            Rejection::BadContent => BundleEvent::BadContent { version, from },
        };
        let mut actions = vec![BundleAction::Event(event)];
        if was_pending {
            actions.extend(self.fail_pending(now));
        }
        actions
    }

    pub(super) fn is_pending_from(&self, from: &Source) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.source == *from)
    }

    pub(super) fn end_fetch(&mut self, now: UnixMs, from: &Source) -> Vec<BundleAction> {
        if self.is_pending_from(from) {
            self.pending = None;
        }
        self.fetch(now).into_iter().collect()
    }

    /// Puts a verified bundle in force, announces it and continues fetching.
    pub(super) fn adopt(
        &mut self,
        now: UnixMs,
        bundle: Bundle,
        manifest: Manifest,
        delta: Option<BundleDelta>,
    ) -> Vec<BundleAction> {
        if self.version() > BundleVersion(0) {
            let delta = delta.unwrap_or_else(|| BundleDelta::between(&self.current, &bundle));
            self.history.push(delta);
        }
        self.current = Arc::new(bundle);
        self.manifest = Some(manifest);
        self.notices_left = self.settings.notice_rounds;
        let version = self.version();
        let mut actions = vec![
            BundleAction::Adopt(Arc::clone(&self.current)),
            BundleAction::Event(BundleEvent::InForce { version }),
        ];
        actions.extend(self.notify(now));
        self.pending = None;
        self.sources.remove_up_to(version);
        actions.extend(self.fetch(now));
        actions
    }

    /// Announces the bundle in force to a few random peers.
    pub(super) fn notify(&mut self, now: UnixMs) -> Vec<BundleAction> {
        let Some(manifest) = self.manifest.clone() else {
            return Vec::new();
        };
        self.notices_left = self.notices_left.saturating_sub(1);
        self.next_notice_at = now + self.settings.notice_interval_ms;
        let peers: Vec<_> = self
            .peers
            .sample(&mut self.random, self.settings.fan_out)
            .cloned()
            .collect();
        if peers.is_empty() {
            return Vec::new();
        }
        vec![BundleAction::Notify {
            peers,
            message: MeshMessage::BundleNotice(BundleNotice { manifest }),
        }]
    }
}
