//! Places in an engine's batch.

use super::world::World;

/// Requests that the engine of these tests runs at once.
const BATCH_PLACES: u64 = 64;
/// Time after which a request of these tests is surely over, in milliseconds.
const LASTS_MS: u64 = 90_000;

/// A world whose only adapter is there, and in which so many requests ask for it.
fn asked(requests: u64) -> World {
    let mut world = World::new(1);
    world.ask(0, 7);
    world.run_ms(400);
    world.done(0);
    world.granted.clear();
    for number in 1..=requests {
        world.ask(number, 7);
    }
    world
}

/// Guards against batches that grow with the crest, in which every stream pauses.
#[test]
fn an_engine_is_granted_no_more_than_it_runs_at_once() {
    let mut world = asked(BATCH_PLACES + 9);
    assert_eq!(world.granted.len() as u64, BATCH_PLACES);
    world.done(1);
    assert_eq!(world.granted.len() as u64, BATCH_PLACES + 1);
}

/// Guards against a place that stays taken as the end of its request was lost on the way.
#[test]
fn a_place_whose_end_is_never_told_is_free_once_its_request_is_surely_over() {
    let mut world = asked(BATCH_PLACES);
    world.granted.clear();
    world.run_ms(LASTS_MS);
    world.ask(500, 7);
    assert_eq!(world.granted, [500]);
}

/// Guards against a place that is freed twice, or by the end of another request.
#[test]
fn an_end_that_is_told_twice_frees_one_place() {
    let mut world = asked(BATCH_PLACES + 9);
    world.granted.clear();
    world.done(1);
    world.done(1);
    world.done(12_345);
    assert_eq!(world.granted.len(), 1);
}
