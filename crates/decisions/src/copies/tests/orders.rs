use super::world::{Delivery, World};
use crate::copies::{CopyAction, CopyRefusal};

#[test]
fn a_copy_is_loaded_once_for_all_waiting_requests() {
    let mut world = World::new(2);
    world.request(1, 7);
    world.request(2, 7);
    world.run_ms(400);
    assert_eq!(world.granted, [1, 2]);
    assert_eq!(world.engine.loads, 1);
}

#[test]
fn an_idle_copy_is_replaced_and_a_used_one_stays() {
    let mut world = World::new(2);
    world.request(1, 1);
    world.request(2, 2);
    world.run_ms(400);
    world.done(1);
    world.request(3, 3);
    world.run_ms(400);
    assert_eq!(world.granted, [1, 2, 3]);
    assert!(world.engine.held.contains_key(&World::key(2)));
    assert!(!world.engine.held.contains_key(&World::key(1)));
}

/// Guards against a status check that is repeated forever after its answer came late, so that no
/// other order is given.
#[test]
fn an_order_is_repeated_only_until_it_is_answered() {
    let mut world = World::new(2);
    world.run_ms(10);
    let mut deliveries = vec![Delivery::Answered, Delivery::Late(2_000)].into_iter();
    world.deliveries = Box::new(move || deliveries.next().unwrap_or(Delivery::Answered));
    world.request(1, 1);
    world.run_ms(600);
    assert_eq!(world.granted, [1]);
    let orders = world.orders;
    world.run_ms(3_000);
    assert_eq!(world.orders, orders);
    world.request(2, 2);
    world.run_ms(600);
    assert_eq!(world.granted, [1, 2]);
}

#[test]
fn a_newer_version_replaces_the_copy() {
    let mut world = World::new(2);
    world.request(1, 1);
    world.run_ms(400);
    world.name_version(1, 5);
    world.run_ms(400);
    assert_eq!(world.engine.held.get(&World::key(1)), Some(&5));
    world.request(2, 1);
    assert_eq!(world.granted, [1, 2]);
}

/// Guards against never reading the first report of an engine whose adapter versions are already
/// known.
#[test]
fn a_report_of_a_new_engine_is_read_before_its_first_order() {
    let mut world = World::new(2);
    world.engine.accepted = 7;
    world.engine.newest.insert(World::key(1), 3);
    let versions = world.engine.newest.clone();
    world.control = world.control.with_versions(versions);
    world.request(1, 1);
    world.run_ms(600);
    assert_eq!(world.granted, [1]);
}

#[test]
fn a_lost_copy_is_loaded_again() {
    let mut world = World::new(2);
    world.request(1, 1);
    world.run_ms(400);
    world.engine.held.clear();
    let actions = world.control.on_done(world.now, &World::id(1), true);
    assert!(actions.is_empty());
    // Copy requests are refused until a sufficiently recent report was read.
    world.request(2, 1);
    assert_eq!(world.refused, [(2, CopyRefusal::Unread)]);
    world.run_ms(600);
    world.request(3, 1);
    world.run_ms(600);
    assert_eq!(world.granted, [1, 3]);
}

/// Guards against an unload that is repeated forever after the engine rejected it (found by seed 184
/// of the random runs).
#[test]
fn a_rejected_unload_ends_in_a_report() {
    let mut world = World::new(1);
    world.request(1, 1);
    world.run_ms(400);
    world.done(1);
    world.engine.accepted += 1;
    world.request(2, 2);
    world.run_ms(2_000);
    assert_eq!(world.granted, [1, 2]);
}

/// Guards against overfilling the engine: a copy that the engine rejected in another version was
/// taken as removed, because the answer to the order in progress marked the engine's state as known
/// (seen as LIMIT on the users' bench).
#[test]
fn a_rejected_copy_counts_until_a_report() {
    let mut world = World::new(2);
    for number in [1, 2] {
        world.request(number, number);
        world.run_ms(400);
    }
    world.done(1);
    world.deliveries = Box::new(|| Delivery::Answered);
    world.request_later(3, 3);
    let waiting = world.take_actions();
    let actions = world.control.on_done(world.now, &World::id(2), true);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, CopyAction::Order(_)))
    );
    world.carry_out(waiting);
    world.request(4, 4);
    world.run_ms(3_000);
    assert!(!world.engine.crashed, "the engine holds too much");
    assert_eq!(world.granted[..2], [1, 2]);
}

/// Guards against not counting an order that is repeated after a report.
#[test]
fn an_unanswered_order_counts_after_a_report() {
    let mut world = World::new(2);
    for number in [1, 2] {
        world.request(number, number);
        world.run_ms(400);
    }
    world.done(1);
    // The unload is answered, the load that follows is lost in transit.
    let mut deliveries = vec![Delivery::Answered, Delivery::Late(60_000)].into_iter();
    world.deliveries = Box::new(move || deliveries.next().unwrap_or(Delivery::Answered));
    world.request(3, 3);
    let actions = world.control.on_done(world.now, &World::id(2), true);
    world.carry_out(actions);
    world.request(4, 4);
    world.run_ms(3_000);
    world.request(5, 5);
    world.run_ms(3_000);
    assert!(!world.engine.crashed, "the engine holds too much");
}

/// Guards against a second load beside the first on a full engine: a newer version is requested
/// while an adapter is loading, and a status check that named it would start a load of its own.
#[test]
fn a_version_named_during_a_load_takes_no_second_place() {
    for named_before in [false, true] {
        let mut world = World::new(2);
        if named_before {
            world.name_version(2, 3);
        }
        world.request(1, 1);
        world.run_ms(400);
        world.request(2, 2);
        world.run_ms(100);
        world.name_version(2, 5);
        world.run_ms(3_000);
        assert!(!world.engine.crashed, "named before: {named_before}");
        assert_eq!(world.engine.held.get(&World::key(2)), Some(&5));
        assert_eq!(world.granted, [1, 2]);
    }
}

/// Guards against overfilling a restarted engine: an unanswered load reaches the next incarnation
/// when that is full and has accepted as many orders as the previous one.
#[test]
fn a_late_load_to_a_former_incarnation_has_a_reserved_place() {
    let mut world = World::new(2);
    world.request(1, 1);
    world.run_ms(400);
    world.done(1);
    let mut deliveries = vec![Delivery::Late(2_000)].into_iter();
    world.deliveries = Box::new(move || deliveries.next().unwrap_or(Delivery::Answered));
    // Its load carries one accepted order, as do the loads after the restart.
    world.request(2, 2);
    world.run_ms(400);
    world.done(2);
    world.restart();
    world.request(3, 3);
    world.run_ms(400);
    world.done(3);
    world.deliveries = Box::new(|| Delivery::Answered);
    assert_eq!(world.engine.accepted, 1);
    world.run_ms(3_000);
    world.request(4, 4);
    world.run_ms(2_000);
    assert!(!world.engine.crashed);
    assert!(world.granted.contains(&4));
}

/// Guards against removing a copy that was just loaded for requests waiting behind unread prompts:
/// it was removed to make room for the next copy and loaded again at once.
#[test]
fn a_copy_with_waiting_requests_is_not_removed() {
    let mut world = World::new(2);
    world.request_with_prompt(1, 1, 1_000);
    world.run_ms(400);
    for number in 2..=4 {
        world.request_with_prompt(number, 1, 1_000);
    }
    world.request_with_prompt(5, 2, 1_000);
    world.request_with_prompt(6, 3, 1_000);
    world.run_ms(1_000);
    assert_eq!(world.engine.loads, 2);
}

/// Guards against counting a replacement twice: reports don't list one that waits for running
/// requests to end, so it was ordered again, and the next orders carried a number that the engine
/// had not reached.
#[test]
fn a_replacement_that_waits_is_counted_once() {
    let mut world = World::new(3);
    world.request(1, 1);
    world.request(2, 2);
    world.run_ms(400);
    world.engine.load_ms = 3_000;
    world.name_version(1, 5);
    world.run_ms(100);
    // The engine rejects a request, so that a report is read while the replacement waits.
    let actions = world.control.on_done(world.now, &World::id(2), true);
    world.carry_out(actions);
    world.run_ms(1_000);
    assert_eq!(world.control.accepted, Some(world.engine.accepted));
    world.run_ms(3_000);
    assert_eq!(world.engine.held.get(&World::key(1)), Some(&5));
}

/// A new engine loads its base model by one order, which is repeated until the model is loaded.
#[test]
fn the_load_of_a_base_model_is_counted_once() {
    let mut world = World::new(2);
    world.engine.restart();
    world.engine.model_at = Some(world.now + 1_000);
    world.request(1, 1);
    world.run_ms(2_000);
    assert_eq!(world.granted, [1]);
    assert_eq!(world.control.accepted, Some(world.engine.accepted));
}

/// Guards against many unanswered orders, each of which delays the next one by the full timeout.
#[test]
fn an_unanswered_order_shortens_the_next_timeout() {
    let mut world = World::new(2);
    let usual_ms = world.control.answer_wait_ms(world.now);
    let mut deliveries = vec![Delivery::Late(2_000)].into_iter();
    world.deliveries = Box::new(move || deliveries.next().unwrap_or(Delivery::Answered));
    world.request(1, 1);
    assert!(world.control.answer_wait_ms(world.now) < usual_ms / 2);
    world.run_ms(5_000);
    assert_eq!(world.control.answer_wait_ms(world.now), usual_ms);
}
