use quickcheck::{Arbitrary, Gen};

use super::world::{Delivery, World};

/// Number of seeds run by each test.
const SEEDS: u64 = 300;
/// Number of requests in one run.
const REQUESTS: u64 = 60;

fn below(random: &mut Gen, limit: u64) -> u64 {
    u64::arbitrary(random) % limit
}

/// With lost and late orders, reports and restarts in any order, the engine is never overfilled, and
/// the next request is granted once messages are delivered reliably again.
#[test]
fn lost_and_late_orders_never_overfill_an_engine() {
    for seed in 0..SEEDS {
        let mut random = Gen::from_size_and_seed(16, seed);
        let slots = 2 + below(&mut random, 4) as usize;
        let mut world = World::new(slots);
        let mut delivery_random = Gen::from_size_and_seed(16, seed + SEEDS);
        world.deliveries = Box::new(move || match below(&mut delivery_random, 6) {
            0 => Delivery::AnswerLost,
            1 => Delivery::Late(2_000 + below(&mut delivery_random, 4_000)),
            _ => Delivery::Answered,
        });
        for number in 0..REQUESTS {
            world.request(number, below(&mut random, 12));
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
        world.deliveries = Box::new(|| Delivery::Answered);
        for number in REQUESTS - 3..REQUESTS {
            world.done(number);
        }
        // Longer than places stay reserved for late orders.
        world.run_ms(16_000);
        world.request(REQUESTS, 99);
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
