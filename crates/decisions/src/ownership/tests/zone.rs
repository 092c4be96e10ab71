//! Simulated zone of ownership machines with a fake key-value service.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use monsoonspread_model::message::Health;
use monsoonspread_model::{
    Epoch, InstanceKind, InstanceName, OwnershipTable, UnixMs, UpstreamName,
};

use super::rows::{name, row, upstream};
use super::step::{INSTANCES, Step, UPSTREAMS};
use super::store::{FakeStore, Write};
use crate::ownership::{
    AcquisitionKind, Ownership, OwnershipAction, OwnershipSettings, TableSource, WriteResult,
};

const TICK_MS: u64 = 100;

/// A message between instances.
#[derive(Clone, Debug)]
enum Message {
    Table(OwnershipTable),
    EpochSeen(UpstreamName, Epoch),
    Handover(UpstreamName, Epoch),
}

/// A call to the key-value service.
#[derive(Clone, Debug)]
enum Call {
    Read,
    Write(Write),
}

struct Node {
    machine: Ownership,
    health: BTreeMap<InstanceName, Health>,
    process: u32,
    paused: bool,
    leaving: bool,
    revision: u64,
    owned: BTreeMap<UpstreamName, Epoch>,
}

/// The zone with its pending calls and messages.
pub struct Zone {
    now: UnixMs,
    nodes: Vec<Node>,
    store: FakeStore,
    calls: VecDeque<(usize, u32, Call)>,
    delayed: VecDeque<Write>,
    messages: VecDeque<(usize, usize, Message)>,
    listed: BTreeSet<usize>,
    used_epochs: BTreeSet<Epoch>,
}

fn new_node(process: u32) -> impl Fn(usize) -> Node {
    move |index| Node {
        machine: Ownership::new(name(index), "z".into(), OwnershipSettings::default()),
        health: (0..INSTANCES).map(|i| (name(i), Health::Alive)).collect(),
        process,
        paused: false,
        leaving: false,
        revision: 0,
        owned: BTreeMap::new(),
    }
}

impl Zone {
    pub fn new() -> Self {
        let mut zone = Self {
            now: UnixMs(1_000),
            nodes: (0..INSTANCES).map(new_node(0)).collect(),
            store: FakeStore::default(),
            calls: VecDeque::new(),
            delayed: VecDeque::new(),
            messages: VecDeque::new(),
            listed: (0..UPSTREAMS - 1).collect(),
            used_epochs: BTreeSet::new(),
        };
        for index in 0..INSTANCES {
            zone.send_list(index);
            zone.send_members(index);
        }
        zone
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Tick(times) => (0..times).for_each(|_| self.tick()),
            Step::StoreAnswers => self.answer_call(true, false),
            Step::StoreLosesAnswer => self.answer_call(true, true),
            Step::StoreDelays => self.answer_call(false, true),
            Step::StoreCatchesUp => self.catch_up(),
            Step::StoreDown(down) => self.store.down = down,
            Step::Deliver => self.deliver(1),
            Step::DeliverTwice => self.deliver(2),
            Step::Lose => self.deliver(0),
            Step::Reorder => self.messages.rotate_left(self.messages.len() / 2),
            Step::SeeDead(one, other) => self.observe_health(one, other, Health::Dead),
            Step::SeeAlive(one, other) => self.observe_health(one, other, Health::Alive),
            Step::Pause(index) => self.nodes[index].paused = true,
            Step::Resume(index) => self.nodes[index].paused = false,
            Step::Restart(index) => self.restart(index),
            Step::Leave(index) => self.leave(index),
            Step::Fence(index) => self.fence(index),
            Step::Listed(index, listed) => self.list(index, listed),
        }
    }

    /// Ends all faults and runs the zone until it has settled.
    pub fn settle(&mut self) {
        self.store.down = false;
        for index in 0..INSTANCES {
            self.nodes[index].paused = false;
            for other in 0..INSTANCES {
                let health = self.true_health(other);
                self.nodes[index].health.insert(name(other), health);
            }
            self.send_members(index);
            self.send_list(index);
        }
        for _ in 0..120 {
            self.tick();
            self.drain();
            self.sync_tables();
        }
    }

    fn drain(&mut self) {
        while !self.calls.is_empty() || !self.messages.is_empty() || !self.delayed.is_empty() {
            self.answer_call(true, false);
            self.catch_up();
            self.deliver(1);
        }
    }

    pub fn check_settled(&self) {
        let stored = self.store.current.as_ref().map(|(table, _)| table);
        let live: Vec<_> = self.nodes.iter().filter(|node| !node.leaving).collect();
        for node in &live {
            assert_eq!(Some(node.machine.table()), stored, "tables differ");
        }
        if live.is_empty() {
            return;
        }
        for index in &self.listed {
            let upstream = upstream(*index);
            let owners = live
                .iter()
                .filter(|node| node.owned.contains_key(&upstream));
            let names: Vec<_> = owners.collect();
            assert_eq!(names.len(), 1, "{upstream} has {} owners", names.len());
            let epoch = names[0].owned[&upstream];
            for node in &live {
                let place = node.machine.owner_of(self.now, &upstream);
                assert_eq!(place.map(|place| place.epoch), Some(epoch), "{upstream}");
            }
        }
    }

    fn true_health(&self, index: usize) -> Health {
        if self.nodes[index].leaving {
            Health::Leaving
        } else {
            Health::Alive
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK_MS;
        for index in 0..INSTANCES {
            if self.nodes[index].paused {
                continue;
            }
            let actions = self.nodes[index].machine.on_tick(self.now);
            self.run(index, actions);
        }
    }

    fn observe_health(&mut self, one: usize, other: usize, health: Health) {
        if one == other || self.nodes[one].paused {
            return;
        }
        let health = health.max(self.true_health(other));
        self.nodes[one].health.insert(name(other), health);
        self.send_members(one);
    }

    fn send_members(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let members: Vec<_> = node.health.clone().into_iter().collect();
        let actions = node.machine.on_members(self.now, &members);
        self.run(index, actions);
    }

    fn send_list(&mut self, index: usize) {
        let entries = (0..INSTANCES).map(|i| row(name(i).to_string(), InstanceKind::Entry));
        let engines = self.listed.iter();
        let engines = engines.map(|i| row(upstream(*i).to_string(), InstanceKind::Engine));
        let rows: Vec<_> = entries.chain(engines).collect();
        let actions = self.nodes[index].machine.on_listed(self.now, &rows);
        self.run(index, actions);
    }

    fn list(&mut self, index: usize, listed: bool) {
        if listed {
            self.listed.insert(index);
        } else if self.listed.len() > 1 {
            self.listed.remove(&index);
        }
        for index in 0..INSTANCES {
            self.send_list(index);
        }
    }

    fn restart(&mut self, index: usize) {
        let process = self.nodes[index].process + 1;
        self.nodes[index] = new_node(process)(index);
        self.send_list(index);
        self.send_members(index);
        for observer in self.restart_observers(index) {
            let machine = &mut self.nodes[observer].machine;
            let actions = machine.on_restarted(self.now, &name(index));
            self.run(observer, actions);
        }
    }

    /// Running instances other than `index` that notice its restart or leave: all of them or, on
    /// every second tick, only those with an even index.
    fn restart_observers(&self, index: usize) -> Vec<usize> {
        let all = (self.now.0 / TICK_MS).is_multiple_of(2);
        (0..INSTANCES)
            .filter(|other| *other != index && !self.nodes[*other].paused)
            .filter(|other| all || other % 2 == 0)
            .collect()
    }

    fn leave(&mut self, index: usize) {
        if self.nodes[index].leaving {
            return;
        }
        self.nodes[index].leaving = true;
        let actions = self.nodes[index].machine.on_leave(self.now);
        self.run(index, actions);
        for other in self.restart_observers(index) {
            self.observe_health(other, index, Health::Leaving);
        }
    }

    fn fence(&mut self, index: usize) {
        let Some((upstream, epoch)) = self.nodes[index].owned.pop_first() else {
            return;
        };
        let machine = &mut self.nodes[index].machine;
        let actions = machine.on_stepped_down(self.now, &upstream, epoch);
        self.run(index, actions);
    }

    fn answer_call(&mut self, carry_out: bool, lose: bool) {
        let Some((index, process, call)) = self.calls.pop_front() else {
            return;
        };
        let result = self.carry_out(&call, carry_out && !self.store.down);
        if self.nodes[index].process != process {
            return;
        }
        let now = self.now;
        let machine = &mut self.nodes[index].machine;
        let actions = match (call, result) {
            (Call::Read, _) if self.store.down || lose => machine.on_read_failed(now),
            (Call::Read, _) => match self.store.current.clone() {
                None => machine.on_table_absent(now),
                Some((table, mod_revision)) => {
                    machine.on_table(now, table, TableSource::Store { mod_revision })
                }
            },
            (Call::Write(_), _) if lose => machine.on_write_result(now, WriteResult::Unknown),
            (Call::Write(_), result) => machine.on_write_result(now, result),
        };
        self.run(index, actions);
    }

    fn carry_out(&mut self, call: &Call, now: bool) -> WriteResult {
        let Call::Write(write) = call else {
            return WriteResult::Unreachable;
        };
        if now {
            return self.store.write(write);
        }
        if !self.store.down {
            self.delayed.push_back(write.clone());
        }
        WriteResult::Unreachable
    }

    fn catch_up(&mut self) {
        if let Some(write) = self.delayed.pop_front() {
            self.store.write(&write);
        }
    }

    fn deliver(&mut self, times: u32) {
        let Some((from, to, message)) = self.messages.pop_front() else {
            return;
        };
        if self.nodes[to].paused {
            return self.messages.push_back((from, to, message));
        }
        for _ in 0..times {
            let machine = &mut self.nodes[to].machine;
            let actions = match &message {
                Message::Table(table) => {
                    machine.on_table(self.now, table.clone(), TableSource::Peer)
                }
                Message::EpochSeen(upstream, epoch) => {
                    machine.on_epoch_seen(self.now, upstream, *epoch)
                }
                Message::Handover(upstream, epoch) => {
                    machine.on_handover(self.now, &name(from), upstream, *epoch)
                }
            };
            self.run(to, actions);
        }
    }

    /// Gives every instance the newest table, as the exchange of table revisions in probes does.
    fn sync_tables(&mut self) {
        let newest = self.nodes.iter().map(|node| node.machine.table());
        let newest = newest.max_by_key(|table| table.revision).cloned();
        let newest = newest.expect("a zone has instances");
        for index in 0..INSTANCES {
            let machine = &mut self.nodes[index].machine;
            let actions = machine.on_table(self.now, newest.clone(), TableSource::Peer);
            self.run(index, actions);
        }
    }

    fn run(&mut self, index: usize, actions: Vec<OwnershipAction>) {
        for action in actions {
            self.run_action(index, action);
        }
        let node = &mut self.nodes[index];
        let revision = node.machine.table().revision;
        assert!(revision >= node.revision, "table revision decreased");
        node.revision = revision;
    }

    fn run_action(&mut self, index: usize, action: OwnershipAction) {
        let process = self.nodes[index].process;
        match action {
            OwnershipAction::WriteTable {
                table,
                expected_mod_revision,
            } => {
                let write = Write {
                    table,
                    expected_mod_revision,
                };
                self.calls.push_back((index, process, Call::Write(write)));
            }
            OwnershipAction::ReadTable => self.calls.push_back((index, process, Call::Read)),
            OwnershipAction::SpreadTable(table) => self.send_all(index, &Message::Table(table)),
            OwnershipAction::Own {
                upstream,
                epoch,
                kind,
                ..
            } => self.acquire(index, upstream, epoch, kind),
            OwnershipAction::Disown { upstream } => {
                self.nodes[index].owned.remove(&upstream);
            }
            OwnershipAction::HandOver { successors } => {
                for (upstream, to) in successors {
                    let to = (0..INSTANCES).find(|i| name(*i) == to).unwrap();
                    let epoch = self.nodes[index].owned.remove(&upstream).unwrap();
                    let message = Message::Handover(upstream, epoch);
                    self.messages.push_back((index, to, message));
                }
            }
            OwnershipAction::Event(_) => {}
        }
    }

    fn acquire(
        &mut self,
        index: usize,
        upstream: UpstreamName,
        epoch: Epoch,
        kind: AcquisitionKind,
    ) {
        assert!(
            self.used_epochs.insert(epoch),
            "epoch {epoch} is used twice"
        );
        let before = self.nodes[index].owned.insert(upstream.clone(), epoch);
        assert_eq!(before, None, "owned twice");
        if kind != AcquisitionKind::Fresh {
            self.send_all(index, &Message::EpochSeen(upstream, epoch));
        }
    }

    fn send_all(&mut self, from: usize, message: &Message) {
        let others = (0..INSTANCES).filter(|to| *to != from);
        let sent = others.map(|to| (from, to, message.clone()));
        self.messages.extend(sent);
    }
}
