//! Slopes of membership.

use monsoonspread_decisions::membership::{
    Member, Membership, MembershipAction, MembershipSettings,
};
use monsoonspread_model::message::{MeshMessage, Swim, SwimBody, encode};
use monsoonspread_model::{BundleVersion, InstanceName, UnixMs};

use super::measure::{bytes_each, us_prepared};
use super::samples::{address, instance, listed};
use super::{Probe, Unit};

const MEMBERS: &[usize] = &[25, 50, 100, 200, 400];
/// Memberships kept for one measurement of memory.
const COPIES: usize = 50;
/// When a membership starts.
const START: UnixMs = UnixMs(1_800_000_000_000);
/// Pause between two ticks.
const TICK_MS: u64 = 100;
/// Ticks in a second.
const TICKS: u64 = 10;

/// Every probe of membership.
pub const PROBES: &[Probe] = &[
    Probe {
        name: "membership.resident",
        unit: Unit::Bytes,
        per: "member",
        sizes: MEMBERS,
        measure: |members| bytes_each(COPIES, || settled(members)),
    },
    Probe {
        name: "membership.second",
        unit: Unit::Us,
        per: "member",
        sizes: MEMBERS,
        measure: |members| us_prepared(|| settled(members), |one| run_second(one, TICKS)),
    },
    Probe {
        name: "membership.traffic_second",
        unit: Unit::Bytes,
        per: "member",
        sizes: MEMBERS,
        measure: |members| run_second(&mut settled(members), TICKS) as f64,
    },
];

/// A membership that has heard of each of `members` members.
fn settled(members: usize) -> Membership {
    let own = Member {
        name: instance(0),
        address: address(0),
    };
    let mut membership = Membership::new(START, own, MembershipSettings::default(), 1);
    membership.on_listed(START, &listed(members, 0));
    for number in 1..members {
        membership.on_swim(START, &instance(number), ack(0));
    }
    run_second(&mut membership, 0);
    membership
}

/// Runs `ticks` ticks with every probe answered; returns the bytes sent and received.
fn run_second(membership: &mut Membership, ticks: u64) -> usize {
    let mut bytes = 0;
    for tick in 1..=ticks {
        let now = START + tick * TICK_MS;
        for action in membership.on_tick(now) {
            let MembershipAction::Send { to, message } = action else {
                continue;
            };
            bytes += encode(&message).len() + answer(membership, now, &to, &message);
        }
    }
    bytes
}

/// Answers a probe; returns the bytes of the answer.
fn answer(
    membership: &mut Membership,
    now: UnixMs,
    from: &InstanceName,
    message: &MeshMessage,
) -> usize {
    let MeshMessage::Swim(Swim {
        body: SwimBody::Ping { sequence },
        ..
    }) = message
    else {
        return 0;
    };
    let ack = ack(*sequence);
    let bytes = encode(&MeshMessage::Swim(ack.clone())).len();
    membership.on_swim(now, from, ack);
    bytes
}

fn ack(sequence: u64) -> Swim {
    Swim {
        body: SwimBody::Ack { sequence },
        updates: Vec::new(),
        bundle_version: BundleVersion(0),
        table_revision: 0,
    }
}
