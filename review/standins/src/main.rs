//! Stand-ins and checks of the review's cases: `standins case N`, in the repository's root.
//!
//! A case exits with 1 if its rule was broken, 0 if it held and 2 if it couldn't run.

mod cases;
mod config;
mod fleet;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::panic::catch_unwind;
use std::process::{Command, exit};
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Longest time that a case may take.
const WATCHDOG: Duration = Duration::from_secs(115);

/// Processes that this one started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Remembers a process, which is ended if the case takes too long.
pub fn remember(process: u32) {
    STARTED.lock().expect("the processes").push(process);
}

/// Ends a case that can't run.
pub fn give_up() -> ! {
    panic!("the case can't run");
}

fn main() {
    let mut words = std::env::args().skip(1);
    match (words.next().as_deref(), words.next()) {
        (Some("server"), first) => {
            let arguments = first.into_iter().chain(words);
            server::run(server::Arguments::read(arguments));
        }
        (Some("case"), Some(number)) => {
            thread::spawn(|| {
                thread::sleep(WATCHDOG);
                let started = STARTED.lock().expect("the processes").clone();
                let ids = started.iter().map(u32::to_string);
                let _ = Command::new("kill").arg("-9").args(ids).status();
                exit(2);
            });
            let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
            match catch_unwind(|| cases::run(&number, !trouble)) {
                Ok(true) => exit(0),
                Ok(false) => exit(1),
                Err(_) => exit(2),
            }
        }
        _ => exit(2),
    }
}
