//! Instances that hear from this one what changed in the store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use monsoonspread_borders::relay::RevisedChange;
use monsoonspread_decisions::change_feed::{
    FeedTiming, Notice, Publisher, SubscribeAnswer, split_by_revision,
};
use monsoonspread_decisions::store_health::StoreStatus;
use monsoonspread_model::{InstanceName, UnixMs};

use crate::peers::{PeerChanges, PeerReply, fits};
use crate::shared::Shared;

/// How long an instance follows after it asked, in milliseconds: three times the pause between
/// its questions.
const SUBSCRIPTION_MS: u64 = 3_000;
/// Changes that are passed on in one message, which takes some 8 KB with records of usual length.
const MAX_CHANGES: usize = 40;

/// Instances that hear from this one what changed in the store.
#[derive(Debug)]
pub struct Subscribers {
    publisher: Cell<Publisher>,
    until: RefCell<BTreeMap<InstanceName, UnixMs>>,
    /// Revision up to which this instance read the store, and how well it was reached.
    last_read: Cell<(u64, StoreStatus)>,
}

impl Subscribers {
    /// Nobody follows yet.
    pub fn new(pace: FeedTiming) -> Self {
        Self {
            publisher: Cell::new(Publisher::new(pace)),
            until: RefCell::default(),
            last_read: Cell::default(),
        }
    }

    /// An instance wants to hear the news for a while.
    pub fn on_subscribe(&self, shared: &Shared, instance: &InstanceName) {
        let now = shared.now();
        let until = now + SUBSCRIPTION_MS;
        self.until.borrow_mut().insert(instance.clone(), until);
        let reply = match self.publisher.get().answer(now) {
            SubscribeAnswer::Known => self.heartbeat(now),
            SubscribeAnswer::Later => return,
            SubscribeAnswer::Unavailable => PeerReply::Unavailable,
        };
        shared.incoming.reply(instance, reply);
    }

    /// This instance follows the store from now on.
    pub fn on_reads_store(&self, shared: &Shared) {
        self.publish(|publisher| publisher.on_started(shared.now()));
    }

    /// This instance hears from another one from now on.
    pub fn on_uses_feed_source(&self, shared: &Shared) {
        if self.publish(Publisher::on_subscribed) {
            self.broadcast(shared, PeerReply::Unavailable);
        }
    }

    /// The store did not answer a call.
    pub fn on_failed(&self, shared: &Shared) {
        if self.publish(Publisher::on_failed) {
            self.broadcast(shared, PeerReply::Unavailable);
        }
    }

    /// This instance read what changed from revision `after` to `up_to`; `changes` are those
    /// that matter.
    pub fn on_read(
        &self,
        shared: &Shared,
        (after, up_to): (u64, u64),
        changes: Vec<RevisedChange>,
        reach: StoreStatus,
    ) {
        self.last_read.set((up_to, reach));
        self.publish(|publisher| publisher.on_read(shared.now()));
        if changes.is_empty() && after == up_to {
            return;
        }
        let revisions: Vec<u64> = changes.iter().map(|change| change.revision).collect();
        if !revisions.is_sorted() {
            self.send_changes(shared, (after, up_to), None, reach);
            return;
        }
        let mut from = after;
        let mut rest = changes;
        for length in split_by_revision(&revisions, MAX_CHANGES) {
            let later = rest.split_off(length);
            let to = match rest.last() {
                Some(last) if !later.is_empty() => last.revision,
                _ => up_to,
            };
            self.send_changes(shared, (from, to), Some(rest), reach);
            from = to;
            rest = later;
        }
        if from < up_to {
            self.send_changes(shared, (from, up_to), Some(rest), reach);
        }
    }

    fn send_changes(
        &self,
        shared: &Shared,
        (after, up_to): (u64, u64),
        changes: Option<Vec<RevisedChange>>,
        reach: StoreStatus,
    ) {
        let message = |changes| {
            PeerReply::Changes(PeerChanges {
                after,
                up_to,
                changes,
                back_in_ms: reach.back_by.ms_since(shared.now()),
                is_steady: reach.is_steady,
            })
        };
        let whole = message(changes);
        let reply = if fits(&whole) { whole } else { message(None) };
        self.broadcast(shared, reply);
    }

    /// Instances that follow now.
    pub fn current(&self, now: UnixMs) -> Vec<InstanceName> {
        let until = self.until.borrow();
        let current = until.iter().filter(|(_, until)| now < **until);
        current.map(|(name, _)| name.clone()).collect()
    }

    /// Time has passed.
    pub fn on_tick(&self, shared: &Shared) {
        match self.publisher.get().notice(shared.now()) {
            None => {}
            Some(Notice::Alive) => self.broadcast(shared, self.heartbeat(shared.now())),
            Some(Notice::Unavailable) => {
                self.publish(Publisher::on_lost);
                self.broadcast(shared, PeerReply::Unavailable);
            }
        }
    }

    fn publish<T>(&self, step: impl FnOnce(&mut Publisher) -> T) -> T {
        let mut publisher = self.publisher.get();
        let outcome = step(&mut publisher);
        self.publisher.set(publisher);
        outcome
    }

    fn heartbeat(&self, now: UnixMs) -> PeerReply {
        let (revision, reach) = self.last_read.get();
        PeerReply::Changes(PeerChanges {
            after: revision,
            up_to: revision,
            changes: Some(Vec::new()),
            back_in_ms: reach.back_by.ms_since(now),
            is_steady: reach.is_steady,
        })
    }

    fn broadcast(&self, shared: &Shared, reply: PeerReply) {
        let now = shared.now();
        self.publish(|publisher| publisher.on_sent(now));
        let mut until = self.until.borrow_mut();
        until.retain(|_, until| now < *until);
        for subscriber in until.keys() {
            shared.incoming.reply(subscriber, reply.clone());
        }
    }
}
