//! The state machine of one instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use monsoonspread_model::bundle::{self, BundleDelta, Manifest};
use monsoonspread_model::message::{BundleContent, BundleNotice, BundleRequest};
use monsoonspread_model::{Bundle, BundleVersion, InstanceName, MeshMessage, UnixMs};
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::event::Source;
use super::history::History;
use super::pending::{Pending, Wanted};
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
    /// Peers that said they have a higher version.
    sources: BTreeMap<InstanceName, BundleVersion>,
    wanted: Option<Wanted>,
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
        Self {
            own,
            history: History::new(settings.deltas_kept, settings.delta_entries_kept),
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            verifier,
            current: Arc::default(),
            manifest: None,
            peers: Vec::new(),
            sources: BTreeMap::new(),
            wanted: None,
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
        let mut actions = self.want(manifest, &Source::Store);
        if let Some(wanted) = &mut self.wanted {
            wanted.store_failed = false;
        }
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
        if self.wanted_version() >= version {
            self.note_source(from, version);
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
        self.note_source(from, version);
        self.fetch(now)
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
            self.fetch(now)
        };
        if self.notices_left > 0 && now >= self.next_notice_at {
            actions.extend(self.notify(now));
        }
        actions
    }

    /// What this instance has in force, and what it lacks.
    pub fn dump(&self, _now: UnixMs) -> BundleDump {
        let told = self.sources.values().copied().max().unwrap_or_default();
        BundleDump {
            version: self.version(),
            digest: self.manifest.as_ref().map(|own| own.digest.clone()),
            known_version: told.max(self.wanted_version()).max(self.version()),
            deltas_kept: self.history.len(),
            fetching: self.pending.is_some(),
        }
    }

    fn wanted_version(&self) -> BundleVersion {
        let wanted = self.wanted.as_ref();
        wanted.map_or(BundleVersion(0), |wanted| wanted.manifest.version)
    }

    /// Remembers a signed manifest that is newer than what is in force or wanted.
    fn want(&mut self, manifest: Manifest, from: &Source) -> Vec<BundleAction> {
        let version = manifest.version;
        if version <= self.version() || version <= self.wanted_version() {
            return Vec::new();
        }
        if !self.verifier.verify(&manifest) {
            let from = from.clone();
            return vec![BundleAction::Event(BundleEvent::BadSignature {
                version,
                from,
            })];
        }
        self.wanted = Some(Wanted {
            manifest,
            store_failed: matches!(from, Source::Peer(_)),
        });
        Vec::new()
    }

    fn note_source(&mut self, peer: &InstanceName, version: BundleVersion) {
        if version <= self.version() {
            return;
        }
        let known = self.sources.contains_key(peer);
        if known || self.sources.len() < self.settings.sources_kept {
            self.sources.insert(peer.clone(), version);
        }
    }

    /// Asks a peer that has a higher version, or else the key-value service.
    fn fetch(&mut self, now: UnixMs) -> Vec<BundleAction> {
        if self.pending.is_some() {
            return Vec::new();
        }
        let Some((source, version)) = self.next_source() else {
            return Vec::new();
        };
        let action = match (&source, &self.wanted) {
            (Source::Store, Some(wanted)) => BundleAction::FetchFromStore(wanted.manifest.clone()),
            (Source::Store, None) => return Vec::new(),
            (Source::Peer(peer), _) => BundleAction::Send {
                to: peer.clone(),
                message: MeshMessage::BundleRequest(BundleRequest {
                    have: self.version(),
                }),
            },
        };
        self.pending = Some(Pending {
            version,
            source,
            deadline_unix_ms: now + self.settings.fetch_timeout_ms,
        });
        vec![action]
    }

    /// The peer with the highest version, unless only the key-value service has that.
    fn next_source(&mut self) -> Option<(Source, BundleVersion)> {
        let highest = self.sources.values().copied().max();
        let wanted = self.wanted.as_ref().filter(|wanted| !wanted.store_failed);
        let stored = wanted.map(|wanted| wanted.manifest.version);
        if stored.is_some() && stored > highest {
            return stored.map(|version| (Source::Store, version));
        }
        let highest = highest?;
        let holders: Vec<_> = self
            .sources
            .iter()
            .filter(|(_, version)| **version == highest)
            .map(|(peer, _)| peer)
            .collect();
        let peer = (*holders.choose(&mut self.random)?).clone();
        Some((Source::Peer(peer), highest))
    }

    /// Forgets the source that failed and asks another.
    fn give_up(&mut self, now: UnixMs) -> Vec<BundleAction> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        match &pending.source {
            Source::Peer(peer) => {
                self.sources.remove(peer);
            }
            Source::Store => {
                if let Some(wanted) = &mut self.wanted {
                    wanted.store_failed = true;
                }
            }
        }
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
        if !self.verifier.verify(&manifest) {
            return self.reject(now, manifest.version, from, true);
        }
        let signed = bundle::digest(content) == manifest.digest;
        match bundle::decode(content) {
            Ok(bundle) if signed => self.adopt(now, bundle, manifest, None, from),
            _ => self.reject(now, manifest.version, from, false),
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
        if !self.verifier.verify(&manifest) {
            return self.reject(now, manifest.version, from, true);
        }
        let result = delta.apply(&self.current);
        let signed = result.filter(|new| bundle::digest(&bundle::encode(new)) == manifest.digest);
        match signed {
            Some(bundle) => self.adopt(now, bundle, manifest, Some(delta), from),
            None => self.reject(now, manifest.version, from, false),
        }
    }

    fn reject(
        &mut self,
        now: UnixMs,
        version: BundleVersion,
        from: Source,
        unsigned: bool,
    ) -> Vec<BundleAction> {
        let event = if unsigned {
            BundleEvent::BadSignature {
                version,
                from: from.clone(),
            }
        } else {
            BundleEvent::BadContent {
                version,
                from: from.clone(),
            }
        };
        let mut actions = vec![BundleAction::Event(event)];
        if self.is_pending_from(&from) {
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
        self.forget_old();
        self.fetch(now)
    }

    fn forget_old(&mut self) {
        let version = self.current.version;
        self.sources.retain(|_, held| *held > version);
        self.wanted
            .take_if(|wanted| wanted.manifest.version <= version);
    }

    /// Puts a bundle in force; its signature and digest have been checked.
    fn adopt(
        &mut self,
        now: UnixMs,
        bundle: Bundle,
        manifest: Manifest,
        delta: Option<BundleDelta>,
        from: Source,
    ) -> Vec<BundleAction> {
        if bundle.version != manifest.version {
            return self.reject(now, manifest.version, from, false);
        }
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
        self.forget_old();
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
