//! Another writer's entries, whose names have spaces, are in the list when all machines start again.

use std::time::{Duration, Instant};

use super::{HOST, Outcome, config};
use crate::http::send;
use crate::plain::Plain;
use crate::program::Program;
use crate::record::{log, note};
use crate::store::Store;

/// The platform's `recovery_s`.
const RECOVERY: Duration = Duration::from_secs(12);
/// Entries of another writer: a page of the list ends with one of them.
const ENTRIES: usize = 600;

pub fn run(trouble: bool) -> Outcome {
    let store = Store::start("127.84.0.1");
    store.put("op/config", &config(1, ""));
    let servers: Vec<_> = (0..3)
        .map(|number| Plain::start(&format!("i-record-{number}"), "records", "zone-a", "127.84.0.2", &store, None))
        .collect();
    let mut programs: Vec<Program> = (1..=3)
        .map(|number| {
            let zone = ["zone-a", "zone-b", "zone-c"][number - 1];
            Program::start(&format!("front-{zone}-1"), zone, &format!("127.84.1.{number}"), store.address())
        })
        .collect();
    let all: Vec<&Program> = programs.iter().collect();
    crate::program::wait_ready(&all, Duration::from_secs(10))?;
    std::thread::sleep(Duration::from_secs(2));
    if trouble {
        for number in 0..ENTRIES {
            store.put(&format!("servers/rack {number:03} spare"), "{\"label\":\"spare part\"}");
        }
        note(&format!("{ENTRIES} entries of another writer are in the list"));
    }
    std::thread::sleep(Duration::from_secs(2));
    let before = share(&programs, "before");
    note(&format!("served before: {before:.2}"));
    if before < 0.25 {
        return Err("too little was served before".to_owned());
    }
    for program in &mut programs {
        program.kill();
    }
    std::thread::sleep(Duration::from_millis(700));
    for program in &mut programs {
        program.restart();
    }
    let back = Instant::now();
    std::thread::sleep(RECOVERY + Duration::from_millis(500));
    let mut after = Vec::new();
    while back.elapsed() < RECOVERY + Duration::from_secs(15) {
        after.push(share(&programs, "after"));
    }
    let after = after.iter().sum::<f64>() / after.len().max(1) as f64;
    note(&format!("served later than {} s after the machines are back: {after:.2}", RECOVERY.as_secs()));
    for program in &mut programs {
        let is_running = program.is_running();
        log(&format!("{} runs {is_running} ready {}", program.name, program.is_ready()));
        let text = program.log_text();
        let lost = text.lines().filter(|line| line.contains("MR1101"));
        if let Some(line) = lost.last() {
            log(line);
        }
    }
    drop(servers);
    if after < 0.25 {
        return Ok(vec![format!("{after:.2} of the requests are served after all machines started again, {before:.2} before")]);
    }
    Ok(Vec::new())
}

/// The share of 60 requests that is served.
fn share(programs: &[Program], label: &str) -> f64 {
    let mut served = 0;
    for number in 0..60 {
        let id = format!("{label}-{number}");
        let headers = [("Host", HOST), ("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "1500")];
        let program = &programs[number % programs.len()];
        let answer = send(program.callers, "GET", "/read/x", &headers, b"", Duration::from_secs(2));
        let status = answer.map_or(0, |answer| answer.status);
        log(&format!("{id} at {}: {status}", program.name));
        served += usize::from(status == 200);
        std::thread::sleep(Duration::from_millis(20));
    }
    served as f64 / 60.0
}
