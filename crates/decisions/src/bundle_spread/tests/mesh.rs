//! Simulated lossy mesh of bundle machines with a fake store.

use std::collections::{BTreeMap, VecDeque};

use monsoonspread_model::bundle::{self, AdapterEntry, Manifest};
use monsoonspread_model::{Bundle, BundleVersion, InstanceName, MeshMessage, UnixMs};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use crate::bundle_spread::{BundleAction, BundleSpread, BundleSpreadSettings, ManifestVerifier};

const ROUND_MS: u64 = 100;
const SIGNED: &str = "signed";

/// Accepts a fixed string as signature.
struct FakeVerifier;

impl ManifestVerifier for FakeVerifier {
    fn verify(&self, manifest: &Manifest) -> bool {
        manifest.signature == SIGNED
    }
}

/// The machines and the messages in flight.
pub struct Mesh {
    pub nodes: Vec<BundleSpread>,
    pub now: UnixMs,
    /// Partition of each node; nodes in different partitions can't reach each other.
    pub sides: Vec<u8>,
    pub loss_percent: u64,
    pub store_up: bool,
    /// Whether peers alter what they send.
    pub corrupt: bool,
    pub whole_sent: u32,
    pub deltas_sent: u32,
    versions: Vec<BundleVersion>,
    messages: VecDeque<(usize, usize, MeshMessage)>,
    random: ChaCha8Rng,
}

pub fn name(index: usize) -> InstanceName {
    format!("entry-{index:04}").into()
}

/// A bundle of up to nine adapters, each at version `version`.
pub fn bundle(version: u64) -> Bundle {
    let adapters = (1..=version).map(|number| {
        let entry = AdapterEntry {
            base_model: "base".into(),
            versions: vec![version as u32],
            default_version: version as u32,
            group: "all".into(),
            priority: 1,
        };
        (format!("adapter-{}", number % 9).into(), entry)
    });
    Bundle {
        version: BundleVersion(version),
        adapters: adapters.collect::<BTreeMap<_, _>>(),
        ..Bundle::default()
    }
}

pub fn manifest(version: u64) -> Manifest {
    Manifest {
        version: BundleVersion(version),
        digest: bundle::digest(&bundle::encode(&bundle(version))),
        parts: Vec::new(),
        signature: SIGNED.to_owned(),
    }
}

impl Mesh {
    pub fn new(count: usize, seed: u64) -> Self {
        let names: Vec<_> = (0..count).map(name).collect();
        let nodes = (0..count).map(|index| {
            let settings = BundleSpreadSettings::default();
            let verifier = Box::new(FakeVerifier);
            let mut node = BundleSpread::new(name(index), settings, verifier, index as u64);
            node.on_peers(UnixMs(0), &names);
            node
        });
        Self {
            nodes: nodes.collect(),
            now: UnixMs(1_000),
            sides: vec![0; count],
            loss_percent: 0,
            store_up: true,
            corrupt: false,
            whole_sent: 0,
            deltas_sent: 0,
            versions: vec![BundleVersion(0); count],
            messages: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Moves the store's pointer to `version` as seen by node `index` only.
    pub fn publish(&mut self, index: usize, version: u64) {
        let actions = self.nodes[index].on_pointer(self.now, manifest(version));
        self.run(index, actions);
    }

    /// Delivers a message to node `to`.
    pub fn receive(&mut self, from: usize, to: usize, message: MeshMessage) {
        let (now, peer) = (self.now, name(from));
        let node = &mut self.nodes[to];
        let actions = match message {
            MeshMessage::BundleNotice(notice) => node.on_notice(now, &peer, notice),
            MeshMessage::BundleRequest(request) => node.on_request(now, &peer, request),
            MeshMessage::BundleContent(content) => node.on_content(now, &peer, content),
            _ => Vec::new(),
        };
        self.run(to, actions);
    }

    /// Runs one round: delivers every message in flight, then every node ticks and probes one
    /// random node.
    pub fn round(&mut self) {
        self.now = self.now + ROUND_MS;
        for (from, to, message) in std::mem::take(&mut self.messages) {
            self.receive(from, to, message);
        }
        for index in 0..self.nodes.len() {
            let actions = self.nodes[index].on_tick(self.now);
            self.run(index, actions);
            self.probe(index);
        }
    }

    /// Runs until every node has `version` and returns the number of rounds; `None` after `limit`.
    pub fn rounds_until_version(&mut self, version: u64, limit: u32) -> Option<u32> {
        let done = |mesh: &Self| {
            let mut nodes = mesh.nodes.iter();
            nodes.all(|node| node.version() == BundleVersion(version))
        };
        for round in 0..limit {
            if done(self) {
                return Some(round);
            }
            self.round();
        }
        None
    }

    /// Exchanges versions between a node and a random other one.
    fn probe(&mut self, index: usize) {
        let other = self.random.next_u64() as usize % self.nodes.len();
        if self.is_lost(index, other) {
            return;
        }
        for (one, other) in [(index, other), (other, index)] {
            let version = self.nodes[one].version();
            let actions = self.nodes[other].on_peer_version(self.now, &name(one), version);
            self.run(other, actions);
        }
    }

    fn is_lost(&mut self, from: usize, to: usize) -> bool {
        self.sides[from] != self.sides[to] || self.random.next_u64() % 100 < self.loss_percent
    }

    fn run(&mut self, index: usize, actions: Vec<BundleAction>) {
        for action in actions {
            match action {
                BundleAction::Adopt(adopted) => {
                    let version = adopted.version;
                    assert!(version > self.versions[index], "the version decreased");
                    assert_eq!(*adopted, bundle(version.0), "not the signed bundle");
                    self.versions[index] = version;
                }
                BundleAction::FetchFromStore(manifest) => self.fetch(index, manifest),
                BundleAction::Send { to, message } => self.send(index, &to, message),
                BundleAction::Notify { peers, message } => {
                    for to in peers {
                        self.send(index, &to, message.clone());
                    }
                }
                BundleAction::Event(_) => {}
            }
        }
    }

    fn fetch(&mut self, index: usize, manifest: Manifest) {
        let content = bundle::encode(&bundle(manifest.version.0));
        let node = &mut self.nodes[index];
        let actions = if self.store_up {
            node.on_parts(self.now, manifest, &content)
        } else {
            node.on_fetch_failed(self.now)
        };
        self.run(index, actions);
    }

    fn send(&mut self, from: usize, to: &InstanceName, mut message: MeshMessage) {
        use monsoonspread_model::message::BundleContent::{Delta, Whole};
        let to = (0..self.nodes.len()).find(|index| name(*index) == *to);
        let to = to.expect("messages go to nodes of the mesh");
        match &mut message {
            MeshMessage::BundleContent(Whole { content, .. }) => {
                self.whole_sent += 1;
                content.truncate(content.len() - usize::from(self.corrupt));
            }
            MeshMessage::BundleContent(Delta { delta, .. }) => {
                self.deltas_sent += 1;
                if self.corrupt {
                    delta.adapters.pop_first();
                }
            }
            _ => {}
        }
        if !self.is_lost(from, to) {
            self.messages.push_back((from, to, message));
        }
    }
}
