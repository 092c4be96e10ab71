//! Dissemination of gossip to other instances.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use monsoonspread_model::{InstanceName, UnixMs};
use tokio::sync::mpsc::UnboundedReceiver;

use super::PeerGossip;
use crate::peers::{PeerReply, PeerRequest};
use crate::shared::Shared;

/// How often the feed sources of all zones exchange their full state, in milliseconds: bounds how
/// long an instance stays outdated after it was paused or partitioned.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;
/// Minimum interval between updates to subscribers, in milliseconds: concurrent changes share one
/// message.
const UPDATE_INTERVAL_MS: u64 = 50;

/// The sender, and its gossip.
pub type ReceivedGossip = (InstanceName, PeerGossip);

/// Tracks which gossip was sent to which subscriber.
#[derive(Debug, Default)]
pub struct Gossiper {
    /// Incremented with each change that all instances should know.
    changes: Cell<u64>,
    /// The value of `changes` last sent to each subscriber.
    sent: RefCell<BTreeMap<InstanceName, u64>>,
    next_update_at: Cell<UnixMs>,
    next_exchange_at: Cell<UnixMs>,
}

impl Gossiper {
    /// Records a change that all instances should know.
    pub fn on_change(&self) {
        self.changes.set(self.changes.get() + 1);
    }

    /// Resends everything to an instance that reconnected, as earlier messages may be lost.
    pub fn on_connected(&self, instance: &InstanceName) {
        self.sent.borrow_mut().remove(instance);
    }

    /// Sends `gossip` to the first few instances of each zone.
    pub fn send_to_feed_sources(&self, shared: &Rc<Shared>, gossip: &PeerGossip) {
        let fleet = shared.fleet.borrow();
        let local = &shared.settings.instance;
        for (name, address) in fleet.feed_sources().filter(|(name, _)| *name != local) {
            for part in gossip.parts() {
                shared.peers.send(name, address, PeerRequest::Gossip(part));
            }
        }
    }

    /// Sends updates that are due.
    pub fn on_tick(&self, shared: &Rc<Shared>) {
        let now = shared.now();
        if self.changes.get() == 0 {
            return;
        }
        if now >= self.next_update_at.get() {
            self.next_update_at.set(now + UPDATE_INTERVAL_MS);
            self.send_to_subscribers(shared, now);
        }
        if now >= self.next_exchange_at.get() {
            self.next_exchange_at.set(now + EXCHANGE_INTERVAL_MS);
            let local = &shared.settings.instance;
            let fleet = shared.fleet.borrow();
            let is_first = fleet.feed_sources().any(|(name, _)| name == local);
            drop(fleet);
            if is_first {
                self.send_to_feed_sources(shared, &shared.gossip());
            }
        }
    }

    fn send_to_subscribers(&self, shared: &Rc<Shared>, now: UnixMs) {
        let changes = self.changes.get();
        let mut sent = self.sent.borrow_mut();
        let subscribers = shared.subscribers.current(now);
        sent.retain(|name, _| subscribers.contains(name));
        let mut outdated = subscribers
            .into_iter()
            .filter(|name| sent.get(name) != Some(&changes))
            .peekable();
        if outdated.peek().is_none() {
            return;
        }
        let parts: Vec<PeerGossip> = shared.gossip().parts().collect();
        let outdated: Vec<InstanceName> = outdated.collect();
        for name in outdated {
            for part in &parts {
                let reply = PeerReply::Gossip(part.clone());
                shared.incoming.reply(&name, reply);
            }
            sent.insert(name, changes);
        }
    }
}

/// Handles gossip from the feed source for the life of the process.
pub async fn receive_gossip(shared: Rc<Shared>, mut received: UnboundedReceiver<ReceivedGossip>) {
    while let Some((peer, gossip)) = received.recv().await {
        shared.on_gossip(&peer, &gossip);
    }
}
