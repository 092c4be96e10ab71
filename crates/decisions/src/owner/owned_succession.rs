//! Takeover, reconciliation and handover of one upstream.

use monsoonspread_model::message::{Announce, AnnounceRequest, Handover, MeshMessage};
use monsoonspread_model::{CopyName, InstanceName, UnixMs};

use super::owned_upstream::OwnedUpstream;
use super::reconciliation::Reconciliation;
use super::tracked_copy::{CopyState, TrackedCopy};
use super::{OwnerAction, OwnerEvent};

impl OwnedUpstream {
    /// Starts with former owners' copies and grants unknown.
    pub fn take_over(&mut self, now: UnixMs, holders: &[InstanceName]) {
        let grants_end_at = now + self.settings.grant_max_ms;
        self.reconciliation = Reconciliation::new(now, holders, grants_end_at);
        self.slots_known = false;
    }

    /// Starts with the copies and grants that the former owner handed over.
    pub fn accept_handover(&mut self, now: UnixMs, handover: &Handover) {
        for name in &handover.copies {
            let mut copy = TrackedCopy::new(CopyState::Loaded, now);
            copy.handed_over = true;
            self.copies.insert(name.clone(), copy);
        }
        for (holder, held) in &handover.grants {
            self.import_grant(now, holder, held);
        }
    }

    /// Creates the handover message for the next owner.
    pub fn handover(&self) -> Handover {
        Handover {
            upstream: self.name().clone(),
            from_epoch: self.epoch,
            copies: self.loaded_copies(),
            grants: self
                .grants
                .iter()
                .map(|(id, grant)| (grant.key.instance.clone(), grant.to_held(*id)))
                .collect(),
        }
    }

    fn loaded_copies(&self) -> Vec<CopyName> {
        self.copies
            .iter()
            .filter(|(_, copy)| copy.is_loaded())
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Sends announcement requests that are due.
    pub fn request_announcements(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        for to in self
            .reconciliation
            .due_requests(now, self.settings.announce_retry_ms)
        {
            let request = AnnounceRequest {
                upstream: self.name().clone(),
                epoch: self.epoch,
            };
            out.push(OwnerAction::Send {
                to,
                message: MeshMessage::AnnounceRequest(request),
            });
        }
    }

    /// Imports announced grants; an announcement to another epoch is ignored.
    pub fn on_announce(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        announce: &Announce,
        out: &mut Vec<OwnerAction>,
    ) {
        if announce.epoch != self.epoch {
            return;
        }
        for held in &announce.grants {
            self.import_grant(now, from, held);
        }
        if self.reconciliation.on_announced(now, from) {
            self.on_reconciled(out);
        }
    }

    /// Handles the removal of an instance from the membership.
    pub fn on_instance_removed(
        &mut self,
        now: UnixMs,
        instance: &InstanceName,
        out: &mut Vec<OwnerAction>,
    ) {
        self.queue.remove_instance(instance);
        self.grants.on_holder_removed(instance);
        if self.reconciliation.on_instance_removed(now, instance) {
            self.on_reconciled(out);
        }
    }

    /// Whether an older epoch's copy without a known pin may be unloaded.
    ///
    /// Unless every holder has announced its grants, this takes a report that shows the copy unused
    /// after the reconciliation, or after the end of every former owner's grants.
    pub fn may_evict_foreign(&self, copy: &TrackedCopy, now: UnixMs) -> bool {
        let reconciliation = &self.reconciliation;
        let needs_proof_after = match reconciliation.complete_at {
            Some(_) if !reconciliation.has_lost_holder() => return true,
            Some(complete_at) => complete_at,
            None => reconciliation.grants_end_at,
        };
        let proof_at = needs_proof_after + self.settings.clock_margin_ms;
        now > needs_proof_after && copy.unused_at.is_some_and(|at| at > proof_at)
    }

    fn on_reconciled(&self, out: &mut Vec<OwnerAction>) {
        out.push(OwnerAction::Event(OwnerEvent::Reconciled {
            upstream: self.name().clone(),
            epoch: self.epoch,
        }));
    }
}
