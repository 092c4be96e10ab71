//! Measuring memory and time.

use std::any::Any;
use std::cell::RefCell;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Bytes of a memory page as counted by `/proc/self/statm`.
const PAGE_BYTES: u64 = 4_096;
/// Shortest time over which one repetition is measured.
const ROUND: Duration = Duration::from_millis(20);
/// Repetitions, of which the fastest counts.
const ROUNDS: usize = 7;

thread_local! {
    /// What earlier measurements built; freed memory would be used again and hide growth.
    static KEPT: RefCell<Vec<Box<dyn Any>>> = RefCell::default();
}

/// Resident memory of this process in bytes, 0 where it can't be read.
pub fn resident_bytes() -> u64 {
    std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .unwrap_or_default()
        * PAGE_BYTES
}

/// Resident bytes that one value takes, as the mean of `copies` of them.
pub fn bytes_each<T: 'static>(copies: usize, mut build: impl FnMut() -> T) -> f64 {
    let mut values: Vec<T> = Vec::with_capacity(copies);
    let before = resident_bytes();
    values.extend((0..copies).map(|_| build()));
    let grown = resident_bytes().saturating_sub(before);
    keep(values);
    grown as f64 / copies as f64
}

/// Keeps `value` until the process ends, so that its memory is not used again.
pub fn keep<T: 'static>(value: T) {
    KEPT.with_borrow_mut(|kept| kept.push(Box::new(value)));
}

/// Microseconds that one call of `work` takes, in the fastest of several rounds.
pub fn us_each<T>(mut work: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    black_box(work());
    let once = started.elapsed().max(Duration::from_nanos(50));
    let calls = (ROUND.as_nanos() / once.as_nanos()).clamp(1, 1_000_000) as u32;
    let fastest = (0..ROUNDS)
        .map(|_| {
            let started = Instant::now();
            for _ in 0..calls {
                black_box(work());
            }
            started.elapsed()
        })
        .min()
        .unwrap_or_default();
    fastest.as_secs_f64() * 1e6 / f64::from(calls)
}

/// Microseconds that `work` takes on a value made by `prepare`, in the fastest of several rounds.
pub fn us_prepared<V, T>(mut prepare: impl FnMut() -> V, mut work: impl FnMut(&mut V) -> T) -> f64 {
    let fastest = (0..ROUNDS)
        .map(|_| {
            let mut value = prepare();
            let started = Instant::now();
            black_box(work(&mut value));
            started.elapsed()
        })
        .min()
        .unwrap_or_default();
    fastest.as_secs_f64() * 1e6
}
