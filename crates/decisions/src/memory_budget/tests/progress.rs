use monsoonspread_model::UnixMs;

use crate::memory_budget::ReadProgress;

const WINDOW_MS: u64 = 10_000;
const BYTES_PER_S: u64 = 1_000;

/// Answers bodies that stop short of their end.
#[test]
fn a_body_that_stops_is_stalled_in_the_next_window() {
    let mut progress = ReadProgress::new(UnixMs(0), WINDOW_MS, BYTES_PER_S);
    progress.on_bytes(500_000);
    assert!(!progress.is_stalled(UnixMs(WINDOW_MS)));
    assert!(!progress.is_stalled(UnixMs(2 * WINDOW_MS - 1)));
    assert!(progress.is_stalled(UnixMs(2 * WINDOW_MS)));
}

/// Answers bodies of which a byte arrives now and then.
#[test]
fn a_trickled_body_is_stalled() {
    let mut progress = ReadProgress::new(UnixMs(0), WINDOW_MS, BYTES_PER_S);
    (0..100).for_each(|_| progress.on_bytes(1));
    assert!(progress.is_stalled(UnixMs(WINDOW_MS)));
}

/// Guards against ending a large body on a slow link.
#[test]
fn a_body_on_a_slow_link_goes_on() {
    let mut progress = ReadProgress::new(UnixMs(0), WINDOW_MS, BYTES_PER_S);
    for window in 1..10 {
        progress.on_bytes(2 * BYTES_PER_S * WINDOW_MS / 1_000);
        assert!(!progress.is_stalled(UnixMs(window * WINDOW_MS)));
    }
}
