//! Limit on the requests in an engine's batch.

use super::world::World;

/// Batch places of the engine in these tests.
const BATCH_PLACES: u64 = 64;
/// Time after which a request in these tests has certainly ended, in milliseconds.
const LASTS_MS: u64 = 90_000;

/// Creates a world whose only adapter is present and requested `requests` times.
fn world_with_requests(requests: u64) -> World {
    let mut world = World::new(1);
    world.request(0, 7);
    world.run_ms(400);
    world.done(0);
    world.granted.clear();
    for number in 1..=requests {
        world.request(number, 7);
    }
    world
}

/// Guards against a batch that grows with a demand peak until every stream in it pauses.
#[test]
fn an_engine_is_granted_no_more_than_it_runs_at_once() {
    let mut world = world_with_requests(BATCH_PLACES + 9);
    assert_eq!(world.granted.len() as u64, BATCH_PLACES);
    world.done(1);
    assert_eq!(world.granted.len() as u64, BATCH_PLACES + 1);
}

/// Guards against a place that stays taken because the message about its request's end was lost.
#[test]
fn a_place_whose_end_is_never_reported_is_freed_at_the_latest_end_time() {
    let mut world = world_with_requests(BATCH_PLACES);
    world.granted.clear();
    world.run_ms(LASTS_MS);
    world.request(500, 7);
    assert_eq!(world.granted, [500]);
}

/// Guards against a place that is freed twice, or by the end of a different request.
#[test]
fn an_end_that_is_reported_twice_frees_one_place() {
    let mut world = world_with_requests(BATCH_PLACES + 9);
    world.granted.clear();
    world.done(1);
    world.done(1);
    world.done(12_345);
    assert_eq!(world.granted.len(), 1);
}
