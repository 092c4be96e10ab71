//! One test per rule of the dispatcher.

use monsoonspread_model::message::{CrashNotice, GrantAnswer};
use monsoonspread_model::{Epoch, Fingerprint, Refusal, RefusalReason, RequestClass, UnixMs};

use super::world::{World, upstream};
use crate::dispatch::{AttemptId, DispatchSettings, EndKind};

const FIRST: AttemptId = AttemptId(0);
const SECOND: AttemptId = AttemptId(1);

fn world() -> World {
    World::new(DispatchSettings::default())
}

fn grant_last_request(world: &mut World, epoch: u64) {
    let (request, target) = world.grant_requests.last().unwrap().clone();
    let granted = world.grant(epoch);
    world.reply(request, &target, granted);
}

#[test]
fn an_unresponsive_owner_is_skipped_and_its_late_grant_is_returned() {
    let mut world = world();
    let request = world.request(1, RequestClass::Ordinary, false);
    let unresponsive = world.grant_requests[0].1.clone();
    world.advance(200);
    assert_eq!(world.grant_requests.len(), 2);
    assert_ne!(world.grant_requests[1].1, unresponsive);
    grant_last_request(&mut world, 1);
    let late = world.grant(1);
    world.reply(request, &unresponsive, late);
    assert_eq!(world.generated.len(), 1);
    world.first_token(request, FIRST);
    world.end(request, FIRST, EndKind::Done);
    assert_eq!(world.results[&request], Ok(()));
    world.check_end();
}

#[test]
fn a_request_that_no_owner_takes_is_refused_with_the_earliest_retry_time() {
    let mut world = world();
    let request = world.request(1, RequestClass::Ordinary, false);
    for at in [9_000_000, 8_000_000] {
        let target = world.grant_requests.last().unwrap().1.clone();
        let refusal = Refusal::not_run(RefusalReason::Overloaded, "full");
        let refusal = refusal.with_retry_at(UnixMs(at));
        world.reply(request, &target, GrantAnswer::NotRun(refusal));
    }
    let refusal = world.results[&request].clone().unwrap_err();
    assert!(refusal.not_run);
    assert_eq!(refusal.retry_at_unix_ms, Some(UnixMs(8_000_000)));
}

#[test]
fn a_missed_deadline_is_answered_at_once_and_withdraws_the_request() {
    let mut world = world();
    let request = world.request(1, RequestClass::Ordinary, false);
    let target = world.grant_requests[0].1.clone();
    let expected_at_unix_ms = world.now + 900;
    world.reply(
        request,
        &target,
        GrantAnswer::Queued {
            expected_at_unix_ms,
        },
    );
    world.advance(1_000);
    let refusal = world.results[&request].clone().unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::DeadlineExceeded);
    assert!(refusal.not_run && refusal.retry_at_unix_ms.is_some());
}

#[test]
fn a_stale_grant_is_returned_and_requested_again() {
    let mut world = world();
    let request = world.request(1, RequestClass::Ordinary, false);
    let target = world.grant_requests[0].1.clone();
    world.announce(&target, Epoch(5));
    let old = world.grant(4);
    world.reply(request, &target, old);
    assert!(world.generated.is_empty());
    world.advance(40);
    assert_eq!(world.grant_requests.last().unwrap().1, target);
    grant_last_request(&mut world, 5);
    assert_eq!(world.generated.len(), 1);
}

#[test]
fn a_slow_short_request_is_hedged_once_and_the_first_token_wins() {
    let mut world = world();
    let request = world.request(1, RequestClass::Short, false);
    grant_last_request(&mut world, 1);
    world.advance(620);
    assert_eq!(world.hedges, 1);
    grant_last_request(&mut world, 1);
    world.first_token(request, SECOND);
    assert_eq!(world.running.len(), 1);
    world.end(request, SECOND, EndKind::Done);
    assert_eq!(world.results[&request], Ok(()));
    world.check_end();
}

#[test]
fn long_work_is_never_hedged() {
    let mut world = world();
    world.request(1, RequestClass::Long, false);
    grant_last_request(&mut world, 1);
    world.advance(900);
    assert_eq!(world.hedges, 0);
}

#[test]
fn a_broken_stream_resumes_elsewhere_if_resumable_and_otherwise_ends_in_an_error() {
    for resumable in [true, false] {
        let mut world = world();
        let request = world.request(1, RequestClass::Ordinary, resumable);
        grant_last_request(&mut world, 1);
        world.first_token(request, FIRST);
        world.end(request, FIRST, EndKind::Broken);
        if !resumable {
            let refusal = world.results[&request].clone().unwrap_err();
            assert_eq!(refusal.reason, RefusalReason::UpstreamFailed);
            assert!(!refusal.not_run);
            continue;
        }
        grant_last_request(&mut world, 1);
        let (_, _, resumed) = world.generated[1].clone();
        assert!(resumed);
        assert_ne!(world.generated[0].1, world.generated[1].1);
        world.first_token(request, SECOND);
        world.end(request, SECOND, EndKind::Done);
        assert_eq!(world.results[&request], Ok(()));
    }
}

#[test]
fn a_request_that_crashed_two_upstreams_is_refused_everywhere() {
    let mut world = world();
    let request = world.request(1, RequestClass::Ordinary, false);
    for attempt in [FIRST, SECOND] {
        grant_last_request(&mut world, 1);
        world.end(request, attempt, EndKind::Broken);
    }
    assert_eq!(world.crashes_broadcast, 2);
    assert!(!world.results[&request].clone().unwrap_err().not_run);
    let again = world.request(6, RequestClass::Ordinary, false);
    let refusal = world.results[&again].clone().unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Quarantined);
    assert!(refusal.not_run);
}

#[test]
fn crashes_seen_by_peers_count() {
    let mut world = world();
    for number in 0..2 {
        let notice = CrashNotice {
            fingerprint: Fingerprint(1),
            upstream: upstream(number),
            incarnation: 0,
            sent_at_unix_ms: world.now,
            seen_at_unix_ms: world.now,
        };
        let actions = world.dispatcher.on_crash_notice(world.now, &notice);
        world.apply(actions);
    }
    let request = world.request(1, RequestClass::Ordinary, false);
    assert!(world.results[&request].is_err());
    assert!(world.grant_requests.is_empty());
}

#[test]
fn a_generation_does_not_outlive_its_grant() {
    let mut world = world();
    let request = world.request(1, RequestClass::Long, false);
    grant_last_request(&mut world, 1);
    world.first_token(request, FIRST);
    world.advance(60_100);
    assert!(world.running.is_empty());
    assert!(!world.results[&request].clone().unwrap_err().not_run);
}

#[test]
fn a_disconnected_caller_releases_everything() {
    let mut world = world();
    let request = world.request(1, RequestClass::Ordinary, false);
    grant_last_request(&mut world, 1);
    let actions = world.dispatcher.on_caller_disconnected(request);
    world.apply(actions);
    assert!(world.running.is_empty());
    assert_eq!(world.dispatcher.in_flight(), 0);
}

#[test]
fn an_upstream_between_owners_is_retried_and_then_skipped() {
    let mut world = world();
    let request = world.request(1, RequestClass::Ordinary, false);
    let unowned = world.grant_requests[0].1.clone();
    while world.grant_requests.last().unwrap().1 == unowned {
        world.reply(request, &unowned, GrantAnswer::NotOwner);
        world.advance(20);
    }
    assert_eq!(world.grant_requests.len(), 4);
    grant_last_request(&mut world, 1);
    world.first_token(request, FIRST);
    world.end(request, FIRST, EndKind::Done);
    assert_eq!(world.results[&request], Ok(()));
}

#[test]
fn only_a_refusal_about_the_upstream_makes_a_second_one_load() {
    for (reason, may_load) in [
        (RefusalReason::LoadFailed, true),
        (RefusalReason::Unavailable, true),
        (RefusalReason::Overloaded, false),
        (RefusalReason::DeadlineExceeded, false),
    ] {
        let mut world = world();
        let request = world.request(1, RequestClass::Ordinary, false);
        let target = world.grant_requests[0].1.clone();
        let refusal = Refusal::not_run(reason, "no");
        world.reply(request, &target, GrantAnswer::NotRun(refusal));
        assert_eq!(world.loads_allowed, [true, may_load], "{reason:?}");
    }
}

#[test]
fn grants_received_during_a_process_pause_are_returned() {
    let mut world = world();
    let request = world.request(1, RequestClass::Ordinary, false);
    world.advance(20);
    world.now = world.now + 900;
    grant_last_request(&mut world, 1);
    assert!(world.generated.is_empty());
    assert_eq!(world.grant_requests.len(), 2, "another upstream is tried");
    grant_last_request(&mut world, 1);
    world.first_token(request, FIRST);
    world.end(request, FIRST, EndKind::Done);
    assert_eq!(world.results[&request], Ok(()));
    world.check_end();
}
