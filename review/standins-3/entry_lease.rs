//! After a drill the store gives out ids of leases again, and a machine renews the lease of another.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::case_stop::{config, request};
use crate::engine::Engine;
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Exits with 1 if nothing is served from 20 s after a machine was lost. Without trouble, the drill gives out
/// no id again.
pub fn run(folder: &str, record: &Record, trouble: bool) -> i32 {
    let store = Store::default();
    let engine = Engine::new("i-engine-1", 16, &["a1"], record);
    store.put("op/config", &config());
    let entry = engine.entry("assist-llm", "zone-a", engine.start());
    store.put("servers/i-engine-1", &entry);
    let copy = store.copy();
    let address = store.start();
    let mut machines: Vec<Relay> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let name = format!("front-{}-1", &zone[5..]);
            Relay::start(
                folder,
                &name,
                zone,
                &format!("127.0.37.{}", number + 1),
                address,
                true,
                "",
            )
        })
        .collect();
    if !machines.iter().all(Relay::until_ready) {
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = machines[1..]
        .iter()
        .map(|machine| machine.callers)
        .enumerate()
        .map(|(client, to)| {
            let stop = Arc::clone(&stop);
            let record = record.clone();
            thread::spawn(move || {
                let mut all = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let number = all.len();
                    let adapter = format!("a{}", 1 + (number * 2 + client) % 97);
                    let sent_ms = record.ms();
                    let sent = request(&format!("c{client}-{number}"), &adapter, "2 10");
                    all.push((sent_ms, crate::http::call(to, &sent, 3_000).status()));
                    thread::sleep(Duration::from_millis(60));
                }
                all
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    record.add("drill: the store is away");
    store.set_away(true);
    thread::sleep(Duration::from_millis(500));
    store.restore(&copy);
    if trouble {
        store.give_ids_again(&copy);
    }
    store.set_away(false);
    record.add("drill: the store is back from its copy");
    store.put("servers/i-engine-1", &entry);
    store.put("op/config", &config());
    thread::sleep(Duration::from_secs(15));
    let known = || {
        store
            .values("monsoonspread/holder/")
            .first()
            .map(|(_, value)| value.clone())
    };
    let holder = known().unwrap_or_default();
    let lost = machines
        .iter()
        .position(|machine| holder.contains(&format!("\"{}\"", machine.name)));
    let Some(lost) = lost else { return 2 };
    record.add(format!(
        "{} is lost for good: {holder}",
        machines[lost].name
    ));
    machines[lost].kill();
    let killed_ms = record.ms();
    thread::sleep(Duration::from_secs(40));
    record.add(format!(
        "the record of the holder, 40 s later: {:?}",
        known()
    ));
    stop.store(true, Ordering::Relaxed);
    let sent: Vec<(u128, u16)> = clients
        .into_iter()
        .flat_map(|client| client.join().expect("a client"))
        .collect();
    let served = |from_ms: u128, to_ms: u128| {
        let sent = sent.iter().filter(|(at, _)| (from_ms..to_ms).contains(at));
        let all: Vec<bool> = sent.map(|(_, status)| *status == 200).collect();
        (all.iter().filter(|served| **served).count(), all.len())
    };
    let after = served(killed_ms + 20_000, killed_ms + 40_000);
    record.add(format!(
        "served of those sent in the 3 s before: {:?}",
        served(killed_ms - 3_000, killed_ms)
    ));
    record.add(format!(
        "served of those sent from 20 to 40 s after: {after:?}"
    ));
    i32::from(after.0 == 0)
}
