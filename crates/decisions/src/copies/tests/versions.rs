use super::world::World;
use crate::copies::{CopyRefusal, QuoteQuestion, QuotedCopy};

/// Returns the quoted state of adapter 1 for a request that needs `min_version`.
fn quoted(world: &mut World, min_version: u64) -> QuotedCopy {
    let question = QuoteQuestion {
        key: World::key(1),
        min_version: Some(min_version),
        shared_parts: Vec::new(),
        counts_demand: false,
    };
    let quote = world.control.on_quote(world.now, &question);
    quote.expect("a quote").copy
}

/// Guards against requests that are sent to an engine whose copy is older than they need.
#[test]
fn a_copy_that_is_too_old_is_replaced_before_it_is_granted() {
    let mut world = World::new(2);
    world.request(1, 1);
    world.run_ms(400);
    // The engine and the requester know of the version, the holder doesn't.
    world.engine.newest.insert(World::key(1), 5);
    assert_eq!(quoted(&mut world, 5), QuotedCopy::Coming);
    world.request_version(2, 1, 5);
    assert_eq!(world.granted, [1]);
    world.run_ms(600);
    assert_eq!(world.granted, [1, 2]);
    assert_eq!(world.engine.held.get(&World::key(1)), Some(&5));
    world.request_version(3, 1, 4);
    assert_eq!(world.granted, [1, 2, 3]);
}

/// Guards against requests that wait at an engine which rejects the replacement, while others may have it.
#[test]
fn an_impatient_request_does_not_wait_for_a_rejected_replacement() {
    let mut world = World::new(2);
    world.request(1, 1);
    world.run_ms(400);
    // The engine rejects the order, as it counts another number of accepted ones.
    world.engine.accepted += 1;
    world.request_version(2, 1, 5);
    assert_eq!(world.granted, [1]);
    world.request_version_impatiently(3, 1, 5);
    assert_eq!(world.refused, [(3, CopyRefusal::Queued)]);
}

/// Guards against requests that wait for a replacement that nobody may order.
#[test]
fn a_request_for_a_newer_copy_is_refused_at_once_while_orders_are_paused() {
    let mut world = World::new(2);
    world.request(1, 1);
    world.run_ms(400);
    let actions = world.control.on_may_order(world.now, false);
    world.carry_out(actions);
    world.request_version(2, 1, 5);
    assert_eq!(world.refused, [(2, CopyRefusal::OrdersPaused)]);
    assert_eq!(quoted(&mut world, 5), QuotedCopy::Absent);
    world.request(3, 1);
    assert_eq!(world.granted, [1, 3]);
}
