//! What was sent, answered and run, with times.
use std::fs;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, line: impl Into<String>) {
        let ms = self.ms();
        self.lines
            .lock()
            .expect("the record")
            .push((ms, line.into()));
    }

    pub fn ms(&self) -> u128 {
        self.start.elapsed().as_millis()
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().expect("the record").clone();
        lines.sort_by_key(|(ms, _)| *ms);
        let text: String = lines
            .iter()
            .map(|(ms, line)| format!("{:>8.3} s  {line}\n", *ms as f64 / 1000.0))
            .collect();
        let _ = fs::write(path, text);
    }
}
