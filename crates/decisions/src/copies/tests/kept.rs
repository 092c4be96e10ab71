//! Quotes of the prompt prefixes that an engine has cached.

use monsoonspread_model::fleet::PromptPart;

use super::world::World;
use crate::copies::QuoteQuestion;

/// Two prompt parts that several prompts share; `read` adds 1,000 further tokens.
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

/// Creates a world with two adapter slots, a cache of 20,000 tokens and adapter 7 present.
fn world() -> World {
    let mut world = World::with_memory(2, 20_000);
    world.request(1, 7);
    world.run_ms(400);
    world.done(1);
    world
}

fn read(world: &mut World, number: u64, shared: &[PromptPart]) {
    world.request_with_shared_prompt(number, 7, shared, 1_000);
    world.started(number, 100);
    world.done(number);
}

/// Quoted number of cached tokens of a prompt with the prefix `shared`.
fn kept(world: &mut World, shared: &[PromptPart]) -> u32 {
    let question = QuoteQuestion {
        key: World::key(7),
        min_version: None,
        shared_parts: shared.to_vec(),
        counts_demand: false,
    };
    let quote = world.control.on_quote(world.now, &question);
    quote.expect("a quote").kept_tokens
}

#[test]
fn a_shared_prefix_that_was_read_is_cached() {
    let mut world = world();
    assert_eq!(kept(&mut world, &SHARED), 0);
    read(&mut world, 2, &SHARED);
    assert_eq!(kept(&mut world, &SHARED), 6_300);
    let other_end = PromptPart { id: 8, ..SHARED[1] };
    assert_eq!(kept(&mut world, &[SHARED[0], other_end]), 2_500);
    let other_start = PromptPart { id: 6, ..SHARED[0] };
    assert_eq!(kept(&mut world, &[other_start, SHARED[1]]), 0);
}

/// Newer prompts take the memory of a prefix that is not used again.
#[test]
fn a_prefix_that_was_not_used_for_long_is_evicted() {
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
fn removing_an_adapter_drops_its_cached_prompts() {
    let mut world = world();
    read(&mut world, 2, &SHARED);
    for (number, adapter) in [(3, 8), (4, 8), (5, 8), (6, 9)] {
        world.request(number, adapter);
        world.run_ms(800);
        world.done(number);
    }
    world.request(7, 7);
    world.run_ms(800);
    assert!(world.granted.contains(&7));
    assert_eq!(kept(&mut world, &SHARED), 0);
}

#[test]
fn a_restarted_engine_has_no_cached_prompts() {
    let mut world = world();
    read(&mut world, 2, &SHARED);
    world.restart();
    world.run_ms(2_000);
    world.request(3, 7);
    world.run_ms(800);
    assert_eq!(kept(&mut world, &SHARED), 0);
}
