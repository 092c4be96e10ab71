use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::AdapterKey;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::AdapterVersions;

fn key() -> AdapterKey {
    AdapterKey::new("base", Some("a1"))
}

/// Guards against a later announcement that moves the deadline of an earlier one: at any time, the newest
/// version whose own deadline has passed is required, or a newer one.
#[test]
fn each_version_is_required_from_its_own_deadline() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut versions = AdapterVersions::default();
        let (mut now, mut version) = (0, 1);
        let mut announced: Vec<(u64, u64)> = Vec::new();
        for _ in 0..60 {
            now += random.random_range(0..1_500);
            if random.random_bool(0.6) {
                version += random.random_range(1..3);
                // Some announcements are learned late.
                let required_from = now + random.random_range(0..3_500);
                announced.push((version, required_from));
                assert!(versions.on_announced(&key(), version, UnixMs(required_from)));
            }
            let due = announced.iter().filter(|(_, from)| *from <= now);
            let oldest = due.map(|(version, _)| *version).max();
            assert!(
                versions.required(UnixMs(now), &key()) >= oldest,
                "seed {seed}"
            );
            let newest = announced.last().map(|(version, _)| *version);
            assert_eq!(versions.newest(&key()), newest);
        }
    }
}

/// Guards against versions that are required before their deadline, while copies are replaced.
#[test]
fn no_version_is_required_before_its_deadline() {
    let mut versions = AdapterVersions::default();
    for (version, from) in [(2, 3_500), (3, 5_500), (4, 9_000)] {
        versions.on_announced(&key(), version, UnixMs(from));
    }
    let required = [0, 3_499, 3_500, 5_499, 5_500, 8_999, 9_000]
        .map(|now| versions.required(UnixMs(now), &key()));
    let expected = [None, None, Some(2), Some(2), Some(3), Some(3), Some(4)];
    assert_eq!(required, expected);
}

/// Guards against engines that are rejected though their version is still allowed, and against requests
/// without a version while one is required.
#[test]
fn an_engine_has_to_have_the_granted_version_or_the_newest() {
    let mut versions = AdapterVersions::default();
    versions.on_announced(&key(), 2, UnixMs(3_500));
    versions.on_announced(&key(), 3, UnixMs(5_500));
    let expected = |now, granted| versions.expected(UnixMs(now), &key(), granted);
    assert_eq!(
        [None, Some(1)].map(|granted| expected(3_000, granted)),
        [None; 2]
    );
    let granted = [None, Some(1), Some(2), Some(3)];
    assert_eq!(
        granted.map(|granted| expected(4_000, granted)),
        [3, 3, 2, 3].map(Some)
    );
    assert_eq!(
        granted.map(|granted| expected(6_000, granted)),
        [3; 4].map(Some)
    );
}

#[test]
fn a_version_that_is_not_newer_changes_nothing() {
    let mut versions = AdapterVersions::default();
    assert!(versions.on_announced(&key(), 3, UnixMs(1_000)));
    for version in [1, 2, 3] {
        assert!(!versions.on_announced(&key(), version, UnixMs(0)));
    }
    assert_eq!(versions.required(UnixMs(999), &key()), None);
    assert_eq!(versions.newest(&key()), Some(3));
}

/// Guards against a table that grows with announcements in quick succession.
#[test]
fn announcements_in_quick_succession_are_required_no_later() {
    let mut versions = AdapterVersions::default();
    for version in 2..2_000 {
        versions.on_announced(&key(), version, UnixMs(version));
        assert!(versions.required(UnixMs(version), &key()) >= Some(version));
    }
    for version in 2_000..4_000 {
        versions.on_announced(&key(), version, UnixMs(version * 1_000));
    }
    assert!(versions.pending(&key()) <= 16);
}
