use monsoonspread_model::UnixMs;

use super::super::ConcurrencyEstimate;

const NOW: UnixMs = UnixMs(1_000_000);
const PLACES: u32 = 6;
/// Calls in one swing of the load, from one call at once to twice the places.
const SWING_CALLS: u64 = 200;

/// Time of a call of 30 ms in the middle; they differ by half, in a fixed order.
fn work_ms(number: u64) -> f64 {
    15.0 + (number * 7 % 31) as f64
}

/// Feeds calls, one each 5 ms, of a load that swings between one call and all that the limit allows once a
/// second; returns the estimates of the last second.
fn estimates(
    estimate: &mut ConcurrencyEstimate,
    from: UnixMs,
    for_ms: u64,
    slowness: impl Fn(u64, u32) -> f64,
) -> Vec<u32> {
    let mut seen = Vec::new();
    for number in 0..for_ms / 5 {
        let now = from + number * 5;
        let offered = 1 + number % SWING_CALLS * 2 * u64::from(PLACES) / SWING_CALLS;
        let running = estimate.limit(now).min(offered as u32);
        let took_ms = work_ms(number) * slowness(number * 5, running);
        estimate.on_time(now, running, took_ms);
        if number * 5 + 1_000 >= for_ms {
            seen.push(estimate.calls(now));
        }
    }
    seen
}

fn mean(estimates: &[u32]) -> f64 {
    f64::from(estimates.iter().sum::<u32>()) / estimates.len() as f64
}

/// Load: a server that is equally fast up to its places, with calls that differ by half. Guards against an
/// estimate that takes the noise for slowness and leaves places unused.
#[test]
fn a_server_of_even_speed_gets_all_places() {
    let mut estimate = ConcurrencyEstimate::new(PLACES);
    let seen = estimates(&mut estimate, NOW, 5_000, |_, _| 1.0);
    assert!(mean(&seen) > 5.5, "{}", mean(&seen));
}

/// Load: a server whose calls take 2.5 times as long once more than half of its places are taken. Guards
/// against filling it up, and against an estimate that stays low when that has ended.
#[test]
fn a_server_that_is_slow_when_half_full_gets_half() {
    let mut estimate = ConcurrencyEstimate::new(PLACES);
    let slow = |_, running: u32| if running > 3 { 2.5 } else { 1.0 };
    let seen = estimates(&mut estimate, NOW, 5_000, slow);
    assert!(mean(&seen) < 5.0, "{}", mean(&seen));
    let later = NOW + 5_000;
    let seen = estimates(&mut estimate, later, 5_000, |_, _| 1.0);
    assert!(mean(&seen) > 5.5, "{}", mean(&seen));
}

/// Load: 600 ms in which all calls take three times as long. Guards against an estimate that remembers it.
#[test]
fn noise_of_600_ms_is_forgotten() {
    let mut estimate = ConcurrencyEstimate::new(PLACES);
    let noisy = |at_ms: u64, _| {
        if (1_000..1_600).contains(&at_ms) {
            3.0
        } else {
            1.0
        }
    };
    let seen = estimates(&mut estimate, NOW, 5_000, noisy);
    assert!(mean(&seen) > 5.5, "{}", mean(&seen));
    let mean_ms = estimate.mean_ms(NOW + 5_000).expect("samples");
    assert!((27.0..36.0).contains(&mean_ms), "{mean_ms}");
}

/// Load: all calls take four times as long from one moment on. Guards against a limit that falls because of the
/// load itself.
#[test]
fn slowness_at_all_levels_lowers_no_limit() {
    let mut estimate = ConcurrencyEstimate::new(PLACES);
    let seen = estimates(&mut estimate, NOW, 6_000, |at_ms, _| {
        if at_ms < 2_000 { 1.0 } else { 4.0 }
    });
    assert!(mean(&seen) > 5.0, "{}", mean(&seen));
}
