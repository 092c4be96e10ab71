//! Slopes of messages between entry instances.

use monsoonspread_model::message::{Announce, MeshMessage, decode, encode};
use monsoonspread_model::{Epoch, OwnershipTable};

use super::measure::{bytes_each, us_each};
use super::samples::{
    cbor, grant_reply, grant_request, grant_return, held_grant, swim, table, upstream,
};
use super::{Probe, Unit};

const ROUNDS: &[usize] = &[10, 20, 40, 80, 160];
const UPDATES: &[usize] = &[0, 1, 2, 4, 6, 8];
const UPSTREAMS: &[usize] = &[50, 100, 200, 400, 800];
const GRANTS: &[usize] = &[4, 8, 16, 32, 64];
/// Tables kept for one measurement of memory.
const COPIES: usize = 40;

/// Every probe of messages.
pub const PROBES: &[Probe] = &[
    Probe {
        name: "grant.wire_round",
        unit: Unit::Bytes,
        per: "grant round",
        sizes: ROUNDS,
        measure: |rounds| {
            messages(rounds)
                .iter()
                .map(|bytes| bytes.len() as f64)
                .sum()
        },
    },
    Probe {
        name: "grant.encode_round",
        unit: Unit::Us,
        per: "grant round",
        sizes: ROUNDS,
        measure: |rounds| us_each(|| messages(rounds)),
    },
    Probe {
        name: "grant.decode_round",
        unit: Unit::Us,
        per: "grant round",
        sizes: ROUNDS,
        measure: |rounds| {
            let messages = messages(rounds);
            us_each(|| messages.iter().all(|bytes| decode(bytes).is_ok()))
        },
    },
    Probe {
        name: "swim.wire",
        unit: Unit::Bytes,
        per: "membership change",
        sizes: UPDATES,
        measure: |updates| encode(&MeshMessage::Swim(swim(updates))).len() as f64,
    },
    Probe {
        name: "swim.encode_and_decode",
        unit: Unit::Us,
        per: "membership change",
        sizes: UPDATES,
        measure: |updates| {
            let message = MeshMessage::Swim(swim(updates));
            us_each(|| decode(&encode(&message)).is_ok())
        },
    },
    Probe {
        name: "table.wire",
        unit: Unit::Bytes,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| cbor(&table(upstreams)).len() as f64,
    },
    Probe {
        name: "table.resident",
        unit: Unit::Bytes,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| {
            let encoded = cbor(&table(upstreams));
            bytes_each(COPIES, || decoded(&encoded))
        },
    },
    Probe {
        name: "table.encode_and_decode",
        unit: Unit::Us,
        per: "upstream",
        sizes: UPSTREAMS,
        measure: |upstreams| {
            let table = table(upstreams);
            us_each(|| decoded(&cbor(&table)))
        },
    },
    Probe {
        name: "announce.wire",
        unit: Unit::Bytes,
        per: "outstanding grant",
        sizes: GRANTS,
        measure: |grants| {
            let announce = Announce {
                upstream: upstream(7),
                epoch: Epoch(1_000_001),
                grants: (0..grants).map(held_grant).collect(),
            };
            encode(&MeshMessage::Announce(announce)).len() as f64
        },
    },
];

/// The encoded messages of `rounds` grants: request, reply, return.
fn messages(rounds: usize) -> Vec<Vec<u8>> {
    (0..rounds as u64)
        .map(grant_request)
        .flat_map(|request| {
            [
                encode(&MeshMessage::GrantReply(grant_reply(&request))),
                encode(&MeshMessage::GrantReturn(grant_return(&request))),
                encode(&MeshMessage::GrantRequest(request)),
            ]
        })
        .collect()
}

fn decoded(encoded: &[u8]) -> OwnershipTable {
    ciborium::from_reader(encoded).expect("an encoded table is decoded again")
}
