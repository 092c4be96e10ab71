//! Random faults during calls that share one key.

mod batching;
mod step;
mod world;

use quickcheck::{Gen, QuickCheck};

use self::step::Step;
use self::world::World;

const SEED: u64 = 20_261_204;
const STEPS: usize = 60;
const RUNS: u64 = 5_000;

/// The world also asserts at each answer that refusals are correct and that a reply is that of the
/// first run.
#[test]
fn a_keyed_call_runs_at_most_once() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        for step in steps {
            world.step(step);
            assert!(world.runs <= 1, "the call ran {} times", world.runs);
        }
        world.settle();
        world.runs <= 1
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(RUNS)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
