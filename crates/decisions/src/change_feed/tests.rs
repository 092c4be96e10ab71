use monsoonspread_model::{InstanceName, UnixMs};

use super::{
    CatchUp, ChangeSpan, FeedSourceSelector, FeedTiming, MAX_SOURCES, Notice, Publisher, SpanUse,
    StoreRead, SubscribeAnswer, split_by_revision,
};
use crate::store_health::StoreHealth;

fn names(names: &[&str]) -> Vec<InstanceName> {
    names.iter().map(|name| (*name).into()).collect()
}

#[test]
fn one_instance_of_a_zone_watches_the_store() {
    let zone = names(&["a-2", "a-1", "a-3"]);
    let watching: Vec<&InstanceName> = zone
        .iter()
        .filter(|local| {
            let source = FeedSourceSelector::new((*local).clone());
            source.choose(UnixMs(0), zone.iter()).is_none()
        })
        .collect();
    assert_eq!(watching, [&InstanceName::from("a-1")]);
}

#[test]
fn a_failed_source_is_skipped_for_a_while() {
    let zone = names(&["a-1", "a-2", "a-3"]);
    let mut source = FeedSourceSelector::new("a-3".into());
    source.on_timeout(UnixMs(0), "a-1".into());
    assert_eq!(source.choose(UnixMs(5), zone.iter()), Some(&zone[1]));
    source.on_timeout(UnixMs(5), "a-2".into());
    assert_eq!(source.choose(UnixMs(6), zone.iter()), None);
    assert_eq!(source.choose(UnixMs(60_000), zone.iter()), Some(&zone[0]));
}

/// The source of a source has failed: the next one needs some time to notice it.
#[test]
fn a_source_that_declined_is_retried_soon() {
    let zone = names(&["a-1", "a-2", "a-3"]);
    let mut source = FeedSourceSelector::new("a-3".into());
    source.on_timeout(UnixMs(0), "a-1".into());
    source.on_declined(UnixMs(0), "a-2".into());
    assert_eq!(source.choose(UnixMs(1_000), zone.iter()), None);
    assert_eq!(source.choose(UnixMs(2_000), zone.iter()), Some(&zone[1]));
}

/// An instance that isn't listed yet, or whose own entry expired, receives changes all the same.
#[test]
fn an_instance_need_not_be_listed() {
    let zone = names(&["a-1"]);
    let source = FeedSourceSelector::new("a-0".into());
    assert_eq!(source.choose(UnixMs(0), zone.iter()), None);
    let source = FeedSourceSelector::new("a-9".into());
    assert_eq!(source.choose(UnixMs(0), zone.iter()), Some(&zone[0]));
}

#[test]
fn spans_with_a_gap_or_without_content_are_read_from_the_store() {
    let span = |after, up_to, is_complete| ChangeSpan {
        after,
        up_to,
        is_complete,
    };
    assert_eq!(span(5, 8, true).usage(4), SpanUse::Read);
    assert_eq!(span(5, 8, false).usage(5), SpanUse::Read);
    assert_eq!(span(5, 8, true).usage(6), SpanUse::Apply);
    assert_eq!(span(8, 8, true).usage(8), SpanUse::Known);
}

/// Guards against a source that keeps sending heartbeats while the store is unresponsive for it
/// alone and its watch call hangs.
#[test]
fn a_source_with_an_unresponsive_store_becomes_unavailable_in_time() {
    let change_ms = 2_000;
    let timing = FeedTiming::new(change_ms);
    let mut publisher = Publisher::new(timing);
    publisher.on_read(UnixMs(0));
    let mut ended_at = None;
    for now in (0..change_ms).map(UnixMs) {
        match publisher.notice(now) {
            None => {}
            Some(Notice::Alive) => publisher.on_sent(now),
            Some(Notice::Unavailable) => {
                ended_at.get_or_insert(now);
                publisher.on_lost();
            }
        }
    }
    let ended_at = ended_at.expect("a notice");
    // The source may freeze just before.
    assert!(ended_at.0 + timing.source_timeout_ms <= change_ms * 17 / 20);
}

/// One late heartbeat doesn't cause a timeout.
#[test]
fn a_source_without_changes_sends_heartbeats() {
    let timing = FeedTiming::new(3_000);
    let mut publisher = Publisher::new(timing);
    let mut longest_ms = 0;
    let mut sent_at = UnixMs(1_000);
    publisher.on_read(sent_at);
    for now in (1_000..9_000).map(UnixMs) {
        if now.0 % timing.coalesce_ms == 0 {
            publisher.on_read(now);
        }
        if publisher.notice(now) == Some(Notice::Alive) {
            publisher.on_sent(now);
            longest_ms = longest_ms.max(now.ms_since(sent_at));
            sent_at = now;
        }
    }
    assert!(2 * timing.heartbeat_ms < timing.source_timeout_ms);
    // A change that is read at once is followed by a pause and a watch call without changes.
    assert!(timing.coalesce_ms + timing.watch_ms < timing.stale_ms * 4 / 5);
    assert_eq!(longest_ms, timing.heartbeat_ms);
}

/// Many engines that return at once in a large fleet: subscribers receive them in several messages,
/// and none has to read the store.
#[test]
fn a_long_list_of_changes_is_sent_in_consecutive_parts() {
    // Claims of sixteen engines share a revision.
    let revisions: Vec<u64> = (0..200).map(|number| 100 + number / 16).collect();
    let lengths = split_by_revision(&revisions, 40);
    assert_eq!(lengths.iter().sum::<usize>(), revisions.len());
    let mut known = 99;
    let mut start = 0;
    for length in lengths {
        assert!(length <= 40);
        let part = &revisions[start..start + length];
        assert!(start == 0 || revisions[start - 1] < part[0]);
        let received = ChangeSpan {
            after: known,
            up_to: part[length - 1],
            is_complete: true,
        };
        assert_eq!(received.usage(known), SpanUse::Apply);
        known = received.up_to;
        start += length;
    }
}

#[test]
fn changes_of_one_revision_stay_together() {
    assert_eq!(split_by_revision(&[1, 2, 2, 2, 3], 2), [1, 3, 1]);
    assert_eq!(split_by_revision(&[], 2), [0_usize; 0]);
}

/// Guards against a search through a whole large zone during an outage of the store: each instance
/// tried all others of its zone in turn before it called the store, and started again a second later.
#[test]
fn no_instance_searches_its_whole_zone_for_a_source() {
    let zone: Vec<InstanceName> = (10..50).map(|n| format!("a-{n}").as_str().into()).collect();
    let mut source = FeedSourceSelector::new("a-49".into());
    let mut tried = 0;
    while let Some(chosen) = source.choose(UnixMs(0), zone.iter()).cloned() {
        source.on_declined(UnixMs(0), chosen);
        tried += 1;
    }
    assert_eq!(tried, MAX_SOURCES);
}

/// Limits the calls of each instance that watches the store during an outage of five seconds.
#[test]
fn calls_become_rarer_during_an_outage() {
    for (change_ms, max_calls) in [(2_000, 18), (4_000, 7)] {
        let timing = FeedTiming::new(change_ms);
        let mut health = StoreHealth::default();
        let (mut now, mut calls) = (UnixMs(0), 0);
        while now < UnixMs(5_000) {
            health.on_failure(now, now);
            calls += 1;
            now = now + health.retry_ms(timing.max_retry_ms);
        }
        assert!(calls <= max_calls, "{calls} calls");
        // The store's recovery is noticed in time.
        let noticed_ms = now.ms_since(UnixMs(5_000));
        assert!(noticed_ms <= change_ms / 4);
    }
}

/// Guards against one reset connection that makes every instance of the zone read the store.
#[test]
fn one_failed_call_ends_no_source() {
    let timing = FeedTiming::new(2_000);
    let mut publisher = Publisher::new(timing);
    publisher.on_started(UnixMs(0));
    publisher.on_read(UnixMs(0));
    assert!(!publisher.on_failed());
    assert_eq!(publisher.answer(UnixMs(300)), SubscribeAnswer::Known);
    assert_eq!(
        publisher.notice(UnixMs(timing.stale_ms)),
        Some(Notice::Unavailable)
    );
}

/// A watch call that returned changes at once is followed by a pause and then by a failing one.
#[test]
fn a_source_has_time_for_a_second_call() {
    for change_ms in [2_000, 3_000, 4_000] {
        let timing = FeedTiming::new(change_ms);
        let mut health = StoreHealth::default();
        health.on_failure(UnixMs(0), UnixMs(0));
        let answered_after_ms = timing.coalesce_ms + health.retry_ms(timing.max_retry_ms);
        assert!(answered_after_ms + timing.heartbeat_ms / 2 < timing.stale_ms);
    }
}

/// The first source has failed, and the second one has not called the store yet.
#[test]
fn subscribers_wait_for_an_instance_that_starts_to_watch_the_store() {
    let timing = FeedTiming::new(2_000);
    let mut publisher = Publisher::new(timing);
    assert_eq!(publisher.answer(UnixMs(0)), SubscribeAnswer::Unavailable);
    publisher.on_started(UnixMs(0));
    assert_eq!(publisher.answer(UnixMs(1)), SubscribeAnswer::Later);
    assert!(timing.start_ms > timing.watch_ms);
    assert_eq!(
        publisher.notice(UnixMs(timing.start_ms)),
        Some(Notice::Unavailable)
    );
    assert!(publisher.on_failed());
    publisher.on_started(UnixMs(400));
    assert_eq!(publisher.answer(UnixMs(400)), SubscribeAnswer::Unavailable);
    assert!(!publisher.on_failed());
}

/// The store is unreachable for every source, and the instance tries them in turn.
#[test]
fn sources_that_fail_in_turn_leave_time_to_read_the_store() {
    for change_ms in [2_000, 3_000, 4_000] {
        let timing = FeedTiming::new(change_ms);
        let others = MAX_SOURCES as u64 - 1;
        let until_local_read_ms = timing.stale_ms + others * timing.start_ms;
        assert!(until_local_read_ms <= change_ms * 17 / 20);
    }
}

/// Guards against reading a history that grows with each interruption, when only its end is needed.
#[test]
fn an_instance_that_fell_behind_reads_the_current_state() {
    let timing = FeedTiming::new(2_000);
    let mut catch_up = CatchUp::new(timing, UnixMs(10_000));
    let usual_ms = timing.coalesce_ms + timing.watch_ms;
    assert_eq!(
        catch_up.next_read(UnixMs(10_000) + usual_ms),
        StoreRead::Changes
    );
    let late = UnixMs(10_000) + timing.max_history_ms + 1;
    assert_eq!(catch_up.next_read(late), StoreRead::Everything);
    catch_up.on_current(late);
    assert_eq!(catch_up.next_read(late + usual_ms), StoreRead::Changes);
    catch_up.on_cut_short();
    assert_eq!(catch_up.next_read(late), StoreRead::Everything);
    // An earlier answer that arrives late doesn't make the state more current.
    catch_up.on_current(UnixMs(10_001));
    assert_eq!(catch_up.next_read(late), StoreRead::Changes);
    assert_eq!(
        catch_up.next_read(late + timing.max_history_ms + 1),
        StoreRead::Everything
    );
}
