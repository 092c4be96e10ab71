//! What the holder says of prompts that its engine has kept.

use monsoonspread_model::fleet::PromptPart;

use super::world::World;
use crate::copies::QuoteQuestion;

/// A prompt of two parts that others share, and of 1,000 tokens of its own.
const SHARED: [PromptPart; 2] = [
    PromptPart {
        id: 7,
        tokens: 2_500,
    },
    PromptPart {
        id: 9,
        tokens: 3_800,
    },
];

/// A world of two adapter slots and a memory of 20,000 tokens, in which adapter 7 is there.
fn world() -> World {
    let mut world = World::with_memory(2, 20_000);
    world.ask(1, 7);
    world.run_ms(400);
    world.done(1);
    world
}

fn read(world: &mut World, number: u64, shared: &[PromptPart]) {
    world.ask_with_shared_prompt(number, 7, shared, 1_000);
    world.started(number, 100);
    world.done(number);
}

/// Tokens that the engine is said to have kept of a prompt.
fn kept(world: &mut World, shared: &[PromptPart]) -> u32 {
    let question = QuoteQuestion {
        key: World::key(7),
        shared_parts: shared.to_vec(),
        counts_demand: false,
    };
    let quote = world.control.on_quote(world.now, &question);
    quote.expect("a quote").kept_tokens
}

#[test]
fn a_shared_beginning_that_was_read_is_kept() {
    let mut world = world();
    assert_eq!(kept(&mut world, &SHARED), 0);
    read(&mut world, 2, &SHARED);
    assert_eq!(kept(&mut world, &SHARED), 6_300);
    let other_end = PromptPart { id: 8, ..SHARED[1] };
    assert_eq!(kept(&mut world, &[SHARED[0], other_end]), 2_500);
    let other_start = PromptPart { id: 6, ..SHARED[0] };
    assert_eq!(kept(&mut world, &[other_start, SHARED[1]]), 0);
}

/// Newer prompts take the memory, and a prompt that is used again stays.
#[test]
fn a_beginning_that_was_not_used_for_long_yields() {
    let mut world = world();
    read(&mut world, 2, &SHARED);
    for number in 3..20 {
        read(&mut world, number, &[]);
        assert_eq!(
            kept(&mut world, &SHARED),
            if number <= 18 { 6_300 } else { 0 }
        );
    }
}

#[test]
fn a_removed_adapter_takes_its_prompts_along() {
    let mut world = world();
    read(&mut world, 2, &SHARED);
    for (number, adapter) in [(3, 8), (4, 8), (5, 8), (6, 9)] {
        world.ask(number, adapter);
        world.run_ms(800);
        world.done(number);
    }
    world.ask(7, 7);
    world.run_ms(800);
    assert!(world.granted.contains(&7));
    assert_eq!(kept(&mut world, &SHARED), 0);
}

#[test]
fn an_engine_that_starts_anew_has_kept_nothing() {
    let mut world = world();
    read(&mut world, 2, &SHARED);
    world.restart();
    world.run_ms(2_000);
    world.ask(3, 7);
    world.run_ms(800);
    assert_eq!(kept(&mut world, &SHARED), 0);
}
