//! State machine for all upstreams that one instance owns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use monsoonspread_model::message::{
    Announce, GrantAnswer, GrantReply, GrantRequest, GrantReturn, MeshMessage, RequestId,
};
use monsoonspread_model::{Epoch, InstanceName, LoadReport, UnixMs, UpstreamName};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::exit::Exit;
use super::expected_wait::ExpectedWait;
use super::load_budget::LoadBudget;
use super::owned_upstream::OwnedUpstream;
use super::request_key::RequestKey;
use super::{OwnerAction, OwnerDump, OwnerSettings, Speed};

/// Every upstream that one entry instance owns, and the instance's share of the weight store.
///
/// ```
/// use monsoonspread_decisions::owner::{OwnershipOrigin, OwnerSet, OwnerSettings, UpstreamShape};
/// use monsoonspread_model::{Epoch, UnixMs};
///
/// let mut owner = OwnerSet::new("entry-1".into(), OwnerSettings::default(), 7);
/// let shape = UpstreamShape::new("engine-1", 8, 16, true);
/// owner.on_ownership_gained(UnixMs(1_000), shape, Epoch(1), OwnershipOrigin::Fresh, &[]);
/// assert_eq!(owner.epoch_of(&"engine-1".into()), Some(Epoch(1)));
/// ```
#[derive(Debug)]
pub struct OwnerSet {
    pub(super) instance: InstanceName,
    pub(super) settings: Arc<OwnerSettings>,
    pub(super) owned: BTreeMap<UpstreamName, OwnedUpstream>,
    pub(super) exits: BTreeMap<UpstreamName, Exit>,
    pub(super) budget: LoadBudget,
    pub(super) peers: BTreeSet<InstanceName>,
    pub(super) next_budget_request_at: UnixMs,
    pub(super) settled_at: Option<UnixMs>,
    pub(super) rng: ChaCha8Rng,
}

impl OwnerSet {
    /// Creates a set that owns no upstream; `seed` determines the choice of peers to borrow from.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::{OwnerSet, OwnerSettings};
    /// let owner = OwnerSet::new("entry-1".into(), OwnerSettings::default(), 7);
    /// assert!(owner.is_empty());
    /// ```
    pub fn new(instance: InstanceName, settings: OwnerSettings, seed: u64) -> Self {
        Self {
            instance,
            budget: LoadBudget::new(settings.load_rate_per_s, settings.load_burst),
            settings: Arc::new(settings),
            owned: BTreeMap::new(),
            exits: BTreeMap::new(),
            peers: BTreeSet::new(),
            next_budget_request_at: UnixMs(0),
            settled_at: None,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Whether no upstream is owned.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::{OwnerSet, OwnerSettings};
    /// assert!(OwnerSet::new("entry-1".into(), OwnerSettings::default(), 7).is_empty());
    /// ```
    pub fn is_empty(&self) -> bool {
        self.owned.is_empty()
    }

    /// The fencing number under which an upstream is owned; `None` when it is not owned here.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::{OwnerSet, OwnerSettings};
    /// let owner = OwnerSet::new("entry-1".into(), OwnerSettings::default(), 7);
    /// assert_eq!(owner.epoch_of(&"engine-1".into()), None);
    /// ```
    pub fn epoch_of(&self, upstream: &UpstreamName) -> Option<Epoch> {
        self.owned.get(upstream).map(|owned| owned.epoch)
    }

    /// Response speed of an owned upstream; `None` when it is not owned here.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::{OwnerSet, OwnerSettings};
    /// let owner = OwnerSet::new("entry-1".into(), OwnerSettings::default(), 7);
    /// assert!(owner.speed(&"engine-1".into()).is_none());
    /// ```
    pub fn speed(&self, upstream: &UpstreamName) -> Option<Speed> {
        self.owned.get(upstream).map(|owned| owned.speed)
    }

    /// Creates a state dump for operators.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::{OwnerSet, OwnerSettings};
    /// # use monsoonspread_model::UnixMs;
    /// let owner = OwnerSet::new("entry-1".into(), OwnerSettings::default(), 7);
    /// assert!(owner.dump(UnixMs(0)).upstreams.is_empty());
    /// ```
    pub fn dump(&self, now: UnixMs) -> OwnerDump {
        OwnerDump::new(self, now)
    }

    /// Handles a grant request.
    pub fn on_request(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        request: GrantRequest,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.remember_peer(from);
        let upstream = request.upstream.clone();
        let Some(owned) = self.serving(&upstream) else {
            out.push(self.not_owner(from, &request));
            return out;
        };
        let Some(key) = owned.on_request(now, from, request, &mut out) else {
            return out;
        };
        self.settle(now, &upstream, &mut out);
        self.answer_waiting(now, &upstream, &key, &mut out);
        out
    }

    /// Handles the return of a grant.
    pub fn on_return(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        returned: GrantReturn,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        if let Some(owned) = self.owned.get_mut(&returned.upstream) {
            owned.on_return(now, from, &returned, &mut out);
            self.settle(now, &returned.upstream, &mut out);
        }
        out
    }

    /// Withdraws a request, granted or not.
    pub fn on_withdraw(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        upstream: &UpstreamName,
        request: RequestId,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.on_withdraw(now, from, request);
            self.settle(now, upstream, &mut out);
        }
        out
    }

    /// Imports the grants that an instance announces.
    pub fn on_announce(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        announce: Announce,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.remember_peer(from);
        if let Some(owned) = self.owned.get_mut(&announce.upstream) {
            owned.on_announce(now, from, &announce, &mut out);
            self.settle(now, &announce.upstream, &mut out);
        }
        out
    }

    /// Handles the removal of an instance from the membership.
    pub fn on_instance_removed(
        &mut self,
        now: UnixMs,
        instance: &InstanceName,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.peers.remove(instance);
        for owned in self.owned.values_mut() {
            owned.on_instance_removed(now, instance, &mut out);
        }
        self.settle_all(now, &mut out);
        out
    }

    /// Handles a load report.
    pub fn on_report(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        report: LoadReport,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.on_report(now, &report, &mut out);
            if owned.is_superseded() {
                self.begin_exit(upstream, Exit::StepDown, &mut out);
                self.exit_ready(now, &mut out);
            }
            self.settle(now, upstream, &mut out);
        }
        out
    }

    /// Carries out everything that is due; to be called about every 20 ms.
    pub fn on_tick(&mut self, now: UnixMs) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.update_batch_caps(now, &mut out);
        for owned in self.owned.values_mut() {
            owned.endings.sweep(now);
            owned.expire_grants(now, &mut out);
            owned.refuse_late(now, &mut out);
            owned.request_announcements(now, &mut out);
            owned.repeat_orders(now, &mut out);
        }
        self.exit_ready(now, &mut out);
        self.settle_all(now, &mut out);
        self.request_budget(now, &mut out);
        out
    }

    /// Grants what can start at one upstream, then starts the loads that are due.
    pub(super) fn settle(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        out: &mut Vec<OwnerAction>,
    ) {
        self.check_pause(now);
        if let Some(owned) = self.serving(upstream) {
            owned.grant_ready(now, out);
        }
        self.start_loads(now, out);
    }

    /// Requires every ownership to be confirmed when the time since the last event shows that this
    /// instance was paused.
    fn check_pause(&mut self, now: UnixMs) {
        let Some(paused_at) = self.settled_at.replace(now) else {
            return;
        };
        if now.ms_since(paused_at) < self.settings.pause_ms {
            return;
        }
        for owned in self.owned.values_mut() {
            owned.on_pause(now, paused_at);
        }
    }

    fn settle_all(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        self.check_pause(now);
        for (name, owned) in &mut self.owned {
            if !self.exits.contains_key(name) {
                owned.grant_ready(now, out);
            }
        }
        self.start_loads(now, out);
    }

    /// Answers a request that still waits with its expected start, or refuses it.
    fn answer_waiting(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        key: &RequestKey,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(wait) = self.expected_wait(now, upstream, key) else {
            return;
        };
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let Some(waiting) = owned.queue.get(key) else {
            return;
        };
        let expected_at = now + wait.total_ms();
        let in_time = waiting.in_time(expected_at, owned.first_token_ms(now));
        if in_time && self.settings.may_wait(now, waiting, wait) {
            let answer = GrantAnswer::Queued {
                expected_at_unix_ms: expected_at,
            };
            owned.reply(key, answer, out);
        } else if let Some(waiting) = owned.queue.remove(key) {
            owned.refuse_deadline(now, &waiting, out);
        }
    }

    /// How much longer a waiting request is expected to wait.
    fn expected_wait(
        &mut self,
        now: UnixMs,
        upstream: &UpstreamName,
        key: &RequestKey,
    ) -> Option<ExpectedWait> {
        let owned = self.owned.get(upstream)?;
        let waiting = owned.queue.get(key)?;
        let adapter = waiting.request.adapter.clone();
        let place_ms = owned.place_wait_ms(waiting);
        let underway_ms = match owned.usable_copy(&adapter) {
            Some(_) => Some(0),
            None => owned.loading_ms(&adapter, now),
        };
        Some(ExpectedWait {
            place_ms,
            load_underway: underway_ms.is_some(),
            load_ms: underway_ms.unwrap_or_else(|| self.load_wait_ms(now, upstream, &adapter)),
        })
    }

    /// The upstream, if it is owned here and the ownership is not ending.
    fn serving(&mut self, upstream: &UpstreamName) -> Option<&mut OwnedUpstream> {
        if self.exits.contains_key(upstream) {
            return None;
        }
        self.owned.get_mut(upstream)
    }

    fn not_owner(&self, from: &InstanceName, request: &GrantRequest) -> OwnerAction {
        let reply = GrantReply {
            request: request.request,
            upstream: request.upstream.clone(),
            epoch: self.epoch_of(&request.upstream).unwrap_or_default(),
            answer: GrantAnswer::NotOwner,
        };
        OwnerAction::Send {
            to: from.clone(),
            message: MeshMessage::GrantReply(reply),
        }
    }

    /// Records an instance as a peer to borrow budget from.
    pub(super) fn remember_peer(&mut self, peer: &InstanceName) {
        if *peer != self.instance && !self.peers.contains(peer) && self.peers.len() < MAX_PEERS {
            self.peers.insert(peer.clone());
        }
    }
}

/// Maximum number of peers recorded as lenders of budget.
const MAX_PEERS: usize = 64;
