use quickcheck::{Arbitrary, Gen};

use super::world::{Fate, World};

/// Seeds played in each test.
const SEEDS: u64 = 300;
/// Requests of one run.
const REQUESTS: u64 = 60;

fn below(random: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(random) % limit
}

/// Orders get lost, come late, cross reports and restarts; the engine is never made to hold too much,
/// and the next request is granted once the network is calm again.
#[test]
fn lost_and_late_orders_never_overfill_an_engine() {
    for seed in 0..SEEDS {
        let mut random = Gen::from_size_and_seed(16, seed);
        let slots = 2 + below(&mut random, 4) as usize;
        let mut world = World::new(slots);
        let mut bent = Gen::from_size_and_seed(16, seed + SEEDS);
        world.fates = Box::new(move || match below(&mut bent, 6) {
            0 => Fate::AnswerLost,
            1 => Fate::Late(2_000 + below(&mut bent, 4_000)),
            _ => Fate::Answered,
        });
        for number in 0..REQUESTS {
            world.ask(number, below(&mut random, 12));
            world.run_ms(below(&mut random, 400));
            if below(&mut random, 8) == 0 {
                let adapter = below(&mut random, 12);
                world.name_version(adapter, 2 + number);
            }
            if number >= 3 {
                world.done(number - 3);
            }
            if below(&mut random, 12) == 0 {
                world.restart();
            }
            assert!(
                !world.engine.crashed,
                "seed {seed}: the engine holds too much"
            );
        }
        world.fates = Box::new(|| Fate::Answered);
        for number in REQUESTS - 3..REQUESTS {
            world.done(number);
        }
        // Longer than late orders keep places free.
        world.run_ms(16_000);
        world.ask(REQUESTS, 99);
        world.run_ms(2_000);
        assert!(
            !world.engine.crashed,
            "seed {seed}: the engine holds too much"
        );
        assert!(
            world.granted.contains(&REQUESTS),
            "seed {seed}: not granted"
        );
    }
}
