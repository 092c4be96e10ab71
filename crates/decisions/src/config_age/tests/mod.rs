mod zone;

use monsoonspread_model::UnixMs;

use super::{AgeBounds, ConfigAge, ConfirmationRequests, ConfirmationSource, VouchChange};
use zone::{Faults, Zone};

/// Bounds of a deployment: a removed key admits nothing after this time, in milliseconds.
const REVOKE_MS: u64 = 5_000;
/// Time within which an added key works, in milliseconds.
const CONFIG_MS: u64 = 3_000;

fn bounds() -> AgeBounds {
    AgeBounds::new(CONFIG_MS, Some(REVOKE_MS))
}

fn zone(seed: u64, instances: usize) -> Zone {
    let change_ms = CONFIG_MS.min(AgeBounds::max_change_ms(REVOKE_MS));
    Zone::new(seed, instances, bounds(), change_ms)
}

/// Keys are removed while links are cut and slow, and instances freeze and restart with another time of day.
#[test]
fn no_removed_key_admits_a_request_after_the_bound() {
    for (instances, seeds) in [(2, 400), (7, 100), (80, 4), (300, 1)] {
        for seed in 0..seeds {
            let mut zone = zone(seed, instances).with_faults(Faults::Many);
            for _ in 0..30_000 / zone::STEP_MS {
                zone.step();
                for (instance, since_ms) in zone.vouches_for_removed() {
                    assert!(
                        since_ms <= REVOKE_MS,
                        "instance {instance} of {instances}, seed {seed}: {since_ms} ms"
                    );
                }
            }
        }
    }
}

/// A zone loses the store in calm: its callers are served for three fifths of the bound.
#[test]
fn an_instance_without_the_store_serves_for_as_long_as_it_owes() {
    for (instances, seeds) in [(2, 60), (7, 20), (80, 2), (300, 1)] {
        for seed in 0..seeds {
            let mut zone = zone(seed, instances);
            zone.run(4_000 + seed * 17);
            assert_eq!(zone.refusing(), 0, "in calm, seed {seed}");
            zone.cut_from_store();
            zone.run(REVOKE_MS * 3 / 5);
            assert_eq!(zone.refusing(), 0, "{instances} instances, seed {seed}");
            zone.run(REVOKE_MS * 2 / 5);
            assert_eq!(zone.refusing(), instances, "after the bound, seed {seed}");
        }
    }
}

/// An unknown key in calm gets its final answer at each instance.
#[test]
fn unknown_keys_are_refused_for_good_in_calm() {
    let mut zone = zone(3, 7);
    zone.run(1_000);
    for _ in 0..10_000 / zone::STEP_MS {
        zone.step();
        assert_eq!(zone.without_final_answer(), 0);
    }
}

/// An earlier process of a subscriber asked with a number that the new one may use too.
#[test]
fn an_answer_to_another_process_confirms_nothing() {
    let mut source = ConfirmationSource::default();
    source.on_request(UnixMs(100), &"b".into(), 1);
    source.on_connected(&"b".into());
    assert!(source.on_read(UnixMs(900), UnixMs(600), 5).is_empty());
    let mut requests = ConfirmationRequests::new(1);
    let mut other = source.on_request(UnixMs(1_000), &"b".into(), 1);
    let mut answer = other.take().expect("an answer");
    assert_eq!(requests.confirmed_at(UnixMs(9_000), 5, &answer), None);
    requests.on_send(UnixMs(9_000));
    answer.asked_after_ms = i64::MIN;
    assert_eq!(requests.confirmed_at(UnixMs(9_000), 5, &answer), None);
}

/// The store is slow: an answer that took four seconds tells of the time before them.
#[test]
fn a_late_answer_confirms_the_time_at_which_it_was_asked_for() {
    let mut age = ConfigAge::new(bounds());
    age.on_confirmed(UnixMs(10_000));
    assert!(age.vouches(UnixMs(13_900)));
    assert_eq!(age.on_tick(UnixMs(13_900)), None);
    assert_eq!(age.on_tick(UnixMs(14_500)), Some(VouchChange::Stopped));
    age.on_confirmed(UnixMs(9_000));
    assert_eq!(age.age_ms(UnixMs(14_500)), Some(4_500));
    age.on_confirmed(UnixMs(14_400));
    assert_eq!(age.on_tick(UnixMs(14_500)), Some(VouchChange::Resumed));
}

/// A deployment without a strict bound serves known keys for as long as the store is away.
#[test]
fn without_a_strict_bound_known_keys_are_always_admitted() {
    let age = ConfigAge::new(AgeBounds::new(CONFIG_MS, None));
    assert!(age.vouches(UnixMs(1_000_000)));
}

/// An answer of the store reaches a frozen source eight seconds late; its subscribers learn when it was asked for.
#[test]
fn a_source_tells_when_it_asked() {
    let mut source = ConfirmationSource::default();
    source.on_request(UnixMs(1_000), &"b".into(), 4);
    let confirmations = source.on_read(UnixMs(2_000), UnixMs(1_200), 5);
    assert_eq!(confirmations[0].1.asked_after_ms, 200);
    let answer = source.on_request(UnixMs(9_900), &"b".into(), 5);
    assert_eq!(answer.expect("an answer").asked_after_ms, -8_700);
}
