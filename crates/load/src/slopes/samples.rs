//! Sample data of a given size.

use std::net::SocketAddr;

use monsoonspread_model::message::{
    GrantAnswer, GrantId, GrantOutcome, GrantReply, GrantRequest, GrantReturn, Health, HeldGrant,
    MemberUpdate, RequestId, Swim, SwimBody,
};
use monsoonspread_model::{
    AdapterRef, Bundle, BundleVersion, Epoch, InstanceKind, InstanceName, InstanceState,
    ListedInstance, OwnershipTable, RequestClass, Succession, UnixMs, UpstreamName,
};

/// Instances in an upstream's failover order.
const FAILOVER_INSTANCES: usize = 4;
/// The zone of samples.
const ZONE: &str = "vestland-1";

/// The next version of `bundle`, with `changes` adapters at another default version.
pub fn changed(bundle: &Bundle, changes: usize) -> Bundle {
    let mut next = bundle.clone();
    next.version = BundleVersion(bundle.version.0 + 1);
    let every = (bundle.adapters.len() / changes.max(1)).max(1);
    for entry in next.adapters.values_mut().step_by(every).take(changes) {
        entry.default_version = 3 - entry.default_version;
    }
    next
}

/// CBOR of a value.
pub fn cbor<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing CBOR to memory succeeds");
    bytes
}

/// The platform's list of a zone with `entries` entry instances and `engines` engines.
pub fn listed(entries: usize, engines: usize) -> Vec<ListedInstance> {
    let entries = (0..entries).map(|number| {
        let name = instance(number).to_string();
        listed_instance(name, InstanceKind::Entry, number)
    });
    let engines = (0..engines).map(|number| {
        let name = upstream(number).to_string();
        listed_instance(name, InstanceKind::Engine, number)
    });
    entries.chain(engines).collect()
}

fn listed_instance(name: String, kind: InstanceKind, number: usize) -> ListedInstance {
    ListedInstance {
        name,
        kind,
        zone: ZONE.into(),
        address: address(number),
        state: InstanceState::Live,
        service: None,
        checks_fencing: true,
        adapter_slots: 8,
        batch_places: 64,
    }
}

/// The name of instance `number`.
pub fn instance(number: usize) -> InstanceName {
    format!("vestland-1-entry-{number:04}").as_str().into()
}

/// The name of upstream `number`.
pub fn upstream(number: usize) -> UpstreamName {
    format!("vestland-1-engine-{number:04}").as_str().into()
}

/// The mesh address of instance `number`.
pub fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32).to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 7_401))
}

/// A probe with `updates` membership changes.
pub fn swim(updates: usize) -> Swim {
    let update = |number| MemberUpdate {
        member: instance(number),
        address: address(number),
        incarnation: 3,
        health: Health::Alive,
    };
    Swim {
        body: SwimBody::Ping { sequence: 123_456 },
        updates: (0..updates).map(update).collect(),
        bundle_version: BundleVersion(7_000_000),
        table_revision: 70_000,
    }
}

/// An ownership table with `upstreams` upstreams and a quarter as many instances.
pub fn table(upstreams: usize) -> OwnershipTable {
    let instances = (upstreams / 4).max(1);
    let order = |number: usize| {
        let place = |next: usize| Succession {
            instance: instance((number + next) % instances),
            epoch: Epoch((number * FAILOVER_INSTANCES + next) as u64 + 1_000_000),
        };
        (
            upstream(number),
            (0..FAILOVER_INSTANCES).map(place).collect(),
        )
    };
    OwnershipTable {
        revision: 70_000,
        next_epoch: Epoch(2_000_000),
        members: (0..instances).map(instance).collect(),
        upstreams: (0..upstreams).map(order).collect(),
        ..OwnershipTable::new(ZONE)
    }
}

/// A request for a grant.
pub fn grant_request(number: u64) -> GrantRequest {
    GrantRequest {
        request: RequestId(9_000_000 + number),
        upstream: upstream(number as usize % 700),
        adapter: adapter(number as usize % 16_000),
        class: RequestClass::Short,
        priority: 3,
        caller: "caller-0017".into(),
        tokens: 32,
        arrived_at_unix_ms: UnixMs(1_800_000_000_000),
        deadline_unix_ms: UnixMs(1_800_000_001_500),
        bundle_version: BundleVersion(7_000_000),
        may_load: true,
    }
}

/// The answer that grants it.
pub fn grant_reply(request: &GrantRequest) -> GrantReply {
    GrantReply {
        request: request.request,
        upstream: request.upstream.clone(),
        epoch: Epoch(1_000_000),
        answer: GrantAnswer::Granted {
            grant: grant_id(request.request.0),
            copy_epoch: Epoch(1_000_000),
            expires_at_unix_ms: UnixMs(1_800_000_030_000),
        },
    }
}

/// What gives it back.
pub fn grant_return(request: &GrantRequest) -> GrantReturn {
    GrantReturn {
        upstream: request.upstream.clone(),
        grant: grant_id(request.request.0),
        outcome: GrantOutcome::Done,
        first_token_ms: Some(120),
        token_gap_us: Some(21_000),
        tokens: 32,
    }
}

/// A grant as told to a new owner.
pub fn held_grant(number: usize) -> HeldGrant {
    HeldGrant {
        grant: grant_id(number as u64),
        request: RequestId(9_000_000 + number as u64),
        adapter: adapter(number),
        copy_epoch: Epoch(1_000_000),
        class: RequestClass::Short,
        caller: "caller-0017".into(),
        tokens: 32,
        expires_at_unix_ms: UnixMs(1_800_000_030_000),
    }
}

/// Adapter `number` in its first version.
pub fn adapter(number: usize) -> AdapterRef {
    AdapterRef::new(Bundle::sample_adapter_name(number), 1)
}

fn grant_id(serial: u64) -> GrantId {
    GrantId {
        epoch: Epoch(1_000_000),
        serial,
    }
}
