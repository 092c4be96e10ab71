//! Tests of an owner whose whole process is suspended for longer than any lease. Another instance
//! takes over, and the first one resumes without knowing that it lost the ownership.

mod support;

use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;

use monsoonspread_demo::region::zone_name;
use monsoonspread_demo::{Region, Reply};
use monsoonspread_entry::{Entry, Platform, Settings};
use serde_json::Value;
use support::*;

/// Entry instance on a separate thread that can be blocked.
struct Freezable {
    runtime: tokio::runtime::Handle,
    callers: SocketAddr,
    mesh: SocketAddr,
    operators: SocketAddr,
    _stop: tokio::sync::oneshot::Sender<()>,
}

impl Freezable {
    fn start(settings: Settings) -> Self {
        let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
        let (sender, started) = mpsc::channel();
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let platform = Platform::connect(&settings);
                let entry = Entry::start(settings, platform).await.unwrap();
                let addresses = (
                    entry.callers_address(),
                    entry.mesh_address(),
                    entry.operators_address(),
                );
                let handle = tokio::runtime::Handle::current();
                sender.send((handle, addresses)).unwrap();
                let _ = stopped.await;
            });
        });
        let (runtime, (callers, mesh, operators)) = started.recv().unwrap();
        Self {
            runtime,
            callers,
            mesh,
            operators,
            _stop: stop,
        }
    }

    /// Blocks the instance's only thread until the returned sender is used or dropped.
    fn freeze(&self) -> mpsc::Sender<()> {
        let (thaw, thawed) = mpsc::channel();
        self.runtime.spawn(async move {
            let _ = thawed.recv();
        });
        thaw
    }

    async fn generate(&self, adapter: &str) -> Reply {
        let body = chat(adapter, 4, false);
        bench().post(self.callers, CHAT, &body).await.unwrap()
    }

    async fn dump(&self) -> Value {
        bench().get(self.operators, "/dump").await.unwrap().json()
    }

    async fn owns(&self) -> bool {
        let state = self.dump().await;
        state["owner"]["upstreams"][0]["epoch"].is_u64()
    }
}

/// Starts two instances with one engine and returns the owner first.
async fn owner_and_other(region: &Region) -> (Freezable, Freezable) {
    let zone = zone_name(1);
    let [first, second] = ["entry-1-1", "entry-1-2"].map(|name| {
        let instance = Freezable::start(region.settings(name, &zone));
        region.list_entry(name, &zone, instance.mesh);
        instance
    });
    for instance in [&first, &second] {
        eventually("both instances serve", async || {
            instance.generate("needle-0002").await.status == 200
        })
        .await;
    }
    if first.owns().await {
        return (first, second);
    }
    (second, first)
}

async fn freeze_and_thaw(engine_checks_fencing: bool) {
    let mut region_shape = shape(0, 1);
    region_shape.every_unfenced = usize::from(!engine_checks_fencing);
    let region = region_without_entries(region_shape).await;
    let (owner, other) = owner_and_other(&region).await;
    let mut stream = Stream::open_at(other.callers, &chat("needle-0002", 300, true)).await;
    stream.first().await;
    let thaw = owner.freeze();
    eventually("the other instance takes over and serves", async || {
        let reply = other.generate("needle-0004").await;
        assert!(
            reply.status == 200 || reply.says_not_run(),
            "{}",
            reply.text
        );
        reply.status == 200 && other.owns().await
    })
    .await;
    drop(thaw);
    let events = stream.rest().await;
    assert!(is_whole(&events), "{events:?}");
    for number in 0..10 {
        let reply = other.generate(&format!("needle-{:04}", number * 2)).await;
        assert!(
            reply.status == 200 || reply.says_not_run(),
            "{}",
            reply.text
        );
    }
    eventually(
        "the thawed instance serves under the new owner",
        async || owner.generate("needle-0006").await.status == 200,
    )
    .await;
    assert_eq!(pin_violations(&region).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_is_harmless_on_an_engine_that_checks_fencing() {
    freeze_and_thaw(true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_is_harmless_on_an_engine_that_ignores_fencing() {
    freeze_and_thaw(false).await;
}
