//! Random interleavings of messages, orders, reports and ticks, with and without losses.

use quickcheck::{Arbitrary, Gen};

use super::fixture::{engine, settings};
use super::simulation::Simulation;
use crate::owner::{OwnerSettings, OwnershipOrigin};
use monsoonspread_model::RequestClass;

/// Number of runs of each property, each with its own seed.
const RUNS: u64 = 300;
/// Number of steps of one run.
const STEPS: usize = 400;

fn codes(seed: u64) -> Vec<u32> {
    let mut generator = Gen::from_size_and_seed(STEPS, seed);
    (0..STEPS).map(|_| u32::arbitrary(&mut generator)).collect()
}

fn short_lived() -> OwnerSettings {
    OwnerSettings {
        pause_ms: 1_000,
        grant_min_ms: 5_000,
        grant_max_ms: 10_000,
        ..settings()
    }
}

/// Runs random steps with `change` in the middle, and checks after each.
fn run(seed: u64, fenced: bool, lossy: bool, change: impl Fn(&mut Simulation)) -> Simulation {
    let mut simulation = Simulation::new(3, fenced, short_lived());
    simulation.lossy = lossy;
    for (index, code) in codes(seed).into_iter().enumerate() {
        if index == STEPS / 2 {
            change(&mut simulation);
        }
        simulation.step(code);
        check(&simulation, seed);
    }
    simulation
}

fn check(simulation: &Simulation, seed: u64) {
    let cut = &simulation.engine.cut;
    assert!(
        cut.is_empty(),
        "seed {seed}: unloaded while in use: {cut:?}"
    );
    for owner in &simulation.owners {
        let Some(owned) = owner.owned.get(&engine()) else {
            continue;
        };
        let used = owned.grants.places();
        let starved = owned.queue.iter().find(|row| {
            row.request.class == RequestClass::Short
                && owned.takes_work(simulation.now)
                && !owned.confirmation.is_pending()
                && !owner.exits.contains_key(&engine())
                && row.in_time(simulation.now, owned.first_token_ms(simulation.now))
                && owned.usable_copy(&row.request.adapter).is_some()
                && owned.shares().admits(RequestClass::Short, used, true)
        });
        assert!(
            starved.is_none(),
            "seed {seed}: short work waits: {starved:?}"
        );
    }
}

/// Checks that no request, grant or order remains once every message was delivered.
fn check_settled(mut simulation: Simulation, seed: u64) {
    simulation.settle();
    check(&simulation, seed);
    let Some(owned) = simulation.owners[simulation.owner].owned.get(&engine()) else {
        return;
    };
    assert_eq!(owned.queue.len(), 0, "seed {seed}: requests wait forever");
    assert_eq!(owned.grants.len(), 0, "seed {seed}: grants are lost");
    assert!(
        !owned.confirmation.is_pending(),
        "seed {seed}: unconfirmed forever"
    );
    let known = owned.copies.iter().all(|(_, copy)| copy.is_loaded());
    assert!(known, "seed {seed}: {:?}", owned.copies);
}

#[test]
fn one_owner() {
    for seed in 0..RUNS {
        let simulation = run(seed, seed % 2 == 0, false, |_| {});
        assert_eq!(
            simulation.engine.refused_full, 0,
            "seed {seed}: over capacity"
        );
        check_settled(simulation, seed);
    }
}

#[test]
fn one_owner_with_losses() {
    for seed in 0..RUNS {
        let simulation = run(seed, seed % 2 == 0, true, |_| {});
        check_settled(simulation, seed);
    }
}

#[test]
fn a_leaving_upstream() {
    for seed in 0..RUNS {
        let simulation = run(seed, true, true, Simulation::leave);
        check_settled(simulation, seed);
    }
}

#[test]
fn a_takeover_with_the_old_owner_running_on_a_fencing_engine() {
    for seed in 0..RUNS {
        let simulation = run(seed, true, true, |simulation| {
            simulation.start_ownership(1, OwnershipOrigin::Takeover)
        });
        check_settled(simulation, seed);
    }
}

#[test]
fn a_takeover_with_the_old_owner_running_on_an_engine_without_fencing() {
    for seed in 0..RUNS {
        let simulation = run(seed, false, true, |simulation| {
            simulation.start_ownership(1, OwnershipOrigin::Takeover)
        });
        check_settled(simulation, seed);
    }
}

#[test]
fn a_takeover_after_the_old_owner_died() {
    for seed in 0..RUNS {
        let simulation = run(seed, seed % 2 == 0, true, |simulation| {
            simulation.crash(0);
            simulation.start_ownership(1, OwnershipOrigin::Takeover);
            let removal = simulation.owners[1]
                .on_instance_removed(simulation.now, &super::simulation::name(0));
            simulation.dispatch(1, removal);
        });
        check_settled(simulation, seed);
    }
}

#[test]
fn a_planned_handover() {
    for seed in 0..RUNS {
        let simulation = run(seed, seed % 2 == 0, true, |simulation| simulation.drain(2));
        check_settled(simulation, seed);
    }
}

#[test]
fn a_holder_that_is_paused_and_removed() {
    for seed in 0..RUNS {
        let simulation = run(seed, seed % 2 == 0, true, |simulation| {
            simulation.pause(1, 2_500)
        });
        check_settled(simulation, seed);
    }
}

#[test]
fn a_takeover_from_an_owner_that_is_paused_and_removed() {
    for seed in 0..RUNS {
        let simulation = run(seed, seed % 2 == 0, true, |simulation| {
            simulation.start_ownership(1, OwnershipOrigin::Takeover);
            simulation.pause(0, 2_500);
        });
        check_settled(simulation, seed);
    }
}
