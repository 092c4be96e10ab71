//! Property tests: planned tables are balanced and move few owners.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::{InstanceName, OwnershipTable, UpstreamName};
use quickcheck::{Gen, QuickCheck};

use super::SEED;
use crate::ownership::Planner;

const ORDER_LENGTH: usize = 3;

fn names<T: From<String> + Ord>(prefix: &str, count: u8) -> BTreeSet<T> {
    let numbers = 0..count % 12 + 2;
    numbers
        .map(|i| T::from(format!("{prefix}-{i:02}")))
        .collect()
}

fn owners(table: &OwnershipTable) -> BTreeMap<&UpstreamName, &InstanceName> {
    let orders = table.upstreams.iter();
    orders
        .map(|(upstream, order)| (upstream, &order[0].instance))
        .collect()
}

fn loads(table: &OwnershipTable) -> BTreeMap<&InstanceName, usize> {
    let mut loads: BTreeMap<_, _> = table.members.iter().map(|name| (name, 0)).collect();
    for owner in owners(table).values() {
        *loads.entry(owner).or_default() += 1;
    }
    loads
}

fn is_balanced(table: &OwnershipTable) -> bool {
    let loads = loads(table);
    let least = loads.values().min().unwrap();
    let most = loads.values().max().unwrap();
    most - least <= 1
}

fn moved(before: &OwnershipTable, after: &OwnershipTable) -> usize {
    let (before, after) = (owners(before), owners(after));
    let moved = before
        .iter()
        .filter(|(name, owner)| after[*name] != **owner);
    moved.count()
}

fn check(property: fn(u8, u8) -> bool) {
    let random = Gen::from_size_and_seed(100, SEED);
    QuickCheck::new()
        .rng(random)
        .quickcheck(property as fn(u8, u8) -> bool);
}

#[test]
fn a_removed_member_moves_only_its_upstreams() {
    fn holds(members: u8, upstreams: u8) -> bool {
        let mut live = names("entry", members);
        let upstreams = names("engine", upstreams);
        let empty = OwnershipTable::new("z");
        let first = Planner::new(&empty, &live, &upstreams, ORDER_LENGTH)
            .plan()
            .unwrap();
        let removed = live.pop_first().unwrap();
        let next = Planner::new(&first, &live, &upstreams, ORDER_LENGTH)
            .plan()
            .unwrap();
        is_balanced(&first) && is_balanced(&next) && moved(&first, &next) == loads(&first)[&removed]
    }
    check(holds);
}

#[test]
fn a_member_that_joins_takes_no_more_than_its_share() {
    fn holds(members: u8, upstreams: u8) -> bool {
        let mut live = names("entry", members);
        let upstreams = names("engine", upstreams);
        let joins = live.pop_last().unwrap();
        let empty = OwnershipTable::new("z");
        let first = Planner::new(&empty, &live, &upstreams, ORDER_LENGTH)
            .plan()
            .unwrap();
        live.insert(joins);
        let next = Planner::new(&first, &live, &upstreams, ORDER_LENGTH)
            .plan()
            .unwrap();
        is_balanced(&next) && moved(&first, &next) <= upstreams.len() / live.len()
    }
    check(holds);
}
