//! A drill of the store brings back the record of a holder that was stopped as planned, after another machine took over.
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::case_holder::turns;
use crate::case_stop::{config, request};
use crate::engine::Engine;
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

pub fn run(folder: &str, record: &Record, trouble: bool) -> i32 {
    let store = Store::default();
    let engine = Engine::new("i-engine-1", 16, &["a1"], record);
    store.put("op/config", &config());
    let entry = engine.entry("assist-llm", "zone-b", engine.start());
    store.put("servers/i-engine-1", &entry);
    let address = store.start();
    let mut machines: Vec<Relay> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let (name, ip) = (
                format!("front-{}-1", &zone[5..]),
                format!("127.0.33.{}", number + 1),
            );
            Relay::start(folder, &name, zone, &ip, address, true, "")
        })
        .collect();
    if !machines.iter().all(Relay::until_ready) {
        record.add("a machine is not ready");
        return 2;
    }
    let (stop, count) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let clients: Vec<_> = machines
        .iter()
        .flat_map(|machine| [machine.callers; 2])
        .enumerate()
        .map(|(client, to)| {
            let (stop, count, record) = (Arc::clone(&stop), Arc::clone(&count), record.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    let adapter = format!("a{}", 1 + (number * 6 + client as u64) % 97);
                    let id = format!("c{client}-{number}");
                    let seen = crate::http::call(to, &request(&id, &adapter, "2 10"), 3_000);
                    record.add(format!("{id} for {adapter} at {to}: {}", seen.describe()));
                    if seen.status() == 200 {
                        count.fetch_add(1, Ordering::Relaxed);
                    }
                    number += 1;
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    let until = |seconds: u64, test: &dyn Fn() -> bool| {
        let ends = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < ends {
            if test() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        false
    };
    let holder = || {
        let held = store.values("monsoonspread/holder/");
        held.first()
            .map(|(_, value)| value.clone())
            .unwrap_or_default()
    };
    let last = || {
        engine
            .orders()
            .last()
            .map(|order| order.holder.clone())
            .unwrap_or_default()
    };
    let mut code = if until(10, &|| engine.orders().len() > 3) {
        0
    } else {
        2
    };
    let first = last();
    record.add(format!("the holder is {first}: {}", holder()));
    thread::sleep(Duration::from_millis(1_500));
    let stopped = machines
        .iter()
        .position(|machine| machine.name == first)
        .unwrap_or(0);
    record.add(format!("SIGTERM to {first}, which gave the last order"));
    machines[stopped].signal("-TERM");
    machines[stopped].wait();
    let ended_at = Instant::now();
    record.add(format!("{first} has ended: {}", holder()));
    thread::sleep(Duration::from_millis(500));
    let copy = store.copy();
    record.add("the store is copied");
    thread::sleep(Duration::from_millis(3_000).saturating_sub(ended_at.elapsed()));
    machines[stopped].restart();
    record.add(format!("{first} is started again: {}", holder()));
    if code == 0 && !until(10, &|| last() != first) {
        record.add("no other machine gave orders");
        code = 2;
    }
    record.add(format!("{} gives orders: {}", last(), holder()));
    thread::sleep(Duration::from_millis(6_000).saturating_sub(ended_at.elapsed()));
    if trouble && code == 0 {
        record.add("drill: the store is away");
        store.set_away(true);
        thread::sleep(Duration::from_millis(500));
        store.restore(&copy);
        store.set_away(false);
        record.add(format!(
            "drill: the store is back from its copy: {}",
            holder()
        ));
        store.put("servers/i-engine-1", &entry);
        store.put("op/config", &config());
    }
    thread::sleep(Duration::from_secs(8));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    record.add(format!(
        "{} requests were served",
        count.load(Ordering::Relaxed)
    ));
    let orders = engine.orders();
    record.add(format!("{} orders", orders.len()));
    if code == 0 && turns(&orders, record) > 0 {
        code = 1;
    }
    code
}
