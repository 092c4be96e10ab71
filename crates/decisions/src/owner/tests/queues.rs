//! Places by class, deadlines, fairness and shedding.

use monsoonspread_model::message::{GrantAnswer, GrantRequest};
use monsoonspread_model::{RequestClass, UnixMs};

use super::fixture::*;
use crate::owner::{OwnerSet, OwnerSettings};

/// An owner with adapter "a" loaded and eight places.
fn loaded(settings: OwnerSettings) -> OwnerSet {
    let mut owner = fresh(2, 8, settings);
    load(&mut owner, START, 1, "a");
    owner
}

/// Sends `count` requests of a class and counts the grants.
fn fill(owner: &mut OwnerSet, first: u64, count: u64, class: RequestClass) -> usize {
    (first..first + count)
        .filter(|id| {
            let actions = owner.on_request(START, &entry(), request_of(START, *id, "a", class));
            granted(&actions, *id).is_some()
        })
        .count()
}

#[test]
fn places_are_kept_for_short_work() {
    let mut owner = loaded(settings());
    assert_eq!(fill(&mut owner, 100, 20, RequestClass::Long), 4);
    assert_eq!(fill(&mut owner, 200, 20, RequestClass::Ordinary), 2);
    assert_eq!(fill(&mut owner, 300, 20, RequestClass::Short), 2);
}

#[test]
fn long_work_holds_fewer_places_while_other_work_waits() {
    let mut owner = loaded(settings());
    owner.on_request(START, &entry(), request(50, "b"));
    assert_eq!(fill(&mut owner, 100, 20, RequestClass::Long), 2);
}

#[test]
fn short_work_may_take_the_whole_batch() {
    let mut owner = loaded(settings());
    assert_eq!(fill(&mut owner, 100, 20, RequestClass::Short), 8);
}

#[test]
fn long_work_alone_does_not_pin_every_slot() {
    let mut owner = fresh(4, 8, settings());
    for (id, name) in [(1, "a"), (2, "b"), (3, "c")] {
        load(&mut owner, START, id, name);
    }
    let long = |id, name| request_of(START, id, name, RequestClass::Long);
    let first = owner.on_request(START, &entry(), long(11, "a"));
    let second = owner.on_request(START, &entry(), long(12, "b"));
    let third = owner.on_request(START, &entry(), long(13, "c"));
    assert!(granted(&first, 11).is_some() && granted(&second, 12).is_some());
    assert!(granted(&third, 13).is_none());
}

#[test]
fn work_that_cannot_start_in_time_is_refused_at_once() {
    let mut owner = loaded(OwnerSettings {
        load_rate_per_s: 0.1,
        load_burst: 1.0,
        ..settings()
    });
    let soon = GrantRequest {
        deadline_unix_ms: START + 2_000,
        ..request(2, "b")
    };
    let actions = owner.on_request(START, &entry(), soon);
    assert!(refused(&actions, 2), "the next load is 10 s away");
    let Some(GrantAnswer::NotRun(refusal)) = answer(&actions, 2) else {
        panic!("{actions:?}");
    };
    assert!(refusal.retry_at_unix_ms > Some(START));
    let actions = owner.on_request(START, &entry(), request(3, "b"));
    assert!(matches!(
        answer(&actions, 3),
        Some(GrantAnswer::Queued { .. })
    ));
}

#[test]
fn waiting_work_is_refused_as_soon_as_it_can_not_start_in_time() {
    let mut owner = fresh(2, 8, settings());
    let soon = GrantRequest {
        deadline_unix_ms: START + 1_000,
        ..request(2, "a")
    };
    owner.on_request(START, &entry(), soon);
    assert!(!refused(&owner.on_tick(START + 500), 2));
    assert!(refused(&owner.on_tick(START + 960), 2));
}

#[test]
fn a_full_queue_sheds_the_lowest_priority() {
    let mut owner = fresh(
        2,
        1,
        OwnerSettings {
            waiting_per_place: 2,
            ..settings()
        },
    );
    let of_priority = |id, priority| GrantRequest {
        priority,
        ..request(id, "a")
    };
    owner.on_request(START, &entry(), of_priority(1, 5));
    owner.on_request(START, &entry(), of_priority(2, 1));
    assert!(refused(
        &owner.on_request(START, &entry(), of_priority(3, 0)),
        3
    ));
    let actions = owner.on_request(START, &entry(), of_priority(4, 2));
    assert!(refused(&actions, 2) && !refused(&actions, 4));
}

#[test]
fn a_caller_does_not_take_the_whole_queue() {
    let mut owner = fresh(
        2,
        1,
        OwnerSettings {
            waiting_per_place: 4,
            ..settings()
        },
    );
    for id in 1..=4 {
        owner.on_request(START, &entry(), request(id, "a"));
    }
    let other = GrantRequest {
        caller: "caller-2".into(),
        ..request(5, "a")
    };
    let actions = owner.on_request(START + 1, &entry(), other);
    assert!(refused(&actions, 4) && !refused(&actions, 5));
}

#[test]
fn callers_take_turns() {
    let mut owner = fresh(2, 1, settings());
    load(&mut owner, START, 1, "a");
    let mut grant = take(&mut owner, START, 2, "a");
    let of = |id: u64, caller: &str| GrantRequest {
        caller: caller.into(),
        tokens: 300,
        ..request(id, "a")
    };
    for id in 10..14 {
        owner.on_request(START, &entry(), of(id, "busy"));
    }
    owner.on_request(START, &entry(), of(20, "quiet"));
    let order: Vec<u64> = (0..5)
        .map(|_| {
            let actions = owner.on_return(START, &entry(), returned(grant));
            let next = (10..=20)
                .find(|id| granted(&actions, *id).is_some())
                .unwrap();
            grant = granted(&actions, next).unwrap();
            next
        })
        .collect();
    let turn = order.iter().position(|id| *id == 20).unwrap();
    assert!(turn <= 1, "{order:?}");
}

#[test]
fn a_batch_is_formed_by_adapter() {
    let mut owner = fresh(2, 2, settings());
    load(&mut owner, START, 1, "a");
    load(&mut owner, START, 2, "b");
    let first = take(&mut owner, START, 3, "a");
    let blocker = owner.on_request(
        START,
        &entry(),
        request_of(START, 4, "a", RequestClass::Short),
    );
    let blocker = granted(&blocker, 4).unwrap();
    owner.on_request(START, &entry(), request(5, "b"));
    owner.on_request(START, &entry(), request(6, "a"));
    let actions = owner.on_return(START, &entry(), returned(first));
    assert!(granted(&actions, 6).is_some() && granted(&actions, 5).is_none());
    owner.on_return(START, &entry(), returned(blocker));
}

#[test]
fn a_slow_upstream_gets_a_smaller_batch() {
    let mut owner = loaded(settings());
    let gap = |owner: &mut OwnerSet, now: UnixMs, id: u64, gap_us: u32| {
        let grant = take(owner, now, id, "a");
        let mut seen = returned(grant);
        seen.token_gap_us = Some(gap_us);
        owner.on_return(now, &entry(), seen);
    };
    (0..20).for_each(|id| gap(&mut owner, START + id, 100 + id, 20_000));
    owner.on_tick(START + 20);
    assert_eq!(owner.owned[&engine()].batch_cap, 8);
    (20..40).for_each(|id| gap(&mut owner, START + id, 100 + id, 200_000));
    owner.on_tick(START + 40);
    assert_eq!(owner.owned[&engine()].batch_cap, 2);
    owner.on_tick(START + 20_000);
    assert_eq!(
        owner.owned[&engine()].batch_cap,
        8,
        "the cap is restored after a while without samples"
    );
}

#[test]
fn a_request_that_would_wait_long_for_a_load_is_refused_while_there_is_time() {
    let slow_loads = OwnerSettings {
        load_rate_per_s: 0.1,
        load_burst: 1.0,
        load_wait_share: 0.5,
        ..settings()
    };
    let mut owner = loaded(slow_loads);
    let by = |id, deadline_ms| GrantRequest {
        deadline_unix_ms: START + deadline_ms,
        ..request(id, "b")
    };
    assert!(refused(
        &owner.on_request(START, &entry(), by(2, 15_000)),
        2
    ));
    assert!(!refused(
        &owner.on_request(START, &entry(), by(3, 30_000)),
        3
    ));
}
