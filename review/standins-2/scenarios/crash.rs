//! A request that crashes servers comes again after all processes were killed, twice in a day.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{HOST, Outcome, config};
use crate::http::{After, send};
use crate::plain::{Habit, Plain};
use crate::program::{Program, wait_ready};
use crate::record::{log, note};
use crate::store::Store;

const SERVERS: usize = 5;
/// How long a crashed server is away.
const AWAY: Duration = Duration::from_millis(2_000);
/// The platform's `stability_window_ms`.
const STABILITY: Duration = Duration::from_millis(3_000);
/// Pause between two copies of the request.
const PAUSE: Duration = Duration::from_millis(700);
/// Arrivals that the rule allows.
const ALLOWED: usize = 3;

pub fn run(trouble: bool) -> Outcome {
    let store = Store::start("127.85.0.1");
    store.put("op/config", &config(1, ""));
    let servers: Vec<Arc<Plain>> = (0..SERVERS)
        .map(|number| {
            let habit_store = store.clone();
            let habit: Habit = Arc::new(move |_, request, _| {
                let is_crash = request.path.contains("poison") && habit_store.has("servers/i-record-0");
                is_crash.then_some(After::Close)
            });
            Plain::start(&format!("i-record-{number}"), "records", "zone-a", "127.85.0.2", &store, Some(habit))
        })
        .collect();
    for server in &servers {
        watch_for_crashes(server, &store);
    }
    let mut programs: Vec<Program> = (1..=3)
        .map(|number| {
            let zone = ["zone-a", "zone-b", "zone-c"][number - 1];
            Program::start(&format!("front-{zone}-1"), zone, &format!("127.85.1.{number}"), store.address())
        })
        .collect();
    wait_ready(&programs.iter().collect::<Vec<_>>(), Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(4));

    let mut sent = 0;
    let mut copies = |programs: &[Program], label: &str, copies: usize| {
        for _ in 0..copies {
            let program = &programs[sent % programs.len()];
            sent += 1;
            let id = format!("{label}-{sent}");
            let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
            let before = arrivals(&servers);
            let answer = send(program.callers, "GET", "/read/poison", &headers, b"", Duration::from_secs(2));
            std::thread::sleep(PAUSE);
            let status = answer.map_or(0, |answer| answer.status);
            log(&format!("{id} at {}: {status}, reached {}", program.name, arrivals(&servers) - before));
        }
    };
    copies(&programs, "first", 12);
    let crashes = arrivals(&servers);
    note(&format!("the request reached servers {crashes} times"));
    if crashes < 3 {
        return Err("it crashed less than three servers".to_owned());
    }
    std::thread::sleep(STABILITY);
    let known = arrivals(&servers);
    copies(&programs, "known", 6);
    note(&format!("and {} times once that was known for {} s", arrivals(&servers) - known, STABILITY.as_secs()));
    for round in 1..=2 {
        if trouble {
            for program in &mut programs {
                program.kill();
            }
            std::thread::sleep(Duration::from_millis(700));
            for program in &mut programs {
                program.restart();
            }
            wait_ready(&programs.iter().collect::<Vec<_>>(), Duration::from_secs(10))?;
        }
        std::thread::sleep(STABILITY + Duration::from_millis(800));
        let before = arrivals(&servers);
        let began = Instant::now();
        copies(&programs, &format!("round{round}"), 9);
        note(&format!("round {round}: {} more in {} ms", arrivals(&servers) - before, began.elapsed().as_millis()));
    }
    let later = arrivals(&servers) - known;
    if later > ALLOWED {
        return Ok(vec![format!("the request reached servers {later} times later than {} s after its third crash", STABILITY.as_secs())]);
    }
    Ok(Vec::new())
}

fn arrivals(servers: &[Arc<Plain>]) -> usize {
    let arrivals = servers.iter().map(|server| {
        ["first-", "known-", "round"].iter().map(|label| server.requests_of(label)).sum::<usize>()
    });
    arrivals.sum()
}

/// Crashes the server as soon as the request runs there.
fn watch_for_crashes(server: &Arc<Plain>, store: &Store) {
    let (server, store) = (Arc::clone(server), store.clone());
    std::thread::spawn(move || {
        let mut seen = 0;
        loop {
            let now = ["first-", "known-", "round"].iter().map(|label| server.requests_of(label)).sum();
            if now > seen {
                server.crash(&store, AWAY);
                std::thread::sleep(AWAY + Duration::from_millis(200));
            }
            seen = seen.max(now);
            std::thread::sleep(Duration::from_millis(1));
        }
    });
}
