use monsoonspread_model::UnixMs;

use crate::memory_budget::{BodyBudget, BodyId, BodyReservation, MachineShares};

const MAX_BYTES: usize = 16_000_000;
const LARGE_BYTES: usize = 500_000;
const SMALL_BYTES: usize = 2_000;
/// A time at which bodies begun at 0 may yield, and one at which they may not.
const LATER: UnixMs = UnixMs(5_000);
const SOON: UnixMs = UnixMs(500);

fn budget_of(body_bytes: usize) -> BodyBudget {
    BodyBudget::new(MachineShares {
        body_bytes,
        small_bodies_bytes: body_bytes / 4,
        small_body_bytes: SMALL_BYTES,
        ..MachineShares::new(0, 0)
    })
}

fn granted() -> BodyReservation {
    BodyReservation::Granted(Vec::new())
}

/// Begins large bodies until one is refused; returns those that were granted.
fn crowd(budget: &mut BodyBudget, now: UnixMs) -> Vec<BodyId> {
    let mut admitted = Vec::new();
    loop {
        let id = budget.begin(now);
        if budget.reserve(now, id, LARGE_BYTES) == BodyReservation::Refused {
            budget.release(id);
            return admitted;
        }
        admitted.push(id);
    }
}

/// Answers a crowd of large bodies of legal size at once.
#[test]
fn a_crowd_holds_no_more_than_its_share() {
    let mut budget = budget_of(MAX_BYTES);
    let admitted = crowd(&mut budget, UnixMs(0));
    assert_eq!(admitted.len(), 24);
    assert!(budget.held_bytes() <= MAX_BYTES * 3 / 4);
}

/// Answers ordinary requests beside a crowd of large bodies.
#[test]
fn small_bodies_are_admitted_while_a_crowd_holds_its_share() {
    let mut budget = budget_of(MAX_BYTES);
    crowd(&mut budget, UnixMs(0));
    for _ in 0..1_000 {
        let id = budget.begin(SOON);
        assert_eq!(budget.reserve(SOON, id, SMALL_BYTES), granted());
    }
}

/// Answers large bodies that stop short of their end and stay open.
#[test]
fn the_slowest_and_largest_yield_first() {
    let mut budget = budget_of(MAX_BYTES);
    let slow = budget.begin(UnixMs(0));
    assert_eq!(budget.reserve(UnixMs(0), slow, 2 * LARGE_BYTES), granted());
    crowd(&mut budget, UnixMs(100));
    let late = budget.begin(LATER);
    let outcome = budget.reserve(LATER, late, LARGE_BYTES);
    assert_eq!(outcome, BodyReservation::Granted(vec![slow]));
}

/// Answers clients that send promptly while a crowd arrives.
#[test]
fn bodies_that_have_just_begun_do_not_yield() {
    let mut budget = budget_of(MAX_BYTES);
    crowd(&mut budget, UnixMs(0));
    let late = budget.begin(SOON);
    assert_eq!(
        budget.reserve(SOON, late, LARGE_BYTES),
        BodyReservation::Refused
    );
    assert_eq!(budget.yield_one(SOON), None);
}

/// Answers requests that may run: a refusal would be a false promise.
#[test]
fn complete_bodies_do_not_yield() {
    let mut budget = budget_of(MAX_BYTES);
    for id in crowd(&mut budget, UnixMs(0)) {
        budget.complete(id);
    }
    let late = budget.begin(LATER);
    assert_eq!(
        budget.reserve(LATER, late, LARGE_BYTES),
        BodyReservation::Refused
    );
    assert_eq!(budget.yield_one(LATER), None);
}

/// Answers a single legal request on a machine whose share is smaller than the limit of a body.
#[test]
fn a_single_body_larger_than_the_share_is_admitted() {
    let mut budget = budget_of(LARGE_BYTES / 2);
    let small = budget.begin(UnixMs(0));
    assert_eq!(budget.reserve(UnixMs(0), small, SMALL_BYTES), granted());
    let large = budget.begin(UnixMs(0));
    assert_eq!(budget.reserve(UnixMs(0), large, LARGE_BYTES), granted());
    let second = budget.begin(UnixMs(0));
    assert_eq!(
        budget.reserve(UnixMs(0), second, LARGE_BYTES),
        BodyReservation::Refused
    );
}

/// Answers many small bodies that stop short of their end.
#[test]
fn a_crowd_of_small_bodies_yields_too() {
    let mut budget = budget_of(MAX_BYTES);
    for _ in 0..MAX_BYTES / SMALL_BYTES {
        let id = budget.begin(UnixMs(0));
        assert_eq!(budget.reserve(UnixMs(0), id, SMALL_BYTES), granted());
    }
    let late = budget.begin(LATER);
    let outcome = budget.reserve(LATER, late, SMALL_BYTES);
    assert!(matches!(outcome, BodyReservation::Granted(yielding) if yielding.len() == 1));
    assert!(budget.held_bytes() <= MAX_BYTES);
}

/// Guards against memory that is released twice, by the one who yields and by its reader.
#[test]
fn releases_never_count_twice() {
    let mut budget = budget_of(MAX_BYTES);
    let ids = crowd(&mut budget, UnixMs(0));
    assert!(budget.yield_one(LATER).is_some());
    for id in ids.iter().chain(&ids) {
        budget.release(*id);
    }
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against growth of a body that has yielded.
#[test]
fn a_body_that_yielded_gets_no_more() {
    let mut budget = budget_of(MAX_BYTES);
    let id = budget.begin(UnixMs(0));
    assert_eq!(budget.reserve(UnixMs(0), id, SMALL_BYTES), granted());
    assert_eq!(budget.yield_one(LATER), Some(id));
    let more = budget.reserve(LATER, id, LARGE_BYTES);
    assert_eq!(more, BodyReservation::Refused);
}
