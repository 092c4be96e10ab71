use monsoonspread_model::UnixMs;

use super::{Admission, BACK_WITHIN_MS, Departures, Disappearance, LapsingEntries, StoreHealth};

/// Time after which no request may reach a removed upstream, in milliseconds.
const BOUND_MS: u64 = 2_000;

/// An upstream that leaves by removing its entry a second after an outage of the store must not be
/// mistaken for one whose entry expired.
#[test]
fn an_entry_that_is_removed_after_an_outage_is_kept_for_less_than_the_bound() {
    for after_return_ms in [0, 1_240, BACK_WITHIN_MS, 2_900] {
        let mut health = StoreHealth::default();
        health.on_failure(UnixMs(1_000), UnixMs(1_000));
        assert!(health.on_answer(UnixMs(5_000)));
        let removed_at = UnixMs(5_000 + after_return_ms);
        health.on_answer(removed_at);
        let kept_ms = health.status(removed_at).back_by.ms_since(removed_at);
        let remaining_ms = BACK_WITHIN_MS.saturating_sub(after_return_ms);
        assert_eq!(kept_ms, remaining_ms);
        assert!(kept_ms < BOUND_MS);
    }
}

/// Guards against a cut watch that counts as an outage: an upstream that is removed at that moment would be used for
/// longer than the bound, which has begun before the next call.
#[test]
fn an_entry_that_is_removed_as_a_watch_is_cut_is_not_expected_back() {
    let mut health = StoreHealth::default().with_heartbeat_ms(1_200);
    health.on_answer(UnixMs(1_000));
    for cut_at in [1_700, 2_550, 3_400] {
        health.on_failure(UnixMs(cut_at - 200), UnixMs(cut_at));
        assert!(health.on_answer(UnixMs(cut_at + 150)));
        assert_eq!(health.status(UnixMs(cut_at + 150)).back_by, UnixMs(0));
    }
    // An instance that heard of the store from another one, and now asks it itself.
    health.on_current(UnixMs(60_000));
    health.on_failure(UnixMs(60_500), UnixMs(60_700));
    health.on_answer(UnixMs(60_850));
    assert_eq!(health.status(UnixMs(60_850)).back_by, UnixMs(0));
}

/// Guards against servers that are taken for gone after an outage in which they could not write their entries.
#[test]
fn an_outage_counts_from_the_last_answer_before_it() {
    let mut health = StoreHealth::default().with_heartbeat_ms(1_200);
    health.on_answer(UnixMs(1_000));
    health.on_failure(UnixMs(1_900), UnixMs(2_050));
    health.on_failure(UnixMs(2_100), UnixMs(2_150));
    health.on_answer(UnixMs(2_200));
    let back_by = health.status(UnixMs(2_200)).back_by;
    assert_eq!(back_by, UnixMs(2_200 + BACK_WITHIN_MS));
    // A later cut doesn't shorten the time for what expired before.
    health.on_failure(UnixMs(2_700), UnixMs(2_900));
    health.on_answer(UnixMs(3_050));
    assert_eq!(health.status(UnixMs(3_050)).back_by, back_by);
}

#[test]
fn entries_that_ran_out_during_an_outage_may_come_back() {
    let mut health = StoreHealth::default();
    assert!(health.on_failure(UnixMs(0), UnixMs(0)));
    assert!(!health.on_failure(UnixMs(900), UnixMs(900)));
    assert!(health.on_answer(UnixMs(4_000)));
    let back_by = health.status(UnixMs(4_000)).back_by;
    assert_eq!(back_by, UnixMs(4_000 + BACK_WITHIN_MS));
}

/// Guards against instances that see themselves alone after an outage of the store in which the
/// announcements of all lapsed, so that each of them issues all permits.
#[test]
fn announcements_that_ran_out_in_an_outage_stay_listed_until_their_owners_are_back() {
    let mut health = StoreHealth::default();
    health.on_failure(UnixMs(1_000), UnixMs(1_000));
    health.on_answer(UnixMs(9_000));
    let status = health.status(UnixMs(9_000));
    let mut lapsing = LapsingEntries::default();
    for name in ["node-1", "node-2", "node-3"] {
        let gone = lapsing.on_gone(UnixMs(9_000), name, status);
        assert_eq!(gone, Disappearance::Lapsing);
    }
    let again = lapsing.on_gone(UnixMs(9_500), "node-3", status);
    assert_eq!(again, Disappearance::Known);
    lapsing.on_listed(&"node-1");
    lapsing.on_listed(&"node-2");
    let last = UnixMs(9_000 + BACK_WITHIN_MS);
    assert!(lapsing.take_lapsed(UnixMs(last.0 - 1)).is_empty());
    assert_eq!(lapsing.take_lapsed(last), ["node-3"]);
    assert_eq!(
        lapsing.on_gone(last, "node-1", status),
        Disappearance::Ended
    );
}

/// Guards against a version that an instance learns late and counts from then on, so that requests begin on
/// the one before for too long: what is new was written after the state that was known before.
#[test]
fn what_is_new_counts_from_the_state_known_before() {
    let mut health = StoreHealth::default();
    // A process that has just started can't tell how old anything is, whether or not a call failed.
    health.on_failure(UnixMs(8_500), UnixMs(8_600));
    assert_eq!(health.status(UnixMs(9_000)).known_at, UnixMs(0));
    health.on_current(UnixMs(9_000));
    // Answers may arrive long after they were asked for, and feeds tell what is older.
    health.on_answer(UnixMs(9_900));
    health.on_current(UnixMs(8_500));
    assert_eq!(health.status(UnixMs(9_900)).known_at, UnixMs(9_000));
}

/// Guards against a version that is required at once after an outage in which no engine could be ordered to
/// load it.
#[test]
fn what_was_written_in_an_outage_counts_from_its_end() {
    let mut health = StoreHealth::default();
    health.on_current(UnixMs(1_000));
    health.on_failure(UnixMs(1_500), UnixMs(2_700));
    health.on_failure(UnixMs(5_500), UnixMs(6_700));
    health.on_answer(UnixMs(7_000));
    assert_eq!(health.status(UnixMs(7_000)).known_at, UnixMs(5_500));
}

/// Guards against requests to an upstream that left and that a copy of the store lists as ready, and against an
/// upstream that is back and never used again.
#[test]
fn entries_of_upstreams_that_left_are_doubted_after_the_store_came_back_from_a_copy() {
    let mut departures = Departures::default();
    let (leaving, silent) = ("engine-1".into(), "engine-2".into());
    departures.on_left(UnixMs(1_000), &leaving, 7, true);
    departures.on_left(UnixMs(1_000), &silent, 7, false);
    let admissions = |departures: &Departures, now| {
        [&leaving, &silent].map(|name| departures.admission(UnixMs(now), name, 7))
    };
    // A state of the store in whose history both departures are.
    assert_eq!(admissions(&departures, 2_000), [Admission::Now; 2]);
    departures.on_restored(UnixMs(3_000));
    let doubted = [Admission::Never, Admission::From(UnixMs(8_000))];
    assert_eq!(admissions(&departures, 3_000), doubted);
    assert_eq!(admissions(&departures, 7_999), doubted);
    // The copy may be older than their last restart.
    let older = [&leaving, &silent].map(|name| departures.admission(UnixMs(3_000), name, 6));
    assert_eq!(older, doubted);
    // The second one writes its entry again.
    departures.on_written(&silent);
    assert_eq!(
        admissions(&departures, 7_999),
        [Admission::Never, Admission::Now]
    );
    assert_eq!(admissions(&departures, 8_000), [Admission::Now; 2]);
}
