mod simulation;

use monsoonspread_model::UnixMs;
use monsoonspread_model::fleet::HolderActivity;
use monsoonspread_model::fleet::HolderActivity::{Orders, Stopped, Waits};

use super::{CONFIRMED_FOR_MS, Confirmation, HolderPlan, KnownHolder};

const GAP_MS: u64 = 3_000;

fn plan(local: &str, complete: bool) -> HolderPlan {
    let mut plan = HolderPlan::new(local.into(), GAP_MS);
    for (name, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b")] {
        plan.on_member(name.into(), zone.into());
    }
    for (name, zone) in [("u1", "a"), ("u2", "a"), ("u3", "a"), ("u4", "b")] {
        plan.on_engine(UnixMs(0), &name.into(), &zone.into(), complete);
    }
    plan
}

/// A record of a holder that had waited for its predecessors, or has them behind it.
fn known(holder: &str, activity: HolderActivity, revision: u64) -> KnownHolder {
    KnownHolder {
        holder: holder.into(),
        activity,
        orders_in_ms: Some(0),
        revision,
    }
}

fn claimed(plan: &HolderPlan, now: u64) -> Vec<String> {
    let claims = plan.claims(UnixMs(now), true, |_| false);
    claims
        .iter()
        .map(|claim| claim.upstream.to_string())
        .collect()
}

#[test]
fn each_engine_is_claimed_by_one_instance_of_its_zone() {
    assert_eq!(claimed(&plan("a1", true), 1), ["u1", "u3"]);
    assert_eq!(claimed(&plan("a2", true), 1), ["u2"]);
    assert_eq!(claimed(&plan("b1", true), 1), ["u4"]);
}

#[test]
fn the_next_instance_claims_what_the_first_does_not() {
    assert!(claimed(&plan("b1", true), 2_500).len() > 1);
}

/// A previous holder that doesn't know of its removal stops before its successor starts.
#[test]
fn orders_of_two_holders_are_apart_by_the_gap() {
    let mut former = Confirmation::default();
    let removed_at = 10_000;
    former.on_renewed(UnixMs(removed_at));
    let mut plan = plan("b1", true);
    plan.on_holder(UnixMs(0), &"u4".into(), known("a1", Orders, 7));
    assert!(claimed(&plan, 1).is_empty());
    plan.on_holder_removed(UnixMs(removed_at), &"u4".into(), false);
    let claims = plan.claims(UnixMs(removed_at), true, |name| name.as_str() != "u4");
    let begins_at = claims[0].orders_from;
    let last_order = (0..begins_at.0).rev().find(|at| former.holds(UnixMs(*at)));
    assert!(begins_at.ms_since(UnixMs(last_order.expect("it held"))) >= GAP_MS);
}

#[test]
fn a_restarted_instance_keeps_the_engines_that_it_held() {
    let mut plan = plan("b1", false);
    plan.on_holder(UnixMs(0), &"u4".into(), known("b1", Stopped, 7));
    plan.on_holder(UnixMs(0), &"u1".into(), known("b1", Orders, 8));
    let claims = plan.claims(UnixMs(1), true, |_| false);
    let at_once: Vec<_> = claims
        .iter()
        .filter(|c| c.orders_from == UnixMs(0))
        .collect();
    assert_eq!(at_once.len(), 2);
    assert_eq!(
        (at_once[0].expected_revision, at_once[1].expected_revision),
        (8, 7)
    );
}

#[test]
fn an_engine_whose_past_is_unknown_counts_as_held_until_now() {
    let claims = plan("b1", false).claims(UnixMs(1), true, |_| false);
    assert!(claims[0].orders_from >= UnixMs(CONFIRMED_FOR_MS + GAP_MS));
}

/// Guards against a process that is killed during its wait and gives orders right after its restart.
#[test]
fn a_wait_for_a_former_holder_outlasts_a_restart() {
    let mut plan = plan("b1", false);
    let record = KnownHolder {
        orders_in_ms: None,
        ..known("b1", Waits, 7)
    };
    plan.on_holder(UnixMs(0), &"u4".into(), record);
    let claims = plan.claims(UnixMs(1), true, |name| name.as_str() != "u4");
    assert!(claims[0].orders_from >= UnixMs(CONFIRMED_FOR_MS + GAP_MS));
}

/// The holder of a lease that ran out while the store was reachable has stopped.
#[test]
fn the_wait_is_short_after_a_lease_ran_out() {
    let renewed_at = 10_000;
    let mut former = Confirmation::default();
    former.on_renewed(UnixMs(renewed_at));
    let expired_at = UnixMs(renewed_at + CONFIRMED_FOR_MS);
    assert!(!former.holds(expired_at));
    let mut plan = plan("b1", true);
    plan.on_holder(UnixMs(0), &"u4".into(), known("a1", Orders, 7));
    plan.on_holder_removed(expired_at, &"u4".into(), true);
    let claims = plan.claims(expired_at, true, |name| name.as_str() != "u4");
    let wait_ms = claims[0].orders_from.ms_since(expired_at);
    assert!((GAP_MS..GAP_MS + 1_000).contains(&wait_ms));
}

/// What follows a record until it is this instance's turn.
#[derive(Clone, Copy, Debug)]
enum Next {
    /// The record is as it was.
    Unchanged,
    /// It was removed after the lease of its holder ran out.
    Expired,
    /// It was removed with its lease, whose holder may not know.
    Lost,
}

/// Guards against a wait for a former holder that is forgotten on the way: in a planned stop, as the lease of the
/// instance that waits runs out, or as its record is lost.
#[test]
fn a_wait_outlasts_each_change_of_the_record() {
    const LONGEST: u64 = CONFIRMED_FOR_MS + GAP_MS + 500;
    const GAP: u64 = GAP_MS + 500;
    const WAIT: u64 = 9_000;
    // Activity, wait in the record, what follows after a second, who claims, and the first order after that.
    let cases = [
        (Orders, Some(0), Next::Unchanged, "b1", Some(0)),
        (Orders, Some(0), Next::Unchanged, "b2", None),
        (Orders, Some(0), Next::Expired, "b1", Some(1_000 + GAP)),
        (Orders, Some(0), Next::Expired, "b2", Some(1_000 + GAP)),
        (Orders, Some(0), Next::Lost, "b1", Some(1_000 + LONGEST)),
        (Orders, Some(0), Next::Lost, "b2", Some(1_000 + LONGEST)),
        (Waits, Some(WAIT), Next::Unchanged, "b1", Some(WAIT)),
        (Waits, Some(WAIT), Next::Unchanged, "b2", None),
        (Waits, Some(WAIT), Next::Expired, "b1", Some(WAIT)),
        (Waits, Some(WAIT), Next::Expired, "b2", Some(WAIT)),
        (Waits, Some(100), Next::Expired, "b2", Some(1_000 + GAP)),
        (Waits, Some(WAIT), Next::Lost, "b2", Some(1_000 + LONGEST)),
        (Waits, None, Next::Unchanged, "b1", Some(LONGEST)),
        (Waits, None, Next::Expired, "b2", Some(LONGEST)),
        (Stopped, Some(0), Next::Unchanged, "b1", Some(0)),
        (Stopped, Some(0), Next::Unchanged, "b2", Some(GAP)),
        (Stopped, Some(WAIT), Next::Unchanged, "b1", Some(WAIT)),
        (Stopped, Some(WAIT), Next::Unchanged, "b2", Some(WAIT)),
        (Stopped, Some(WAIT), Next::Lost, "b2", Some(1_000 + LONGEST)),
        (Stopped, None, Next::Unchanged, "b1", Some(LONGEST)),
        (Stopped, None, Next::Unchanged, "b2", Some(LONGEST)),
    ];
    for (activity, orders_in_ms, next, claims, expected) in cases {
        let case = format!("{activity:?} {orders_in_ms:?} {next:?} {claims}");
        let engine = "u4".into();
        let mut plan = HolderPlan::new(claims.into(), GAP_MS);
        plan.on_member(claims.into(), "b".into());
        plan.on_engine(UnixMs(0), &engine, &"b".into(), true);
        let record = KnownHolder {
            orders_in_ms,
            ..known("b1", activity, 7)
        };
        plan.on_holder(UnixMs(0), &engine, record);
        match next {
            Next::Unchanged => {}
            Next::Expired => plan.on_holder_removed(UnixMs(1_000), &engine, true),
            Next::Lost => plan.on_holder_removed(UnixMs(1_000), &engine, false),
        }
        // Long enough for each instance to have its turn.
        let claimed = plan.claims(UnixMs(4_000), true, |_| false);
        let orders_from = claimed.first().map(|claim| claim.orders_from);
        assert_eq!(orders_from, expected.map(UnixMs), "{case}");
    }
}
