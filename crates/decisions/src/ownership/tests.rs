//! Randomized fault tests of a zone of ownership machines.

mod planning;
mod rows;
mod rules;
mod step;
mod store;
mod zone;

use quickcheck::{Gen, QuickCheck};

use self::step::Step;
use self::zone::Zone;

const SEED: u64 = 20_261_204;
const STEPS: usize = 400;
const RUNS: u64 = 200;

/// Guards against two owners of one upstream and reuse of fencing numbers under random faults.
/// `Zone` asserts the invariants after every step.
#[test]
fn faults_leave_one_owner_and_no_number_used_twice() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut zone = Zone::new();
        zone.settle();
        for step in steps {
            zone.step(step);
        }
        zone.settle();
        zone.check_settled();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(RUNS)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
