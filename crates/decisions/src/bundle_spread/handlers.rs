//! Event handlers of [`BundleSpread`].

use monsoonspread_model::bundle::{self, BundleDelta, Manifest};
use monsoonspread_model::message::{BundleContent, BundleNotice, BundleRequest};
use monsoonspread_model::{BundleVersion, InstanceName, MeshMessage, UnixMs};

use super::BundleAction;
use super::event::Source;
use super::machine::BundleSpread;
use super::sources::Pending;

impl BundleSpread {
    /// Sets the peers to announce new bundles to; the local instance is ignored.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// spread.on_peers(UnixMs(0), &["entry-2".into()]);
    /// ```
    pub fn on_peers(&mut self, _now: UnixMs, peers: &[InstanceName]) {
        self.peers = peers
            .iter()
            .filter(|peer| **peer != self.local)
            .cloned()
            .collect();
    }

    /// Handles the manifest read from the key-value service's pointer.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// let manifest = Manifest {
    ///     version: BundleVersion(1),
    ///     digest: String::new(),
    ///     parts: Vec::new(),
    ///     signature: String::new(),
    /// };
    /// assert_eq!(spread.on_pointer(UnixMs(0), manifest).len(), 1, "not signed");
    /// ```
    pub fn on_pointer(&mut self, now: UnixMs, manifest: Manifest) -> Vec<BundleAction> {
        let version = manifest.version;
        let mut actions = self.want(manifest, &Source::Store);
        self.sources.allow_store(version);
        actions.extend(self.fetch(now));
        actions
    }

    /// Handles the announcement of a bundle by a peer.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// use monsoonspread_model::message::BundleNotice;
    /// let manifest = Manifest {
    ///     version: BundleVersion(1),
    ///     digest: String::new(),
    ///     parts: Vec::new(),
    ///     signature: String::new(),
    /// };
    /// let notice = BundleNotice { manifest };
    /// spread.on_notice(UnixMs(0), &"entry-2".into(), notice);
    /// assert_eq!(spread.version(), BundleVersion(0), "not signed");
    /// ```
    pub fn on_notice(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        notice: BundleNotice,
    ) -> Vec<BundleAction> {
        let version = notice.manifest.version;
        let mut actions = self.want(notice.manifest, &Source::Peer(from.clone()));
        if self.sources.wanted_version() >= version {
            self.record_peer(from, version);
        }
        actions.extend(self.fetch(now));
        actions
    }

    /// Handles the version in force that a peer announced.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// let requests = spread.on_peer_version(UnixMs(0), &"entry-2".into(), BundleVersion(3));
    /// assert_eq!(requests.len(), 1);
    /// ```
    pub fn on_peer_version(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        version: BundleVersion,
    ) -> Vec<BundleAction> {
        self.record_peer(from, version);
        self.fetch(now).into_iter().collect()
    }

    /// Handles a peer's request for a newer bundle.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// use monsoonspread_model::message::BundleRequest;
    /// let request = BundleRequest { have: BundleVersion(0) };
    /// assert!(spread.on_request(UnixMs(0), &"entry-2".into(), request).is_empty());
    /// ```
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

    /// Handles the content of a bundle from a peer.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// use monsoonspread_model::message::BundleContent;
    /// let manifest = Manifest {
    ///     version: BundleVersion(1),
    ///     digest: String::new(),
    ///     parts: Vec::new(),
    ///     signature: String::new(),
    /// };
    /// let content = BundleContent::Whole { manifest, content: Vec::new() };
    /// spread.on_content(UnixMs(0), &"entry-2".into(), content);
    /// assert_eq!(spread.version(), BundleVersion(0), "not signed");
    /// ```
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

    /// Handles the joined parts of a bundle read from the key-value service.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// let manifest = Manifest {
    ///     version: BundleVersion(1),
    ///     digest: String::new(),
    ///     parts: Vec::new(),
    ///     signature: String::new(),
    /// };
    /// spread.on_parts(UnixMs(0), manifest, b"");
    /// assert_eq!(spread.version(), BundleVersion(0), "not signed");
    /// ```
    pub fn on_parts(
        &mut self,
        now: UnixMs,
        manifest: Manifest,
        content: &[u8],
    ) -> Vec<BundleAction> {
        self.on_whole(now, manifest, content, Source::Store)
    }

    /// Handles a delta read from the key-value service; ignored if it does not start at the version
    /// in force.
    pub fn on_stored_delta(
        &mut self,
        now: UnixMs,
        manifest: Manifest,
        delta: BundleDelta,
    ) -> Vec<BundleAction> {
        self.on_delta(now, manifest, delta, Source::Store)
    }

    /// Handles a failed fetch from the key-value service.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// assert!(spread.on_fetch_failed(UnixMs(0)).is_empty());
    /// ```
    pub fn on_fetch_failed(&mut self, now: UnixMs) -> Vec<BundleAction> {
        let from_store = |pending: &Pending| pending.source == Source::Store;
        if !self.pending.as_ref().is_some_and(from_store) {
            return Vec::new();
        }
        self.fail_pending(now)
    }

    /// Advances time; call every 100 ms.
    ///
    /// ```
    /// # use monsoonspread_decisions::bundle_spread::{BundleSpread, BundleSpreadSettings};
    /// # use monsoonspread_model::bundle::{Manifest, Verifier};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # let verifier = Box::new(Verifier::new(Vec::new()));
    /// # let settings = BundleSpreadSettings::default();
    /// # let mut spread = BundleSpread::new("entry-1".into(), settings, verifier, 1);
    /// assert!(spread.on_tick(UnixMs(0)).is_empty());
    /// ```
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<BundleAction> {
        let late = |pending: &Pending| now >= pending.deadline_unix_ms;
        let mut actions = if self.pending.as_ref().is_some_and(late) {
            self.fail_pending(now)
        } else {
            self.fetch(now).into_iter().collect()
        };
        if self.notices_left > 0 && now >= self.next_notice_at {
            actions.extend(self.notify(now));
        }
        actions
    }
}
