//! A simulated instance that requests and uses grants.

use std::collections::BTreeMap;

use monsoonspread_model::message::{
    Announce, GrantAnswer, GrantReply, GrantRequest, HeldGrant, RequestId,
};
use monsoonspread_model::{CopyName, Epoch, UnixMs};

use super::fixture::engine;

/// What a holder does with a reply.
pub enum Reaction {
    /// Runs on this copy under this grant.
    Run(HeldGrant),
    /// Returns a grant that is not wanted.
    Return(HeldGrant),
    /// Does nothing.
    Ignore,
}

/// A simulated instance that requests and uses grants.
#[derive(Debug, Default)]
pub struct Holder {
    pub seen: Epoch,
    pub waiting: BTreeMap<RequestId, GrantRequest>,
    pub running: Vec<HeldGrant>,
    pub dead: bool,
    /// Until when it does nothing; its running requests continue.
    pub paused_until: UnixMs,
}

impl Holder {
    pub fn on_reply(&mut self, now: UnixMs, reply: &GrantReply) -> Reaction {
        let GrantAnswer::Granted {
            grant,
            copy_epoch,
            expires_at_unix_ms,
        } = reply.answer
        else {
            if let GrantAnswer::NotRun(_) = reply.answer {
                self.waiting.remove(&reply.request);
            }
            return Reaction::Ignore;
        };
        if self.running.iter().any(|held| held.grant == grant) {
            return Reaction::Ignore;
        }
        let request = self.waiting.get(&reply.request);
        let held = HeldGrant {
            grant,
            request: reply.request,
            adapter: request.map_or(super::fixture::adapter("a"), |it| it.adapter.clone()),
            copy_epoch,
            class: request.map_or_else(Default::default, |it| it.class),
            caller: "caller-1".into(),
            tokens: 10,
            expires_at_unix_ms,
        };
        if request.is_none() {
            return Reaction::Return(held);
        }
        if grant.epoch < self.seen || now >= expires_at_unix_ms {
            return Reaction::Ignore;
        }
        self.seen = grant.epoch;
        self.waiting.remove(&reply.request);
        Reaction::Run(held)
    }

    pub fn announce(&mut self, epoch: Epoch) -> Option<Announce> {
        if epoch < self.seen {
            return None;
        }
        self.seen = epoch;
        Some(Announce {
            upstream: engine(),
            epoch,
            grants: self.running.clone(),
        })
    }
}

/// The copy that a grant is for.
pub fn copy_of(held: &HeldGrant) -> CopyName {
    CopyName::new(held.adapter.clone(), held.copy_epoch)
}
