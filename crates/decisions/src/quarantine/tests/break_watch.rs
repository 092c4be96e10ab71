use std::rc::Rc;

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};

use super::super::BreakWatch;
use super::{crash, crash_of};

const NOW: UnixMs = UnixMs(1_000);

fn broken() -> CrashNotice {
    crash_of("plain-1", 4, 900, 1_000)
}

fn watch() -> BreakWatch {
    let mut watch = BreakWatch::default();
    watch.on_break(NOW, broken());
    watch
}

#[test]
fn an_upstream_that_refuses_connections_after_a_break_has_crashed() {
    let mut watch = watch();
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 1);
    assert_eq!(watch.on_connection_refused(&"plain-1".into()), [broken()]);
    assert_eq!(watch.on_connection_refused(&"plain-1".into()), []);
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 0);
}

/// Guards against resets, lost answers and corrupted bytes that are counted as server crashes.
#[test]
fn a_break_of_an_upstream_that_takes_connections_is_no_crash() {
    let mut watch = watch();
    watch.on_connected(&"plain-1".into());
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 0);
    assert_eq!(watch.on_connection_refused(&"plain-1".into()), []);
    assert_eq!(watch.on_removed(&"plain-1".into()), []);
}

/// Guards against missing the crash of a server that restarted before it was probed.
#[test]
fn an_upstream_that_is_listed_with_another_start_has_crashed() {
    let mut watch = watch();
    watch.on_connected(&"plain-1".into());
    assert_eq!(watch.on_listed(&"plain-1".into(), 5), [broken()]);
}

#[test]
fn an_upstream_that_is_listed_with_the_same_start_has_not_crashed() {
    assert_eq!(watch().on_listed(&"plain-1".into(), 4), []);
}

#[test]
fn an_upstream_removed_from_the_list_has_crashed() {
    assert_eq!(watch().on_removed(&"plain-1".into()), [broken()]);
}

/// Guards against slow servers that crash for another reason: a missing answer is no break.
#[test]
fn a_timeout_counts_only_after_a_restart_or_removal() {
    let mut watch = BreakWatch::default();
    watch.on_no_answer(NOW, broken());
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 0);
    assert_eq!(watch.on_connection_refused(&"plain-1".into()), []);
    assert_eq!(watch.on_listed(&"plain-1".into(), 5), [broken()]);
    watch.on_no_answer(NOW, broken());
    assert_eq!(watch.on_removed(&"plain-1".into()), [broken()]);
    watch.on_no_answer(NOW, broken());
    watch.on_connected(&"plain-1".into());
    assert_eq!(watch.on_removed(&"plain-1".into()), []);
}

/// Guards against planned shutdowns that count against the requests running there.
#[test]
fn a_break_at_a_leaving_upstream_is_no_crash() {
    let mut watch = watch();
    watch.on_no_answer(NOW, broken());
    watch.on_leaving(&"plain-1".into());
    assert_eq!(watch.on_removed(&"plain-1".into()), []);
}

/// Guards against many clients with short timeouts whose requests leave no capacity for breaks.
#[test]
fn timeouts_leave_capacity_for_breaks() {
    let mut watch = BreakWatch::default();
    for number in 0..5_000 {
        watch.on_no_answer(NOW, crash_of(&format!("plain-{number}"), 1, 1, 1_000));
    }
    watch.on_break(NOW, broken());
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 1);
}

#[test]
fn an_unconfirmed_break_expires() {
    let mut watch = watch();
    watch.on_tick(NOW + 10_000);
    assert_eq!(watch.on_listed(&"plain-1".into(), 5), []);
}

#[test]
fn breaks_are_bounded() {
    let mut watch = BreakWatch::default();
    for number in 0..5_000 {
        watch.on_break(NOW, crash_of(&format!("plain-{number}"), 1, 1, 1_000));
    }
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 1_024);
}

/// Guards against breaks that are dropped because the requests under them have many prompt parts.
#[test]
fn a_crash_counts_once_against_each_part_of_the_requests_that_ran() {
    let mut breaks = BreakWatch::default();
    for request in 0..100 {
        let parts: Rc<[Fingerprint]> = (0..1_000)
            .chain([10_000 + request])
            .map(Fingerprint)
            .collect();
        let notice = crash(request, "engine-1", 1_000 + request);
        breaks.on_break_of_parts(UnixMs(2_000), notice, parts);
    }
    let crashes = breaks.on_connection_refused(&"engine-1".into());
    assert_eq!(crashes.len(), 1_100);
    let shared = crashes
        .iter()
        .find(|notice| notice.fingerprint == Fingerprint(7));
    assert_eq!(
        shared.map(|notice| notice.sent_at_unix_ms),
        Some(UnixMs(1_000))
    );
}
