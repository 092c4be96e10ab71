//! Limit on the unprocessed prompts at an engine.

use super::world::World;

/// Creates a world with a present adapter and a slowness that the engine has just reported.
fn engine_at(slowness_percent: u32) -> World {
    let mut world = World::new(2);
    world.request(1, 7);
    world.run_ms(400);
    world.started(1, slowness_percent);
    world.granted.clear();
    world
}

/// Requests copies for ten prompts of 600 tokens at once; returns how many are granted.
fn burst(world: &mut World) -> usize {
    for number in 10..20 {
        world.request_with_prompt(number, 7, 600);
    }
    world.granted.len()
}

/// Guards against pauses of every running stream: while a neighbour loads the engine's machine, it
/// must not process as many prompts at once as usual.
#[test]
fn a_slow_engine_is_sent_fewer_prompts_at_once() {
    assert_eq!(burst(&mut engine_at(100)), 4);
    assert_eq!(burst(&mut engine_at(250)), 1);
}

#[test]
fn slowness_that_is_not_reported_again_expires() {
    let mut world = engine_at(250);
    world.run_ms(600);
    assert_eq!(burst(&mut world), 4);
}

/// Each processed prompt admits the next one.
#[test]
fn waiting_prompts_are_granted_as_others_are_processed() {
    let mut world = engine_at(100);
    burst(&mut world);
    for number in 10..20 {
        world.started(number, 100);
    }
    assert_eq!(world.granted, (10..20).collect::<Vec<u64>>());
}
