//! Instances that subscribe to this one's change feed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use monsoonspread_borders::relay::RevisedChange;
use monsoonspread_decisions::change_feed::{
    FeedTiming, Notice, Publisher, SubscribeAnswer, split_by_revision,
};
use monsoonspread_decisions::config_age::ConfirmationSource;
use monsoonspread_decisions::store_health::StoreStatus;
use monsoonspread_model::{InstanceName, UnixMs};

use crate::peers::{PeerChanges, PeerReply, fits};
use crate::shared::Shared;

/// Duration of a subscription after a request for it, in milliseconds: three times the renewal
/// interval.
const SUBSCRIPTION_MS: u64 = 3_000;
/// Maximum number of changes per message, which takes about 8 KB with records of typical length.
const MAX_CHANGES: usize = 40;

/// Instances that subscribe to this one's change feed.
#[derive(Debug)]
pub struct Subscribers {
    publisher: Cell<Publisher>,
    until: RefCell<BTreeMap<InstanceName, UnixMs>>,
    /// Last revision read from the store, and the store's health at that time.
    last_read: Cell<(u64, StoreStatus)>,
    /// Subscribers that ask when the store was last asked.
    confirmations: RefCell<ConfirmationSource>,
}

impl Subscribers {
    /// Creates the feed without subscribers.
    pub fn new(timing: FeedTiming) -> Self {
        Self {
            publisher: Cell::new(Publisher::new(timing)),
            until: RefCell::default(),
            last_read: Cell::default(),
            confirmations: RefCell::default(),
        }
    }

    /// Adds or renews a subscription.
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

    /// This instance reads the store directly from now on.
    pub fn on_reads_store(&self, shared: &Shared) {
        self.publish(|publisher| publisher.on_started(shared.now()));
    }

    /// This instance follows another instance's feed from now on.
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

    /// Publishes what was read between the revisions `after` and `up_to` with a call made after `asked_at`;
    /// `changes` are the relevant ones, `None` if subscribers have to read them from the store.
    pub fn on_read(
        &self,
        shared: &Shared,
        asked_at: UnixMs,
        (after, up_to): (u64, u64),
        changes: Option<Vec<RevisedChange>>,
        status: StoreStatus,
    ) {
        self.publish_changes(shared, (after, up_to), changes, status);
        // The next message follows the state that this call returned.
        let current = StoreStatus {
            known_at: asked_at,
            ..status
        };
        self.last_read.set((up_to, current));
        // After the changes, so that subscribers know them when they go by the confirmation.
        let mut confirmations = self.confirmations.borrow_mut();
        for (instance, confirmation) in confirmations.on_read(shared.now(), asked_at, up_to) {
            let reply = PeerReply::Confirmed(confirmation);
            shared.incoming.reply(&instance, reply);
        }
    }

    /// Answers a request for confirmation.
    pub fn on_confirm(&self, shared: &Shared, instance: &InstanceName, number: u64) {
        let mut confirmations = self.confirmations.borrow_mut();
        if let Some(confirmation) = confirmations.on_request(shared.now(), instance, number) {
            let reply = PeerReply::Confirmed(confirmation);
            shared.incoming.reply(instance, reply);
        }
    }

    /// `instance` connected.
    pub fn on_connected(&self, instance: &InstanceName) {
        self.confirmations.borrow_mut().on_connected(instance);
    }

    fn publish_changes(
        &self,
        shared: &Shared,
        (after, up_to): (u64, u64),
        changes: Option<Vec<RevisedChange>>,
        status: StoreStatus,
    ) {
        self.publish(|publisher| publisher.on_read(shared.now()));
        if after == up_to && changes.as_ref().is_none_or(Vec::is_empty) {
            return;
        }
        let Some(changes) = changes else {
            self.send_changes(shared, (after, up_to), None, status);
            return;
        };
        let revisions: Vec<u64> = changes.iter().map(|change| change.revision).collect();
        if !revisions.is_sorted() {
            self.send_changes(shared, (after, up_to), None, status);
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
            self.send_changes(shared, (from, to), Some(rest), status);
            from = to;
            rest = later;
        }
        if from < up_to {
            self.send_changes(shared, (from, up_to), Some(rest), status);
        }
    }

    fn send_changes(
        &self,
        shared: &Shared,
        (after, up_to): (u64, u64),
        changes: Option<Vec<RevisedChange>>,
        status: StoreStatus,
    ) {
        let message = |changes| {
            PeerReply::Changes(PeerChanges {
                after,
                up_to,
                changes,
                back_in_ms: status.back_by.ms_since(shared.now()),
                is_steady: status.is_steady,
                known_ms: Some(shared.now().ms_since(status.known_at)),
            })
        };
        let whole = message(changes);
        let reply = if fits(&whole) { whole } else { message(None) };
        self.broadcast(shared, reply);
    }

    /// Returns the instances with an active subscription.
    pub fn current(&self, now: UnixMs) -> Vec<InstanceName> {
        let until = self.until.borrow();
        let current = until.iter().filter(|(_, until)| now < **until);
        current.map(|(name, _)| name.clone()).collect()
    }

    /// Sends a heartbeat or a notice when one is due.
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
        let (revision, status) = self.last_read.get();
        PeerReply::Changes(PeerChanges {
            after: revision,
            up_to: revision,
            changes: Some(Vec::new()),
            back_in_ms: status.back_by.ms_since(now),
            is_steady: status.is_steady,
            known_ms: Some(now.ms_since(status.known_at)),
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
