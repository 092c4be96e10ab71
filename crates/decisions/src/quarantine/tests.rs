use monsoonspread_model::message::CrashNotice;
use monsoonspread_model::{Fingerprint, UnixMs};

use super::{MAX_FINGERPRINTS, QUARANTINE_MS, Quarantine};

fn crash(fingerprint: u64, upstream: &str, at: u64) -> CrashNotice {
    CrashNotice {
        fingerprint: Fingerprint(fingerprint),
        upstream: upstream.into(),
        seen_at_unix_ms: UnixMs(at),
    }
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
