//! State of one owned upstream.

use std::sync::Arc;

use monsoonspread_model::message::{GrantAnswer, GrantId, GrantReply, HeldGrant, MeshMessage};
use monsoonspread_model::{
    AdapterRef, CopyName, Epoch, InstanceName, Refusal, RefusalReason, RequestClass, UnixMs,
    UpstreamName,
};

use super::confirmation::Confirmation;
use super::copies::Copies;
use super::endings::{Ending, Endings};
use super::grants::Grants;
use super::load_failures::LoadFailures;
use super::load_waits::LoadWaits;
use super::outstanding_grant::OutstandingGrant;
use super::place_shares::PlaceShares;
use super::reconciliation::Reconciliation;
use super::request_key::RequestKey;
use super::tracked_copy::{CopyState, TrackedCopy};
use super::wait_queue::WaitQueue;
use super::waiting_request::WaitingRequest;
use super::{OwnerAction, OwnerEvent, OwnerSettings, Speed, UpstreamShape};
use crate::placement::DemandSketch;

/// Initial estimate of the time that a grant is held, by class, in milliseconds.
const HOLD_MS: [f64; RequestClass::ALL.len()] = [500.0, 3_000.0, 20_000.0];

/// State of one owned upstream.
#[derive(Debug)]
pub(super) struct OwnedUpstream {
    /// Name and capacity.
    pub shape: UpstreamShape,
    /// The fencing number.
    pub epoch: Epoch,
    /// Settings, shared by all upstreams of the set.
    pub settings: Arc<OwnerSettings>,
    /// Copies that occupy slots.
    pub copies: Copies,
    /// Grants that have not been returned.
    pub grants: Grants,
    /// Waiting requests.
    pub queue: WaitQueue,
    /// Requests that ended recently.
    pub endings: Endings,
    /// Request rates of adapters.
    pub popularity: DemandSketch<AdapterRef>,
    /// Response speed.
    pub speed: Speed,
    /// Backoffs of adapters whose load failed.
    pub failures: LoadFailures,
    /// Announcements of former owners' grants that are still missing.
    pub reconciliation: Reconciliation,
    /// When the upstream first accepted an order under this epoch.
    pub fenced_at: Option<UnixMs>,
    /// When the next fencing order is due, for upstreams that check fencing numbers.
    pub next_fence_at: UnixMs,
    /// Whether the ownership has to be confirmed after a pause.
    pub confirmation: Confirmation,
    /// Whether the copies in all slots are known, as loads require.
    pub slots_known: bool,
    /// When the ownership started.
    pub owned_at: UnixMs,
    /// Whether it is listed as leaving.
    pub leaving: bool,
    /// Whether it reports that it drains.
    pub draining: bool,
    /// Until when it is considered unreachable.
    pub down_until: UnixMs,
    /// When its process started, as reported.
    pub started_at: Option<UnixMs>,
    /// When the newest report was taken.
    pub reported_at: UnixMs,
    /// Maximum number of batch places in use.
    pub batch_cap: u32,
    /// Estimated load time, in milliseconds.
    pub load_ms: f64,
    /// Estimated time that a grant is held, by class, in milliseconds.
    pub hold_ms: [f64; RequestClass::ALL.len()],
    /// Serial of the next grant.
    pub next_serial: u64,
    /// Totals of requests that waited for loads.
    pub load_waits: LoadWaits,
}

impl OwnedUpstream {
    /// Starts the ownership of an upstream that holds no copy and has no grant.
    pub fn new(
        now: UnixMs,
        shape: UpstreamShape,
        epoch: Epoch,
        settings: Arc<OwnerSettings>,
    ) -> Self {
        Self {
            batch_cap: shape.batch_places,
            shape,
            epoch,
            copies: Copies::default(),
            grants: Grants::default(),
            queue: WaitQueue::default(),
            endings: Endings::new(settings.endings_kept),
            popularity: DemandSketch::new(
                settings.popularity_rows,
                settings.popularity_half_life_ms,
            ),
            speed: Speed::default(),
            failures: LoadFailures::default(),
            reconciliation: Reconciliation::complete(now),
            fenced_at: None,
            next_fence_at: now,
            confirmation: Confirmation::default(),
            slots_known: true,
            owned_at: now,
            leaving: false,
            draining: false,
            down_until: UnixMs(0),
            started_at: None,
            reported_at: UnixMs(0),
            load_ms: settings.load_ms as f64,
            hold_ms: HOLD_MS,
            next_serial: 0,
            load_waits: LoadWaits::default(),
            settings,
        }
    }

    pub fn name(&self) -> &UpstreamName {
        &self.shape.name
    }

    /// Whether new grants may be given.
    pub fn takes_work(&self, now: UnixMs) -> bool {
        !self.leaving && !self.draining && now >= self.down_until
    }

    /// The current limits on batch places by class.
    pub fn shares(&self) -> PlaceShares {
        PlaceShares::new(self.batch_cap, &self.settings)
    }

    /// Whether a copy may be granted; one of an older epoch only if no former owner can unload it.
    fn is_usable(&self, name: &CopyName, copy: &TrackedCopy) -> bool {
        let is_older = name.epoch < self.epoch;
        copy.is_loaded() && (name.epoch == self.epoch || (is_older && self.may_use_older(copy)))
    }

    fn may_use_older(&self, copy: &TrackedCopy) -> bool {
        copy.handed_over || self.is_sole_owner()
    }

    /// Whether a copy of a newer owner is on the upstream.
    pub fn is_superseded(&self) -> bool {
        self.copies.iter().any(|(name, _)| name.epoch > self.epoch)
    }

    /// Whether no order of a former owner can still take effect.
    fn is_sole_owner(&self) -> bool {
        if self.shape.checks_fencing {
            return self.fenced_at.is_some();
        }
        // Without fencing an unresponsive former owner could still unload its copies.
        self.reconciliation.all_announced()
    }

    /// The newest loaded copy that a request for `adapter` may be granted on.
    pub fn usable_copy(&self, adapter: &AdapterRef) -> Option<&CopyName> {
        self.copies
            .of_adapter(adapter)
            .filter(|(name, copy)| self.is_usable(name, copy))
            .map(|(name, _)| name)
            .last()
    }

    /// Whether a copy of `adapter` can be granted now or after a load in transit.
    pub fn has_copy_or_load(&self, adapter: &AdapterRef) -> bool {
        let current = CopyName::new(adapter.clone(), self.epoch);
        let loading = self.copies.get(&current).map(|copy| copy.state) == Some(CopyState::Loading);
        loading || self.usable_copy(adapter).is_some()
    }

    /// Whether a copy of `adapter` under this epoch is being loaded or unloaded, or is uncertain.
    pub fn has_copy_underway(&self, adapter: &AdapterRef) -> bool {
        self.copies
            .get(&CopyName::new(adapter.clone(), self.epoch))
            .is_some_and(|copy| copy.state != CopyState::Loaded)
    }

    /// Sends an answer to a request.
    pub fn reply(&self, key: &RequestKey, answer: GrantAnswer, out: &mut Vec<OwnerAction>) {
        let reply = GrantReply {
            request: key.request,
            upstream: self.name().clone(),
            epoch: self.epoch,
            answer,
        };
        out.push(OwnerAction::Send {
            to: key.instance.clone(),
            message: MeshMessage::GrantReply(reply),
        });
    }

    /// Refuses a request that did not run.
    pub fn refuse(
        &mut self,
        now: UnixMs,
        waiting: &WaitingRequest,
        reason: RefusalReason,
        message: String,
        retry_at: UnixMs,
        out: &mut Vec<OwnerAction>,
    ) {
        self.count_load_wait(now, waiting);
        let refusal = Refusal::not_run(reason, message).with_retry_at(retry_at);
        let kept_until = retry_at.min(now + self.settings.ending_kept_ms);
        self.endings.insert(
            waiting.key.clone(),
            Ending::Refused(refusal.clone()),
            kept_until,
        );
        self.reply(&waiting.key, GrantAnswer::NotRun(refusal), out);
        out.push(OwnerAction::Event(OwnerEvent::Refused {
            upstream: self.name().clone(),
            adapter: waiting.request.adapter.clone(),
            reason,
        }));
    }

    /// Counts a request that stops waiting before its adapter is loaded.
    pub fn count_load_wait(&mut self, now: UnixMs, waiting: &WaitingRequest) {
        if self.usable_copy(&waiting.request.adapter).is_none() {
            self.load_waits.add(now, waiting.request.arrived_at_unix_ms);
        }
    }

    /// Ends the ownership; waiting requests are answered "not owner".
    pub fn release(&mut self, out: &mut Vec<OwnerAction>) {
        self.stop_serving(out);
        out.push(OwnerAction::Event(OwnerEvent::Disowned {
            upstream: self.name().clone(),
            epoch: self.epoch,
        }));
    }

    /// Imports a grant of a former owner, unless it was already returned here.
    pub fn import_grant(&mut self, now: UnixMs, holder: &InstanceName, held: &HeldGrant) {
        if self.endings.is_returned(held.grant) {
            return;
        }
        let grant = OutstandingGrant::from_held(holder, held, now);
        self.grants.insert(held.grant, grant);
    }

    /// Allocates the identity of the next grant.
    pub fn next_grant_id(&mut self) -> GrantId {
        let serial = self.next_serial;
        self.next_serial += 1;
        GrantId {
            epoch: self.epoch,
            serial,
        }
    }

    /// Adopts the state from when this instance owned the upstream under an older epoch.
    pub fn inherit_from(&mut self, former: OwnedUpstream) {
        self.popularity = former.popularity;
        self.speed = former.speed;
        self.load_ms = former.load_ms;
        self.hold_ms = former.hold_ms;
        self.endings = former.endings;
        self.load_waits = former.load_waits;
        self.started_at = former.started_at;
        for (name, copy) in former.copies.into_rows() {
            self.copies.insert(name, copy);
        }
        for (id, grant) in former.grants.into_rows() {
            self.grants.insert(id, grant);
        }
    }

    /// Requires a confirmation of the ownership after a pause that began at `paused_at`.
    pub fn on_pause(&mut self, now: UnixMs, paused_at: UnixMs) {
        if self.owned_at <= paused_at {
            self.confirmation.require(now);
            self.next_fence_at = now;
        }
    }

    /// Answers all waiting requests with "not owner".
    pub fn stop_serving(&mut self, out: &mut Vec<OwnerAction>) {
        for waiting in self.queue.take_all() {
            self.reply(&waiting.key, GrantAnswer::NotOwner, out);
        }
    }

    /// The batch cap that the upstream's speed allows, given the usual token gap of the other
    /// upstreams.
    pub fn target_batch_cap(&self, now: UnixMs, others_gap_us: Option<f64>) -> u32 {
        let own_gap_us = self.speed.usual_gap_us;
        let usual_gap_us = others_gap_us.map_or(own_gap_us, |gap_us| gap_us.min(own_gap_us));
        let slowdown = self.speed.slowdown(now, usual_gap_us) / self.settings.slow_factor;
        if slowdown <= 1.0 {
            return self.shape.batch_places;
        }
        let share = (1.0 / slowdown).max(self.settings.slow_min_share);
        ((f64::from(self.shape.batch_places) * share) as u32).max(1)
    }
}
