//! Waiting for instances to report a bundle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use monsoonspread_ctl::fleet_status::{FleetStatus, NoProgress};
use monsoonspread_model::{BundleVersion, UnixMs};
use monsoonspread_standin::server::{Answer, json};
use monsoonspread_standin::{FaultState, LOOPBACK, Running, StandIn};
use serde_json::{Value, json as json_value};

/// An operators' listener whose bundle grows by one with each dump, up to a highest version.
struct Instance {
    version: AtomicU64,
    highest: u64,
    state: &'static str,
}

#[async_trait]
impl StandIn for Instance {
    async fn handle(self: Arc<Self>, _request: Request<Incoming>) -> Answer {
        let version = self.version.load(Ordering::Relaxed);
        self.version
            .store((version + 1).min(self.highest), Ordering::Relaxed);
        let dump = json_value!({
            "instance": "entry-1",
            "zone": "vestland-1",
            "state": self.state,
            "bundle": { "version": version },
        });
        Ok(json(StatusCode::OK, &dump))
    }

    async fn counters(&self) -> Value {
        Value::Null
    }
}

async fn instance(highest: u64) -> Running<Instance> {
    instance_in("ready", highest).await
}

async fn instance_in(state: &'static str, highest: u64) -> Running<Instance> {
    let instance = Instance {
        version: AtomicU64::new(0),
        highest,
        state,
    };
    let faults = Arc::new(FaultState::new(Duration::ZERO));
    Running::start(instance, faults, LOOPBACK)
        .await
        .expect("it starts")
}

#[tokio::test]
async fn a_roll_out_waits_for_every_instance() {
    let instances = [instance(3).await, instance(5).await];
    let fleet = FleetStatus::new(&instances.each_ref().map(Running::address));
    let deadline = UnixMs::now() + 30_000;
    let waited = fleet
        .wait_for(BundleVersion(3), deadline, &NoProgress)
        .await;
    assert_eq!(waited, Ok(()));
}

#[tokio::test]
async fn instances_that_lag_or_do_not_answer_are_named() {
    let lagging = instance(2).await;
    let gone = instance(9).await;
    let gone_address = gone.address();
    gone.stop().await;
    let addresses: [SocketAddr; 2] = [lagging.address(), gone_address];
    let fleet = FleetStatus::new(&addresses);
    let waited = fleet
        .wait_for(BundleVersion(3), UnixMs::now(), &NoProgress)
        .await;
    let named = waited.unwrap_err();
    assert_eq!(named[0].version, Some(BundleVersion(0)));
    assert!(named[1].error.is_some());
}

#[tokio::test]
async fn an_instance_that_is_stopping_is_not_waited_for() {
    let stopping = instance_in("draining", 0).await;
    let fleet = FleetStatus::new(&[stopping.address()]);
    let waited = fleet
        .wait_for(BundleVersion(3), UnixMs::now(), &NoProgress)
        .await;
    assert_eq!(waited, Ok(()));
}
