mod simulation;

use monsoonspread_model::fleet::Merit;

use simulation::{Kind, Outcome, Simulation};

/// Calls per second that three servers of six places serve, of 30 ms each, without the turns between calls.
const CAPACITY_PER_S: f64 = 600.0;

fn crest(kinds: &[Kind]) -> Vec<Outcome> {
    let mut simulation = Simulation::new(3, kinds);
    simulation.run(3_000, true);
    simulation.outcomes
}

fn urgent(per_s: u64) -> Kind {
    Kind::new(per_s)
}

fn bulk(per_s: u64) -> Kind {
    Kind {
        merit: Merit::of_route(2),
        objective_ms: 1_000,
        deadline_ms: 2_000,
        ..Kind::new(per_s)
    }
}

fn of(workspace: &'static str, per_s: u64) -> Kind {
    Kind {
        workspace: Some(workspace),
        ..Kind::new(per_s)
    }
}

/// Load: 390 calls a second from 80 instances on 18 places, below their capacity. Guards against refusals, late
/// answers and rejected calls where there is room for all.
#[test]
fn a_load_with_room_is_served_in_time() {
    let outcomes = crest(&[urgent(390)]);
    assert!(outcomes[0].in_time_share() > 0.98, "{outcomes:?}");
    assert_eq!((outcomes[0].refused, outcomes[0].rejected), (0, 0));
}

/// Load: a crest of 1.5 times the capacity of 18 places. Guards against queues in which everybody is late, and
/// against calls that servers reject.
#[test]
fn a_crest_is_served_in_time_up_to_the_capacity() {
    let outcome = &crest(&[urgent(900)])[0];
    let capacity = CAPACITY_PER_S * 3.0;
    assert!(
        outcome.in_time as f64 > capacity * 0.8,
        "{}",
        outcome.in_time
    );
    assert_eq!(outcome.rejected, 0);
}

/// Load: the same crest. Guards against requests that are held until they are hopeless, and refused callers
/// that return together.
#[test]
fn refusals_come_early_and_returns_are_spread() {
    let outcome = &crest(&[urgent(900)])[0];
    let held = outcome.refused_after_ms.iter().filter(|ms| **ms > 400);
    assert!(held.count() * 20 < outcome.refused_after_ms.len());
    let mut returns = outcome.returns_ms.clone();
    returns.sort_unstable();
    // All callers that are told the latest time at once would return together.
    let most = returns.windows(40).filter(|span| span[39] - span[0] < 10);
    assert!(most.count() < returns.len() / 10, "{}", returns.len());
}

/// Load: a burst of bulk beside interactive work, together 1.7 times the capacity. Guards against urgent calls
/// that are late because of bulk, and against bulk that gets nothing.
#[test]
fn bulk_gives_way_and_is_not_starved() {
    let outcomes = crest(&[urgent(400), bulk(600)]);
    assert!(outcomes[0].in_time_share() > 0.95, "{outcomes:?}");
    let served = outcomes[1].in_time + outcomes[1].late;
    assert!(served * 10 > outcomes[1].arrived, "{served}");
}

/// Load: more interactive work than there is room for, and some bulk. Guards against a kind that is served worse
/// than a less urgent one, and against bulk that gets nothing at all.
#[test]
fn no_kind_is_served_worse_than_a_less_urgent_one() {
    let outcomes = crest(&[urgent(800), bulk(100)]);
    let served =
        |outcome: &Outcome| (outcome.in_time + outcome.late) as f64 / outcome.arrived as f64;
    assert!(served(&outcomes[0]) >= served(&outcomes[1]), "{outcomes:?}");
    assert!(served(&outcomes[1]) > 0.0);
}

/// Load: one workspace with 7.5 times its usual load beside three with theirs. Guards against the others paying
/// for it.
#[test]
fn a_hot_workspace_pays_for_itself() {
    let kinds = [of("hot", 900), of("a", 120), of("b", 60), of("c", 30)];
    let outcomes = crest(&kinds);
    for outcome in &outcomes[1..] {
        assert!(outcome.in_time_share() > 0.9, "{outcome:?}");
    }
    assert!(
        outcomes[0].in_time_share() > 0.25,
        "{:?}",
        outcomes[0].in_time
    );
}

/// Load: one of three servers is lost at 1.2 times the capacity of the rest. Guards against calls that are sent
/// to it and places that stay taken.
#[test]
fn a_lost_server_costs_its_places_only() {
    let mut simulation = Simulation::new(3, &[urgent(480)]);
    simulation.run(1_000, false);
    simulation.lose(0);
    simulation.run(3_000, true);
    let outcome = &simulation.outcomes[0];
    assert!(
        outcome.in_time as f64 > 4.0 * 400.0 * 0.8,
        "{}",
        outcome.in_time
    );
    assert!(outcome.rejected < 20, "{}", outcome.rejected);
}

/// Load: a crest whose refused callers return at once, five times. Guards against returns that take the room of
/// new requests.
#[test]
fn callers_that_return_at_once_take_no_room() {
    let abusive = Kind {
        returns_at_once: 5,
        ..urgent(900)
    };
    let outcome = &crest(&[abusive])[0];
    assert!(
        (outcome.in_time + outcome.late) as f64 > CAPACITY_PER_S * 3.0 * 0.8,
        "{}",
        outcome.in_time
    );
    assert_eq!(outcome.rejected, 0);
}

/// Load: one of three servers at half the speed of the others, at nine tenths of what they serve together.
/// Guards against equal shares, which make the calls of the slow one late.
#[test]
fn a_slow_server_gets_less() {
    let mut simulation = Simulation::new(3, &[urgent(420)]);
    simulation.set_slowness(0, 2.0);
    simulation.run(4_000, true);
    let outcome = &simulation.outcomes[0];
    assert!(outcome.in_time_share() > 0.9, "{}", outcome.in_time_share());
}

/// Load: 600 ms in which one server's work takes five times as long. Guards against a server that is avoided
/// long after.
#[test]
fn noise_of_600_ms_costs_its_own_calls_only() {
    let mut simulation = Simulation::new(3, &[urgent(390)]);
    simulation.run(1_000, false);
    simulation.set_slowness(0, 5.0);
    simulation.run(600, false);
    simulation.set_slowness(0, 1.0);
    simulation.run(3_000, true);
    let outcome = &simulation.outcomes[0];
    assert!(
        outcome.in_time_share() > 0.85,
        "{}",
        outcome.in_time_share()
    );
    assert_eq!(outcome.refused, 0);
}

/// Load: all servers at half their speed for two seconds, beyond which they could serve. Guards against limits
/// that fall with the load, so that places stay unused.
#[test]
fn all_slow_at_once_keeps_all_places_in_use() {
    let mut simulation = Simulation::new(3, &[urgent(500)]);
    for server in 0..3 {
        simulation.set_slowness(server, 2.0);
    }
    simulation.run(2_000, true);
    let outcome = &simulation.outcomes[0];
    let served = (outcome.in_time + outcome.late) as f64;
    assert!(served > 300.0 * 2.0 * 0.8, "{served}");
}

/// Load: messages about the ends of calls get lost. Guards against places that stay taken.
#[test]
fn lost_ends_free_their_places() {
    let mut simulation = Simulation::new(3, &[urgent(300)]);
    simulation.lost_done_share = 0.05;
    simulation.run(5_000, true);
    let outcome = &simulation.outcomes[0];
    assert!(outcome.in_time_share() > 0.7, "{}", outcome.in_time_share());
}

/// Load: a crest on servers that fail three in a hundred calls and serve the others. Guards against leaving such
/// servers out, which costs their places.
#[test]
fn servers_that_fail_some_calls_stay_in_use() {
    let mut simulation = Simulation::new(3, &[urgent(900)]);
    simulation.failed_share = 0.03;
    simulation.run(3_000, true);
    let outcome = &simulation.outcomes[0];
    assert!(
        outcome.in_time as f64 > CAPACITY_PER_S * 3.0 * 0.75,
        "{}",
        outcome.in_time
    );
}
