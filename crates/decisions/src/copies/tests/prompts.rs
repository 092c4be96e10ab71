//! Prompts that wait for an engine to read others.

use super::world::World;

/// A world whose only adapter is there, and that has just heard of its engine's slowness.
fn engine_at(slowness_percent: u32) -> World {
    let mut world = World::new(2);
    world.ask(1, 7);
    world.run_ms(400);
    world.started(1, slowness_percent);
    world.granted.clear();
    world
}

/// Ten requests of 600 tokens each that come together.
fn burst(world: &mut World) -> usize {
    for number in 10..20 {
        world.ask_with_prompt(number, 7, 600);
    }
    world.granted.len()
}

/// A neighbour presses on the engine's machine: prompts that are read at once would make every
/// running stream pause.
#[test]
fn a_slow_engine_is_handed_fewer_prompts_at_once() {
    assert_eq!(burst(&mut engine_at(100)), 4);
    assert_eq!(burst(&mut engine_at(250)), 1);
}

#[test]
fn slowness_that_is_not_heard_of_again_is_forgotten() {
    let mut world = engine_at(250);
    world.run_ms(600);
    assert_eq!(burst(&mut world), 4);
}

/// Each prompt that was read lets the next one go.
#[test]
fn waiting_prompts_go_as_others_are_read() {
    let mut world = engine_at(100);
    burst(&mut world);
    for number in 10..20 {
        world.started(number, 100);
    }
    assert_eq!(world.granted, (10..20).collect::<Vec<u64>>());
}
