use monsoonspread_model::UnixMs;
use rand::RngExt as _;

use super::super::HandoverWait;
use super::fleet::{Outcome, QuotaFleet, tokens};

/// Units of a request of the platform's sheets: prompt and answer.
const COSTS: [f64; 3] = [200.0, 714.0, 9_242.0];
/// Quota of a workspace, in tokens per second and tokens.
const QUOTA: (f64, f64) = (60_000.0, 60_000.0);
const SIZES: [usize; 3] = [7, 80, 300];

/// Sends `load` times the quota for `ms` to random instances; returns units run and asked for.
fn send(fleet: &mut QuotaFleet, ms: u64, load: f64, runs: f64) -> (f64, f64) {
    let until = fleet.now + ms;
    let (mut run, mut asked, mut due) = (0.0, 0.0, 0.0);
    while fleet.now < until {
        fleet.pass(5);
        due += load * QUOTA.0 * 0.005;
        while due > 0.0 {
            let cost = COSTS[fleet.random.random_range(0..COSTS.len())];
            let index = fleet.random.random_range(0..fleet.len());
            let is_run = fleet.random.random_bool(runs);
            due -= cost;
            asked += cost;
            if fleet.request(index, cost, is_run) == Outcome::Run && is_run {
                run += cost;
            }
        }
    }
    (run, asked)
}

fn assert_rule(fleet: &QuotaFleet, what: &str) {
    let (busiest, allowed) = (fleet.busiest_window(), fleet.terms().allowed());
    assert!(busiest <= allowed, "{what}: {busiest} of {allowed}");
}

/// Guards against requests below the limit that are refused in calm, at any number of instances.
#[test]
fn a_workspace_below_its_limit_is_never_refused() {
    for size in SIZES {
        let mut fleet = QuotaFleet::new(size, tokens(QUOTA.0, QUOTA.1), 1);
        let (run, asked) = send(&mut fleet, 20_000, 0.8, 1.0);
        assert_eq!(run, asked, "{size} instances");
    }
}

/// Guards against a workspace that sends several times its limit: beyond the rule, or far below it.
#[test]
fn a_workspace_at_its_limit_gets_it_and_no_more() {
    for size in SIZES {
        let mut fleet = QuotaFleet::new(size, tokens(QUOTA.0, QUOTA.1), 2);
        let (run, _) = send(&mut fleet, 24_000, 7.5, 1.0);
        assert_rule(&fleet, &format!("{size} instances"));
        let share = run / (QUOTA.0 * 24.0);
        println!("{size} instances, calm: {share:.3} of the quota");
    }
}

/// Guards against sides of a cut that use the limit once each, while leases run on and after they end.
#[test]
fn both_sides_of_a_cut_stay_within_the_rule_together() {
    for size in SIZES {
        for (side, is_primary_cut) in [(0, true), (1, false)] {
            let mut fleet = QuotaFleet::new(size, tokens(QUOTA.0, QUOTA.1), 3 + side);
            send(&mut fleet, 8_000, 5.0, 1.0);
            let zone = (fleet.primary() + usize::from(!is_primary_cut)) % 3;
            fleet.cut((0..size).filter(|index| index % 3 == zone));
            let (run, _) = send(&mut fleet, 8_000, 5.0, 1.0);
            let share = run / (QUOTA.0 * 8.0);
            println!("{size} instances, issuer cut off {is_primary_cut}: {share:.3} of the quota");
            send(&mut fleet, 8_000, 5.0, 1.0);
            fleet.cut([]);
            send(&mut fleet, 12_000, 5.0, 1.0);
            assert_rule(&fleet, &format!("{size} instances, {is_primary_cut}"));
        }
    }
}

/// Guards against a workspace below its limit that is hardly served while its issuer doesn't answer.
#[test]
fn backup_issuers_serve_a_part_while_the_issuer_is_frozen() {
    for size in SIZES {
        let mut fleet = QuotaFleet::new(size, tokens(QUOTA.0, QUOTA.1), 5);
        send(&mut fleet, 8_000, 0.55, 1.0);
        let primary = fleet.primary();
        fleet.freeze(primary, true);
        let (run, asked) = send(&mut fleet, 4_000, 0.55, 1.0);
        println!(
            "{size} instances, issuer frozen for 4 s: {:.3} of what was asked",
            run / asked
        );
        fleet.freeze(primary, false);
        send(&mut fleet, 10_000, 5.0, 1.0);
        assert_rule(&fleet, &format!("{size} instances"));
    }
}

/// Guards against a debt that grows each time that beats of a zone are late and come again.
#[test]
fn lost_beats_cost_no_more_than_the_shares_of_their_zones() {
    for size in SIZES {
        let mut fleet = QuotaFleet::new(size, tokens(QUOTA.0, QUOTA.1), 6);
        let primary = fleet.primary();
        let mut run = 0.0;
        for _ in 0..10 {
            fleet.cut((0..size).filter(|index| index % 3 == (primary + 1) % 3));
            run += send(&mut fleet, 1_000, 5.0, 1.0).0;
            fleet.cut([]);
            run += send(&mut fleet, 1_000, 5.0, 1.0).0;
        }
        assert_rule(&fleet, &format!("{size} instances"));
        let share = run / (QUOTA.0 * 20.0);
        println!("{size} instances, a zone comes and goes: {share:.3} of the quota");
        // A third comes and goes, and its backup issuer takes over only after the cut.
        assert!(share > 0.6, "{size} instances: {share}");
    }
}

/// Guards against random series of cuts, freezes, restarts, lost answers and returned tokens that together
/// break the rule.
#[test]
fn the_rule_holds_whatever_fails() {
    for size in SIZES {
        let seeds = 140 / size as u64;
        for seed in 0..seeds.max(1) {
            let mut fleet = QuotaFleet::new(size, tokens(QUOTA.0, QUOTA.1), 100 + seed);
            fleet.lost_answers = 0.02;
            for _ in 0..8 {
                let primary = fleet.primary();
                match fleet.random.random_range(0..6) {
                    0 => fleet.freeze(primary, true),
                    1 => fleet.restart(primary),
                    2 => {
                        let zone = fleet.random.random_range(0..3);
                        fleet.cut((0..size).filter(|index| index % 3 == zone));
                    }
                    3 => fleet.cut_from_store([primary]),
                    4 => {
                        let index = fleet.random.random_range(0..size);
                        fleet.restart(index);
                    }
                    _ => {}
                }
                let ms = fleet.random.random_range(500..11_000);
                send(&mut fleet, ms, 4.0, 0.7);
                (0..size).for_each(|index| fleet.freeze(index, false));
                fleet.cut([]);
                fleet.cut_from_store([]);
                let ms = fleet.random.random_range(200..4_000);
                send(&mut fleet, ms, 4.0, 0.7);
            }
            assert_rule(&fleet, &format!("{size} instances, seed {seed}"));
        }
    }
}

/// Load: a workspace below its quota while its issuer is replaced within a second. Guards against refusals that a
/// short wait spares, and against waits of a workspace that is at its quota.
#[test]
fn requests_wait_for_a_handover_and_not_for_a_used_quota() {
    let (arrived_at, objective_ms) = (UnixMs(50_000), 500);
    let wait = HandoverWait::new(arrived_at, objective_ms);
    let replaced_at = arrived_at + 350;
    let mut now = arrived_at;
    while now < replaced_at {
        now = wait.next_try(now, true).expect("another try");
    }
    assert!(now <= arrived_at + objective_ms);
    assert_eq!(wait.next_try(arrived_at, false), None);
    // Clients give up a request that isn't read for a second.
    let patient = HandoverWait::new(arrived_at, 60_000);
    let mut now = arrived_at;
    while let Some(next) = patient.next_try(now, true) {
        now = next;
    }
    assert!(now < arrived_at + 1_000);
}

/// Load: a workspace at five times its quota when all instances lose power twice within a window. Guards against
/// backup issuers that begin with more than the rule has to spare.
#[test]
fn the_rule_holds_when_all_instances_restart() {
    for size in SIZES {
        let mut fleet = QuotaFleet::new(size, tokens(QUOTA.0, QUOTA.1), 8);
        send(&mut fleet, 9_000, 5.0, 1.0);
        let mut served = (0.0, 0.0);
        for _ in 0..2 {
            (0..size).for_each(|index| fleet.restart(index));
            served = send(&mut fleet, 1_000, 0.55, 1.0);
            send(&mut fleet, 2_500, 5.0, 1.0);
        }
        send(&mut fleet, 8_000, 5.0, 1.0);
        assert_rule(&fleet, &format!("{size} instances"));
        let share = served.0 / served.1;
        println!(
            "{size} instances, the second after a restart of all: {share:.3} of what was asked"
        );
    }
}
