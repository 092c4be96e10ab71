//! Simulated network of membership machines with delay, reordering, loss and partitions.

use std::collections::BTreeMap;

use monsoonspread_model::message::{Health, Swim};
use monsoonspread_model::{
    InstanceKind, InstanceName, InstanceState, ListedInstance, MeshMessage, UnixMs,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::membership::{Member, Membership, MembershipAction, MembershipSettings};

const TICK_MS: u64 = 100;
const MAX_DELAY_MS: u64 = 40;

struct Node {
    machine: Membership,
    running: bool,
    /// Partition of the node; nodes in different partitions can't reach each other.
    side: u8,
}

/// The machines and the messages in flight.
pub struct Net {
    pub now: UnixMs,
    /// Percentage of messages lost.
    pub loss_percent: u64,
    /// Whether connections to stopped nodes are refused.
    pub refuses: bool,
    pub sent: u64,
    pub largest: usize,
    nodes: Vec<Node>,
    messages: BTreeMap<(UnixMs, u64), (usize, usize, Swim)>,
    random: ChaCha8Rng,
}

pub fn name(index: usize) -> InstanceName {
    format!("entry-{index:03}").into()
}

pub fn row(index: usize) -> ListedInstance {
    ListedInstance {
        name: name(index).to_string(),
        kind: InstanceKind::Entry,
        zone: "z".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        state: InstanceState::Live,
        service: None,
        checks_fencing: false,
        adapter_slots: 0,
        batch_places: 0,
    }
}

impl Net {
    /// Creates `count` machines that know each other from the list.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            now: UnixMs(1_000_000),
            loss_percent: 0,
            refuses: false,
            sent: 0,
            largest: 0,
            nodes: Vec::new(),
            messages: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            net.add(index);
        }
        for index in 0..count {
            net.list(index, count);
        }
        net
    }

    fn machine(&self, index: usize) -> Membership {
        let local = Member {
            name: name(index),
            address: ([127, 0, 0, 1], 9_000).into(),
        };
        let settings = MembershipSettings::default();
        Membership::new(self.now, local, settings, index as u64)
    }

    fn add(&mut self, index: usize) {
        let machine = self.machine(index);
        self.nodes.push(Node {
            machine,
            running: true,
            side: 0,
        });
    }

    pub fn list(&mut self, index: usize, count: usize) {
        let rows: Vec<_> = (0..count).map(row).collect();
        self.nodes[index].machine.on_listed(self.now, &rows);
    }

    pub fn stop(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].running = true;
    }

    pub fn restart(&mut self, index: usize) {
        self.nodes[index].machine = self.machine(index);
        self.nodes[index].running = true;
        self.list(index, self.nodes.len());
    }

    pub fn set_side(&mut self, index: usize, side: u8) {
        self.nodes[index].side = side;
    }

    pub fn leave(&mut self, index: usize) {
        let actions = self.nodes[index].machine.on_leave(self.now);
        self.run(index, actions);
    }

    pub fn health(&self, observer: usize, member: usize) -> Option<Health> {
        self.nodes[observer].machine.health(&name(member))
    }

    /// Whether every running node reports `health` for `member`.
    pub fn all_report(&self, member: usize, health: Health) -> bool {
        (0..self.nodes.len())
            .filter(|observer| self.nodes[*observer].running)
            .all(|observer| self.health(observer, member) == Some(health))
    }

    /// Whether any running node reports `health` for `member`.
    pub fn any_reports(&self, member: usize, health: Health) -> bool {
        (0..self.nodes.len())
            .filter(|observer| self.nodes[*observer].running)
            .any(|observer| self.health(observer, member) == Some(health))
    }

    pub fn advance(&mut self, ms: u64) {
        let until = self.now + ms;
        while self.now < until {
            let tick_at = self.now + TICK_MS;
            self.deliver(tick_at);
            self.now = tick_at;
            for index in 0..self.nodes.len() {
                if self.nodes[index].running {
                    let actions = self.nodes[index].machine.on_tick(self.now);
                    self.run(index, actions);
                }
            }
        }
    }

    /// Advances until `done` and returns the elapsed milliseconds; `None` after `limit_ms`.
    pub fn advance_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let start = self.now;
        while !done(self) {
            if self.now.ms_since(start) >= limit_ms {
                return None;
            }
            self.advance(TICK_MS);
        }
        Some(self.now.ms_since(start))
    }

    /// Delivers every message that arrives by `until`, in the order of arrival.
    fn deliver(&mut self, until: UnixMs) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > until {
                return;
            }
            self.now = entry.key().0;
            let (from, to, swim) = entry.remove();
            if self.nodes[to].running {
                let machine = &mut self.nodes[to].machine;
                let actions = machine.on_swim(self.now, &name(from), swim);
                self.run(to, actions);
            } else if self.refuses {
                let machine = &mut self.nodes[from].machine;
                let actions = machine.on_connection_refused(self.now, &name(to));
                self.run(from, actions);
            }
        }
    }

    fn run(&mut self, from: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            let MembershipAction::Send { to, message } = action else {
                continue;
            };
            let MeshMessage::Swim(swim) = message else {
                continue;
            };
            self.send(from, &to, swim);
        }
    }

    fn send(&mut self, from: usize, to: &InstanceName, swim: Swim) {
        self.sent += 1;
        self.largest = self.largest.max(swim.updates.len());
        let to = (0..self.nodes.len()).find(|index| name(*index) == *to);
        let cut = |to: usize| self.nodes[from].side != self.nodes[to].side;
        let Some(to) = to.filter(|to| !cut(*to)) else {
            return;
        };
        if self.random.next_u64() % 100 < self.loss_percent {
            return;
        }
        let at = self.now + self.random.next_u64() % MAX_DELAY_MS;
        self.messages.insert((at, self.sent), (from, to, swim));
    }
}
