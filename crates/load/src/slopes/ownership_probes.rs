//! Slopes of ownership tables and their planning.

use monsoonspread_decisions::ownership::{
    Ownership, OwnershipSettings, TableDirectory, TableSource,
};
use monsoonspread_model::UnixMs;
use monsoonspread_model::message::Health;

use super::measure::{bytes_each, us_each, us_prepared};
use super::samples::{instance, listed, table, upstream};
use super::{Probe, Unit};

const UPSTREAMS: &[usize] = &[50, 100, 200, 400, 800];
/// Upstreams for each entry instance.
const UPSTREAMS_PER_INSTANCE: usize = 4;
/// Machines kept for one measurement of memory.
const COPIES: usize = 20;
/// When a machine works.
const NOW: UnixMs = UnixMs(1_800_000_000_000);

/// Every probe of ownership.
pub const PROBES: &[Probe] = &[
    Probe {
        name: "ownership.resident",
        unit: Unit::Bytes,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| bytes_each(COPIES, || settled(upstreams)),
    },
    Probe {
        name: "ownership.tick",
        unit: Unit::Us,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| {
            let mut ownership = settled(upstreams);
            us_each(|| ownership.on_tick(NOW))
        },
    },
    Probe {
        name: "ownership.take_table",
        unit: Unit::Us,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| {
            let mut next = table(upstreams);
            next.revision += 1;
            us_prepared(
                || settled(upstreams),
                |one| one.on_table(NOW, next.clone(), TableSource::Peer),
            )
        },
    },
    Probe {
        name: "ownership.owner_of",
        unit: Unit::Us,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| {
            let mut directory = TableDirectory::new();
            directory.on_table(table(upstreams));
            let wanted = upstream(upstreams / 2);
            us_each(|| directory.owner_of(NOW, &wanted).is_some())
        },
    },
];

/// The ownership of a zone with `upstreams` upstreams, its table in force.
fn settled(upstreams: usize) -> Ownership {
    let instances = (upstreams / UPSTREAMS_PER_INSTANCE).max(1);
    let members: Vec<_> = (0..instances)
        .map(|number| (instance(number), Health::Alive))
        .collect();
    let zone = table(upstreams).zone;
    let mut ownership = Ownership::new(instance(0), zone, OwnershipSettings::default());
    ownership.on_members(NOW, &members);
    ownership.on_listed(NOW, &listed(instances, upstreams));
    let source = TableSource::Store { mod_revision: 1 };
    ownership.on_table(NOW, table(upstreams), source);
    ownership
}
