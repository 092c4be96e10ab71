//! State dump of an owner, for operators.

use monsoonspread_model::{CopyName, Epoch, RequestClass, UnixMs, UpstreamName};
use serde::Serialize;

use super::owned_upstream::OwnedUpstream;
use super::{LoadWaits, OwnerSet, Speed};

/// State of an [`OwnerSet`].
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OwnerDump {
    /// This instance's share of the weight store, in loads per second.
    pub load_rate_per_s: f64,
    /// Number of loads in transit, without stuck ones.
    pub loads_in_transit: usize,
    /// Requests that waited for loads since the process started.
    pub load_waits: LoadWaits,
    /// Upstreams that the instance owns.
    pub upstreams: Vec<OwnedUpstreamDump>,
}

/// The state of one owned upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OwnedUpstreamDump {
    /// Name of the upstream.
    pub upstream: UpstreamName,
    /// The fencing number.
    pub epoch: Epoch,
    /// Whether every former owner's grants are accounted for.
    pub reconciled: bool,
    /// Whether new grants are given.
    pub takes_work: bool,
    /// Whether its ownership is ending.
    pub ending: bool,
    /// Copies that occupy a slot.
    pub copies: Vec<CopyDump>,
    /// Batch places in use.
    pub places_used: u32,
    /// Maximum number of batch places in use.
    pub batch_cap: u32,
    /// Grants that have not been returned, including expired ones.
    pub grants: usize,
    /// Requests waiting, by class: short, ordinary, long.
    pub waiting: [usize; RequestClass::ALL.len()],
    /// Ended requests on record.
    pub endings: usize,
    /// Adapters whose popularity is tracked.
    pub popularity_rows: usize,
    /// Estimated load time, in milliseconds.
    pub load_ms: u64,
    /// Estimated response speed.
    pub speed: Speed,
}

/// State of one copy that occupies a slot.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CopyDump {
    /// Name of the copy.
    pub copy: CopyName,
    /// Load state: `loading`, `loaded`, `unloading`, `load_lost` or `unload_lost`.
    pub state: &'static str,
    /// Requests that use it.
    pub pins: usize,
}

impl OwnerDump {
    /// Creates the dump of an owner.
    pub(super) fn new(set: &OwnerSet, now: UnixMs) -> Self {
        Self {
            load_rate_per_s: set.budget.rate_per_s(),
            loads_in_transit: set.in_transit(now),
            load_waits: LoadWaits::sum(set.owned.values().map(|owned| &owned.load_waits)),
            upstreams: set
                .owned
                .iter()
                .map(|(name, owned)| OwnedUpstreamDump {
                    ending: set.exits.contains_key(name),
                    ..OwnedUpstreamDump::new(owned, now)
                })
                .collect(),
        }
    }
}

impl OwnedUpstreamDump {
    fn new(owned: &OwnedUpstream, now: UnixMs) -> Self {
        Self {
            upstream: owned.name().clone(),
            epoch: owned.epoch,
            reconciled: owned.reconciliation.is_complete(),
            takes_work: owned.takes_work(now),
            ending: false,
            copies: owned
                .copies
                .iter()
                .map(|(name, copy)| CopyDump {
                    copy: name.clone(),
                    state: copy.state.as_str(),
                    pins: owned.grants.pins(name),
                })
                .collect(),
            places_used: owned.grants.places_used(),
            batch_cap: owned.batch_cap,
            grants: owned.grants.len(),
            waiting: RequestClass::ALL.map(|class| owned.queue.count(class)),
            endings: owned.endings.len(),
            popularity_rows: owned.popularity.len(),
            load_ms: owned.load_ms as u64,
            speed: owned.speed,
        }
    }
}
