//! Measures how long upstreams have no owner after a graceful leave, a crash and a freeze, in
//! virtual time.
//!
//! `cargo run --release -p monsoonspread-decisions --example ownership_gap`

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_decisions::membership::{
    Member, Membership, MembershipAction, MembershipSettings,
};
use monsoonspread_decisions::ownership::{
    Ownership, OwnershipAction, OwnershipSettings, Planner, TableSource,
};
use monsoonspread_model::message::{Handover, Swim};
use monsoonspread_model::{
    InstanceName, MeshMessage, OwnershipTable, UnixMs, UpstreamName, message,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const LINK_MS: u64 = 1;
const TICK_MS: u64 = 100;
const JOIN_MS: u64 = 30_000;
const LIMIT_MS: u64 = 20_000;
const UPSTREAMS_PER_INSTANCE: usize = 4;
const SEEDS: u64 = 10;

enum Message {
    Swim(Swim),
    Handover(Handover),
}

struct Node {
    membership: Membership,
    ownership: Ownership,
    tick_phase_ms: u64,
    running: bool,
}

/// A zone with its messages in flight.
struct Zone {
    now: UnixMs,
    nodes: Vec<Node>,
    messages: Vec<(UnixMs, usize, usize, Message)>,
    sent: u64,
    sent_bytes: u64,
    /// Whether all members know each other; until then, ownership receives no member changes.
    joined: bool,
    /// Whether connections to a stopped instance are refused.
    refuses: bool,
    /// When each upstream was last acquired.
    owned_at: BTreeMap<UpstreamName, UnixMs>,
}

/// How an instance stops.
#[derive(Clone, Copy, PartialEq)]
enum Departure {
    /// It shuts down gracefully.
    Leave,
    /// Its process ends, and connections to it are refused.
    Crash,
    /// It becomes unresponsive without refusing connections.
    Freeze,
}

/// The cost of one departure.
#[derive(Clone, Copy)]
struct Gap {
    longest_ms: u64,
    messages: u64,
}

fn name(index: usize) -> InstanceName {
    format!("entry-{index:03}").into()
}

fn first_table(count: usize) -> OwnershipTable {
    let live = (0..count).map(name).collect::<BTreeSet<_>>();
    let upstreams = 0..count * UPSTREAMS_PER_INSTANCE;
    let upstreams = upstreams.map(|index| format!("engine-{index:04}").into());
    let upstreams = upstreams.collect::<BTreeSet<_>>();
    let order_length = OwnershipSettings::default().order_length;
    let empty = OwnershipTable::new("z");
    let planner = Planner::new(&empty, &live, &upstreams, order_length);
    planner.plan().expect("the first table is new")
}

impl Zone {
    fn new(count: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let now = UnixMs(1_000_000);
        let table = first_table(count);
        let members: Vec<_> = (0..count)
            .map(|i| (name(i), message::Health::Alive))
            .collect();
        let nodes = (0..count).map(|index| {
            let own = Member {
                name: name(index),
                address: ([127, 0, 0, 1], 9_000).into(),
            };
            let settings = MembershipSettings::default();
            let mut membership = Membership::new(now, own, settings, random.next_u64());
            let rows: Vec<_> = (0..count).map(row).collect();
            membership.on_listed(now, &rows);
            let settings = OwnershipSettings::default();
            let mut ownership = Ownership::new(name(index), "z".into(), settings);
            ownership.on_members(now, &members);
            ownership.on_listed(now, &rows);
            ownership.on_table_absent(now);
            let source = TableSource::Store { mod_revision: 1 };
            ownership.on_table(now, table.clone(), source);
            Node {
                membership,
                ownership,
                tick_phase_ms: random.next_u64() % TICK_MS,
                running: true,
            }
        });
        let mut zone = Self {
            now,
            nodes: nodes.collect(),
            messages: Vec::new(),
            sent: 0,
            sent_bytes: 0,
            joined: false,
            refuses: false,
            owned_at: BTreeMap::new(),
        };
        zone.advance(JOIN_MS + random.next_u64() % TICK_MS);
        zone.joined = true;
        zone
    }

    fn advance(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now = self.now + 1;
            self.deliver();
            for index in 0..self.nodes.len() {
                let node = &self.nodes[index];
                if node.running && self.now.0 % TICK_MS == node.tick_phase_ms {
                    self.tick(index);
                }
            }
        }
    }

    fn tick(&mut self, index: usize) {
        let actions = self.nodes[index].membership.on_tick(self.now);
        self.run_membership(index, actions);
        let actions = self.nodes[index].ownership.on_tick(self.now);
        self.run_ownership(index, actions);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .messages
            .extract_if(.., |(at, ..)| *at <= now)
            .collect();
        for (_, from, to, message) in due {
            let node = &mut self.nodes[to];
            if !node.running {
                if self.refuses {
                    let sender = &mut self.nodes[from].membership;
                    let actions = sender.on_connection_refused(now, &name(to));
                    self.run_membership(from, actions);
                }
                continue;
            }
            match message {
                Message::Swim(swim) => {
                    let actions = node.membership.on_swim(now, &name(from), swim);
                    self.run_membership(to, actions);
                }
                Message::Handover(handover) => {
                    let Handover {
                        upstream,
                        from_epoch,
                        ..
                    } = handover;
                    let owner = &mut node.ownership;
                    let actions = owner.on_handover(now, &name(from), &upstream, from_epoch);
                    self.run_ownership(to, actions);
                }
            }
        }
    }

    fn run_membership(&mut self, index: usize, actions: Vec<MembershipAction>) {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, message } => {
                    self.sent += 1;
                    self.sent_bytes += message::encode(&message).len() as u64;
                    if let MeshMessage::Swim(swim) = message {
                        self.send(index, &to, Message::Swim(swim));
                    }
                }
                MembershipAction::Changed { .. } => changed = true,
                _ => {}
            }
        }
        if changed && self.joined {
            let node = &mut self.nodes[index];
            let members = node.membership.members();
            let actions = node.ownership.on_members(self.now, &members);
            self.run_ownership(index, actions);
        }
    }

    fn run_ownership(&mut self, index: usize, actions: Vec<OwnershipAction>) {
        for action in actions {
            match action {
                OwnershipAction::Own { upstream, .. } => {
                    self.owned_at.insert(upstream, self.now);
                }
                OwnershipAction::HandOver { successors } => {
                    for (upstream, to) in successors {
                        let table = self.nodes[index].ownership.table();
                        let handover = Handover {
                            from_epoch: table.order_of(&upstream)[0].epoch,
                            upstream,
                            copies: Vec::new(),
                            grants: Vec::new(),
                        };
                        self.sent += 1;
                        self.send(index, &to, Message::Handover(handover));
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &InstanceName, message: Message) {
        let to: usize = to.as_str()["entry-".len()..]
            .parse()
            .expect("names are numbered");
        self.messages.push((self.now + LINK_MS, from, to, message));
    }
}

fn row(index: usize) -> monsoonspread_model::ListedInstance {
    monsoonspread_model::ListedInstance {
        name: name(index).to_string(),
        kind: monsoonspread_model::InstanceKind::Entry,
        zone: "z".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        state: monsoonspread_model::InstanceState::Live,
        service: None,
        checks_fencing: false,
        adapter_slots: 0,
        batch_places: 0,
    }
}

/// Stops the first instance and measures until each of its upstreams has a new owner.
fn measure_gap(count: usize, seed: u64, departure: Departure) -> Gap {
    let mut zone = Zone::new(count, seed);
    let table = zone.nodes[0].ownership.table().clone();
    let orders = table.upstreams.into_iter();
    let lost = orders.filter(|(_, order)| order[0].instance == name(0));
    let lost: Vec<_> = lost.map(|(upstream, _)| upstream).collect();
    let (start, sent) = (zone.now, zone.sent);
    zone.owned_at.clear();
    if departure == Departure::Leave {
        let actions = zone.nodes[0].membership.on_leave(start);
        zone.run_membership(0, actions);
        let actions = zone.nodes[0].ownership.on_leave(start);
        zone.run_ownership(0, actions);
    } else {
        zone.nodes[0].running = false;
        zone.refuses = departure == Departure::Crash;
    }
    while zone.now < start + LIMIT_MS && !lost.iter().all(|up| zone.owned_at.contains_key(up)) {
        zone.advance(1);
    }
    let longest = lost
        .iter()
        .map(|upstream| zone.owned_at[upstream].ms_since(start));
    Gap {
        longest_ms: longest.max().unwrap_or_default(),
        messages: zone.sent - sent,
    }
}

const DEPARTURES: [(&str, Departure); 3] = [
    ("leave", Departure::Leave),
    ("crash", Departure::Crash),
    ("freeze", Departure::Freeze),
];

/// Membership bytes that one node of an idle zone sends per second.
fn idle_bytes_per_s(count: usize) -> u64 {
    let mut zone = Zone::new(count, 1);
    zone.advance(JOIN_MS);
    zone.sent_bytes = 0;
    zone.advance(10_000);
    zone.sent_bytes / 10 / count as u64
}

fn main() {
    println!("instances  event   gap median ms  gap longest ms  messages in the zone meanwhile");
    for count in [3, 7, 20, 60, 190] {
        for (name, departure) in DEPARTURES {
            let mut gaps: Vec<_> = (0..SEEDS)
                .map(|seed| measure_gap(count, seed, departure))
                .collect();
            gaps.sort_by_key(|gap| gap.longest_ms);
            let (median, longest) = (gaps[gaps.len() / 2], gaps[gaps.len() - 1]);
            let (median_ms, longest_ms) = (median.longest_ms, longest.longest_ms);
            let messages = median.messages;
            println!("{count:9}  {name:6}  {median_ms:13}  {longest_ms:14}  {messages:8}");
        }
    }
    println!("instances  membership bytes sent by a node in a second");
    for count in [3, 7, 20, 60, 190] {
        println!("{count:9}  {:8}", idle_bytes_per_s(count));
    }
}
