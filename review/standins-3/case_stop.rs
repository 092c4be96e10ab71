//! Requests that wait for a busy model server while their machine is stopped as planned.
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Engine;
use crate::http::{receive, Conn, Seen};
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const SLOTS: usize = 16;

pub fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"reminder-draft\",\"host\":\"x.example\",\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\
     \"timeout_ms\":12000,\"target_latency_ms\":2000,\"gap_target_ms\":300,\"priority\":0,\"service\":\"assist-llm\",\
     \"max_attempts\":1,\"sticky\":true}],\
     \"services\":[{\"name\":\"assist-llm\",\"max_connections\":640,\"health_path\":\"/health\",\
     \"engine\":{\"slots\":16,\"kv_capacity\":149252,\"adapter_slots\":11,\"size_mb\":67000,\
     \"models\":[{\"name\":\"m0\",\"size_mb\":65100,\"load_time_s\":2.5,\"adapters\":100,\"adapter_size_mb\":14}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .to_owned()
}

pub fn request(id: &str, adapter: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /draft/x HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\nx-model: m0/{adapter}\r\nx-token-count: 60,40\r\n\
         x-prompt-prefix: a1:20,{:x}:40\r\nx-deadline-ms: 12000\r\ncontent-length: {}\r\n\r\n{body}",
        id.bytes().fold(7_u64, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into())), body.len()
    )
    .into_bytes()
}

pub fn run(folder: &str, record: &Record, trouble: bool) -> i32 {
    let store = Store::default();
    let address = store.start();
    let engine = Engine::new("i-engine-1", SLOTS, &["a1", "a2"], record);
    store.put("op/config", &config());
    store.put(
        "servers/i-engine-1",
        &engine.entry("assist-llm", "zone-a", engine.start()),
    );
    let mut stopped = Relay::start(
        folder,
        "front-a-1",
        "zone-a",
        "127.0.31.1",
        address,
        true,
        "",
    );
    let other = Relay::start(
        folder,
        "front-a-2",
        "zone-a",
        "127.0.31.2",
        address,
        true,
        "",
    );
    if !stopped.until_ready() || !other.until_ready() {
        record.add("a machine is not ready");
        return 2;
    }
    // Until an instance gives the orders and requests are served.
    let served = (0..60).any(|number| {
        thread::sleep(Duration::from_millis(200));
        other
            .call(&request(&format!("warm-{number}"), "a1", "2 10"), 3_000)
            .status()
            == 200
    });
    if !served {
        record.add("no request is served");
        return 2;
    }
    thread::sleep(Duration::from_millis(1_500));
    // A kept connection of each client of the machine that is stopped.
    let mut kept: Vec<Conn> = Vec::new();
    for number in 0..4 {
        let Ok(stream) = TcpStream::connect(stopped.callers) else {
            return 2;
        };
        let mut conn = Conn::new(stream);
        if conn
            .send(&request(&format!("kept-{number}"), "a1", "2 10"))
            .is_err()
        {
            return 2;
        }
        if receive(&mut conn, Instant::now() + Duration::from_secs(3)).status() != 200 {
            return 2;
        }
        kept.push(conn);
    }
    // Streams of other clients take all places of the model server.
    let long: Vec<_> = (0..SLOTS)
        .map(|number| {
            let (to, record) = (other.callers, record.clone());
            thread::spawn(move || {
                let id = format!("long-{number}");
                record.add(format!("a client sends {id} to front-a-2"));
                let seen = crate::http::call(to, &request(&id, "a1", "33 290"), 12_000);
                record.add(format!("{id}: {}", seen.describe()));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    let stopped_at = Instant::now();
    if trouble {
        record.add("SIGTERM to front-a-1");
        stopped.signal("-TERM");
    }
    let waiting: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(number, mut conn)| {
            let record = record.clone();
            let at = stopped_at + Duration::from_millis(2_380 + 30 * number as u64);
            thread::spawn(move || {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let id = format!("waiting-{number}");
                record.add(format!(
                    "a client sends {id} to front-a-1 on its kept connection"
                ));
                let sent = conn.send(&request(&id, "a1", "2 10")).is_ok();
                let seen = receive(&mut conn, Instant::now() + Duration::from_secs(12));
                record.add(format!("{id}: sent: {sent}, {}", seen.describe()));
                (id, seen)
            })
        })
        .collect();
    let seen: Vec<(String, Seen)> = waiting
        .into_iter()
        .map(|w| w.join().expect("a client"))
        .collect();
    if trouble {
        stopped.wait();
        record.add(format!("front-a-1 has ended: {:?}", stopped.has_ended()));
    }
    for client in long {
        let _ = client.join();
    }
    let ran = engine.ran();
    let mut lost = 0;
    for (id, seen) in &seen {
        let is_lost = matches!(seen, Seen::Nothing(_)) && !ran.contains(id);
        if is_lost {
            lost += 1;
            record.add(format!("LOST: {id} was read, no server ever ran it, and its connection ended without an answer"));
        }
    }
    record.add(format!(
        "{lost} of {} waiting requests were lost",
        seen.len()
    ));
    i32::from(lost > 0)
}
