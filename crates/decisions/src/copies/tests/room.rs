//! Memory and places of an engine under requests of several ranks.

use super::world::World;

/// Late enough that no request of a test is nearly late.
const CALM_MS: u64 = 10_000;

/// Creates a world with a present adapter and memory for `kv_tokens` tokens.
fn engine_with(kv_tokens: u64) -> World {
    let mut world = World::with_memory(2, kv_tokens);
    world.request(1, 7);
    world.run_ms(400);
    world.started(1, 100);
    world.done(1);
    // The first request no longer counts as arriving.
    world.run_ms(1_000);
    world.granted.clear();
    world
}

/// Long prompts beyond the engine's memory would make it put running requests back.
#[test]
fn running_requests_fit_in_memory() {
    let mut world = engine_with(10_000);
    for number in 10..13 {
        world.request_ranked(number, 7, 0, (3_000, 1_000), CALM_MS);
        world.started(number, 100);
    }
    assert_eq!(world.granted, [10, 11]);
    world.done(10);
    assert_eq!(world.granted, [10, 11, 12]);
}

/// A prompt larger than all memory goes to the idle engine, which rejects it itself.
#[test]
fn an_oversized_request_does_not_wait_for_ever() {
    let mut world = engine_with(10_000);
    world.request_ranked(10, 7, 0, (12_000, 10), CALM_MS);
    assert_eq!(world.granted, [10]);
}

/// A burst of bulk work beside interactive requests leaves them a quarter of the places.
#[test]
fn bulk_leaves_places_while_urgent_work_arrives() {
    let mut world = engine_with(1_000_000);
    world.request_ranked(10, 7, 0, (10, 10), CALM_MS);
    for number in 100..200 {
        world.request_ranked(number, 7, 2, (10, 10), CALM_MS);
    }
    assert_eq!(world.granted.len(), 1 + 48);
    for number in 200..215 {
        world.request_ranked(number, 7, 0, (10, 10), CALM_MS);
    }
    assert_eq!(world.granted.len(), 1 + 48 + 15);
}

/// Bulk work alone fills the engine.
#[test]
fn bulk_alone_takes_all_places() {
    let mut world = engine_with(1_000_000);
    for number in 100..200 {
        world.request_ranked(number, 7, 2, (10, 10), CALM_MS);
    }
    assert_eq!(world.granted.len(), 64);
}

/// A full engine serves the urgent first, and still some of the bulk that is nearly late.
#[test]
fn bulk_is_not_starved() {
    let mut world = engine_with(1_000_000);
    for number in 0..64 {
        world.request_ranked(1_000 + number, 7, 0, (10, 10), CALM_MS);
    }
    world.request_ranked(100, 7, 2, (10, 10), 100);
    for number in 200..210 {
        world.request_ranked(number, 7, 0, (10, 10), CALM_MS);
    }
    world.granted.clear();
    world.done(1_000);
    world.done(1_001);
    assert_eq!(world.granted, [100, 200]);
}

/// A long prompt that waits for its turn isn't overtaken by short ones until it is late.
#[test]
fn short_prompts_do_not_starve_a_long_one() {
    let mut world = engine_with(1_000_000);
    for number in 10..14 {
        world.request_ranked(number, 7, 0, (600, 10), CALM_MS);
    }
    world.request_ranked(20, 7, 0, (9_190, 10), 200);
    for number in 30..40 {
        world.request_ranked(number, 7, 0, (300, 10), CALM_MS);
    }
    assert_eq!(world.granted, [10, 11, 12, 13]);
    world.started(10, 100);
    world.started(11, 100);
    assert!(world.granted.contains(&20), "{:?}", world.granted);
}

/// Short prompts pass a long one that has time.
#[test]
fn a_long_prompt_does_not_stop_short_ones() {
    let mut world = engine_with(1_000_000);
    for number in 10..13 {
        world.request_ranked(number, 7, 0, (600, 10), CALM_MS);
    }
    world.request_ranked(20, 7, 0, (9_190, 10), CALM_MS);
    world.request_ranked(30, 7, 0, (300, 10), CALM_MS);
    assert_eq!(world.granted, [10, 11, 12, 30]);
}
