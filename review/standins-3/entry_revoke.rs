//! A machine that starts after a drill of the store goes by a configuration that the drill brought back.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::plain::Plain;
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const ZONES: [&str; 3] = ["ulb-a", "ulb-b", "ulb-c"];
const REVOKE_MS: u128 = 5_000;
const BOUNDS: &str = "revoke_ms = 5000\nrevoke_strict = true\n";

fn config(version: u32, keys: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"book-confirm\",\"host\":\"x.example\",\"path_prefix\":\"/book/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":0,\"service\":\"booking-api\",\
         \"max_attempts\":1}}],\"services\":[{{\"name\":\"booking-api\",\"max_connections\":540,\"health_path\":\"/health\"}}],\
         \"tenants\":[{{\"name\":\"t1\",\"api_keys\":[{keys}],\"priority\":0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}

fn request(id: &str, key: &str) -> Vec<u8> {
    format!(
        "POST /book/{id} HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\napi-key: {key}\r\nx-deadline-ms: 1000\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    )
    .into_bytes()
}

pub fn run(folder: &str, record: &Record, trouble: bool) -> i32 {
    let store = Store::default();
    let address = store.start();
    store.put("op/config", &config(4, "\"kept\",\"removed\""));
    let mut entries = Vec::new();
    let servers: Vec<Plain> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let server = Plain::new(&format!("i-app-{}", number + 1), 6, 24, 30, None, record);
            let entry = server.entry("booking-api", zone, server.start());
            store.put(&format!("servers/{}", server.id), &entry);
            entries.push((format!("servers/{}", server.id), entry));
            server
        })
        .collect();
    let mut machines: Vec<Relay> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let (name, ip) = (
                format!("front-{}-1", &zone[4..]),
                format!("127.0.36.{}", number + 1),
            );
            Relay::start(folder, &name, zone, &ip, address, true, BOUNDS)
        })
        .collect();
    if !machines.iter().all(Relay::until_ready) {
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let users: Vec<_> = machines
        .iter()
        .flat_map(|machine| [(machine.callers, "kept"), (machine.callers, "removed")])
        .enumerate()
        .map(|(user, (to, key))| {
            let (stop, record) = (Arc::clone(&stop), record.clone());
            thread::spawn(move || {
                let mut all = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{key}-{user}-{}", all.len());
                    let sent_ms = record.ms();
                    let seen = crate::http::call(to, &request(&id, key), 1_500);
                    record.add(format!(
                        "{id} to {to}, sent at {sent_ms} ms: {}",
                        seen.describe()
                    ));
                    all.push((id, sent_ms, seen));
                    thread::sleep(Duration::from_millis(50));
                }
                all
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let copy = store.copy();
    record.add("the store is copied");
    thread::sleep(Duration::from_secs(1));
    store.put("op/config", &config(5, "\"kept\""));
    let acknowledged_ms = record.ms();
    record.add("configuration 5 takes the key away");
    thread::sleep(Duration::from_millis(1_500));
    record.add("SIGTERM to front-a-1");
    machines[0].signal("-TERM");
    thread::sleep(Duration::from_millis(2_300));
    if trouble {
        record.add("drill: the store is away");
        store.set_away(true);
        thread::sleep(Duration::from_millis(500));
        store.restore(&copy);
        store.set_away(false);
        record.add("drill: the store is back from its copy");
    }
    machines[0].wait();
    record.add("front-a-1 has ended and is started again");
    machines[0].restart();
    if trouble {
        thread::sleep(Duration::from_millis(2_000));
        for (key, entry) in &entries {
            store.put(key, entry);
        }
        store.put("op/config", &config(5, "\"kept\""));
        record.add("the operator's and the servers' entries are written again");
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::Relaxed);
    let mut late = 0;
    for (id, sent_ms, _) in users
        .into_iter()
        .flat_map(|user| user.join().expect("a user"))
    {
        let ran = servers.iter().any(|server| server.answered().contains(&id));
        if ran && id.starts_with("removed") && sent_ms > acknowledged_ms + REVOKE_MS {
            late += 1;
            record.add(format!(
                "CONFIG: {id} was sent {} ms after the acknowledgement and ran",
                sent_ms - acknowledged_ms
            ));
        }
    }
    record.add(format!("CONFIG: {late} requests with the removed key were sent more than {REVOKE_MS} ms later and ran"));
    i32::from(late > 0)
}
