//! Beginning and ending the ownership of upstreams.

use std::sync::Arc;

use monsoonspread_model::message::{AnnounceRequest, MeshMessage};
use monsoonspread_model::{Epoch, InstanceName, UnixMs, UpstreamName};

use super::owned::Owned;
use super::{OwnOrigin, OwnerAction, OwnerEvent, OwnerSet, UpstreamShape};

impl OwnerSet {
    /// Begins to own an upstream; `holders` are the instances that could hold grants on it.
    pub fn on_own(
        &mut self,
        now: UnixMs,
        upstream: UpstreamShape,
        epoch: Epoch,
        origin: OwnOrigin,
        holders: &[InstanceName],
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        if self
            .epoch_of(&upstream.name)
            .is_some_and(|own| own >= epoch)
        {
            return out;
        }
        holders.iter().for_each(|holder| self.meet(holder));
        let name = upstream.name.clone();
        let former = self.owned.remove(&name);
        self.draining.remove(&name);
        let mut owned = Owned::new(now, upstream, epoch, Arc::clone(&self.settings));
        match &origin {
            OwnOrigin::Fresh => {}
            OwnOrigin::Takeover => owned.take_over(now, holders),
            OwnOrigin::Handover(handover) => owned.accept_handover(now, handover),
        }
        if let Some(mut former) = former {
            former.release(&mut out);
            owned.keep_from(former);
        }
        owned.ask_holders(now, &mut out);
        owned.repeat_orders(now, &mut out);
        out.push(OwnerAction::Event(OwnerEvent::Owned {
            upstream: name.clone(),
            epoch,
        }));
        self.owned.insert(name, owned);
        out
    }

    /// Ends the ownership of an upstream that the table gave to another instance.
    pub fn on_disown(&mut self, _now: UnixMs, upstream: &UpstreamName) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        self.draining.remove(upstream);
        if let Some(mut owned) = self.owned.remove(upstream) {
            owned.release(&mut out);
        }
        out
    }

    /// Gives no new grant on an upstream that leaves.
    pub fn on_leaving(&mut self, now: UnixMs, upstream: &UpstreamName) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.leaving = true;
            owned.refuse_all(now, &mut out);
        }
        out
    }

    /// Steps down when an instance with a higher fencing number asks for grants.
    ///
    /// Called before this instance's own grants are announced, so that the announcement
    /// tells the new owner that this one gives no order any more.
    pub fn on_announce_request(
        &mut self,
        _now: UnixMs,
        request: &AnnounceRequest,
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        let own = self.epoch_of(&request.upstream);
        if own.is_some_and(|own| own < request.epoch) {
            self.step_down(&request.upstream, &mut out);
        }
        out
    }

    /// Hands upstreams over before a planned stop, each when its last order was answered.
    ///
    /// Requests are answered "not owner" from now on. Ticks and answers to orders are to be
    /// delivered until [`is_empty`](Self::is_empty).
    pub fn on_drain(
        &mut self,
        now: UnixMs,
        successors: &[(UpstreamName, InstanceName)],
    ) -> Vec<OwnerAction> {
        let mut out = Vec::new();
        for (upstream, successor) in successors {
            if let Some(owned) = self.owned.get_mut(upstream) {
                owned.stop_serving(&mut out);
                self.draining.insert(upstream.clone(), successor.clone());
            }
        }
        self.hand_over_ready(now, &mut out);
        out
    }

    /// Hands over the upstreams whose last order was answered or is overdue.
    pub(super) fn hand_over_ready(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        let ready: Vec<UpstreamName> = self
            .draining
            .keys()
            .filter(|name| {
                self.owned
                    .get(*name)
                    .is_none_or(|owned| owned.is_settled(now))
            })
            .cloned()
            .collect();
        for upstream in ready {
            self.hand_over(&upstream, out);
        }
    }

    fn hand_over(&mut self, upstream: &UpstreamName, out: &mut Vec<OwnerAction>) {
        let Some(successor) = self.draining.remove(upstream) else {
            return;
        };
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
