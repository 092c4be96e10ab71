use monsoonspread_model::{UnixMs, UpstreamName};

use super::{Announcements, DEFAULT_BACKOFF_MS, MAX_BACKOFF_MS, MAX_UPSTREAMS, retry_after_ms};

const NOW: UnixMs = UnixMs(10_000);

fn server() -> UpstreamName {
    "server-1".into()
}

/// Guards against news told anew for each of the answers that say it.
#[test]
fn that_an_upstream_leaves_is_news_once_for_each_start() {
    let mut announcements = Announcements::default();
    assert!(announcements.on_leaving(NOW, &server(), 1));
    assert!(!announcements.on_leaving(NOW + 1, &server(), 1));
    assert!(announcements.on_leaving(NOW + 2, &server(), 2));
}

/// Guards against answers of a former start that come late.
#[test]
fn a_former_start_says_nothing_of_the_present_one() {
    let mut announcements = Announcements::default();
    announcements.on_leaving(NOW, &server(), 2);
    assert!(!announcements.on_leaving(NOW, &server(), 1));
    assert_eq!(announcements.on_backoff(NOW, &server(), 1, 500), None);
    assert!(announcements.is_leaving(&server(), 2));
    assert!(!announcements.is_leaving(&server(), 1));
}

#[test]
fn a_new_start_begins_anew() {
    let mut announcements = Announcements::default();
    announcements.on_leaving(NOW, &server(), 1);
    announcements.on_backoff(NOW, &server(), 1, 5_000);
    assert_eq!(announcements.on_listed(&server(), 1), None);
    assert!(announcements.is_leaving(&server(), 1));
    let forgotten = announcements.on_listed(&server(), 2).expect("what it said");
    assert_eq!(forgotten.leaving_since, Some(NOW));
    assert!(!announcements.is_leaving(&server(), 2));
    assert_eq!(announcements.backoff_until(NOW, &server(), 2), None);
}

/// Guards against a announcement of a start that is listed only later.
#[test]
fn a_word_waits_for_the_listing_of_its_start() {
    let mut announcements = Announcements::default();
    announcements.on_leaving(NOW, &server(), 5);
    assert_eq!(announcements.on_listed(&server(), 4), None);
    assert!(!announcements.is_leaving(&server(), 4));
    assert_eq!(announcements.on_listed(&server(), 5), None);
    assert!(announcements.is_leaving(&server(), 5));
}

#[test]
fn an_upstream_is_left_alone_until_the_latest_end_that_it_named() {
    let mut announcements = Announcements::default();
    announcements.on_backoff(NOW, &server(), 1, 3_000);
    // An earlier answer that was overtaken.
    let until = announcements.on_backoff(NOW + 10, &server(), 1, 500);
    assert_eq!(until, Some(NOW + 3_000));
    assert_eq!(
        announcements.backoff_until(NOW + 2_999, &server(), 1),
        until
    );
    assert_eq!(announcements.backoff_until(NOW + 3_000, &server(), 1), None);
}

#[test]
fn a_time_without_bound_is_bounded() {
    let mut announcements = Announcements::default();
    let until = announcements.on_backoff(NOW, &server(), 1, MAX_BACKOFF_MS + 1);
    assert_eq!(until, Some(NOW + DEFAULT_BACKOFF_MS));
    let until = announcements.on_backoff(NOW, &server(), 1, MAX_BACKOFF_MS);
    assert_eq!(until, Some(NOW + MAX_BACKOFF_MS));
}

#[test]
fn memory_is_bounded() {
    let mut announcements = Announcements::default();
    for number in 0..2 * MAX_UPSTREAMS as u64 {
        let name = format!("server-{number}");
        announcements.on_leaving(UnixMs(number), &name.as_str().into(), 1);
    }
    assert_eq!(announcements.iter().count(), MAX_UPSTREAMS);
    let last = format!("server-{}", 2 * MAX_UPSTREAMS - 1);
    assert!(announcements.is_leaving(&last.as_str().into(), 1));
}

/// Guards against a crowd that comes back at one moment: a service whose servers all turned away.
#[test]
fn a_crowd_comes_back_spread_out_and_not_too_early() {
    let wait_ms = 2_000;
    let mut in_slots = [0; 8];
    for draw in 0..800_u64 {
        let at_ms = retry_after_ms(wait_ms, draw.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        assert!(at_ms >= wait_ms);
        in_slots[((at_ms - wait_ms) / 100).min(7) as usize] += 1;
    }
    assert!(
        in_slots[..7].iter().all(|crowd| *crowd < 200),
        "{in_slots:?}"
    );
}
