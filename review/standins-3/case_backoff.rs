//! Whole answers of a server that has turned another request away for a while.
use std::net::TcpStream;
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
/// Users of each machine.
const USERS: usize = 48;
const ZONES: [&str; 3] = ["ulb-a", "ulb-b", "ulb-c"];
/// More lost answers than this break the rule.
const ALLOWED: usize = 3;

fn config() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"book-confirm\",\"host\":\"x.example\",\"path_prefix\":\"/book/\",\"kind\":\"unsafe\",\
     \"timeout_ms\":1000,\"target_latency_ms\":150,\"priority\":0,\"service\":\"booking-api\",\"max_attempts\":1}],\
     \"services\":[{\"name\":\"booking-api\",\"max_connections\":540,\"health_path\":\"/health\"}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
        .to_owned()
}

fn request(id: &str) -> Vec<u8> {
    format!(
        "POST /book/{id} HTTP/1.1\r\nhost: x.example\r\nx-request-id: {id}\r\nx-deadline-ms: 1000\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    )
    .into_bytes()
}

pub fn run(folder: &str, record: &Record, trouble: bool) -> i32 {
    let store = Store::default();
    let address = store.start();
    let retry_after = trouble.then_some("2");
    store.put("op/config", &config());
    let servers: Vec<Plain> = (1..=3)
        .map(|number| {
            Plain::new(
                &format!("i-app-{number}"),
                SLOTS,
                QUEUE,
                WORK_MS,
                retry_after,
                record,
            )
        })
        .collect();
    for (server, zone) in servers.iter().zip(ZONES) {
        store.put(
            &format!("servers/{}", server.id),
            &server.entry("booking-api", zone, server.start()),
        );
    }
    let machines: Vec<Relay> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let (name, ip) = (
                format!("front-{}-1", &zone[4..]),
                format!("127.0.34.{}", number + 1),
            );
            Relay::start(folder, &name, zone, &ip, address, true, "")
        })
        .collect();
    if !machines.iter().all(Relay::until_ready) {
        record.add("a machine is not ready");
        return 2;
    }
    thread::sleep(Duration::from_millis(1_500));
    let Some(kept) = keep(&machines, record, "first") else {
        return 2;
    };
    record.add("in calm: all users send, each on a kept connection");
    let lost_any_time: usize = round(kept, &servers, record, "calm").iter().sum();
    record.add(format!(
        "LOST, at any time: {lost_any_time} (more than {ALLOWED} break the rule)"
    ));
    // The time that the servers named is over.
    thread::sleep(Duration::from_millis(4_000));
    let Some(kept) = keep(&machines, record, "second") else {
        return 2;
    };
    record.add(format!(
        "SIGTERM to {}; 200 ms later all users send again",
        machines[0].name
    ));
    machines[0].signal("-TERM");
    thread::sleep(Duration::from_millis(200));
    let lost_in_stop = round(kept, &servers, record, "stop")[0];
    record.add(format!(
        "LOST, around planned work: {lost_in_stop} at {}",
        machines[0].name
    ));
    let rejected: usize = servers.iter().map(|server| server.rejected().len()).sum();
    let answered: usize = servers.iter().map(|server| server.answered().len()).sum();
    record.add(format!(
        "{rejected} attempts were turned away, {answered} answered in full"
    ));
    i32::from(lost_any_time > ALLOWED || lost_in_stop > 0)
}

/// Opens a connection for each user of each machine, on which a first request is served.
fn keep(machines: &[Relay], record: &Record, name: &str) -> Option<Vec<Conn>> {
    (0..USERS * machines.len())
        .map(|number| {
            let mut conn = Conn::new(TcpStream::connect(machines[number / USERS].callers).ok()?);
            let id = format!("{name}-{number}");
            conn.send(&request(&id)).ok()?;
            let seen = receive(&mut conn, Instant::now() + Duration::from_secs(4));
            if !matches!(&seen, Seen::Answer(answer) if answer.is_whole && answer.status() == 200) {
                record.add(format!("{id}: {}", seen.describe()));
                return None;
            }
            Some(conn)
        })
        .collect()
}

/// The users of the first machine send at once, those of the others 5 ms later, and a third of the first
/// machine's 12 ms later. Returns how many whole answers did not arrive as such, for each machine.
fn round(kept: Vec<Conn>, servers: &[Plain], record: &Record, name: &str) -> [usize; 3] {
    let start = Instant::now() + Duration::from_millis(50);
    let users: Vec<_> = kept
        .into_iter()
        .enumerate()
        .map(|(number, mut conn)| {
            let (record, id) = (record.clone(), format!("{name}-{number}"));
            let later_ms = match (number / USERS, number % USERS) {
                (0, user) if user < 2 * USERS / 3 => 0,
                (0, _) => 12,
                _ => 5,
            };
            thread::spawn(move || {
                let at = start + Duration::from_millis(later_ms);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let sent = conn.send(&request(&id)).is_ok();
                let seen = receive(&mut conn, Instant::now() + Duration::from_millis(2_500));
                record.add(format!("{id}: sent: {sent}, {}", seen.describe()));
                (id, seen)
            })
        })
        .collect();
    let seen: Vec<(String, Seen)> = users
        .into_iter()
        .map(|user| user.join().expect("a user"))
        .collect();
    thread::sleep(Duration::from_millis(500));
    let mut lost = [0; 3];
    for (number, (id, seen)) in seen.iter().enumerate() {
        let ran = servers.iter().find(|server| server.answered().contains(id));
        let Some(server) = ran else { continue };
        let is_delivered = matches!(seen, Seen::Answer(answer)
            if answer.is_whole && answer.text() == server.body(id));
        if !is_delivered {
            lost[number / USERS] += 1;
            record.add(format!(
                "LOST: {id} ran at {}, which sent its whole answer; the client got: {}",
                server.id,
                seen.describe()
            ));
        }
    }
    lost
}
