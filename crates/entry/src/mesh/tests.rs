//! Connections between two hubs on loopback.

use std::net::SocketAddr;

use monsoonspread_model::message::{BudgetAsk, Hello, MeshMessage, PROTOCOL_VERSION};
use monsoonspread_model::{BundleVersion, InstanceName, UnixMs};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use super::{Hub, MeshEvent, MeshHandle, listen};
use crate::settings::MeshKey;

const KEY: &[u8] = b"0123456789abcdef";

struct Node {
    name: InstanceName,
    address: SocketAddr,
    mesh: MeshHandle,
    events: mpsc::Receiver<MeshEvent>,
    _tasks: JoinSet<()>,
}

async fn node(name: &str, key: &[u8], idle_timeout_ms: u64) -> Node {
    let hello = Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: name.into(),
        zone: "vestland-1".into(),
        started_at_unix_ms: UnixMs(1),
        bundle_version: BundleVersion(0),
    };
    let (_, hello) = watch::channel(hello);
    let (sender, events) = mpsc::channel(64);
    let (hub, mesh) = Hub::with_idle_timeout_ms(MeshKey::new(key), hello, sender, idle_timeout_ms);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(listen(&hub, listener));
    tasks.spawn(hub.run());
    Node {
        name: name.into(),
        address,
        mesh,
        events,
        _tasks: tasks,
    }
}

fn budget_ask(loads_wanted: u32) -> MeshMessage {
    MeshMessage::BudgetAsk(BudgetAsk { loads_wanted })
}

async fn next_received(node: &mut Node) -> (InstanceName, MeshMessage) {
    loop {
        if let MeshEvent::Received { from, message } = node.events.recv().await.unwrap() {
            return (from, message);
        }
    }
}

#[tokio::test]
async fn messages_pass_in_both_directions_in_order() {
    let a = node("a", KEY, 30_000).await;
    let mut b = node("b", KEY, 30_000).await;
    let mut a = a;
    a.mesh.set_addresses(vec![(b.name.clone(), b.address)]);
    for number in 0..20 {
        assert!(a.mesh.send(&b.name, budget_ask(number)));
    }
    for number in 0..20 {
        assert_eq!(
            next_received(&mut b).await,
            (a.name.clone(), budget_ask(number))
        );
    }
    assert!(b.mesh.send(&a.name, budget_ask(99)));
    assert_eq!(
        next_received(&mut a).await,
        (b.name.clone(), budget_ask(99))
    );
}

#[tokio::test]
async fn message_to_itself_needs_no_socket() {
    let mut a = node("a", KEY, 30_000).await;
    assert!(a.mesh.send(&a.name, budget_ask(1)));
    assert_eq!(next_received(&mut a).await, (a.name.clone(), budget_ask(1)));
}

#[tokio::test]
async fn peer_with_another_key_gets_nothing() {
    let mut a = node("a", KEY, 30_000).await;
    let b = node("b", b"fedcba9876543210", 30_000).await;
    a.mesh.set_addresses(vec![(b.name.clone(), b.address)]);
    assert!(a.mesh.send(&b.name, budget_ask(1)));
    let event = a.events.recv().await.unwrap();
    assert!(matches!(event, MeshEvent::Undelivered { to, .. } if to == b.name));
}

#[tokio::test]
async fn idle_connections_end_without_loss() {
    let a = node("a", KEY, 5).await;
    let mut b = node("b", KEY, 5).await;
    a.mesh.set_addresses(vec![(b.name.clone(), b.address)]);
    for number in 0..20 {
        assert!(a.mesh.send(&b.name, budget_ask(number)));
        assert_eq!(
            next_received(&mut b).await,
            (a.name.clone(), budget_ask(number))
        );
        while !a.mesh.dump().await.unwrap().connected.is_empty() {
            tokio::task::yield_now().await;
        }
    }
}

#[tokio::test]
async fn message_to_an_unknown_peer_is_reported() {
    let mut a = node("a", KEY, 30_000).await;
    assert!(a.mesh.send(&"nobody".into(), budget_ask(1)));
    let event = a.events.recv().await.unwrap();
    assert!(matches!(event, MeshEvent::Undelivered { .. }));
}

#[tokio::test]
async fn only_connection_refused_is_reported_as_refused() {
    let mut a = node("a", KEY, 30_000).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    a.mesh.set_addresses(vec![("gone".into(), address)]);
    assert!(a.mesh.send(&"gone".into(), budget_ask(1)));
    assert!(matches!(
        a.events.recv().await.unwrap(),
        MeshEvent::Undelivered { .. }
    ));
    let event = a.events.recv().await.unwrap();
    assert!(matches!(event, MeshEvent::ConnectionRefused(peer) if peer.as_str() == "gone"));
    let other_key = node("other_key", b"fedcba9876543210", 30_000).await;
    a.mesh
        .set_addresses(vec![(other_key.name.clone(), other_key.address)]);
    assert!(a.mesh.send(&other_key.name, budget_ask(1)));
    assert!(matches!(
        a.events.recv().await.unwrap(),
        MeshEvent::Undelivered { .. }
    ));
    assert!(a.events.try_recv().is_err());
}
