//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

struct Record {
    file: File,
    started: Instant,
}

static RECORD: OnceLock<Mutex<Record>> = OnceLock::new();

pub fn open(path: &str) {
    let file = File::create(path).expect("the record can be written");
    let started = Instant::now();
    let _ = RECORD.set(Mutex::new(Record { file, started }));
}

/// Writes a line to the record only.
pub fn log(text: &str) {
    let Some(record) = RECORD.get() else { return };
    let mut record = record.lock().expect("the record");
    let at = record.started.elapsed().as_secs_f64();
    let _ = writeln!(record.file, "{at:9.3} {text}");
}

/// Writes a line to the record and to standard output.
pub fn note(text: &str) {
    println!("{text}");
    log(text);
}
