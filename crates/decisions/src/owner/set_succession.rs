//! Start and end of ownerships.

use std::sync::Arc;

use monsoonspread_model::message::{AnnounceRequest, MeshMessage};
use monsoonspread_model::{Epoch, InstanceName, UnixMs, UpstreamName};

use super::exit::Exit;
use super::owned_upstream::OwnedUpstream;
use super::{OwnerAction, OwnerEvent, OwnerSet, OwnershipOrigin, UpstreamShape};

impl OwnerSet {
    /// Starts the ownership of an upstream; `holders` are the instances that may hold grants on it.
    ///
    /// An epoch that is not higher than the current one is ignored.
    pub fn on_ownership_gained(
        &mut self,
        now: UnixMs,
        upstream: UpstreamShape,
        epoch: Epoch,
        origin: OwnershipOrigin,
        holders: &[InstanceName],
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        if self
            .epoch_of(&upstream.name)
            .is_some_and(|current| current >= epoch)
        {
            return out;
        }
        holders.iter().for_each(|holder| self.remember_peer(holder));
        let name = upstream.name.clone();
        let former = self.owned.remove(&name);
        self.exits.remove(&name);
        let mut owned = OwnedUpstream::new(now, upstream, epoch, Arc::clone(&self.settings));
        match &origin {
            OwnershipOrigin::Fresh => {}
            OwnershipOrigin::Takeover => owned.take_over(now, holders),
            OwnershipOrigin::Handover(handover) => owned.accept_handover(now, handover),
        }
        if let Some(mut former) = former {
            former.release(&mut out);
            owned.inherit_from(former);
        }
        owned.request_announcements(now, &mut out);
        owned.repeat_orders(now, &mut out);
        out.push(OwnerAction::Event(OwnerEvent::Owned {
            upstream: name.clone(),
            epoch,
        }));
        self.owned.insert(name, owned);
        out
    }

    /// Ends the ownership of an upstream that the table assigned to another instance.
    pub fn on_ownership_lost(&mut self, _now: UnixMs, upstream: &UpstreamName) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.exits.remove(upstream);
        if let Some(mut owned) = self.owned.remove(upstream) {
            owned.release(&mut out);
        }
        out
    }

    /// Stops grants on an upstream that is leaving, and refuses its waiting requests.
    pub fn on_leaving(&mut self, now: UnixMs, upstream: &UpstreamName) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.leaving = true;
            owned.refuse_all(now, &mut out);
        }
        out
    }

    /// Resumes grants on an upstream that was listed as leaving and is live again.
    pub fn on_live(&mut self, now: UnixMs, upstream: &UpstreamName) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        let left = self.owned.get_mut(upstream).filter(|owned| owned.leaving);
        if let Some(owned) = left {
            owned.leaving = false;
            self.settle(now, upstream, &mut out);
        }
        out
    }

    /// Stops serving an upstream when an owner with a higher fencing number requests its grants.
    ///
    /// This instance then steps down as soon as its last unload was answered. It announces
    /// the grants it holds only after that, on a later request, once
    /// [`may_announce`](Self::may_announce) returns `true`: the announcement implies to the new
    /// owner that no unload of this instance is in transit.
    pub fn on_announce_request(
        &mut self,
        now: UnixMs,
        request: &AnnounceRequest,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        if !self.may_announce(&request.upstream, request.epoch) {
            self.begin_exit(&request.upstream, Exit::StepDown, &mut out);
            self.exit_ready(now, &mut out);
        }
        out
    }

    /// Whether the grants held by this instance may be announced to the owner with `epoch`.
    ///
    /// ```
    /// # use monsoonspread_decisions::owner::{OwnerSet, OwnerSettings};
    /// # use monsoonspread_model::Epoch;
    /// let owner = OwnerSet::new("entry-1".into(), OwnerSettings::default(), 7);
    /// assert!(owner.may_announce(&"engine-1".into(), Epoch(2)));
    /// ```
    pub fn may_announce(&self, upstream: &UpstreamName, epoch: Epoch) -> bool {
        self.epoch_of(upstream)
            .is_none_or(|current| current >= epoch)
    }

    /// Hands all upstreams over before a planned stop, each once its last order was answered.
    ///
    /// The ownership of an upstream without a successor ends with a step-down. Requests are
    /// answered "not owner" from now on. The caller must continue to deliver ticks and answers to
    /// orders until [`is_empty`](Self::is_empty) returns `true`.
    pub fn on_drain(
        &mut self,
        now: UnixMs,
        successors: &[(UpstreamName, InstanceName)],
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        let upstreams: Vec<UpstreamName> = self.owned.keys().cloned().collect();
        for upstream in upstreams {
            let successor = successors.iter().find(|(name, _)| *name == upstream);
            let exit = successor.map_or(Exit::StepDown, |(_, to)| Exit::HandOver(to.clone()));
            self.begin_exit(&upstream, exit, &mut out);
        }
        self.exit_ready(now, &mut out);
        out
    }

    /// Stops serving an upstream and schedules the end of its ownership.
    pub(super) fn begin_exit(
        &mut self,
        upstream: &UpstreamName,
        exit: Exit,
        out: &mut Vec<OwnerAction>,
    ) {
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.stop_serving(out);
            self.exits.insert(upstream.clone(), exit);
        }
    }

    /// Carries out the pending exits whose last order was answered.
    pub(super) fn exit_ready(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        let ready: Vec<UpstreamName> = self
            .exits
            .iter()
            .filter(|(name, exit)| self.may_exit(name, exit, now))
            .map(|(name, _)| name.clone())
            .collect();
        for upstream in ready {
            match self.exits.remove(&upstream) {
                Some(Exit::HandOver(successor)) => self.hand_over(&upstream, successor, out),
                Some(Exit::StepDown) => self.step_down(&upstream, out),
                None => {}
            }
        }
    }

    fn may_exit(&self, upstream: &UpstreamName, exit: &Exit, now: UnixMs) -> bool {
        let Some(owned) = self.owned.get(upstream) else {
            return true;
        };
        match exit {
            // A planned stop waits only until the orders are overdue; copies in transit are not
            // handed over.
            Exit::HandOver(_) => owned.is_settled() || owned.is_overdue(now),
            Exit::StepDown => owned.has_no_unload(),
        }
    }

    fn hand_over(
        &mut self,
        upstream: &UpstreamName,
        successor: InstanceName,
        out: &mut Vec<OwnerAction>,
    ) {
        let Some(mut owned) = self.owned.remove(upstream) else {
            return;
        };
        out.push(OwnerAction::Send {
            to: successor,
            message: MeshMessage::Handover(owned.handover()),
        });
        owned.release(out);
    }
}
