//! A request that crashes the servers that run it comes again, several copies at once.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{HOST, Outcome, config};
use crate::http::{After, send};
use crate::plain::{Habit, Plain};
use crate::program::{Program, wait_ready};
use crate::record::{log, note};
use crate::store::Store;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const SERVERS: usize = 8;
const MACHINES: usize = 7;
const COPIES: usize = 14;
const WAVES: usize = 3;
/// Pause between two waves.
const PAUSE: Duration = Duration::from_millis(6_500);
/// How long the request runs until it crashes its server.
const RUNS_FOR: Duration = Duration::from_millis(40);
/// How long a crashed server is away.
const AWAY: Duration = Duration::from_millis(2_000);
/// The platform's `stability_window_ms`.
const STABILITY: Duration = Duration::from_millis(3_000);
/// Arrivals that the rule allows.
const ALLOWED: usize = 3;

/// `trouble` "series" sends the first copies one after the other.
pub fn run(trouble: &str) -> Outcome {
    let does_crash = trouble != "0";
    let crashes: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let store = Store::start("127.86.0.1");
    store.put("op/config", &config(1, ""));
    let servers: Vec<Arc<Plain>> = (0..SERVERS)
        .map(|number| {
            let habit: Habit = Arc::new(move |_, request, _| {
                let is_crash = does_crash && request.path.contains("poison");
                is_crash.then(|| {
                    std::thread::sleep(RUNS_FOR * 2);
                    After::Close
                })
            });
            Plain::start(&format!("i-record-{number}"), "records", ZONES[number % 3], "127.86.0.2", &store, Some(habit))
        })
        .collect();
    if does_crash {
        for server in &servers {
            watch_for_crashes(server, &store, &crashes);
        }
    }
    let programs: Vec<Program> = (0..MACHINES)
        .map(|number| {
            let zone = ZONES[number % 3];
            let name = format!("front-{zone}-{}", number / 3 + 1);
            Program::start(&name, zone, &format!("127.86.1.{}", number + 1), store.address())
        })
        .collect();
    wait_ready(&programs.iter().collect::<Vec<_>>(), Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(4));

    for wave in 0..WAVES {
        let before = arrivals(&servers);
        let copies: Vec<_> = (0..COPIES)
            .map(|copy| {
                let (callers, name) = (programs[copy % MACHINES].callers, programs[copy % MACHINES].name.clone());
                let sending = std::thread::spawn(move || {
                    let id = format!("wave{wave}-{copy}");
                    let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
                    let answer = send(callers, "POST", "/commit/poison", &headers, b"the same body", Duration::from_secs(2));
                    log(&format!("{id} at {name}: {}", answer.map_or(0, |answer| answer.status)));
                });
                if wave == 0 && trouble == "series" {
                    std::thread::sleep(Duration::from_millis(500));
                }
                sending
            })
            .collect();
        for copy in copies {
            copy.join().map_err(|_| "a client failed".to_owned())?;
        }
        note(&format!("wave {wave}: {COPIES} copies, {} reached servers", arrivals(&servers) - before));
        std::thread::sleep(Duration::from_millis(500));
        note(&format!("{} crashes of servers so far", crashes.lock().expect("the crashes").len()));
        std::thread::sleep(PAUSE);
    }
    if !does_crash {
        return Ok(Vec::new());
    }
    let mut crashed_at = crashes.lock().expect("the crashes").clone();
    crashed_at.sort_unstable();
    let third = *crashed_at.get(2).ok_or("it crashed less than three servers")?;
    let later: usize = servers.iter().map(|server| server.requests_after("wave", third + STABILITY)).sum();
    note(&format!("{later} reached servers later than {} s after the third crash", STABILITY.as_secs()));
    if later > ALLOWED {
        return Ok(vec![format!("a request that crashes servers reached them {later} times where {ALLOWED} are allowed")]);
    }
    Ok(Vec::new())
}

fn arrivals(servers: &[Arc<Plain>]) -> usize {
    servers.iter().map(|server| server.requests_of("wave")).sum()
}

/// Crashes the server once the request has run there for a moment, each time.
fn watch_for_crashes(server: &Arc<Plain>, store: &Store, crashes: &Arc<Mutex<Vec<Instant>>>) {
    let (server, store, crashes) = (Arc::clone(server), store.clone(), Arc::clone(crashes));
    std::thread::spawn(move || {
        let mut seen = 0;
        loop {
            if server.requests_of("wave") > seen {
                std::thread::sleep(RUNS_FOR);
                server.crash(&store, AWAY);
                crashes.lock().expect("the crashes").push(Instant::now());
                std::thread::sleep(AWAY / 2);
                seen = server.requests_of("wave");
                std::thread::sleep(AWAY / 2 + Duration::from_millis(50));
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    });
}
