//! Stand-ins for the platform's store, servers and clients, and the scenarios of the cases 6 to 10.
//!
//! Uses the standard library only. Each scenario starts `target/release/monsoonspread` as the deploy file does.

#![allow(clippy::type_complexity)]

mod engine;
mod http;
mod json;
mod plain;
mod program;
mod record;
mod scenarios;
mod store;

use std::process::ExitCode;
use std::time::Duration;

/// A run that takes longer ends its processes and counts as one that could not run.
const LONGEST: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_default();
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".to_owned());
    let path = std::env::args().nth(2).unwrap_or_else(|| "record.txt".to_owned());
    record::open(&path);
    record::note(&format!("scenario {name}, disruption {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        record::note("could not run: it takes too long");
        program::end_all();
        std::process::exit(2);
    });
    let outcome = scenarios::run(&name, &trouble);
    program::end_all();
    match outcome {
        Ok(broken) if broken.is_empty() => {
            record::note("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record::note(&format!("BROKEN: {line}"));
            }
            ExitCode::from(1)
        }
        Err(why) => {
            record::note(&format!("could not run: {why}"));
            ExitCode::from(2)
        }
    }
}
