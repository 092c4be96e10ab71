//! Fault tests of simulated zones of membership machines in virtual time.

mod net;

use monsoonspread_model::message::{Health, MemberUpdate, Swim, SwimBody};
use monsoonspread_model::{BundleVersion, UnixMs};
use quickcheck::{Gen, QuickCheck};

use self::net::{Net, name, row};
use crate::membership::{Member, Membership, MembershipSettings};

const SEED: u64 = 20_261_204;
const COUNT: usize = 7;
const JOIN_MS: u64 = 5_000;

fn joined(seed: u64) -> Net {
    let mut net = Net::new(COUNT, seed);
    net.advance(JOIN_MS);
    assert!((0..COUNT).all(|member| net.all_report(member, Health::Alive)));
    net
}

fn check(property: fn(u64) -> bool) {
    let random = Gen::from_size_and_seed(100, SEED);
    let mut tests = QuickCheck::new().rng(random).tests(40);
    tests.quickcheck(property as fn(u64) -> bool);
}

#[test]
fn a_stopped_member_is_dead_everywhere_soon_despite_losses() {
    fn holds(seed: u64) -> bool {
        let mut net = joined(seed);
        net.loss_percent = 10;
        let victim = seed as usize % COUNT;
        net.stop(victim);
        let found = net.advance_until(2_500, |net| net.all_report(victim, Health::Dead));

        found.is_some()
    }
    check(holds);
}

#[test]
fn a_member_that_refuses_connections_is_dead_sooner() {
    fn holds(seed: u64) -> bool {
        let mut net = joined(seed);
        net.refuses = true;
        let victim = seed as usize % COUNT;
        net.stop(victim);
        let found = net.advance_until(1_500, |net| net.all_report(victim, Health::Dead));
        found.is_some()
    }
    check(holds);
}

#[test]
fn losses_alone_leave_no_running_member_dead() {
    fn holds(seed: u64) -> bool {
        let mut net = joined(seed);
        net.loss_percent = 40;
        net.advance(10_000);
        net.loss_percent = 0;
        let all_alive = |net: &Net| (0..COUNT).all(|one| net.all_report(one, Health::Alive));
        net.advance_until(60_000, all_alive).is_some()
    }
    check(holds);
}

#[test]
fn losses_of_a_fifth_make_no_member_dead() {
    fn holds(seed: u64) -> bool {
        let mut net = joined(seed);
        net.loss_percent = 20;
        (0..100).all(|_| {
            net.advance(100);
            (0..COUNT).all(|one| !net.any_reports(one, Health::Dead))
        })
    }
    check(holds);
}

#[test]
fn a_partition_heals() {
    fn holds(seed: u64) -> bool {
        let mut net = joined(seed);
        (0..COUNT / 2).for_each(|index| net.set_side(index, 1));
        net.advance(10_000);
        let apart = net.health(0, COUNT - 1) == Some(Health::Dead);
        (0..COUNT).for_each(|index| net.set_side(index, 0));
        let all_alive = |net: &Net| (0..COUNT).all(|one| net.all_report(one, Health::Alive));
        apart && net.advance_until(60_000, all_alive).is_some()
    }
    check(holds);
}

#[test]
fn a_leave_is_known_everywhere_without_any_suspicion() {
    fn holds(seed: u64) -> bool {
        let mut net = joined(seed);
        net.leave(0);
        let known = |net: &Net| (1..COUNT).all(|one| net.health(one, 0) == Some(Health::Leaving));
        net.advance_until(500, known).is_some()
    }
    check(holds);
}

#[test]
fn a_dead_member_is_revived_by_a_restart_but_not_by_the_list() {
    let mut net = joined(SEED);
    net.stop(3);
    net.advance(10_000);
    for index in 0..COUNT {
        net.list(index, COUNT);
    }
    assert!(net.all_report(3, Health::Dead));
    net.advance(10_000);
    assert!(net.all_report(3, Health::Dead));
    net.restart(3);
    net.advance(JOIN_MS);
    assert!(net.all_report(3, Health::Alive));
}

#[test]
fn an_instance_that_was_paused_suspects_nobody() {
    let mut net = joined(SEED);
    net.advance(100);
    net.stop(2);
    net.advance(20_000);
    net.resume(2);
    net.advance(100);
    assert!((0..COUNT).all(|member| net.health(2, member) == Some(Health::Alive)));
    net.advance(JOIN_MS);
    assert!((0..COUNT).all(|member| net.all_report(member, Health::Alive)));
}

#[test]
fn messages_and_their_size_stay_the_same_in_a_larger_zone() {
    let per_node = |count: usize| {
        let mut net = Net::new(count, SEED);
        net.advance(JOIN_MS);
        net.sent = 0;
        net.advance(10_000);
        assert!(net.largest <= MembershipSettings::default().max_updates);
        net.sent / count as u64
    };
    assert!(per_node(60).abs_diff(per_node(8)) <= 5);
}

fn swim(updates: &[MemberUpdate]) -> Swim {
    Swim {
        body: SwimBody::Ack { sequence: 0 },
        updates: updates.to_vec(),
        bundle_version: BundleVersion(0),
        table_revision: 0,
    }
}

#[test]
fn a_running_suspect_refutes_soon() {
    let mut net = joined(SEED);
    net.stop(5);
    net.advance_until(2_000, |net| net.any_reports(5, Health::Suspect));
    net.resume(5);
    let all_alive = |net: &Net| net.all_report(5, Health::Alive);
    assert!(net.advance_until(800, all_alive).is_some());
}

/// Guards against a member state that depends on the order or repetition of updates.
#[test]
fn the_order_of_updates_does_not_matter() {
    fn holds(updates: Vec<(u8, u8)>) -> bool {
        let updates: Vec<_> = updates
            .iter()
            .map(|(incarnation, health)| update(*incarnation, *health))
            .collect();
        let result = |updates: &[MemberUpdate]| {
            let local = Member {
                name: name(0),
                address: row(0).address,
            };
            let mut machine = Membership::new(UnixMs(0), local, MembershipSettings::default(), 1);
            for update in updates {
                machine.on_swim(UnixMs(0), &name(2), swim(std::slice::from_ref(update)));
            }
            machine.health(&name(1))
        };
        let reversed: Vec<_> = updates.iter().rev().cloned().collect();
        result(&updates) == result(&reversed)
            && result(&updates) == result(&[updates.clone(), updates].concat())
    }
    let random = Gen::from_size_and_seed(30, SEED);
    QuickCheck::new()
        .rng(random)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

fn update(incarnation: u8, health: u8) -> MemberUpdate {
    let healths = [
        Health::Alive,
        Health::Suspect,
        Health::Leaving,
        Health::Dead,
    ];
    MemberUpdate {
        member: name(1),
        address: row(1).address,
        incarnation: u64::from(incarnation),
        health: healths[usize::from(health) % healths.len()],
    }
}
