//! A waiting watch is cut in the moment in which a server's entry is removed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use super::{HOST, Outcome, config};
use crate::http::send;
use crate::plain::{Habit, Plain};
use crate::program::{Program, wait_ready};
use crate::record::{log, note};
use crate::store::Store;

/// The platform's `drain_ms`.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long the server serves after its entry was removed: `drain_ms` and a little longer. Then it exits.
const SERVES: Duration = Duration::from_millis(2_030);
/// Work of a request.
const WORK: Duration = Duration::from_millis(15);
/// Requests of the second machine, which follows the changes that the first one reads.
const FOLLOWER: &str = "p1-";

pub fn run(trouble: bool) -> Outcome {
    let store = Store::start("127.86.0.1");
    store.put("op/config", &config(1, ""));
    let servers: Vec<Arc<Plain>> = (0..4)
        .map(|number| {
            let habit: Habit = Arc::new(|_, _, _| {
                std::thread::sleep(WORK);
                None
            });
            Plain::start(&format!("i-record-{number}"), "records", "zone-a", "127.86.0.2", &store, Some(habit))
        })
        .collect();
    let programs: Vec<Program> = (1..=2)
        .map(|number| Program::start(&format!("front-zone-a-{number}"), "zone-a", &format!("127.86.1.{number}"), store.address()))
        .collect();
    wait_ready(&programs.iter().collect::<Vec<_>>(), Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for (number, program) in programs.iter().enumerate() {
        for client in 0..4 {
            let (stop, lost, callers) = (Arc::clone(&stop), Arc::clone(&lost), program.callers);
            clients.push(std::thread::spawn(move || {
                let mut count = 0;
                while !stop.load(Ordering::SeqCst) {
                    count += 1;
                    let id = format!("p{number}-{client}-{count}");
                    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
                    let answer = send(callers, "POST", "/commit/x", &headers, b"{}", Duration::from_secs(2));
                    let status = answer.map_or(0, |answer| answer.status);
                    if status != 200 {
                        log(&format!("{id}: answered {status}"));
                        lost.fetch_add(1, Ordering::SeqCst);
                    }
                    std::thread::sleep(Duration::from_millis(4));
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_secs(2));
    let mut broken = Vec::new();
    for server in servers.iter().take(3) {
        while store.waiting_watches() == 0 {
            std::thread::sleep(Duration::from_millis(1));
        }
        std::thread::sleep(Duration::from_millis(20));
        let key = format!("servers/{}", server.id);
        let removed_at = Instant::now();
        match trouble {
            true => store.cut_watches_and_remove(&key),
            false => {
                store.remove(&key);
            }
        }
        log(&format!("{} is removed from the list", server.id));
        std::thread::sleep(SERVES.saturating_sub(removed_at.elapsed()));
        server.exit();
        std::thread::sleep(Duration::from_millis(1_500));
        let arrivals = server.arrivals.lock().expect("the arrivals");
        let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.id.starts_with(FOLLOWER) && arrival.at > removed_at + DRAIN).collect();
        let last = arrivals.iter().map(|arrival| arrival.at).max();
        let last_ms = last.map_or(0, |at| at.saturating_duration_since(removed_at).as_millis());
        note(&format!("{}: the last request {last_ms} ms after its removal, {} late", server.id, late.len()));
        for arrival in late {
            let ms = (arrival.at - removed_at).as_millis();
            broken.push(format!("{} reaches {} {ms} ms after its removal", arrival.id, server.id));
        }
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    note(&format!("{} requests got no answer of a server", lost.load(Ordering::SeqCst)));
    Ok(broken)
}
