//! The clock used for deadlines and leases.

use std::time::{Duration, Instant};

use monsoonspread_relay::clock::SteadyClock;

/// The clock counts the time since boot, so it keeps pace with a monotonic clock whatever the wall
/// clock does. Both ends are truncated to whole milliseconds.
#[test]
fn clock_keeps_pace_and_never_goes_back() {
    let clock = SteadyClock::start();
    let (started, steady) = (clock.now(), Instant::now());
    let mut last = started;
    while steady.elapsed() < Duration::from_millis(50) {
        let now = clock.now();
        assert!(now >= last);
        last = now;
    }
    assert!(clock.now().ms_since(started) >= 49);
}
