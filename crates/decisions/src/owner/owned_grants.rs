//! Handles requests, grants, returns and withdrawals at one upstream.

use std::cmp::Ordering;

use monsoonspread_model::message::{
    GrantAnswer, GrantId, GrantOutcome, GrantRequest, GrantReturn, RequestId,
};
use monsoonspread_model::{
    AdapterRef, CopyName, InstanceName, RefusalReason, RequestClass, UnixMs,
};

use super::endings::Ending;
use super::outstanding_grant::OutstandingGrant;
use super::owned_upstream::OwnedUpstream;
use super::request_key::RequestKey;
use super::waiting_request::WaitingRequest;
use super::{OwnerAction, OwnerEvent};

/// Weight of a new sample in the estimate of how long grants are held.
const HOLD_WEIGHT: f64 = 0.1;
/// Factor on the estimated generation time after which a grant expires.
const GRANT_SLACK: u64 = 4;

impl OwnedUpstream {
    /// Handles a request. Returns its key if it waits and still has to be answered.
    pub fn on_request(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        request: GrantRequest,
        out: &mut Vec<OwnerAction>,
    ) -> Option<RequestKey> {
        let key = RequestKey::new(from, request.request);
        if self.answer_again(now, &key, out) {
            return None;
        }
        // The outcome of a duplicate this late may no longer be on record, so it gets no answer.
        if request.deadline_unix_ms + self.settings.clock_margin_ms < now {
            return None;
        }
        if self.queue.get(&key).is_some() {
            return Some(key);
        }
        self.popularity.on_arrival(now, &request.adapter);
        let waiting = WaitingRequest {
            key: key.clone(),
            request,
            since: now,
        };
        self.admit(now, waiting, out).then_some(key)
    }

    /// Repeats the answer to a request that was answered before. Returns whether it was.
    fn answer_again(&self, now: UnixMs, key: &RequestKey, out: &mut Vec<OwnerAction>) -> bool {
        if let Some((id, grant)) = self.grants.of_request(key) {
            self.reply(key, granted(id, grant), out);
            return true;
        }
        match self.endings.get(key, now) {
            None => return false,
            // The answer was received and used, so none is sent.
            Some(Ending::Returned) => {}
            Some(Ending::Withdrawn) => {
                let message = format!("request {} was withdrawn", key.request.0);
                let refusal =
                    monsoonspread_model::Refusal::not_run(RefusalReason::Unavailable, message);
                let refusal = refusal.with_retry_at(now + self.settings.ending_kept_ms);
                self.reply(key, GrantAnswer::NotRun(refusal), out);
            }
            Some(Ending::Refused(refusal)) => {
                self.reply(key, GrantAnswer::NotRun(refusal.clone()), out);
            }
        }
        true
    }

    /// Queues a request or refuses it. Returns whether it was queued.
    fn admit(&mut self, now: UnixMs, waiting: WaitingRequest, out: &mut Vec<OwnerAction>) -> bool {
        if !self.takes_work(now) {
            self.refuse_unavailable(now, &waiting, out);
            return false;
        }
        let adapter = &waiting.request.adapter;
        if let Some(until) = self.failures.blocked_until(adapter, now)
            && self.usable_copy(adapter).is_none()
        {
            self.refuse_load_failed(now, &waiting, until, out);
            return false;
        }
        if self.is_late(now, &waiting) {
            self.refuse_deadline(now, &waiting, out);
            return false;
        }
        if !waiting.request.may_load && !self.has_copy_or_load(&waiting.request.adapter) {
            self.refuse_not_loaded(now, &waiting, out);
            return false;
        }
        if self.queue.len() < self.queue_limit() {
            self.queue.push(waiting);
            return true;
        }
        self.shed_for(now, waiting, out)
    }

    /// Sheds another request for this one in a full queue, or refuses this one.
    fn shed_for(
        &mut self,
        now: UnixMs,
        waiting: WaitingRequest,
        out: &mut Vec<OwnerAction>,
    ) -> bool {
        let candidate = self
            .queue
            .shed_candidate()
            .filter(|candidate| self.outranks(&waiting, candidate))
            .map(|candidate| candidate.key.clone());
        let Some(candidate) = candidate.and_then(|key| self.queue.remove(&key)) else {
            self.refuse_overloaded(now, &waiting, out);
            return false;
        };
        self.refuse_overloaded(now, &candidate, out);
        self.queue.push(waiting);
        true
    }

    /// Whether a full queue drops `candidate` for `waiting`: by priority, then such that no caller
    /// crowds out the others.
    fn outranks(&self, waiting: &WaitingRequest, candidate: &WaitingRequest) -> bool {
        let (new, old) = (&waiting.request, &candidate.request);
        match new.priority.cmp(&old.priority) {
            Ordering::Greater => true,
            Ordering::Equal => {
                self.queue.of_caller(&new.caller) + 1 < self.queue.of_caller(&old.caller)
            }
            Ordering::Less => false,
        }
    }

    fn queue_limit(&self) -> usize {
        (self.shape.batch_places * self.settings.waiting_per_place) as usize
    }

    /// Grants every request that can start now.
    pub fn grant_ready(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        if !self.takes_work(now) || self.confirmation.is_pending() {
            return;
        }
        while let Some((key, copy)) = self.next_grantable(now) {
            let Some(waiting) = self.queue.remove(&key) else {
                return;
            };
            self.grant(now, waiting, copy, out);
        }
    }

    fn next_grantable(&self, now: UnixMs) -> Option<(RequestKey, CopyName)> {
        self.class_order()
            .into_iter()
            .find_map(|class| self.next_of_class(now, class))
    }

    /// Order in which classes are granted. Short requests come first; long ones come second while
    /// none of them holds a place, so that they don't starve.
    fn class_order(&self) -> [RequestClass; RequestClass::ALL.len()] {
        let [_, _, long] = self.grants.places();
        match long {
            0 => [
                RequestClass::Short,
                RequestClass::Long,
                RequestClass::Ordinary,
            ],
            _ => RequestClass::ALL,
        }
    }

    fn next_of_class(&self, now: UnixMs, class: RequestClass) -> Option<(RequestKey, CopyName)> {
        let others_wait = self.queue.count(RequestClass::Long) < self.queue.len();
        if !self
            .shares()
            .admits(class, self.grants.places(), others_wait)
        {
            return None;
        }
        let first_token_ms = self.first_token_ms(now);
        let may_start = |row: &WaitingRequest| {
            row.request.class == class
                && row.in_time(now, first_token_ms)
                && self.grantable_copy(&row.request.adapter, class).is_some()
        };
        let in_batch = |adapter: &AdapterRef| self.grants.runs(adapter);
        let first = self.queue.first_where(may_start, in_batch)?;
        let copy = self.grantable_copy(&first.request.adapter, class)?;
        Some((first.key.clone(), copy.clone()))
    }

    /// The copy on which a request may be granted, within the slots that long requests may pin.
    fn grantable_copy(&self, adapter: &AdapterRef, class: RequestClass) -> Option<&CopyName> {
        let copy = self.usable_copy(adapter)?;
        let allowed = class != RequestClass::Long || self.long_may_pin(copy);
        allowed.then_some(copy)
    }

    /// Whether long requests may pin `copy` within their share of the slots.
    fn long_may_pin(&self, copy: &CopyName) -> bool {
        self.grants.pins(copy) > 0 || self.long_pinned() < self.long_slots()
    }

    fn grant(
        &mut self,
        now: UnixMs,
        waiting: WaitingRequest,
        copy: CopyName,
        out: &mut Vec<OwnerAction>,
    ) {
        let id = self.next_grant_id();
        let WaitingRequest { key, request, .. } = waiting;
        let life_ms = self.speed.generation_ms(request.tokens) * GRANT_SLACK;
        let life_ms = life_ms.clamp(self.settings.grant_min_ms, self.settings.grant_max_ms);
        self.queue.on_granted(&request.caller, request.tokens);
        if let Some(copy) = self.copies.get_mut(&copy) {
            copy.used_at = now;
        }
        let grant = OutstandingGrant {
            key: key.clone(),
            copy,
            class: request.class,
            caller: request.caller,
            tokens: request.tokens,
            granted_at: now,
            expires_at: now + life_ms,
            repeats_until: request.deadline_unix_ms + self.settings.clock_margin_ms,
            holds_place: true,
            holder_removed: false,
        };
        self.reply(&key, granted(id, &grant), out);
        self.grants.insert(id, grant);
    }

    /// Handles the return of a grant; one that `from` does not hold is only recorded.
    pub fn on_return(
        &mut self,
        now: UnixMs,
        from: &InstanceName,
        returned: &GrantReturn,
        out: &mut Vec<OwnerAction>,
    ) {
        self.endings.insert_returned(returned.grant);
        let held_by_sender = self
            .grants
            .get(returned.grant)
            .is_some_and(|grant| grant.key.instance == *from);
        if !held_by_sender {
            return;
        }
        let Some(grant) = self.grants.remove(returned.grant) else {
            return;
        };
        self.speed.on_return(now, returned);
        if returned.outcome == GrantOutcome::Done {
            let held_ms = now.ms_since(grant.granted_at) as f64;
            let usual_ms = &mut self.hold_ms[grant.class as usize];
            *usual_ms += HOLD_WEIGHT * (held_ms - *usual_ms);
        }
        match returned.outcome {
            GrantOutcome::Done | GrantOutcome::Unused => {
                self.remember_return(now, returned.grant, grant);
            }
            GrantOutcome::Cancelled => {
                self.record_disconnect(now, &grant);
                self.remember_return(now, returned.grant, grant);
            }
            GrantOutcome::CopyMissing => self.on_copy_missing(now, &grant),
            GrantOutcome::Unreachable => self.on_unreachable(now, out),
            GrantOutcome::Broken => self.record_disconnect(now, &grant),
            GrantOutcome::Refused => {}
        }
    }

    /// Records that a request's connection was closed, after which the upstream may continue to
    /// run it for a while.
    fn record_disconnect(&mut self, now: UnixMs, grant: &OutstandingGrant) {
        if let Some(copy) = self.copies.get_mut(&grant.copy) {
            copy.disconnected_at = Some(now);
        }
    }

    /// Records a request that may have run, for as long as it may be sent again.
    pub fn remember_return(&mut self, now: UnixMs, id: GrantId, grant: OutstandingGrant) {
        let until = grant.repeats_until.max(grant.expires_at);
        let until = until.max(now + self.settings.ending_kept_ms);
        self.endings.insert_returned(id);
        self.endings.insert(grant.key, Ending::Returned, until);
    }

    /// Removes a copy that the upstream reported missing, unless it was loaded after the grant.
    fn on_copy_missing(&mut self, now: UnixMs, grant: &OutstandingGrant) {
        let lost = self
            .copies
            .get(&grant.copy)
            .is_some_and(|copy| copy.is_loaded() && copy.since <= grant.granted_at);
        if lost {
            self.copies.remove(&grant.copy, now);
        }
    }

    /// Withdraws a request, whether granted, waiting or not yet received.
    pub fn on_withdraw(&mut self, now: UnixMs, from: &InstanceName, request: RequestId) {
        let key = RequestKey::new(from, request);
        if let Some(waiting) = self.queue.remove(&key) {
            self.count_load_wait(now, &waiting);
        }
        if let Some((id, _)) = self.grants.of_request(&key) {
            self.grants.remove(id);
            self.endings.insert_returned(id);
        }
        let until = now + self.settings.ending_kept_ms;
        self.endings.insert(key, Ending::Withdrawn, until);
    }

    /// Releases the places of expired grants, and ends those of removed holders.
    pub fn expire_grants(&mut self, now: UnixMs, out: &mut Vec<OwnerAction>) {
        for holder in self.grants.expire(now) {
            out.push(OwnerAction::Event(OwnerEvent::GrantExpired {
                upstream: self.name().clone(),
                holder,
            }));
        }
        for (id, grant) in self.grants.remove_orphaned(now, self.settings.grant_min_ms) {
            self.remember_return(now, id, grant);
        }
    }
}

fn granted(id: GrantId, grant: &OutstandingGrant) -> GrantAnswer {
    GrantAnswer::Granted {
        grant: id,
        copy_epoch: grant.copy.epoch,
        expires_at_unix_ms: grant.expires_at,
    }
}
