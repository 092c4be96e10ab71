//! A holder that still waits for its predecessor is stopped as planned and started again, after a drill of the store.
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::case_stop::{config, request};
use crate::engine::{Engine, Order};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

/// `lease_ms` of the site.
const LEASE_MS: u128 = 3_000;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

pub fn run(folder: &str, record: &Record, trouble: bool) -> i32 {
    let store = Store::default();
    let engine = Engine::new("i-engine-1", 16, &["a1"], record);
    store.put("op/config", &config());
    let entry = engine.entry("assist-llm", "zone-b", engine.start());
    store.put("servers/i-engine-1", &entry);
    // The copy of the drill: some seconds old when the store comes back from it.
    let copy = store.copy();
    let rejects: Vec<Arc<AtomicBool>> = ZONES.iter().map(|_| Arc::default()).collect();
    let mut machines: Vec<Relay> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let (name, ip) = (
                format!("front-{}-1", &zone[5..]),
                format!("127.0.32.{}", number + 1),
            );
            Relay::start(
                folder,
                &name,
                zone,
                &ip,
                store.start_for(&rejects[number]),
                true,
                "",
            )
        })
        .collect();
    if !machines.iter().all(Relay::until_ready) {
        record.add("a machine is not ready");
        return 2;
    }
    // Clients of each machine ask for rare adapters.
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
    let until = |what: &str, seconds: u64, mut test: Box<dyn FnMut() -> bool + '_>| {
        let ends = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < ends {
            if test() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        record.add(format!("not seen: {what}"));
        false
    };
    let holder = || {
        let held = store.values("monsoonspread/holder/");
        held.first()
            .map(|(_, value)| value.clone())
            .unwrap_or_default()
    };
    let mut code = 0;
    if !until(
        "orders of the first holder",
        10,
        Box::new(|| engine.orders().len() > 3),
    ) {
        code = 2;
    }
    let first = engine
        .orders()
        .first()
        .map(|order| order.holder.clone())
        .unwrap_or_default();
    record.add(format!("the holder is {first}: {}", holder()));
    thread::sleep(Duration::from_millis(1_500));
    if trouble && code == 0 {
        let former = machines
            .iter()
            .position(|machine| machine.name == first)
            .unwrap_or(0);
        record.add(format!(
            "the store turns {first} away with 503 from now on, for 9 s"
        ));
        rejects[former].store(true, Ordering::Relaxed);
        let rejected_at = Instant::now();
        record.add("drill: the store is away");
        store.set_away(true);
        thread::sleep(Duration::from_millis(500));
        store.restore(&copy);
        store.set_away(false);
        record.add("drill: the store is back from its copy");
        // What the operator and the servers wrote is written again.
        store.put("servers/i-engine-1", &entry);
        store.put("op/config", &config());
        let claimed = until(
            "a claim by another machine",
            8,
            Box::new(|| !holder().is_empty()),
        );
        record.add(format!("a machine claims the server: {}", holder()));
        let next = machines
            .iter()
            .position(|machine| holder().contains(&format!("\"{}\"", machine.name)));
        match next.filter(|next| claimed && *next != former) {
            None => code = 2,
            Some(next) => {
                thread::sleep(Duration::from_millis(300));
                record.add(format!(
                    "SIGTERM to {}, which wrote to the store under a condition last",
                    machines[next].name
                ));
                machines[next].signal("-TERM");
                machines[next].wait();
                record.add(format!("{} has ended: {}", machines[next].name, holder()));
                thread::sleep(Duration::from_millis(200));
                machines[next].restart();
                record.add(format!("{} is started again", machines[next].name));
            }
        }
        thread::sleep(Duration::from_secs(9).saturating_sub(rejected_at.elapsed()));
        rejects[former].store(false, Ordering::Relaxed);
        record.add(format!("the store serves {first} again"));
    } else {
        thread::sleep(Duration::from_secs(9));
    }
    thread::sleep(Duration::from_secs(5));
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

/// Counts the orders that another holder gave less than `lease_ms` after the one before.
pub fn turns(orders: &[Order], record: &Record) -> usize {
    let mut broken = 0;
    for pair in orders.windows(2) {
        let gap_ms = pair[1].ms - pair[0].ms;
        if pair[0].holder != pair[1].holder {
            record.add(format!(
                "turn: {} (token {}) at {} ms, {} (token {}) at {} ms: {gap_ms} ms apart",
                pair[0].holder,
                pair[0].fence,
                pair[0].ms,
                pair[1].holder,
                pair[1].fence,
                pair[1].ms
            ));
            broken += usize::from(gap_ms < LEASE_MS);
        }
    }
    record.add(format!(
        "ONE: {broken} turns of two machines within {LEASE_MS} ms"
    ));
    broken
}
