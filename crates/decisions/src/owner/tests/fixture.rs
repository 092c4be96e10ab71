//! Helpers for tests that deliver events to one owner of one upstream.

use monsoonspread_model::load_report::LoadedAdapter;
use monsoonspread_model::message::{
    GrantAnswer, GrantId, GrantOutcome, GrantRequest, GrantReturn, MeshMessage, RequestId,
};
use monsoonspread_model::{
    AdapterRef, CopyName, Epoch, InstanceName, LoadReport, RequestClass, UnixMs, UpstreamName,
};

use crate::owner::{OwnerAction, OwnerSet, OwnerSettings, OwnershipOrigin, UpstreamShape};

/// Start time of the tests.
pub const START: UnixMs = UnixMs(1_000_000);

/// The upstream of the tests.
pub fn engine() -> UpstreamName {
    "engine-1".into()
}

/// The instance that sends requests.
pub fn entry() -> InstanceName {
    "entry-2".into()
}

/// Version 1 of an adapter.
pub fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(name, 1)
}

/// A copy loaded under the first epoch.
pub fn copy(name: &str) -> CopyName {
    CopyName::new(adapter(name), Epoch(1))
}

/// An ordinary request that can wait a minute.
pub fn request(id: u64, name: &str) -> GrantRequest {
    GrantRequest {
        request: RequestId(id),
        upstream: engine(),
        adapter: adapter(name),
        class: RequestClass::Ordinary,
        priority: 0,
        caller: "caller-1".into(),
        tokens: 100,
        arrived_at_unix_ms: START,
        deadline_unix_ms: START + 60_000,
        bundle_version: Default::default(),
        may_load: true,
    }
}

/// Settings with a budget that never runs out.
pub fn settings() -> OwnerSettings {
    OwnerSettings {
        load_rate_per_s: 1_000.0,
        load_burst: 1_000.0,
        loads_in_transit: 100,
        loads_in_transit_per_upstream: 100,
        pause_ms: u64::MAX,
        ..OwnerSettings::default()
    }
}

/// A new owner of the upstream with this many slots and places.
pub fn fresh(slots: u32, places: u32, settings: OwnerSettings) -> OwnerSet {
    let mut owner = OwnerSet::new("entry-1".into(), settings, 1);
    let shape = UpstreamShape::new("engine-1", slots, places, false);
    owner.on_ownership_gained(START, shape, Epoch(1), OwnershipOrigin::Fresh, &[]);
    owner
}

/// Loads a copy by one request, which is granted and returned.
pub fn load(owner: &mut OwnerSet, now: UnixMs, id: u64, name: &str) {
    owner.on_request(now, &entry(), request(id, name));
    let actions = owner.on_load_result(now, &engine(), &copy(name), Ok(()));
    let grant = granted(&actions, id).expect("the load is followed by a grant");
    owner.on_return(now, &entry(), returned(grant));
}

/// The last answer to request `id` in `actions`.
pub fn answer(actions: &[OwnerAction], id: u64) -> Option<GrantAnswer> {
    actions.iter().rev().find_map(|action| match action {
        OwnerAction::Send {
            message: MeshMessage::GrantReply(reply),
            ..
        } if reply.request == RequestId(id) => Some(reply.answer.clone()),
        _ => None,
    })
}

/// The grant given to a request in `actions`.
pub fn granted(actions: &[OwnerAction], id: u64) -> Option<GrantId> {
    match answer(actions, id)? {
        GrantAnswer::Granted { grant, .. } => Some(grant),
        _ => None,
    }
}

/// Whether `actions` refuse a request as not run.
pub fn refused(actions: &[OwnerAction], id: u64) -> bool {
    matches!(answer(actions, id), Some(GrantAnswer::NotRun(refusal)) if refusal.not_run)
}

/// The copies that `actions` order to be loaded.
pub fn loads(actions: &[OwnerAction]) -> Vec<CopyName> {
    actions
        .iter()
        .filter_map(|action| match action {
            OwnerAction::Load { copy, .. } => Some(copy.clone()),
            _ => None,
        })
        .collect()
}

/// The copies that `actions` order to be unloaded.
pub fn unloads(actions: &[OwnerAction]) -> Vec<CopyName> {
    actions
        .iter()
        .filter_map(|action| match action {
            OwnerAction::Unload { copy, .. } => Some(copy.clone()),
            _ => None,
        })
        .collect()
}

/// A return after a complete answer.
pub fn returned(grant: GrantId) -> GrantReturn {
    ended(grant, GrantOutcome::Done)
}

/// A return with an outcome.
pub fn ended(grant: GrantId, outcome: GrantOutcome) -> GrantReturn {
    GrantReturn {
        upstream: engine(),
        grant,
        outcome,
        first_token_ms: Some(50),
        token_gap_us: Some(25_000),
        tokens: 100,
    }
}

/// A load report that lists these copies, each with the number of requests that use it.
pub fn report(taken_at: UnixMs, copies: &[(CopyName, u32)]) -> LoadReport {
    let loaded = |(copy, in_use): &(CopyName, u32)| LoadedAdapter {
        name: copy.to_string(),
        in_use: *in_use,
    };
    LoadReport {
        taken_at_unix_ms: taken_at,
        adapters: copies.iter().map(loaded).collect(),
        ..LoadReport::default()
    }
}

/// A copy loaded under `epoch`.
pub fn copy_of(name: &str, epoch: u64) -> CopyName {
    CopyName::new(adapter(name), Epoch(epoch))
}

/// Requests `name` and expects a grant.
pub fn take(owner: &mut OwnerSet, now: UnixMs, id: u64, name: &str) -> GrantId {
    let actions = owner.on_request(now, &entry(), request_at(now, id, name));
    granted(&actions, id).expect("the copy is loaded and a place is free")
}

/// An ordinary request that arrives now and can wait a minute.
pub fn request_at(now: UnixMs, id: u64, name: &str) -> GrantRequest {
    GrantRequest {
        arrived_at_unix_ms: now,
        deadline_unix_ms: now + 60_000,
        ..request(id, name)
    }
}

/// An ordinary request turned into one of `class`.
pub fn request_of(now: UnixMs, id: u64, name: &str, class: RequestClass) -> GrantRequest {
    GrantRequest {
        class,
        ..request_at(now, id, name)
    }
}
