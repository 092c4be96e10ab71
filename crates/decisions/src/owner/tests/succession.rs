//! Takeovers, reconciliation, stepping down and handovers.

use monsoonspread_model::message::{
    Announce, AnnounceRequest, GrantAnswer, GrantId, Handover, HeldGrant, MeshMessage, RequestId,
};
use monsoonspread_model::{Epoch, InstanceName};

use super::fixture::*;
use crate::owner::{OrderFailure, OwnerAction, OwnerSet, OwnershipOrigin, UpstreamShape};

/// The former owner, which also holds grants.
fn former() -> InstanceName {
    "entry-3".into()
}

/// An owner under epoch 2 after a takeover that received a report of copy "a" of epoch 1.
fn taken_over(slots: u32, checks_fencing: bool, fenced: bool) -> OwnerSet {
    let mut owner = OwnerSet::new("entry-1".into(), settings(), 1);
    let shape = UpstreamShape::new("engine-1", slots, 8, checks_fencing);
    let holders = [entry(), former()];
    owner.on_ownership_gained(START, shape, Epoch(2), OwnershipOrigin::Takeover, &holders);
    if fenced {
        owner.on_fence_result(START, &engine(), Epoch(2), Ok(()));
    }
    let seen = report(START + 1, &[(copy_of("a", 1), 0)]);
    owner.on_report(START + 1, &engine(), seen);
    owner
}

fn announce(owner: &mut OwnerSet, from: &InstanceName, grants: Vec<HeldGrant>) -> Vec<OwnerAction> {
    let announce = Announce {
        upstream: engine(),
        epoch: Epoch(2),
        grants,
    };
    owner.on_announce(START + 2, from, announce)
}

fn steps_down(actions: &[OwnerAction]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, OwnerAction::StepDown { .. }))
}

#[test]
fn an_older_copy_is_used_only_after_the_engine_accepted_the_number() {
    let mut owner = taken_over(2, true, false);
    let actions = owner.on_request(START + 3, &entry(), request(1, "a"));
    assert!(granted(&actions, 1).is_none());
    let actions = owner.on_fence_result(START + 4, &engine(), Epoch(2), Ok(()));
    assert!(granted(&actions, 1).is_some());
}

#[test]
fn without_fencing_an_older_copy_is_used_only_after_all_announced() {
    let mut owner = taken_over(2, false, false);
    owner.on_request(START + 3, &entry(), request(1, "b"));
    announce(&mut owner, &entry(), Vec::new());
    let actions = owner.on_request(START + 3, &entry(), request(2, "a"));
    assert!(granted(&actions, 2).is_none());
    announce(&mut owner, &former(), Vec::new());
    assert!(granted(&owner.on_request(START + 4, &entry(), request(3, "a")), 3).is_some());
}

#[test]
fn without_fencing_a_lost_holder_keeps_older_copies_from_use() {
    let mut owner = taken_over(2, false, false);
    announce(&mut owner, &entry(), Vec::new());
    owner.on_instance_removed(START + 3, &former());
    let actions = owner.on_request(START + 4, &entry(), request(1, "a"));
    assert_eq!(
        loads(&actions),
        [copy_of("a", 2)],
        "it loads a copy of its own epoch"
    );
}

#[test]
fn an_older_copy_is_evicted_only_after_all_announced() {
    let mut owner = taken_over(1, true, true);
    let actions = owner.on_request(START + 2, &entry(), request(1, "b"));
    assert!(unloads(&actions).is_empty());
    announce(&mut owner, &entry(), Vec::new());
    assert!(unloads(&owner.on_tick(START + 20)).is_empty());
    let actions = announce(&mut owner, &former(), Vec::new());
    assert_eq!(unloads(&actions), [copy_of("a", 1)]);
}

/// A grant of epoch 1 on copy "a".
fn held() -> HeldGrant {
    HeldGrant {
        grant: GrantId {
            epoch: Epoch(1),
            serial: 7,
        },
        request: RequestId(70),
        adapter: adapter("a"),
        copy_epoch: Epoch(1),
        class: Default::default(),
        caller: "caller-1".into(),
        tokens: 10,
        expires_at_unix_ms: START + 30_000,
    }
}

fn places_used(owner: &OwnerSet) -> u32 {
    owner.dump(START).upstreams[0].places_used
}

#[test]
fn an_announced_grant_pins_its_copy() {
    let mut owner = taken_over(1, true, true);
    announce(&mut owner, &entry(), vec![held()]);
    announce(&mut owner, &former(), Vec::new());
    owner.on_request(START + 3, &entry(), request(1, "b"));
    assert!(unloads(&owner.on_tick(START + 20)).is_empty());
    let actions = owner.on_return(START + 30, &entry(), returned(held().grant));
    assert_eq!(unloads(&actions), [copy_of("a", 1)]);
}

#[test]
fn a_return_that_overtakes_its_announcement_counts() {
    let mut owner = taken_over(1, true, true);
    owner.on_return(START + 1, &entry(), returned(held().grant));
    announce(&mut owner, &entry(), vec![held()]);
    assert_eq!(places_used(&owner), 0);
}

#[test]
fn an_announcement_to_another_epoch_is_ignored() {
    let mut owner = taken_over(1, true, true);
    let other = Announce {
        upstream: engine(),
        epoch: Epoch(1),
        grants: vec![held()],
    };
    owner.on_announce(START + 2, &entry(), other);
    assert_eq!(places_used(&owner), 0);
}

#[test]
fn nothing_is_loaded_before_a_report_shows_the_slots() {
    let mut owner = OwnerSet::new("entry-1".into(), settings(), 1);
    let shape = UpstreamShape::new("engine-1", 2, 8, true);
    owner.on_ownership_gained(
        START,
        shape,
        Epoch(2),
        OwnershipOrigin::Takeover,
        &[entry()],
    );
    let actions = owner.on_request(START, &entry(), request(1, "b"));
    assert!(loads(&actions).is_empty());
    owner.on_report(START + 1, &engine(), report(START + 1, &[]));
    assert!(
        loads(&owner.on_tick(START + 20)).is_empty(),
        "the old owner may still load"
    );
    owner.on_fence_result(START + 30, &engine(), Epoch(2), Ok(()));
    let actions = owner.on_report(START + 40, &engine(), report(START + 40, &[]));
    assert_eq!(loads(&actions), [copy_of("b", 2)]);
}

#[test]
fn a_lost_holder_needs_a_later_report_before_an_eviction() {
    let mut owner = taken_over(1, true, true);
    announce(&mut owner, &entry(), Vec::new());
    owner.on_instance_removed(START + 10, &former());
    owner.on_request(START + 11, &entry(), request(1, "b"));
    assert!(unloads(&owner.on_tick(START + 20)).is_empty());
    let used = report(START + 1_000, &[(copy_of("a", 1), 1)]);
    assert!(unloads(&owner.on_report(START + 1_000, &engine(), used)).is_empty());
    let unused = report(START + 2_000, &[(copy_of("a", 1), 0)]);
    let actions = owner.on_report(START + 2_000, &engine(), unused);
    assert_eq!(unloads(&actions), [copy_of("a", 1)]);
}

#[test]
fn an_unresponsive_holder_is_waited_for_until_every_grant_has_ended() {
    let mut owner = taken_over(1, true, true);
    announce(&mut owner, &entry(), Vec::new());
    let unused = |at| report(at, &[(copy_of("a", 1), 0)]);
    let end = START + settings().grant_max_ms;
    owner.on_report(end - 10, &engine(), unused(end - 10));
    owner.on_request(end, &entry(), request_at(end, 1, "b"));
    assert!(unloads(&owner.on_tick(end + 600)).is_empty());
    let actions = owner.on_report(end + 700, &engine(), unused(end + 700));
    assert_eq!(unloads(&actions), [copy_of("a", 1)]);
}

#[test]
fn unresponsive_holders_are_asked_again() {
    let mut owner = taken_over(1, true, true);
    announce(&mut owner, &entry(), Vec::new());
    let asked_holders = |actions: Vec<OwnerAction>| {
        actions
            .into_iter()
            .filter_map(|action| match action {
                OwnerAction::Send {
                    to,
                    message: MeshMessage::AnnounceRequest(_),
                } => Some(to),
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    assert!(asked_holders(owner.on_tick(START + 100)).is_empty());
    assert_eq!(asked_holders(owner.on_tick(START + 300)), [former()]);
    announce(&mut owner, &former(), Vec::new());
    assert!(asked_holders(owner.on_tick(START + 900)).is_empty());
}

#[test]
fn a_refused_number_ends_the_ownership() {
    let mut owner = fresh(1, 8, settings());
    owner.on_request(START, &entry(), request(1, "a"));
    let fenced = Err(OrderFailure::Fenced);
    let actions = owner.on_load_result(START, &engine(), &copy("a"), fenced);
    assert!(steps_down(&actions) && owner.is_empty());
    let answer = answer(&actions, 1);
    assert_eq!(answer, Some(GrantAnswer::NotOwner));
    assert!(owner.on_tick(START + 5_000).is_empty(), "no order follows");
}

#[test]
fn a_newer_copy_in_a_report_ends_the_ownership() {
    let mut owner = fresh(1, 8, settings());
    let newer = report(START + 1, &[(copy_of("a", 9), 0)]);
    let actions = owner.on_report(START + 1, &engine(), newer);
    assert!(steps_down(&actions) && unloads(&actions).is_empty());
}

#[test]
fn grants_are_announced_only_after_the_last_unload_was_answered() {
    let mut owner = fresh(1, 8, settings());
    load(&mut owner, START, 1, "a");
    let now = START + 50_000;
    let actions = owner.on_request(now, &entry(), request_at(now, 2, "b"));
    assert_eq!(unloads(&actions), [copy("a")]);
    let announce_request = AnnounceRequest {
        upstream: engine(),
        epoch: Epoch(2),
    };
    owner.on_announce_request(now, &announce_request);
    assert!(!owner.may_announce(&engine(), Epoch(2)));
    let actions = owner.on_unload_result(now, &engine(), &copy("a"), Ok(()));
    assert!(steps_down(&actions) && owner.may_announce(&engine(), Epoch(2)));
}

#[test]
fn a_drain_hands_over_copies_and_grants() {
    let mut owner = fresh(2, 8, settings());
    load(&mut owner, START, 1, "a");
    let grant = take(&mut owner, START, 2, "a");
    owner.on_request(START, &entry(), request(3, "b"));
    let actions = owner.on_drain(START, &[(engine(), former())]);
    let waits = answer(&actions, 3);
    assert_eq!(waits, Some(GrantAnswer::NotOwner));
    assert!(!owner.is_empty(), "a load is in transit");
    let actions = owner.on_load_result(START + 200, &engine(), &copy("b"), Ok(()));
    assert!(owner.is_empty());
    let handover = actions.iter().find_map(|action| match action {
        OwnerAction::Send {
            message: MeshMessage::Handover(handover),
            ..
        } => Some(handover.clone()),
        _ => None,
    });
    check_accepted(handover.unwrap(), grant);
}

/// Checks that the next owner grants on the copies at once and counts the imported grants.
fn check_accepted(handover: Handover, grant: GrantId) {
    assert_eq!(handover.copies, [copy("a"), copy("b")]);
    assert_eq!(handover.grants[0].1.grant, grant);
    let mut next = OwnerSet::new(former(), settings(), 1);
    let shape = UpstreamShape::new("engine-1", 2, 8, false);
    let origin = OwnershipOrigin::Handover(handover);
    next.on_ownership_gained(START + 300, shape, Epoch(2), origin, &[]);
    take(&mut next, START + 300, 9, "b");
    assert_eq!(next.dump(START).upstreams[0].places_used, 2);
    next.on_return(START + 301, &entry(), returned(grant));
    assert_eq!(next.dump(START).upstreams[0].places_used, 1);
}

#[test]
fn an_older_number_does_not_take_an_upstream_back() {
    let mut owner = taken_over(1, true, true);
    let shape = UpstreamShape::new("engine-1", 1, 8, true);
    owner.on_ownership_gained(START, shape, Epoch(1), OwnershipOrigin::Fresh, &[]);
    assert_eq!(owner.epoch_of(&engine()), Some(Epoch(2)));
}

#[test]
fn a_drain_without_a_successor_releases_the_upstream() {
    let mut owner = fresh(2, 8, settings());
    assert!(steps_down(&owner.on_drain(START, &[])) && owner.is_empty());
}

#[test]
fn a_request_is_refused_at_once_while_unresponsive_holders_keep_every_slot() {
    let mut owner = taken_over(1, true, true);
    let early = owner.on_request(START + 10, &entry(), request(1, "b"));
    assert!(!refused(&early, 1), "the holders may answer soon");
    let late = owner.on_request(START + 1_500, &entry(), request(2, "c"));
    assert!(refused(&late, 2), "{late:?}");
}
