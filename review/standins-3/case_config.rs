//! A configuration moves a route to another service, and no longer lists the one before.
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{receive, Conn, Seen};
use crate::plain::Plain;
use crate::record::Record;
use crate::relay::Relay;
use crate::store::Store;

const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: u64 = 30;
/// Users of each machine; each sends its next request when the last one is answered.
const USERS: usize = 16;
const ZONES: [&str; 3] = ["ulb-a", "ulb-b", "ulb-c"];
/// `config_apply_ms` and a second: how long a configuration counts as planned work.
const PLANNED_MS: u128 = 4_000;

fn config(version: u32, service: &str, services: &[&str]) -> String {
    let listed = services.iter().map(|name| {
        format!("{{\"name\":\"{name}\",\"max_connections\":540,\"health_path\":\"/health\"}}")
    });
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"book-confirm\",\"host\":\"x.example\",\"path_prefix\":\"/book/\",\
         \"kind\":\"unsafe\",\"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":0,\"service\":\"{service}\",\
         \"max_attempts\":1}}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        listed.collect::<Vec<_>>().join(",")
    )
}

fn request(id: &str) -> Vec<u8> {
    format!(
        "POST /book/{id} HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\nx-deadline-ms: 1000\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    )
    .into_bytes()
}

/// A request: when it was sent and when its end was seen, in milliseconds, and what the user saw.
struct Sent {
    id: String,
    machine: usize,
    ended_ms: u128,
    seen: Seen,
}

pub fn run(folder: &str, record: &Record, trouble: bool) -> i32 {
    let store = Store::default();
    let address = store.start();
    store.put(
        "op/config",
        &config(1, "booking-api", &["booking-api", "booking-api-b"]),
    );
    let mut servers = Vec::new();
    for (service, name) in [("booking-api", "i-app"), ("booking-api-b", "i-next")] {
        for (number, zone) in ZONES.iter().enumerate() {
            let id = format!("{name}-{}", number + 1);
            let server = Plain::new(&id, SLOTS, QUEUE, WORK_MS, None, record);
            store.put(
                &format!("servers/{id}"),
                &server.entry(service, zone, server.start()),
            );
            servers.push(server);
        }
    }
    let machines: Vec<Relay> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let (name, ip) = (
                format!("front-{}-1", &zone[4..]),
                format!("127.0.35.{}", number + 1),
            );
            Relay::start(folder, &name, zone, &ip, address, true, "")
        })
        .collect();
    if !machines.iter().all(Relay::until_ready) {
        record.add("a machine is not ready");
        return 2;
    }
    thread::sleep(Duration::from_millis(1_500));
    let stop = Arc::new(AtomicBool::new(false));
    let users: Vec<_> = (0..USERS * machines.len())
        .map(|user| {
            let (stop, record, machine) = (Arc::clone(&stop), record.clone(), user / USERS);
            let to = machines[machine].callers;
            thread::spawn(move || {
                let (mut kept, mut all) = (None, Vec::new());
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("u{user}-{}", all.len());
                    let opened = kept
                        .take()
                        .or_else(|| Some(Conn::new(TcpStream::connect(to).ok()?)));
                    let Some(mut conn) = opened else { return all };
                    let seen = match conn.send(&request(&id)) {
                        Ok(()) => receive(&mut conn, Instant::now() + Duration::from_millis(2_500)),
                        Err(error) => Seen::Nothing(error.to_string()),
                    };
                    record.add(format!("{id}: {}", seen.describe()));
                    if matches!(&seen, Seen::Answer(answer) if answer.is_whole) {
                        kept = Some(conn);
                    }
                    all.push(Sent {
                        id,
                        machine,
                        ended_ms: record.ms(),
                        seen,
                    });
                    thread::sleep(Duration::from_millis(20));
                }
                all
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));
    let changed_ms = record.ms();
    if trouble {
        record.add(
            "configuration 2: the route goes to booking-api-b, the only service that is listed",
        );
        store.put("op/config", &config(2, "booking-api-b", &["booking-api-b"]));
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    let sent: Vec<Sent> = users
        .into_iter()
        .flat_map(|user| user.join().expect("a user"))
        .collect();
    let mut code = 0;
    for (number, machine) in machines.iter().enumerate() {
        let (mut beside, mut else_lost, mut count) = (0, 0, 0);
        for request in sent.iter().filter(|request| request.machine == number) {
            count += 1;
            let Some(server) = servers
                .iter()
                .find(|server| server.answered().contains(&request.id))
            else {
                continue;
            };
            let is_whole = matches!(&request.seen, Seen::Answer(answer) if answer.is_whole && answer.text() == server.body(&request.id));
            if is_whole {
                continue;
            }
            record.add(format!(
                "LOST: {} ran at {}, which sent its whole answer; the client got: {}",
                request.id,
                server.id,
                request.seen.describe()
            ));
            let is_beside = (changed_ms..=changed_ms + PLANNED_MS).contains(&request.ended_ms);
            *(if is_beside {
                &mut beside
            } else {
                &mut else_lost
            }) += 1;
        }
        record.add(format!(
            "{}: {count} requests; LOST beside the configuration: {beside}, at other times: {else_lost}", machine.name
        ));
        // The time beside the configuration is less than half of the whole.
        if trouble && beside > 3 * else_lost {
            code = 1;
        }
    }
    code
}
