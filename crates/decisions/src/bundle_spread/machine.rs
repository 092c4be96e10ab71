//! The state machine of one instance.

use std::sync::Arc;

use monsoonspread_model::bundle::{self, BundleDelta, Manifest};
use monsoonspread_model::message::{BundleContent, BundleNotice, BundleRequest};
use monsoonspread_model::{Bundle, BundleVersion, InstanceName, MeshMessage, UnixMs};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::checked::{self, Rejected};
use super::event::Source;
use super::history::History;
use super::sources::{Pending, Sources};
use super::{BundleAction, BundleDump, BundleEvent, BundleSpreadSettings, ManifestVerifier};

/// Decides which bundle is in force on one instance and passes it on.
pub struct BundleSpread {
    own: InstanceName,
    settings: BundleSpreadSettings,
    random: ChaCha8Rng,
    verifier: Box<dyn ManifestVerifier>,
    current: Arc<Bundle>,
    manifest: Option<Manifest>,
    history: History,
    peers: Vec<InstanceName>,
    sources: Sources,
    pending: Option<Pending>,
    notices_left: u32,
    next_notice_at: UnixMs,
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
        own: InstanceName,
        settings: BundleSpreadSettings,
        verifier: Box<dyn ManifestVerifier>,
        seed: u64,
    ) -> Self {
        let max_sources = settings.sources_kept;
        Self {
            own,
            history: History::new(settings.deltas_kept, settings.delta_entries_kept),
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
    pub fn current(&self) -> &Arc<Bundle> {
        &self.current
    }

    /// The version in force, 0 for none.
    pub fn version(&self) -> BundleVersion {
        self.current.version
    }

    /// The signed manifest of the bundle in force.
    pub fn manifest(&self) -> Option<&Manifest> {
        self.manifest.as_ref()
    }

    /// Takes the peers that new bundles are told to.
    pub fn on_peers(&mut self, _now: UnixMs, peers: &[InstanceName]) {
        self.peers = peers
            .iter()
            .filter(|peer| **peer != self.own)
            .cloned()
            .collect();
    }

    /// The key-value service's pointer was read.
    pub fn on_pointer(&mut self, now: UnixMs, manifest: Manifest) -> Vec<BundleAction> {
        let version = manifest.version;
        let mut actions = self.want(manifest, &Source::Store);
        self.sources.note_store(version);
        actions.extend(self.fetch(now));
        actions
    }

    /// A peer told of a bundle.
    pub fn on_notice(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        notice: BundleNotice,
    ) -> Vec<BundleAction> {
        let version = notice.manifest.version;
        let mut actions = self.want(notice.manifest, &Source::Peer(from.clone()));
        if self.sources.wanted_version() >= version {
            self.note_peer(from, version);
        }
        actions.extend(self.fetch(now));
        actions
    }

    /// A peer's message said which version it has in force.
    pub fn on_peer_version(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        version: BundleVersion,
    ) -> Vec<BundleAction> {
        self.note_peer(from, version);
        self.fetch(now).into_iter().collect()
    }

    /// A peer asks for what it lacks.
    pub fn on_request(
        &mut self,
        _now: UnixMs,
        from: &InstanceName,
        request: BundleRequest,
    ) -> Vec<BundleAction> {
        let newer = self.version() > request.have;
        let Some(manifest) = self.manifest.clone().filter(|_| newer) else {
            return Vec::new();
        };
        let content = match self.history.since(request.have) {
            Some(delta) => BundleContent::Delta { manifest, delta },
            None => BundleContent::Whole {
                manifest,
                content: bundle::encode(&self.current),
            },
        };
        vec![BundleAction::Send {
            to: from.clone(),
            message: MeshMessage::BundleContent(content),
        }]
    }

    /// A peer sent a bundle.
    pub fn on_content(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        content: BundleContent,
    ) -> Vec<BundleAction> {
        let source = Source::Peer(from.clone());
        match content {
            BundleContent::Whole { manifest, content } => {
                self.on_whole(now, manifest, &content, source)
            }
            BundleContent::Delta { manifest, delta } => self.on_delta(now, manifest, delta, source),
        }
    }

    /// The joined parts of a bundle were read from the key-value service.
    pub fn on_parts(
        &mut self,
        now: UnixMs,
        manifest: Manifest,
        content: &[u8],
    ) -> Vec<BundleAction> {
        self.on_whole(now, manifest, content, Source::Store)
    }

    /// A delta was read from the key-value service; one from another version is passed over.
    pub fn on_stored_delta(
        &mut self,
        now: UnixMs,
        manifest: Manifest,
        delta: BundleDelta,
    ) -> Vec<BundleAction> {
        self.on_delta(now, manifest, delta, Source::Store)
    }

    /// The key-value service did not give the content.
    pub fn on_fetch_failed(&mut self, now: UnixMs) -> Vec<BundleAction> {
        let from_store = |pending: &Pending| pending.source == Source::Store;
        if !self.pending.as_ref().is_some_and(from_store) {
            return Vec::new();
        }
        self.give_up(now)
    }

    /// Lets time pass; every 100 ms.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<BundleAction> {
        let late = |pending: &Pending| now >= pending.deadline_unix_ms;
        let mut actions = if self.pending.as_ref().is_some_and(late) {
            self.give_up(now)
        } else {
            self.fetch(now).into_iter().collect()
        };
        if self.notices_left > 0 && now >= self.next_notice_at {
            actions.extend(self.notify(now));
        }
        actions
    }

    /// What this instance has in force, and what it lacks.
    pub fn dump(&self, _now: UnixMs) -> BundleDump {
        BundleDump {
            version: self.version(),
            digest: self.manifest.as_ref().map(|own| own.digest.clone()),
            known_version: self.sources.known_version().max(self.version()),
            deltas_kept: self.history.len(),
            fetching: self.pending.is_some(),
        }
    }

    /// Remembers a signed manifest that is newer than what is in force or wanted.
    fn want(&mut self, manifest: Manifest, from: &Source) -> Vec<BundleAction> {
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

    fn note_peer(&mut self, peer: &InstanceName, version: BundleVersion) {
        if version > self.version() {
            self.sources.note_peer(peer, version);
        }
    }

    /// Asks a peer that has a higher version, or else the key-value service.
    fn fetch(&mut self, now: UnixMs) -> Option<BundleAction> {
        let asked = self.pending.as_ref().map(|pending| pending.version);
        let in_store = self.sources.in_store();
        let in_store = in_store.filter(|manifest| Some(manifest.version) > asked);
        if asked.is_some() && in_store.is_none() {
            return None;
        }
        let (version, source, action) = if let Some(manifest) = in_store {
            let action = BundleAction::FetchFromStore(manifest.clone());
            (manifest.version, Source::Store, action)
        } else {
            let (peer, version) = self.sources.peer(&mut self.random)?;
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

    /// Forgets the source that failed and asks another.
    fn give_up(&mut self, now: UnixMs) -> Vec<BundleAction> {
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

    fn on_whole(
        &mut self,
        now: UnixMs,
        manifest: Manifest,
        content: &[u8],
        from: Source,
    ) -> Vec<BundleAction> {
        if manifest.version <= self.version() {
            return self.end_fetch(now, &from);
        }
        match checked::whole(&*self.verifier, &manifest, content) {
            Ok(bundle) => self.adopt(now, bundle, manifest, None),
            Err(rejected) => self.reject(now, manifest.version, from, rejected),
        }
    }

    fn on_delta(
        &mut self,
        now: UnixMs,
        manifest: Manifest,
        delta: BundleDelta,
        from: Source,
    ) -> Vec<BundleAction> {
        if manifest.version <= self.version() || delta.from != self.version() {
            return self.end_fetch(now, &from);
        }
        match checked::changed(&*self.verifier, &manifest, &self.current, &delta) {
            Ok(bundle) => self.adopt(now, bundle, manifest, Some(delta)),
            Err(rejected) => self.reject(now, manifest.version, from, rejected),
        }
    }

    fn reject(
        &mut self,
        now: UnixMs,
        version: BundleVersion,
        from: Source,
        rejected: Rejected,
    ) -> Vec<BundleAction> {
        let was_pending = self.is_pending_from(&from);
        let event = match rejected {
            Rejected::BadSignature => BundleEvent::BadSignature { version, from },
            Rejected::BadContent => BundleEvent::BadContent { version, from },
        };
        let mut actions = vec![BundleAction::Event(event)];
        if was_pending {
            actions.extend(self.give_up(now));
        }
        actions
    }

    fn is_pending_from(&self, from: &Source) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| pending.source == *from)
    }

    fn end_fetch(&mut self, now: UnixMs, from: &Source) -> Vec<BundleAction> {
        if self.is_pending_from(from) {
            self.pending = None;
        }
        self.fetch(now).into_iter().collect()
    }

    /// Puts a bundle in force; its signature and digest have been checked.
    fn adopt(
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
        self.sources.forget_up_to(version);
        actions.extend(self.fetch(now));
        actions
    }

    /// Tells a few random peers of the bundle in force.
    fn notify(&mut self, now: UnixMs) -> Vec<BundleAction> {
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
