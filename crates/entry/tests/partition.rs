//! Tests of network partitions between zones.

mod support;

#[path = "support/proxy.rs"]
mod proxy;

use monsoonspread_demo::region::zone_name;
use monsoonspread_demo::{Region, RegionShape};
use monsoonspread_entry::{Entry, Platform};
use monsoonspread_model::{Bundle, BundleVersion};
use monsoonspread_standin::Fault;
use proxy::Proxy;
use support::*;

/// Starts one instance in each of two zones, which connect to each other through proxies.
async fn proxied_region() -> (Region, Vec<Proxy>) {
    let mut region = region_without_entries(RegionShape {
        zones: 2,
        entries_per_zone: 0,
        ..shape(0, 1)
    })
    .await;
    let mut proxies = Vec::new();
    for zone in [1, 2] {
        let (name, zone) = (format!("entry-{zone}-1"), zone_name(zone));
        let settings = region.settings(&name, &zone);
        let platform = Platform::connect(&settings);
        let entry = Entry::start(settings, platform).await.unwrap();
        let proxy_to_instance = Proxy::to(entry.mesh_address()).await;
        region.list_entry(&name, &zone, proxy_to_instance.address);
        region.entries.insert(name, entry);
        proxies.push(proxy_to_instance);
    }
    region.wait_for_bundle(BundleVersion(1)).await;
    region.wait_for_owners().await.unwrap();
    (region, proxies)
}

async fn assert_adapters_served_by(region: &Region, entry: &str) {
    for number in 0..8 {
        let adapter = format!("needle-{:04}", 2 * number);
        eventually("the adapter is served", async || {
            let reply = generate(region, entry, &adapter).await;
            assert!(
                reply.status == 200 || reply.says_not_run(),
                "{}",
                reply.text
            );
            reply.status == 200
        })
        .await;
    }
}

/// Returns the upstreams that served eight adapters, sorted and without duplicates.
async fn upstreams_used(region: &Region, entry: &str) -> Vec<String> {
    let mut used = Vec::new();
    for number in 0..8 {
        let reply = generate(region, entry, &format!("needle-{:04}", 2 * number)).await;
        used.push(reply.header("x-monsoonspread-upstream").to_owned());
    }
    used.sort();
    used.dedup();
    used
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_zones_serve_alone_and_reconnect() {
    let (region, proxies) = proxied_region().await;
    assert_adapters_served_by(&region, "entry-1-1").await;
    let mut streams = Vec::new();
    for number in 0..4 {
        let body = chat(&format!("needle-{:04}", 2 * number), 150, true);
        let mut stream = Stream::open(&region, "entry-1-1", &body).await;
        stream.first().await;
        streams.push(stream);
    }
    proxies.iter().for_each(Proxy::cut);
    for stream in streams {
        let events = stream.rest().await;
        assert!(is_whole(&events), "{events:?}");
    }
    assert_adapters_served_by(&region, "entry-1-1").await;
    assert_adapters_served_by(&region, "entry-2-1").await;
    proxies.iter().for_each(Proxy::heal);
    eventually("both zones' engines are used again", async || {
        upstreams_used(&region, "entry-1-1").await.len() == 2
    })
    .await;
    assert_eq!(pin_violations(&region).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn isolated_zone_serves_and_catches_up() {
    let (region, proxies) = proxied_region().await;
    assert_adapters_served_by(&region, "entry-2-1").await;
    proxies.iter().for_each(Proxy::cut);
    region.store.apply(Fault::Cut {
        peers: vec!["entry-2-1".to_owned()],
    });
    let second = Bundle::sample(BundleVersion(2), 42);
    monsoonspread_demo::roll_out::roll_out(&region.store_client(), &region.key, &second)
        .await
        .unwrap();
    assert_adapters_served_by(&region, "entry-2-1").await;
    let keyed = commit(&region, "entry-2-1", Some("k-cut")).await;
    assert!(keyed.says_not_run(), "{}", keyed.text);
    let outdated = region.entries["entry-2-1"].bundle();
    assert_eq!(outdated.borrow().bundle().version, BundleVersion(1));
    // The store stays unreachable, so the bundle must come from the peers.
    proxies.iter().for_each(Proxy::heal);
    region.wait_for_bundle(BundleVersion(2)).await;
    let reply = generate(&region, "entry-2-1", "needle-0040").await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    assert_eq!(pin_violations(&region).await, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_starts_and_stops_in_an_isolated_zone() {
    let (mut region, proxies) = proxied_region().await;
    proxies.iter().for_each(Proxy::cut);
    let zone = zone_name(2);
    region.start_entry("entry-2-2", &zone).await.unwrap();
    region.wait_for_bundle(BundleVersion(1)).await;
    assert_adapters_served_by(&region, "entry-2-2").await;
    let mut stream = Stream::open(&region, "entry-2-1", &chat("needle-0002", 60, true)).await;
    stream.first().await;
    let stopping = region.entries.remove("entry-2-1").unwrap();
    let (events, ()) = tokio::join!(stream.rest(), stopping.drain());
    assert!(is_whole(&events), "{events:?}");
    assert_adapters_served_by(&region, "entry-2-2").await;
    assert_eq!(pin_violations(&region).await, 0);
}
