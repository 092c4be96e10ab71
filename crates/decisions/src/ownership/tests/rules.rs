//! Tests of individual ownership rules.

use monsoonspread_model::message::Health::{self, Alive, Dead, Leaving};
use monsoonspread_model::{Epoch, InstanceName, OwnershipTable, Succession, UnixMs, UpstreamName};

use crate::ownership::OwnershipAction::{HandOver, Own, ReadTable, SpreadTable, WriteTable};
use crate::ownership::{
    AcquisitionKind, Ownership, OwnershipAction, OwnershipSettings, TableSource, WriteResult,
};

const START: UnixMs = UnixMs(1_000);
const LATER: UnixMs = UnixMs(1_600);

fn engine() -> UpstreamName {
    "engine-1".into()
}

fn table(revision: u64, order: &[(&str, u64)]) -> OwnershipTable {
    let places = order.iter().map(|(instance, epoch)| Succession {
        instance: (*instance).into(),
        epoch: Epoch(*epoch),
    });
    OwnershipTable {
        revision,
        next_epoch: Epoch(order.iter().map(|(_, epoch)| epoch + 1).max().unwrap()),
        members: order.iter().map(|(name, _)| (*name).into()).collect(),
        upstreams: [(engine(), places.collect())].into(),
        ..OwnershipTable::new("z")
    }
}

fn members(healths: &[(&str, Health)]) -> Vec<(InstanceName, Health)> {
    let healths = healths.iter();
    healths
        .map(|(name, health)| ((*name).into(), *health))
        .collect()
}

/// Instance `local` of a zone with a, b and c, whose first table has the failover order a, b, c.
fn joined(local: &str) -> Ownership {
    let mut machine = Ownership::new(local.into(), "z".into(), OwnershipSettings::default());
    machine.on_tick(START);
    machine.on_table_absent(START);
    machine.on_members(START, &members(&[("a", Alive), ("b", Alive), ("c", Alive)]));
    let source = TableSource::Store { mod_revision: 7 };
    machine.on_table(START, table(1, &[("a", 1), ("b", 2), ("c", 3)]), source);
    machine
}

fn owns(actions: &[OwnershipAction]) -> Option<(Epoch, AcquisitionKind)> {
    actions.iter().find_map(|action| match action {
        Own { epoch, kind, .. } => Some((*epoch, *kind)),
        _ => None,
    })
}

fn written(actions: Vec<OwnershipAction>) -> Option<(OwnershipTable, u64)> {
    actions.into_iter().find_map(|action| match action {
        WriteTable {
            table,
            expected_mod_revision,
        } => Some((table, expected_mod_revision)),
        _ => None,
    })
}

#[test]
fn the_next_instance_takes_over_with_its_number_without_the_store() {
    let mut b = joined("b");
    let actions = b.on_members(LATER, &members(&[("a", Dead), ("b", Alive), ("c", Alive)]));
    assert_eq!(owns(&actions), Some((Epoch(2), AcquisitionKind::Takeover)));
    let mut c = joined("c");
    let actions = c.on_members(LATER, &members(&[("a", Dead), ("b", Alive), ("c", Alive)]));
    assert_eq!(owns(&actions), None);
    assert_eq!(c.owner_of(LATER, &engine()).unwrap().epoch, Epoch(2));
}

#[test]
fn an_owner_that_came_back_waits_for_a_new_table() {
    let mut b = joined("b");
    b.on_members(START, &members(&[("a", Dead), ("b", Alive), ("c", Alive)]));
    b.on_members(START, &members(&[("a", Alive), ("b", Alive), ("c", Alive)]));
    assert_eq!(b.owned_epoch(&engine()), Some(Epoch(2)));
    let (next, expected) = written(b.on_tick(LATER)).expect("b writes though a ranks first");
    assert_eq!(expected, 7);
    let order = next.order_of(&engine());
    let names: Vec<_> = order.iter().map(|place| place.instance.as_str()).collect();
    assert_eq!((names[0], order[0].epoch), ("b", Epoch(2)));
    let a = order
        .iter()
        .find(|place| place.instance == "a".into())
        .unwrap();
    assert_eq!(a.epoch, Epoch(4));
}

#[test]
fn a_restarted_process_is_skipped_without_the_store() {
    let mut b = joined("b");
    let actions = b.on_restarted(LATER, &"a".into());
    assert_eq!(owns(&actions), Some((Epoch(2), AcquisitionKind::Takeover)));
}

#[test]
fn numbers_issued_before_a_process_started_are_not_used() {
    let mut a = Ownership::new("a".into(), "z".into(), OwnershipSettings::default());
    a.on_members(START, &members(&[("a", Alive), ("b", Alive)]));
    let old = table(1, &[("a", 1), ("b", 2)]);
    let from_peer = a.on_table(START, old.clone(), TableSource::Peer);
    assert_eq!(owns(&from_peer), None);
    let source = TableSource::Store { mod_revision: 7 };
    assert_eq!(owns(&a.on_table(START, old, source)), None);
    let (next, _) = written(a.on_tick(LATER)).expect("a plans a table with new numbers");
    a.on_write_result(LATER, WriteResult::Written { mod_revision: 8 });
    let place = next
        .order_of(&engine())
        .iter()
        .find(|place| place.instance == "a".into());
    assert!(place.unwrap().epoch >= Epoch(3));
}

#[test]
fn a_leaving_owner_hands_over_to_the_next() {
    let mut a = joined("a");
    let actions = a.on_leave(LATER);
    let successors = vec![(engine(), InstanceName::from("b"))];
    assert_eq!(actions, [HandOver { successors }]);
    let mut b = joined("b");
    let now = members(&[("a", Leaving), ("b", Alive), ("c", Alive)]);
    assert_eq!(owns(&b.on_members(LATER, &now)), None);
    let actions = b.on_handover(LATER, &"a".into(), &engine(), Epoch(1));
    assert_eq!(owns(&actions), Some((Epoch(2), AcquisitionKind::Handover)));
}

#[test]
fn a_missing_handover_delays_the_successor_only_briefly() {
    let mut b = joined("b");
    b.on_members(
        START,
        &members(&[("a", Leaving), ("b", Alive), ("c", Alive)]),
    );
    assert_eq!(owns(&b.on_tick(START + 900)), None);
    let actions = b.on_tick(START + 1_000);
    assert_eq!(owns(&actions), Some((Epoch(2), AcquisitionKind::Takeover)));
}

#[test]
fn a_new_table_does_not_cut_the_wait_for_a_handover_short() {
    let mut b = joined("b");
    b.on_members(
        START,
        &members(&[("a", Leaving), ("b", Alive), ("c", Alive)]),
    );
    let next = table(2, &[("b", 2), ("c", 3)]);
    let source = TableSource::Store { mod_revision: 8 };
    assert_eq!(owns(&b.on_table(START + 300, next, source)), None);
    let actions = b.on_handover(START + 400, &"a".into(), &engine(), Epoch(1));
    assert_eq!(owns(&actions), Some((Epoch(2), AcquisitionKind::Handover)));
}

#[test]
fn a_lost_answer_to_a_write_is_read_back_before_anything_is_adopted() {
    let mut a = joined("a");
    a.on_members(START, &members(&[("a", Alive), ("b", Alive), ("c", Dead)]));
    let (next, _) = written(a.on_tick(LATER)).unwrap();
    let actions = a.on_write_result(LATER, WriteResult::Unknown);
    assert!(actions.contains(&ReadTable));
    assert_eq!(a.table().revision, 1);
    a.on_table(LATER, next.clone(), TableSource::Store { mod_revision: 8 });
    assert_eq!(*a.table(), next);
}

#[test]
fn only_the_lowest_rank_writes_at_once() {
    let dead = members(&[("a", Alive), ("b", Alive), ("c", Dead)]);
    let mut a = joined("a");
    a.on_members(START, &dead);
    let (next, _) = written(a.on_tick(LATER)).unwrap();
    let actions = a.on_write_result(LATER, WriteResult::Written { mod_revision: 8 });
    assert!(actions.contains(&SpreadTable(next.clone())));
    let mut b = joined("b");
    b.on_members(START, &dead);
    assert_eq!(written(b.on_tick(LATER)), None);
    b.on_table(LATER, next, TableSource::Peer);
    assert_eq!(written(b.on_tick(LATER + 5_000)), None);
}
