//! Attribution of crashes to prompt parts, and what instances know of them.

use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};

use super::crash;
use crate::quarantine::{PartHistory, Quarantine, Suspect};

/// Guards against refusing parts that only occur beside the one that crashes engines.
#[test]
fn a_crash_counts_against_the_strongest_suspects_only() {
    let mut parts = Quarantine::with_crashes(3).with_attribution();
    let now = UnixMs(9_000);
    for number in 1..=3 {
        let upstream = format!("engine-{number}");
        parts.on_crash(now, &crash(1, &upstream, number * 1_000));
        parts.on_crash(now, &crash(2, &upstream, number * 1_000));
    }
    // Nothing tells them apart yet.
    assert!(parts.refused_until(now, Fingerprint(1)).is_some());
    assert!(parts.refused_until(now, Fingerprint(2)).is_some());
    parts.on_crash(now, &crash(1, "engine-4", 4_000));
    assert!(parts.refused_until(now, Fingerprint(1)).is_some());
    assert_eq!(parts.refused_until(now, Fingerprint(2)), None);
    // The evidence against the first ends, for example by an operator's release.
    parts.on_cleared(Fingerprint(1), UnixMs(5_000));
    assert_eq!(parts.refused_until(now, Fingerprint(1)), None);
    assert!(parts.refused_until(now, Fingerprint(2)).is_some());
}

/// Guards against remembering what callers name without bound.
#[test]
fn what_is_known_of_parts_is_bounded() {
    let mut history = PartHistory::default();
    for part in 0..10_000 {
        history.on_served(Fingerprint(part), UnixMs(part));
    }
    let suspect = Suspect::default();
    let cleared_at = |part| history.cleared_at(UnixMs(10_000), Fingerprint(part), &suspect);
    assert_eq!(cleared_at(0), None);
    assert_eq!(cleared_at(9_999), Some(UnixMs(9_999)));
}

/// Guards against refusing a first part that all requests share, before anything was served.
#[test]
fn a_first_part_that_was_never_served_is_a_weaker_suspect() {
    let mut parts = Quarantine::with_crashes(3).with_attribution();
    let mut history = PartHistory::default();
    let (first, now) = (Fingerprint(1), UnixMs(9_000));
    history.on_sent(&[first, Fingerprint(2)], UnixMs(900));
    for number in 1..=5 {
        parts.on_crash(now, &crash(1, &format!("engine-{number}"), number * 1_000));
        let suspect = parts.suspect(now, first).expect("a suspect");
        if let Some(at) = history.cleared_at(now, first, suspect) {
            parts.on_cleared(first, at);
        }
        let is_refused = parts.refused_until(now, first).is_some();
        assert_eq!(is_refused, number == 5, "after {number} crashes");
    }
}

/// Guards against evidence that is dropped because a prompt has many parts: the part is found at any place of
/// it, whether the others were served before or not.
#[test]
fn a_part_is_found_among_any_number_of_others() {
    const PARTS: u64 = 4_000;
    for guilty in [1, 33, PARTS / 2, PARTS] {
        for are_served in [true, false] {
            let mut parts = Quarantine::with_crashes(3).with_attribution();
            let now = UnixMs(60_000);
            for number in 1..=3 {
                let at = number * 10_000;
                // Without service between them, the others of each prompt are its own.
                let offset = if are_served { 0 } else { number * 10_000 };
                let notices: Vec<CrashNotice> = (1..=PARTS)
                    .map(|part| if part == guilty { part } else { part + offset })
                    .map(|part| crash(part, &format!("engine-{number}"), at))
                    .collect();
                parts.on_crashes(now, &notices);
                if are_served {
                    let others = (1..=PARTS).filter(|part| *part != guilty);
                    let served: Vec<(Fingerprint, UnixMs)> = others
                        .map(|part| (Fingerprint(part), UnixMs(at + 1_000)))
                        .collect();
                    parts.on_all_cleared(&served);
                }
            }
            let dump = parts.dump(now);
            let expected = vec![Fingerprint(guilty).to_string()];
            assert_eq!(dump.quarantined, expected, "{guilty}, {are_served}");
        }
    }
}
