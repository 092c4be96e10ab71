//! Who was told what.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use monsoonspread_model::{InstanceName, UnixMs};
use tokio::sync::mpsc::UnboundedReceiver;

use super::PeerBeliefs;
use crate::peers::{PeerReply, PeerRequest};
use crate::shared::Shared;

/// How often the first instances of the zones tell each other everything, in milliseconds: those
/// that were paused or cut off know it soon after.
const EXCHANGE_EVERY_MS: u64 = 1_000;
/// How often followers are told at the most, in milliseconds: changes that come together make one
/// message.
const TELL_EVERY_MS: u64 = 50;

/// Who told what.
pub type ToldBeliefs = (InstanceName, PeerBeliefs);

/// Who was told what.
#[derive(Debug, Default)]
pub struct Spread {
    /// Grows with each change that all should know.
    changes: Cell<u64>,
    /// Changes that each follower was told of.
    told: RefCell<BTreeMap<InstanceName, u64>>,
    tell_at: Cell<UnixMs>,
    exchange_at: Cell<UnixMs>,
}

impl Spread {
    /// Something changed that all should know.
    pub fn on_change(&self) {
        self.changes.set(self.changes.get() + 1);
    }

    /// An instance connected: what it was told before may be lost.
    pub fn on_connected(&self, instance: &InstanceName) {
        self.told.borrow_mut().remove(instance);
    }

    /// Tells the first instances of each zone.
    pub fn tell_first(&self, shared: &Rc<Shared>, beliefs: &PeerBeliefs) {
        let fleet = shared.fleet.borrow();
        let own = &shared.settings.instance;
        for (name, address) in fleet.first_members().filter(|(name, _)| *name != own) {
            for part in beliefs.parts() {
                shared.peers.send(name, address, PeerRequest::Beliefs(part));
            }
        }
    }

    /// Time has passed.
    pub fn on_tick(&self, shared: &Rc<Shared>) {
        let now = shared.now();
        if self.changes.get() == 0 {
            return;
        }
        if now >= self.tell_at.get() {
            self.tell_at.set(now + TELL_EVERY_MS);
            self.tell_followers(shared, now);
        }
        if now >= self.exchange_at.get() {
            self.exchange_at.set(now + EXCHANGE_EVERY_MS);
            let own = &shared.settings.instance;
            let fleet = shared.fleet.borrow();
            let is_first = fleet.first_members().any(|(name, _)| name == own);
            drop(fleet);
            if is_first {
                self.tell_first(shared, &shared.beliefs());
            }
        }
    }

    fn tell_followers(&self, shared: &Rc<Shared>, now: UnixMs) {
        let changes = self.changes.get();
        let mut told = self.told.borrow_mut();
        let followers = shared.followers.current(now);
        told.retain(|name, _| followers.contains(name));
        let mut behind = followers
            .into_iter()
            .filter(|name| told.get(name) != Some(&changes))
            .peekable();
        if behind.peek().is_none() {
            return;
        }
        let parts: Vec<PeerBeliefs> = shared.beliefs().parts().collect();
        let behind: Vec<InstanceName> = behind.collect();
        for name in behind {
            for part in &parts {
                let reply = PeerReply::Beliefs(part.clone());
                shared.incoming.reply(&name, reply);
            }
            told.insert(name, changes);
        }
    }
}

/// Takes what the source of news tells, for good.
pub async fn hear_beliefs(shared: Rc<Shared>, mut heard: UnboundedReceiver<ToldBeliefs>) {
    while let Some((peer, beliefs)) = heard.recv().await {
        shared.on_told(&peer, &beliefs);
    }
}
