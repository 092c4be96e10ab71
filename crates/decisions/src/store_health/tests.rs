use monsoonspread_model::UnixMs;

use super::{BACK_WITHIN_MS, StoreHealth};

/// Time after which no request may reach a removed upstream, in milliseconds.
const BOUND_MS: u64 = 2_000;

/// An upstream that leaves by removing its entry a second after an outage of the store must not be
/// mistaken for one whose entry expired.
#[test]
fn an_entry_that_is_removed_after_an_outage_is_kept_for_less_than_the_bound() {
    for after_return_ms in [0, 1_240, BACK_WITHIN_MS, 2_900] {
        let mut health = StoreHealth::default();
        health.on_failure(UnixMs(1_000));
        assert!(health.on_answer(UnixMs(5_000)));
        let removed_at = UnixMs(5_000 + after_return_ms);
        health.on_answer(removed_at);
        let kept_ms = health.status(removed_at).back_by.ms_since(removed_at);
        let remaining_ms = BACK_WITHIN_MS.saturating_sub(after_return_ms);
        assert_eq!(kept_ms, remaining_ms);
        assert!(kept_ms < BOUND_MS);
    }
}

#[test]
fn entries_that_ran_out_during_an_outage_may_come_back() {
    let mut health = StoreHealth::default();
    assert!(health.on_failure(UnixMs(0)));
    assert!(!health.on_failure(UnixMs(900)));
    assert!(health.on_answer(UnixMs(4_000)));
    let back_by = health.status(UnixMs(4_000)).back_by;
    assert_eq!(back_by, UnixMs(4_000 + BACK_WITHIN_MS));
}
