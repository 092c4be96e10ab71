//! Instances that hear from this one what changed in the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use monsoonspread_borders::relay::{FleetChange, RevisedChange};
use monsoonspread_model::{InstanceName, UnixMs};

use super::StoreReach;
use crate::peers::{MAX_FRAME_BYTES, PeerNews, PeerReply};
use crate::shared::Shared;

/// How long an instance follows after it asked, in milliseconds: three times the pause between
/// its questions.
const FOLLOWS_MS: u64 = 3_000;
/// Longest pause between two messages to a follower, in milliseconds: two may be late before it
/// counts this instance as silent.
const NEWS_EVERY_MS: u64 = 400;
/// Changes that are passed on in one message, by the length of a record of about 200 bytes.
const MAX_CHANGES: usize = MAX_FRAME_BYTES / 400;

/// Instances that hear from this one what changed in the store.
#[derive(Debug, Default)]
pub struct Followers {
    until: RefCell<BTreeMap<InstanceName, UnixMs>>,
    /// Revision up to which this instance followed the store itself.
    known: Cell<Option<(u64, StoreReach)>>,
    told_at: Cell<UnixMs>,
}

impl Followers {
    /// An instance wants to hear the news for a while.
    pub fn on_follow(&self, shared: &Shared, instance: &InstanceName) {
        let until = shared.now() + FOLLOWS_MS;
        self.until.borrow_mut().insert(instance.clone(), until);
        let reply = self.sign_of_life();
        shared.incoming.reply(instance, reply);
    }

    /// This instance read what changed from revision `after` to `up_to`; `changes` are those
    /// that matter.
    pub fn on_read(
        &self,
        shared: &Shared,
        (after, up_to): (u64, u64),
        changes: Vec<RevisedChange>,
        reach: StoreReach,
    ) {
        self.known.set(Some((up_to, reach)));
        if changes.is_empty() && after == up_to {
            return;
        }
        let is_short = changes.len() <= MAX_CHANGES;
        let is_passed_on =
            |change: &RevisedChange| !matches!(change.change, FleetChange::Routing(_));
        let passed_on = is_short && changes.iter().all(is_passed_on);
        self.tell(
            shared,
            PeerReply::News(PeerNews {
                after,
                up_to,
                changes: passed_on.then_some(changes),
                is_unsettled: reach.is_unsettled,
                is_steady: reach.is_steady,
            }),
        );
    }

    /// This instance doesn't follow the store, or has trouble with it.
    pub fn on_no_news(&self, shared: &Shared) {
        if self.known.take().is_some() {
            self.tell(shared, PeerReply::NoNews);
        }
    }

    /// Time has passed.
    pub fn on_tick(&self, shared: &Shared) {
        let now = shared.now();
        if now >= self.told_at.get() + NEWS_EVERY_MS && self.known.get().is_some() {
            self.tell(shared, self.sign_of_life());
        }
    }

    fn sign_of_life(&self) -> PeerReply {
        let Some((revision, reach)) = self.known.get() else {
            return PeerReply::NoNews;
        };
        PeerReply::News(PeerNews {
            after: revision,
            up_to: revision,
            changes: Some(Vec::new()),
            is_unsettled: reach.is_unsettled,
            is_steady: reach.is_steady,
        })
    }

    fn tell(&self, shared: &Shared, reply: PeerReply) {
        let now = shared.now();
        self.told_at.set(now);
        let mut until = self.until.borrow_mut();
        until.retain(|_, until| now < *until);
        for follower in until.keys() {
            shared.incoming.reply(follower, reply.clone());
        }
    }
}
