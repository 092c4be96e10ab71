use monsoonspread_model::{UnixMs, UpstreamName};

use super::StragglerBoard;

fn board() -> (StragglerBoard, UpstreamName) {
    let mut board = StragglerBoard::new();
    for _ in 0..5 {
        for upstream in ["engine-1", "engine-2", "engine-3"] {
            board.on_first_token(UnixMs(1_000), &upstream.into(), 100);
        }
    }
    board.on_tick();
    (board, "engine-3".into())
}

#[test]
fn a_slowed_upstream_shows_within_three_samples() {
    let (mut board, slow) = board();
    for _ in 0..3 {
        board.on_first_token(UnixMs(1_100), &slow, 800);
    }
    assert!(board.slowness(UnixMs(1_100), &slow) > 3.0);
    assert_eq!(board.slowness(UnixMs(1_100), &"engine-1".into()), 1.0);
}

#[test]
fn a_request_that_still_waits_is_evidence_too() {
    let (mut board, slow) = board();
    board.on_waiting(UnixMs(1_900), &slow, 900);
    assert!(board.slowness(UnixMs(1_900), &slow) > 5.0);
}

#[test]
fn a_straggler_returns_gradually_without_samples() {
    let (mut board, slow) = board();
    board.on_waiting(UnixMs(2_000), &slow, 900);
    let slowness: Vec<f64> = [2_000, 4_000, 8_000, 30_000]
        .map(|now| board.slowness(UnixMs(now), &slow))
        .into();
    assert!(
        slowness.windows(2).all(|pair| pair[0] > pair[1]),
        "{slowness:?}"
    );
    assert!(slowness[3] < 1.1, "{slowness:?}");
}

#[test]
fn consecutive_failures_lengthen_the_backoff() {
    let (mut board, failing) = board();
    board.on_failure(UnixMs(0), &failing);
    assert!(board.is_failed(UnixMs(100), &failing));
    assert!(!board.is_failed(UnixMs(300), &failing));
    board.on_failure(UnixMs(300), &failing);
    assert!(board.is_failed(UnixMs(700), &failing));
    board.on_first_token(UnixMs(900), &failing, 100);
    board.on_failure(UnixMs(1_000), &failing);
    assert!(!board.is_failed(UnixMs(1_300), &failing));
}
