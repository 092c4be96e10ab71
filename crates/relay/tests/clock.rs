//! The clock that deadlines and leases are read from.

use std::time::{Duration, Instant};

use monsoonspread_relay::clock::SteadyClock;

/// It counts the time since boot: it keeps pace with a steady clock, whatever the time of day
/// does. Whole milliseconds are cut off at both ends.
#[test]
fn it_keeps_pace_and_never_goes_back() {
    let clock = SteadyClock::start();
    let (began, steady) = (clock.now(), Instant::now());
    let mut last = began;
    while steady.elapsed() < Duration::from_millis(50) {
        let now = clock.now();
        assert!(now >= last);
        last = now;
    }
    assert!(clock.now().ms_since(began) >= 49);
}
