//! Two instances give orders to one engine after an outage of the store in which leases and entries expired.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::{HOST, Outcome, config};
use crate::engine::{Engine, MODEL, Order};
use crate::http::send;
use crate::program::{Program, wait_ready};
use crate::record::{log, note};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const ENGINES: usize = 18;
const ADAPTERS: u64 = 180;
/// Instances in each zone, as on the smallest sheet.
const INSTANCES: [usize; 3] = [3, 2, 2];
/// Clients of each instance.
const CLIENTS: usize = 5;
/// The bounds of the platform.
const LEASE_MS: u64 = 3_000;
const OUTAGE_MS: u64 = 8_000;
/// When the outage begins, after the last renewal of a lease.
const SINCE_RENEWAL: std::ops::Range<Duration> = Duration::from_millis(300)..Duration::from_millis(600);
/// When machines are added, from the beginning of the outage.
const ADDED_MS: u64 = 4_700;

pub fn run(trouble: &str) -> Outcome {
    let has_outage = ["1", "outage"].contains(&trouble);
    let adds_machines = ["1", "added"].contains(&trouble);
    let store = Store::start("127.81.0.1");
    store.put("op/config", &config(1, ""));
    let engines: Vec<Arc<Engine>> = (0..ENGINES)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            // One server of each zone started with two others.
            let phase_ms = (number / ZONES.len()) as u64 * 190;
            Engine::start(&format!("i-engine-{number:02}"), "engines", zone, "127.81.0.2", &store, phase_ms)
        })
        .collect();
    let mut programs = Vec::new();
    for (zone, instances) in ZONES.iter().zip(INSTANCES) {
        for number in 1..=instances {
            let ip = format!("127.81.1.{}", programs.len() + 1);
            programs.push(Program::start(&format!("front-{zone}-{number}"), zone, &ip, store.address()));
        }
    }
    wait_ready(&programs.iter().collect::<Vec<_>>(), Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(3));

    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut clients = Vec::new();
    let mut start_clients = |number: usize, callers: std::net::SocketAddr, stop: &Arc<AtomicBool>, served: &Arc<AtomicU64>| {
        for client in 0..CLIENTS {
            let (stop, served) = (Arc::clone(stop), Arc::clone(served));
            let mut draw = (number * 100 + client) as u64 + 1;
            clients.push(std::thread::spawn(move || {
                let mut count = 0u64;
                while !stop.load(Ordering::SeqCst) {
                    draw = draw.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                    count += 1;
                    let id = format!("r-{number}-{client}-{count}");
                    let model = format!("{MODEL}/a{}", (draw >> 33) % ADAPTERS);
                    let headers = [
                        ("Host", HOST),
                        ("X-Request-Id", id.as_str()),
                        ("X-Model", model.as_str()),
                        ("X-Token-Count", "200,20"),
                        ("X-Deadline-Ms", "3000"),
                    ];
                    let answer = send(callers, "POST", "/chat/x", &headers, b"{}", Duration::from_secs(3));
                    match answer {
                        Some(answer) if answer.status == 200 => {
                            served.fetch_add(1, Ordering::SeqCst);
                        }
                        Some(_) => std::thread::sleep(Duration::from_millis(60)),
                        None => std::thread::sleep(Duration::from_millis(100)),
                    }
                }
            }));
        }
    };
    for (number, program) in programs.iter().enumerate() {
        start_clients(number, program.callers, &stop, &served);
    }
    std::thread::sleep(Duration::from_secs(6));
    let before = served.load(Ordering::SeqCst);
    note(&format!("{before} requests served in calm"));
    if before == 0 {
        return Err("nothing was served in calm".to_owned());
    }

    // All instances renew their leases together here, every two seconds; on a fleet, some do so at any moment.
    while !store.since_renewal().is_some_and(|since| SINCE_RENEWAL.contains(&since)) {
        std::thread::sleep(Duration::from_millis(5));
    }
    if has_outage {
        store.go_down();
    }
    let began = Instant::now();
    let after = |ms: u64| std::thread::sleep((began + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
    let mut added = Vec::new();
    if adds_machines {
        after(ADDED_MS);
        for (zone, instances) in ZONES.iter().zip(INSTANCES) {
            let ip = format!("127.81.1.{}", programs.len() + added.len() + 1);
            let name = format!("front-{zone}-{}", instances + 1);
            added.push(Program::start_later(&name, zone, &ip, store.address()));
        }
        note("three machines are added");
    }
    after(OUTAGE_MS);
    if has_outage {
        store.come_back();
    }
    for (number, program) in added.iter().enumerate() {
        start_clients(100 + number, program.callers, &stop, &served);
    }
    std::thread::sleep(Duration::from_secs(18));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    note(&format!("{} requests served in all", served.load(Ordering::SeqCst)));
    let mut broken = Vec::new();
    for engine in &engines {
        if engine.has_crashed() {
            broken.push(format!("{} was ordered to hold more adapters than it has places for", engine.id));
        }
        log(&format!("{}: {} orders, {} requests", engine.id, engine.orders().len(), engine.ran()));
        broken.extend(judge(&engine.id, &engine.orders()));
    }
    Ok(broken)
}

/// The rule ONE on the orders to one engine.
fn judge(engine: &str, orders: &[Order]) -> Vec<String> {
    let mut broken = Vec::new();
    let mut highest: Option<&Order> = None;
    for order in orders {
        if let Some(highest) = highest
            && order.token < highest.token
        {
            broken.push(format!(
                "{engine}: {} orders with token {} {} ms after {} did with {}",
                order.holder,
                order.token,
                (order.at - highest.at).as_millis(),
                highest.holder,
                highest.token
            ));
        }
        if highest.is_none_or(|highest| order.token >= highest.token) {
            highest = Some(order);
        }
    }
    let lease = Duration::from_millis(LEASE_MS);
    for (index, pair) in orders.windows(2).enumerate() {
        if pair[0].holder == pair[1].holder {
            continue;
        }
        let gap = pair[1].at - pair[0].at;
        if pair[0].token == pair[1].token {
            broken.push(format!("{engine}: two holders with token {}", pair[0].token));
        }
        if gap >= lease {
            continue;
        }
        let (former, next) = (&pair[0].holder, &pair[1].holder);
        broken.push(format!("{engine}: {next} orders {} ms after {former}", gap.as_millis()));
        let mut later = orders[index + 2..].iter().take_while(|order| order.at - pair[0].at < lease);
        if let Some(back) = later.find(|order| order.holder == *former) {
            let ms = (back.at - pair[0].at).as_millis();
            broken.push(format!("{engine}: {former}, {next} and again {former} order within {ms} ms"));
        }
    }
    broken
}
