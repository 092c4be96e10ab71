//! Owners whose process was paused.

use monsoonspread_model::{Epoch, UnixMs};

use super::fixture::*;
use crate::owner::{OwnerAction, OwnerSet, OwnerSettings, OwnershipOrigin, UpstreamShape};

/// End of the pause.
const WAKE: UnixMs = UnixMs(START.0 + 3_000);

/// An owner with copy "a" loaded, whose first fencing order was not answered and which is then
/// paused until [`WAKE`].
fn paused(checks_fencing: bool) -> OwnerSet {
    let settings = OwnerSettings {
        pause_ms: 1_000,
        ..settings()
    };
    let mut owner = OwnerSet::new("entry-1".into(), settings, 1);
    let shape = UpstreamShape::new("engine-1", 2, 8, checks_fencing);
    owner.on_ownership_gained(START, shape, Epoch(1), OwnershipOrigin::Fresh, &[]);
    load(&mut owner, START, 1, "a");
    owner
}

fn fences(actions: &[OwnerAction]) -> usize {
    let is_fence = |action: &&OwnerAction| matches!(action, OwnerAction::Fence { .. });
    actions.iter().filter(is_fence).count()
}

#[test]
fn a_paused_owner_gives_no_grant_before_its_number_is_accepted_again() {
    let mut owner = paused(true);
    let fence = |owner: &mut OwnerSet, at| owner.on_fence_result(at, &engine(), Epoch(1), Ok(()));
    let actions = owner.on_request(WAKE, &entry(), request(2, "a"));
    assert!(granted(&actions, 2).is_none());
    assert_eq!(fences(&owner.on_tick(WAKE + 20)), 1);
    let actions = fence(&mut owner, WAKE + 21);
    assert!(
        granted(&actions, 2).is_none(),
        "this may answer the order before the pause"
    );
    let actions = fence(&mut owner, WAKE + 22);
    assert!(granted(&actions, 2).is_some());
}

#[test]
fn without_fencing_a_paused_owner_gives_no_grant_before_a_report() {
    let mut owner = paused(false);
    let seen =
        |owner: &mut OwnerSet, at| owner.on_report(at, &engine(), report(at, &[(copy("a"), 0)]));
    owner.on_request(WAKE, &entry(), request(2, "a"));
    assert!(granted(&seen(&mut owner, WAKE + 100), 2).is_none());
    assert!(granted(&seen(&mut owner, WAKE + 600), 2).is_some());
}

#[test]
fn an_owner_that_ticks_stays_confirmed() {
    let mut owner = paused(true);
    (0..150).for_each(|tick| {
        owner.on_tick(START + 20 * tick);
    });
    take(&mut owner, WAKE, 2, "a");
}
