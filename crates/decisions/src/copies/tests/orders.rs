use super::world::{Fate, World};
use crate::copies::CopyRefusal;

#[test]
fn a_copy_is_brought_once_for_all_that_wait() {
    let mut world = World::new(2);
    world.ask(1, 7);
    world.ask(2, 7);
    world.run_ms(400);
    assert_eq!(world.granted, [1, 2]);
    assert_eq!(world.engine.loads, 1);
}

#[test]
fn an_idle_copy_makes_room_and_a_used_one_stays() {
    let mut world = World::new(2);
    world.ask(1, 1);
    world.ask(2, 2);
    world.run_ms(400);
    world.done(1);
    world.ask(3, 3);
    world.run_ms(400);
    assert_eq!(world.granted, [1, 2, 3]);
    assert!(world.engine.held.contains_key(&World::key(2)));
    assert!(!world.engine.held.contains_key(&World::key(1)));
}

/// A question after a copy whose answer came late was repeated for good, and nothing else was
/// ordered.
#[test]
fn an_order_is_repeated_only_until_it_is_answered() {
    let mut world = World::new(2);
    world.run_ms(10);
    let mut fates = vec![Fate::Answered, Fate::Late(2_000)].into_iter();
    world.fates = Box::new(move || fates.next().unwrap_or(Fate::Answered));
    world.ask(1, 1);
    world.run_ms(600);
    assert_eq!(world.granted, [1]);
    let orders = world.orders;
    world.run_ms(3_000);
    assert_eq!(world.orders, orders);
    world.ask(2, 2);
    world.run_ms(600);
    assert_eq!(world.granted, [1, 2]);
}

#[test]
fn a_newer_version_replaces_the_copy() {
    let mut world = World::new(2);
    world.ask(1, 1);
    world.run_ms(400);
    world.name_version(1, 5);
    world.run_ms(400);
    assert_eq!(world.engine.held.get(&World::key(1)), Some(&5));
    world.ask(2, 1);
    assert_eq!(world.granted, [1, 2]);
}

/// The first report was never read where versions had been named before.
#[test]
fn an_engine_taken_over_is_read_first() {
    let mut world = World::new(2);
    world.engine.accepted = 7;
    world.engine.newest.insert(World::key(1), 3);
    let versions = world.engine.newest.clone();
    world.control = world.control.with_versions(versions);
    world.ask(1, 1);
    world.run_ms(600);
    assert_eq!(world.granted, [1]);
}

#[test]
fn what_an_engine_lost_is_brought_again() {
    let mut world = World::new(2);
    world.ask(1, 1);
    world.run_ms(400);
    world.engine.held.clear();
    let actions = world.control.on_done(world.now, &World::id(1), true);
    assert!(actions.is_empty());
    // Until a report that is new enough the engine takes nothing.
    world.ask(2, 1);
    assert_eq!(world.refused, [(2, CopyRefusal::Unread)]);
    world.run_ms(600);
    world.ask(3, 1);
    world.run_ms(600);
    assert_eq!(world.granted, [1, 3]);
}

/// An unload that the engine rejected was repeated for good (seed 184 of the random runs).
#[test]
fn a_rejected_unload_ends_in_a_report() {
    let mut world = World::new(1);
    world.ask(1, 1);
    world.run_ms(400);
    world.done(1);
    world.engine.accepted += 1;
    world.ask(2, 2);
    world.run_ms(2_000);
    assert_eq!(world.granted, [1, 2]);
}
