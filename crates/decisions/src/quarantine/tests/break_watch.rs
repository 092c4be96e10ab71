use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};

use super::super::BreakWatch;
use super::crash_of;

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
fn an_upstream_that_refuses_connections_after_a_break_has_ended() {
    let mut watch = watch();
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 1);
    assert_eq!(watch.on_connection_refused(&"plain-1".into()), [broken()]);
    assert_eq!(watch.on_connection_refused(&"plain-1".into()), []);
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 0);
}

/// Guards against resets, lost answers and spoiled bytes that are taken for ends of servers.
#[test]
fn a_break_of_an_upstream_that_takes_connections_is_no_crash() {
    let mut watch = watch();
    watch.on_connected(&"plain-1".into());
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 0);
    assert_eq!(watch.on_connection_refused(&"plain-1".into()), []);
    assert_eq!(watch.on_removed(&"plain-1".into()), []);
}

/// Guards against servers that are back before anybody looked.
#[test]
fn an_upstream_that_is_listed_with_another_start_has_ended() {
    let mut watch = watch();
    watch.on_connected(&"plain-1".into());
    assert_eq!(watch.on_listed(&"plain-1".into(), 5), [broken()]);
}

#[test]
fn an_upstream_that_is_listed_with_the_same_start_has_not_ended() {
    assert_eq!(watch().on_listed(&"plain-1".into(), 4), []);
}

#[test]
fn an_upstream_that_vanishes_without_a_word_has_ended() {
    assert_eq!(watch().on_removed(&"plain-1".into()), [broken()]);
}

/// Guards against slow servers that end of another cause: no answer in time is no break.
#[test]
fn silence_counts_only_when_the_upstream_started_anew_or_vanished() {
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

/// Guards against planned leaves that are held against what ran until then.
#[test]
fn what_is_lost_at_an_upstream_that_leaves_is_no_crash() {
    let mut watch = watch();
    watch.on_no_answer(NOW, broken());
    watch.on_leaving(&"plain-1".into());
    assert_eq!(watch.on_removed(&"plain-1".into()), []);
}

/// Guards against many clients in a hurry, whose requests leave no room for breaks.
#[test]
fn silence_leaves_room_for_breaks() {
    let mut watch = BreakWatch::default();
    for number in 0..5_000 {
        watch.on_no_answer(NOW, crash_of(&format!("plain-{number}"), 1, 1, 1_000));
    }
    watch.on_break(NOW, broken());
    assert_eq!(watch.unconfirmed(Fingerprint(7)), 1);
}

#[test]
fn a_break_of_which_no_word_comes_is_forgotten() {
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
