use monsoonspread_model::fleet::RateLimit;
use monsoonspread_model::{UnixMs, UpstreamName};

use super::{
    Announcements, DEFAULT_BACKOFF_MS, MAX_BACKOFF_MS, MAX_UPSTREAMS, RateChange, retry_after_ms,
};

const NOW: UnixMs = UnixMs(10_000);

fn server() -> UpstreamName {
    "server-1".into()
}

/// Guards against reporting the announcement again for every answer that contains it.
#[test]
fn leaving_is_new_once_per_incarnation() {
    let mut announcements = Announcements::default();
    assert!(announcements.on_leaving(NOW, &server(), 1));
    assert!(!announcements.on_leaving(NOW + 1, &server(), 1));
    assert!(announcements.on_leaving(NOW + 2, &server(), 2));
}

/// Guards against late answers of an earlier incarnation.
#[test]
fn an_earlier_incarnation_does_not_affect_the_current_one() {
    let mut announcements = Announcements::default();
    announcements.on_leaving(NOW, &server(), 2);
    assert!(!announcements.on_leaving(NOW, &server(), 1));
    assert_eq!(announcements.on_backoff(NOW, &server(), 1, 500), None);
    assert!(announcements.is_leaving(&server(), 2));
    assert!(!announcements.is_leaving(&server(), 1));
}

#[test]
fn a_restart_removes_earlier_announcements() {
    let mut announcements = Announcements::default();
    announcements.on_leaving(NOW, &server(), 1);
    announcements.on_backoff(NOW, &server(), 1, 5_000);
    assert_eq!(announcements.on_listed(&server(), 1), None);
    assert!(announcements.is_leaving(&server(), 1));
    let removed = announcements
        .on_listed(&server(), 2)
        .expect("the earlier announcement");
    assert_eq!(removed.leaving_since, Some(NOW));
    assert!(!announcements.is_leaving(&server(), 2));
    assert_eq!(announcements.backoff_until(NOW, &server(), 2), None);
}

/// Guards against losing the announcement of an incarnation that is listed only later.
#[test]
fn an_announcement_is_kept_until_its_incarnation_is_listed() {
    let mut announcements = Announcements::default();
    announcements.on_leaving(NOW, &server(), 5);
    assert_eq!(announcements.on_listed(&server(), 4), None);
    assert!(!announcements.is_leaving(&server(), 4));
    assert_eq!(announcements.on_listed(&server(), 5), None);
    assert!(announcements.is_leaving(&server(), 5));
}

#[test]
fn an_upstream_backs_off_until_the_latest_announced_end() {
    let mut announcements = Announcements::default();
    announcements.on_backoff(NOW, &server(), 1, 3_000);
    // An earlier answer that another one overtook.
    let until = announcements.on_backoff(NOW + 10, &server(), 1, 500);
    assert_eq!(until, Some(NOW + 3_000));
    assert_eq!(
        announcements.backoff_until(NOW + 2_999, &server(), 1),
        until
    );
    assert_eq!(announcements.backoff_until(NOW + 3_000, &server(), 1), None);
}

#[test]
fn an_announced_time_is_bounded() {
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

/// Guards against simultaneous retries of all clients of a service whose servers all rejected them.
#[test]
fn retries_are_spread_out_and_not_too_early() {
    let wait_ms = 2_000;
    let mut in_slots = [0; 8];
    for draw in 0..800_u64 {
        let at_ms = retry_after_ms(wait_ms, draw.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        assert!(at_ms >= wait_ms);
        in_slots[((at_ms - wait_ms) / 100).min(7) as usize] += 1;
    }
    assert!(
        in_slots[..7].iter().all(|clients| *clients < 200),
        "{in_slots:?}"
    );
}

/// Guards against an answer without the limit that was overtaken by one with it, and against a limit
/// that outlasts its announcement.
#[test]
fn a_limit_ends_with_a_later_request_whose_answer_has_none() {
    let mut announcements = Announcements::default();
    let (low, high) = (RateLimit::new(2.2), RateLimit::new(5.0));
    assert_eq!(announcements.on_rate_limit(NOW, &server(), 1, None), None);
    assert!(
        announcements
            .on_rate_limit(NOW, &server(), 1, low)
            .is_some()
    );
    assert_eq!(
        announcements.on_rate_limit(NOW + 5, &server(), 1, low),
        None
    );
    // Sent before the last answer with a limit.
    assert_eq!(
        announcements.on_rate_limit(NOW + 3, &server(), 1, None),
        None
    );
    assert_eq!(announcements.rate_limit(&server(), 1), low);
    let change = announcements.on_rate_limit(NOW + 6, &server(), 1, high);
    assert_eq!(
        change,
        Some(RateChange {
            from: low,
            to: high
        })
    );
    let change = announcements.on_rate_limit(NOW + 7, &server(), 1, None);
    assert_eq!(
        change,
        Some(RateChange {
            from: high,
            to: None
        })
    );
    assert_eq!(announcements.rate_limit(&server(), 1), None);
    // An older report of the limit by another instance.
    assert_eq!(
        announcements.on_rate_limit(NOW + 6, &server(), 1, low),
        None
    );
}

#[test]
fn a_limit_holds_for_its_incarnation() {
    let mut announcements = Announcements::default();
    let limit = RateLimit::new(2.0);
    announcements.on_rate_limit(NOW, &server(), 1, limit);
    assert_eq!(announcements.rate_limit(&server(), 2), None);
    announcements.on_listed(&server(), 2);
    assert_eq!(announcements.rate_limit(&server(), 1), None);
    announcements.on_rate_limit(NOW, &server(), 2, limit);
    assert_eq!(
        announcements.on_rate_limit(NOW + 9, &server(), 1, None),
        None
    );
    assert_eq!(announcements.rate_limit(&server(), 2), limit);
}
