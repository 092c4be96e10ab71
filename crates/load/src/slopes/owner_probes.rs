//! Slopes of owners.

use monsoonspread_decisions::owner::{
    OwnerAction, OwnerSet, OwnerSettings, OwnershipOrigin, UpstreamShape,
};
use monsoonspread_model::message::{GrantAnswer, GrantId, GrantReply, GrantRequest, MeshMessage};
use monsoonspread_model::{Epoch, UnixMs};

use super::measure::{bytes_each, us_each, us_prepared};
use super::samples::{adapter, grant_request, grant_return, instance, upstream};
use super::{Probe, Unit};

const ROUNDS: &[usize] = &[50, 100, 200, 400];
const GRANTS: &[usize] = &[64, 128, 256, 512];
const COPIES: &[usize] = &[4, 8, 16, 32];
const UPSTREAMS: &[usize] = &[2, 4, 8, 16];
/// Owners kept for one measurement of memory.
const OWNERS: usize = 40;
/// Slots and places of the sample upstream, enough for every size.
const SLOTS: u32 = 64;
const PLACES: u32 = 2_048;
/// When the owner works.
const NOW: UnixMs = UnixMs(1_800_000_000_000);
/// How much later than `NOW` a waiting request must begin.
const WAITS_MS: u64 = 60_000;

/// Every probe of owners.
pub const PROBES: &[Probe] = &[
    Probe {
        name: "owner.resident_grant",
        unit: Unit::Bytes,
        per: "outstanding grant",
        sizes: GRANTS,
        measure: |grants| bytes_each(OWNERS, || with_grants(grants)),
    },
    Probe {
        name: "owner.resident_waiting",
        unit: Unit::Bytes,
        per: "waiting request",
        sizes: GRANTS,
        measure: |waiting| bytes_each(OWNERS, || with_waiting(waiting)),
    },
    Probe {
        name: "owner.resident_copy",
        unit: Unit::Bytes,
        per: "copy",
        sizes: COPIES,
        measure: |copies| bytes_each(OWNERS, || with_copies(1, copies)),
    },
    Probe {
        name: "owner.resident_upstream",
        unit: Unit::Bytes,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| bytes_each(OWNERS, || with_copies(upstreams, 1)),
    },
    Probe {
        name: "owner.grant_round",
        unit: Unit::Us,
        per: "grant round",
        sizes: ROUNDS,
        measure: |rounds| us_prepared(|| with_copies(1, 1), |owner| run_rounds(owner, rounds)),
    },
    Probe {
        name: "owner.grant_round_at_load",
        unit: Unit::Us,
        per: "outstanding grant",
        sizes: GRANTS,
        measure: |grants| us_prepared(|| with_grants(grants), |owner| run_rounds(owner, 1)),
    },
    Probe {
        name: "owner.tick",
        unit: Unit::Us,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| {
            let mut owner = with_copies(upstreams, 8);
            us_each(|| owner.on_tick(NOW))
        },
    },
    Probe {
        name: "owner.tick_waiting",
        unit: Unit::Us,
        per: "waiting request",
        sizes: GRANTS,
        measure: |waiting| {
            let mut owner = with_waiting(waiting);
            us_each(|| owner.on_tick(NOW))
        },
    },
];

/// An owner of `upstreams` upstreams that each hold `copies` copies.
fn with_copies(upstreams: usize, copies: usize) -> OwnerSet {
    let settings = OwnerSettings {
        load_rate_per_s: 10_000.0,
        load_burst: 10_000.0,
        loads_in_transit: 10_000,
        loads_in_transit_per_upstream: 10_000,
        ..OwnerSettings::default()
    };
    let mut owner = OwnerSet::new(instance(0), settings, 1);
    for number in 0..upstreams {
        let shape = UpstreamShape::new(upstream(number), SLOTS, PLACES, false);
        owner.on_ownership_gained(NOW, shape, Epoch(1), OwnershipOrigin::Fresh, &[]);
        for copy in 0..copies {
            let request = request(number, copy, copy as u64);
            let actions = owner.on_request(NOW, &instance(1), request.clone());
            finish_loads(&mut owner, &actions);
            owner.on_withdraw(NOW, &instance(1), &request.upstream, request.request);
        }
    }
    owner
}

/// An owner of one upstream with `grants` outstanding grants.
fn with_grants(grants: usize) -> OwnerSet {
    let mut owner = with_copies(1, 1);
    for number in 0..grants {
        owner.on_request(NOW, &instance(1), request(0, 0, 1_000 + number as u64));
    }
    owner
}

/// An owner of one upstream where `waiting` requests wait for loads that don't end.
fn with_waiting(waiting: usize) -> OwnerSet {
    let mut owner = with_copies(1, 1);
    for number in 0..waiting {
        owner.on_request(
            NOW,
            &instance(1),
            request(0, 1 + number % 8, 1_000 + number as u64),
        );
    }
    owner
}

/// Grants and takes back `rounds` grants; returns how many were granted.
fn run_rounds(owner: &mut OwnerSet, rounds: usize) -> usize {
    let mut granted = 0;
    for number in 0..rounds {
        let request = request(0, 0, 500_000 + number as u64);
        let actions = owner.on_request(NOW, &instance(1), request.clone());
        let Some(grant) = actions.iter().find_map(granted_to) else {
            continue;
        };
        granted += 1;
        let mut returned = grant_return(&request);
        returned.grant = grant;
        owner.on_return(NOW, &instance(1), returned);
    }
    granted
}

fn request(upstream_number: usize, adapter_number: usize, number: u64) -> GrantRequest {
    GrantRequest {
        upstream: upstream(upstream_number),
        adapter: adapter(adapter_number),
        arrived_at_unix_ms: NOW,
        deadline_unix_ms: NOW + WAITS_MS,
        ..grant_request(number)
    }
}

fn finish_loads(owner: &mut OwnerSet, actions: &[OwnerAction]) {
    for action in actions {
        if let OwnerAction::Load { upstream, copy } = action {
            owner.on_load_result(NOW, upstream, copy, Ok(()));
        }
    }
}

fn granted_to(action: &OwnerAction) -> Option<GrantId> {
    match action {
        OwnerAction::Send {
            message:
                MeshMessage::GrantReply(GrantReply {
                    answer: GrantAnswer::Granted { grant, .. },
                    ..
                }),
            ..
        } => Some(*grant),
        _ => None,
    }
}
