//! Non-blocking logging to standard output.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};

use env_logger::{Env, Target};

/// Capacity of the queue of log lines; lines beyond it are dropped and counted.
///
/// Holds two seconds of peak load at three lines per request.
const QUEUED_LINES: usize = 2_048;

/// Starts logging to standard output from a separate thread.
pub fn start_logging() {
    let (queue, lines) = sync_channel(QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    let writer = std::thread::Builder::new().name("log".to_owned());
    if let Err(error) = writer.spawn(move || write_lines(&lines, &counted)) {
        eprintln!("the log thread can't be started: {error}");
        return;
    }
    env_logger::Builder::from_env(Env::default().default_filter_or("info"))
        .format_timestamp_millis()
        .target(Target::Pipe(Box::new(LineQueue { queue, dropped })))
        .init();
}

struct LineQueue {
    queue: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(mut batch) = lines.recv() {
        for line in lines.try_iter() {
            batch.extend(line);
        }
        let missing = dropped.swap(0, Ordering::Relaxed);
        if missing > 0 {
            batch.extend(format!("MR1900 log lines dropped count={missing}\n").bytes());
        }
        // Nothing can be reported once standard output is closed.
        let _ = output.write_all(&batch).and_then(|()| output.flush());
    }
}
