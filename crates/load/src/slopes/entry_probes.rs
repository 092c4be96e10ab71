//! Slopes of what an entry process keeps and exchanges beside its decisions.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use monsoonspread_entry::mesh::{Hub, MeshEvent, MeshHandle, listen};
use monsoonspread_entry::settings::MeshKey;
use monsoonspread_model::load_report::LoadedAdapter;
use monsoonspread_model::message::{Hello, PROTOCOL_VERSION};
use monsoonspread_model::{BundleVersion, ListedInstance, LoadReport, MeshMessage, UnixMs};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::measure::{bytes_each, keep, resident_bytes, us_each};
use super::samples::{adapter, instance, listed, swim};
use super::{Probe, Unit};
use crate::compare::cpu_s;

const ROWS: &[usize] = &[250, 500, 1_000, 2_000, 4_000];
const SLOTS: &[usize] = &[4, 8, 16, 32];
const CONNECTIONS: &[usize] = &[20, 40, 80, 160];
const MESSAGES: &[usize] = &[4_000, 8_000, 16_000, 32_000];
/// Lists kept for one measurement of memory.
const COPIES: usize = 4;
/// Engines for each entry instance in a list.
const ENGINES_PER_ENTRY: usize = 4;
/// Time for connections to be opened.
const OPEN: Duration = Duration::from_secs(2);
/// Arrivals that may wait.
const EVENTS: usize = 1_024;

/// Every probe of an entry process.
pub const PROBES: &[Probe] = &[
    Probe {
        name: "mesh.resident_connection",
        unit: Unit::Bytes,
        per: "connection, both ends",
        sizes: CONNECTIONS,
        measure: connections,
    },
    Probe {
        name: "mesh.message",
        unit: Unit::Us,
        per: "message, both ends",
        sizes: MESSAGES,
        measure: echoes,
    },
    Probe {
        name: "list.resident",
        unit: Unit::Bytes,
        per: "listed instance",
        sizes: ROWS,
        measure: |rows| {
            let text = list_text(rows);
            bytes_each(COPIES, || list_of(&text))
        },
    },
    Probe {
        name: "list.wire",
        unit: Unit::Bytes,
        per: "listed instance",
        sizes: ROWS,
        measure: |rows| list_text(rows).len() as f64,
    },
    Probe {
        name: "list.decode",
        unit: Unit::Us,
        per: "listed instance",
        sizes: ROWS,
        measure: |rows| {
            let text = list_text(rows);
            us_each(|| list_of(&text))
        },
    },
    Probe {
        name: "report.wire",
        unit: Unit::Bytes,
        per: "adapter slot",
        sizes: SLOTS,
        measure: |slots| report_text(slots).len() as f64,
    },
    Probe {
        name: "report.decode",
        unit: Unit::Us,
        per: "adapter slot",
        sizes: SLOTS,
        measure: |slots| {
            let text = report_text(slots);
            us_each(|| serde_json::from_str::<LoadReport>(&text).is_ok())
        },
    },
];

fn list_text(rows: usize) -> String {
    let entries = rows / (1 + ENGINES_PER_ENTRY);
    let rows = listed(entries, rows - entries);
    serde_json::to_string(&rows).expect("a list has text keys only")
}

fn list_of(text: &str) -> Vec<ListedInstance> {
    serde_json::from_str(text).expect("an encoded list is decoded again")
}

fn report_text(slots: usize) -> String {
    let loaded = |number| LoadedAdapter {
        name: format!("{}.e1000000", adapter(number)),
        in_use: 4,
    };
    let report = LoadReport {
        taken_at_unix_ms: UnixMs(1_800_000_000_000),
        running: 32,
        waiting: 2,
        adapters: (0..slots).map(loaded).collect(),
        draining: false,
        started_at_unix_ms: UnixMs(1_799_999_000_000),
    };
    serde_json::to_string(&report).expect("a report has text keys only")
}

/// Resident bytes of `count` connections of one hub, each with a peer of its own.
fn connections(count: usize) -> f64 {
    let runtime = Runtime::new().expect("the async runtime starts");
    let before = resident_bytes();
    let nodes = runtime.block_on(open(count));
    let grown = resident_bytes().saturating_sub(before);
    keep(nodes);
    keep(runtime);
    grown as f64
}

/// Processor time of `count` messages that go to and fro between two instances one by one.
fn echoes(count: usize) -> f64 {
    let runtime = Runtime::new().expect("the async runtime starts");
    let (cpu_s, nodes) = runtime.block_on(async {
        let (mut a, mut a_events) = Node::start(0).await;
        let (b, mut b_events) = Node::start(1).await;
        let echo = b.mesh.clone();
        a.tasks.spawn(async move {
            while let Some(event) = b_events.recv().await {
                if let MeshEvent::Received { from, message } = event {
                    echo.send(&from, message);
                }
            }
        });
        a.mesh.set_addresses(vec![(instance(1), b.address)]);
        echo_once(&a, &mut a_events).await;
        let before_s = cpu_s();
        for _ in 0..count / 2 {
            echo_once(&a, &mut a_events).await;
        }
        (cpu_s() - before_s, (a, b))
    });
    keep(nodes);
    keep(runtime);
    cpu_s * 1e6
}

async fn echo_once(node: &Node, events: &mut mpsc::Receiver<MeshEvent>) {
    node.mesh.send(&instance(1), MeshMessage::Swim(swim(1)));
    while let Some(event) = events.recv().await {
        if matches!(event, MeshEvent::Received { .. }) {
            return;
        }
    }
}

async fn open(count: usize) -> Vec<Node> {
    let centre = Node::start_drained(0).await;
    let mut nodes = vec![];
    for number in 1..=count {
        nodes.push(Node::start_drained(number).await);
    }
    let addresses = nodes.iter().zip(1..);
    let known = addresses.map(|(node, number)| (instance(number), node.address));
    centre.mesh.set_addresses(known.collect());
    for number in 1..=count {
        centre
            .mesh
            .send(&instance(number), MeshMessage::Swim(swim(1)));
    }
    tokio::time::sleep(OPEN).await;
    nodes.push(centre);
    nodes
}

/// A hub that listens.
struct Node {
    address: SocketAddr,
    mesh: MeshHandle,
    _hello: watch::Sender<Hello>,
    tasks: JoinSet<()>,
}

impl Node {
    async fn start_drained(number: usize) -> Self {
        let (mut node, mut events) = Self::start(number).await;
        let drain = async move { while events.recv().await.is_some() {} };
        node.tasks.spawn(drain);
        node
    }

    async fn start(number: usize) -> (Self, mpsc::Receiver<MeshEvent>) {
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            instance: instance(number),
            zone: "vestland-1".into(),
            started_at_unix_ms: UnixMs(1),
            bundle_version: BundleVersion(0),
        };
        let (hello_sender, hello) = watch::channel(hello);
        let (sender, events) = mpsc::channel(EVENTS);
        let (hub, mesh) = Hub::new(MeshKey::new(b"slopes-mesh-key-on-loopback"), hello, sender);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a loopback port is free");
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let mut tasks = JoinSet::new();
        tasks.spawn(listen(&hub, listener));
        tasks.spawn(hub.run());
        let node = Self {
            address,
            mesh,
            _hello: hello_sender,
            tasks,
        };
        (node, events)
    }
}
