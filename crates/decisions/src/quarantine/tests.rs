mod break_watch;
mod part_attribution;
mod parts;
mod simulation;

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};
use quickcheck::{Arbitrary, Gen};

use super::quarantined::MAX_FINGERPRINTS;
use super::{Admission, QUARANTINE_MS, Quarantine};

/// Seed and size of generated cases.
const SEED: u64 = 23;
const SIZE: usize = 40;
const CASES: usize = 300;

fn crash(fingerprint: u64, upstream: &str, at: u64) -> CrashNotice {
    CrashNotice {
        fingerprint: Fingerprint(fingerprint),
        upstream: upstream.into(),
        incarnation: 0,
        sent_at_unix_ms: UnixMs(at),
        seen_at_unix_ms: UnixMs(at),
    }
}

/// A crash at `at` under a request that was sent at `sent_at`.
fn crash_of(upstream: &str, incarnation: u64, sent_at: u64, at: u64) -> CrashNotice {
    CrashNotice {
        incarnation,
        sent_at_unix_ms: UnixMs(sent_at),
        ..crash(7, upstream, at)
    }
}

fn counted(notices: &[CrashNotice]) -> usize {
    let mut quarantine = Quarantine::new();
    for notice in notices {
        quarantine.on_crash(notice.seen_at_unix_ms, notice);
    }
    quarantine.crashes(UnixMs(10_000), Fingerprint(7))
}

#[test]
fn two_upstreams_crashed_is_enough_and_one_crashed_twice_is_not() {
    let mut quarantine = Quarantine::new();
    assert!(quarantine.on_crash(UnixMs(1), &crash(7, "engine-1", 1)));
    assert!(!quarantine.on_crash(UnixMs(2), &crash(7, "engine-1", 2)));
    assert_eq!(quarantine.refused_until(UnixMs(2), Fingerprint(7)), None);
    assert!(quarantine.is_suspected(UnixMs(2), Fingerprint(7)));
    assert!(quarantine.on_crash(UnixMs(3), &crash(7, "engine-2", 3)));
    let until = quarantine.refused_until(UnixMs(3), Fingerprint(7));
    assert_eq!(until, Some(UnixMs(3) + QUARANTINE_MS));
    assert_eq!(quarantine.refused_until(UnixMs(3), Fingerprint(8)), None);
}

#[test]
fn a_quarantine_ends() {
    let mut quarantine = Quarantine::new();
    quarantine.on_crash(UnixMs(1), &crash(7, "engine-1", 1));
    quarantine.on_crash(UnixMs(1), &crash(7, "engine-2", 1));
    let later = UnixMs(1) + QUARANTINE_MS;
    assert_eq!(quarantine.refused_until(later, Fingerprint(7)), None);
    assert!(!quarantine.on_crash(later, &crash(7, "engine-3", 1)));
}

#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::new();
    for fingerprint in 0..3 * MAX_FINGERPRINTS as u64 {
        quarantine.on_crash(
            UnixMs(fingerprint),
            &crash(fingerprint, "engine-1", fingerprint),
        );
    }
    assert!(quarantine.dump(UnixMs(5_000)).suspected <= MAX_FINGERPRINTS);
}

/// Guards against a crash of many servers that evicts a refused request.
#[test]
fn a_flood_of_harmless_requests_evicts_no_quarantined_one() {
    let mut quarantine = Quarantine::new();
    quarantine.on_crash(UnixMs(1), &crash(7, "engine-1", 1));
    quarantine.on_crash(UnixMs(2), &crash(7, "engine-2", 2));
    for fingerprint in 100..100 + 3 * MAX_FINGERPRINTS as u64 {
        quarantine.on_crash(UnixMs(3), &crash(fingerprint, "engine-3", 3));
    }
    assert!(
        quarantine
            .refused_until(UnixMs(4), Fingerprint(7))
            .is_some()
    );
}

/// Guards against a server with few peers that one request crashes repeatedly under the same name.
#[test]
fn each_start_of_an_upstream_counts() {
    let ends: Vec<CrashNotice> = (1..=3)
        .map(|start| crash_of("plain-1", start, start * 1_000, start * 1_000 + 5))
        .collect();
    assert_eq!(counted(&ends), 3);
    assert_eq!(counted(&[ends[0].clone(), ends[0].clone()]), 1);
}

/// Guards against a paused instance that counts several crashes as one because it received all
/// notices at the same moment.
#[test]
fn crashes_reported_late_are_separated_by_later_notices() {
    let real: Vec<CrashNotice> = (1..=3)
        .map(|number| {
            crash_of(
                &format!("plain-{number}"),
                1,
                number * 300,
                number * 300 + 5,
            )
        })
        .collect();
    let late = real.iter().map(|crash| CrashNotice {
        sent_at_unix_ms: UnixMs(5_000),
        seen_at_unix_ms: UnixMs(5_005),
        ..crash.clone()
    });
    let late: Vec<CrashNotice> = late.collect();
    assert_eq!(counted(&late), 1);
    let mut quarantine = Quarantine::with_crashes(3);
    let notices = late.iter().chain(&real);
    let changed: Vec<bool> = notices
        .map(|notice| quarantine.on_crash(UnixMs(6_000), notice))
        .collect();
    assert_eq!(quarantine.crashes(UnixMs(6_000), Fingerprint(7)), 3);
    assert!(changed[3..].contains(&true), "the change is reported");
    assert!(!quarantine.on_crash(UnixMs(6_000), &late[0]));
}

/// Guards against refusing copies of a harmless request after a whole group of servers crashed for
/// another reason.
#[test]
fn simultaneous_crashes_count_once() {
    let ends: Vec<CrashNotice> = (0..6)
        .map(|number| crash_of(&format!("plain-{number}"), 1, 990, 1_000 + number * 20))
        .collect();
    assert_eq!(counted(&ends), 1);
    // A copy that was sent after the first crash counts as a separate cause.
    let again = crash_of("plain-7", 1, 1_001, 1_010);
    assert_eq!(counted(&[ends[0].clone(), again]), 2);
}

/// Guards against refusing a common request of which copies are served all along.
#[test]
fn a_copy_that_is_served_clears_the_request() {
    let mut quarantine = Quarantine::with_crashes(3);
    for (number, at) in [100, 1_100, 2_100, 3_100].into_iter().enumerate() {
        quarantine.on_crash(UnixMs(at), &crash(7, &format!("plain-{number}"), at));
        assert!(quarantine.on_cleared(Fingerprint(7), UnixMs(at + 500)));
        assert!(!quarantine.on_cleared(Fingerprint(7), UnixMs(at + 500)));
    }
    let now = UnixMs(4_000);
    assert_eq!(quarantine.crashes(now, Fingerprint(7)), 0);
    assert_eq!(
        quarantine.admission(now, Fingerprint(7), 0, 5),
        Admission::Unrestricted
    );
}

#[test]
fn a_copy_that_was_served_before_a_crash_clears_nothing() {
    let mut quarantine = Quarantine::new();
    quarantine.on_crash(UnixMs(1_000), &crash(7, "plain-1", 1_000));
    assert!(!quarantine.on_cleared(Fingerprint(7), UnixMs(900)));
    assert_eq!(quarantine.crashes(UnixMs(1_001), Fingerprint(7)), 1);
}

#[test]
fn admission_tightens_with_each_crash() {
    let mut quarantine = Quarantine::with_crashes(3);
    let now = UnixMs(5_000);
    let request = Fingerprint(7);
    assert_eq!(
        quarantine.admission(now, request, 1, 4),
        Admission::Unrestricted
    );
    quarantine.on_crash(now, &crash(7, "engine-1", 1_000));
    assert_eq!(
        quarantine.admission(now, request, 0, 4),
        Admission::Unrestricted
    );
    // A break that may be a crash restricts the next copy.
    assert_eq!(
        quarantine.admission(now, request, 1, 4),
        Admission::SingleAttempt
    );
    quarantine.on_crash(now, &crash(7, "engine-2", 2_000));
    assert_eq!(
        quarantine.admission(now, request, 0, 0),
        Admission::SingleAttempt
    );
    assert_eq!(
        quarantine.admission(now, request, 0, 1),
        Admission::RetryLater
    );
    quarantine.on_crash(now, &crash(7, "engine-3", 3_000));
    let until = UnixMs(3_000 + QUARANTINE_MS);
    assert_eq!(
        quarantine.admission(now, request, 0, 0),
        Admission::Refused(until)
    );
}

/// Guards against reporting every harmless request on a crashed engine to the whole fleet.
#[test]
fn requests_are_fleet_wide_from_the_second_crash_even_when_cleared() {
    let mut quarantine = Quarantine::with_crashes(3);
    let now = UnixMs(5_000);
    quarantine.on_crash(now, &crash(7, "engine-1", 1_000));
    assert!(!quarantine.is_fleet_wide(now, Fingerprint(7)));
    quarantine.on_crash(now, &crash(7, "engine-2", 2_000));
    assert!(quarantine.is_fleet_wide(now, Fingerprint(7)));
    quarantine.on_cleared(Fingerprint(7), UnixMs(3_000));
    // The other instances must be informed that it is cleared.
    assert!(quarantine.is_fleet_wide(now, Fingerprint(7)));
    assert!(quarantine.fleet_wide(now).count() == 1);
}

#[derive(Clone, Debug)]
enum Event {
    Crash(u8, u16, u16),
    Cleared(u16),
}

impl Arbitrary for Event {
    fn arbitrary(random: &mut Gen) -> Self {
        if bool::arbitrary(random) && bool::arbitrary(random) {
            return Self::Cleared(u16::arbitrary(random));
        }
        let lasted = u16::arbitrary(random) % 500;
        Self::Crash(u8::arbitrary(random) % 5, u16::arbitrary(random), lasted)
    }
}

fn count_after(events: &[Event]) -> usize {
    let mut quarantine = Quarantine::with_crashes(3);
    let now = UnixMs(70_000);
    // A clearing is never reported without the crashes that it clears.
    quarantine.on_crash(now, &crash_of("engine-9", 0, 0, 0));
    for event in events {
        match *event {
            Event::Crash(upstream, at, lasted) => {
                let at = u64::from(at);
                let sent_at = at.saturating_sub(lasted.into());
                let upstream_name = format!("engine-{upstream}");
                let notice = crash_of(&upstream_name, at % 3, sent_at, at);
                quarantine.on_crash(now, &notice);
            }
            Event::Cleared(at) => {
                quarantine.on_cleared(Fingerprint(7), UnixMs(at.into()));
            }
        }
    }
    quarantine.crashes(now, Fingerprint(7))
}

/// Guards against instances that receive the same notices in another order and decide differently.
#[test]
fn crash_counts_do_not_depend_on_notice_order() {
    let mut random = Gen::from_size_and_seed(SIZE, SEED);
    for _ in 0..CASES {
        let mut events: Vec<Event> = Vec::arbitrary(&mut random);
        // A full list drops the oldest crash, which clearings may depend on.
        events.truncate(7);
        let forward = count_after(&events);
        events.reverse();
        assert_eq!(forward, count_after(&events), "{events:?}");
    }
}
