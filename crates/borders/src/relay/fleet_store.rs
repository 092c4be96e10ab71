//! The platform's persistent store, as used by a relaying instance.

use std::net::SocketAddr;

use async_trait::async_trait;
use displaydoc::Display;
use monsoonspread_model::fleet::{AdapterKey, HolderActivity, RoutingConfig, UpstreamRecord};
use monsoonspread_model::{InstanceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Identifies a lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub u64);

/// An instance's announcement of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetMember {
    /// Name of the instance.
    pub name: InstanceName,
    /// Zone of the instance.
    pub zone: ZoneName,
    /// Address for connections from other instances.
    pub peer_address: SocketAddr,
}

/// The recorded holder of an engine, which sends it orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// The engine.
    pub upstream: UpstreamName,
    /// The instance that holds the engine.
    pub holder: InstanceName,
    /// What the holder is doing.
    pub activity: HolderActivity,
    /// How long after the record was written the holder had to wait for its predecessors, in milliseconds; `None` if
    /// the record doesn't show who gave orders last.
    #[serde(default)]
    pub orders_in_ms: Option<u64>,
    /// Store revision of the record, which is the fencing number of the holder's orders.
    pub fence: u64,
}

/// A change in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetChange {
    /// The operators' configuration changed.
    Routing(Box<RoutingConfig>),
    /// An upstream was added or changed.
    Upstream(UpstreamRecord),
    /// An upstream is no longer listed, or its entry is invalid.
    UpstreamGone(UpstreamName),
    /// A newer version of an adapter was published.
    Version(AdapterKey, u64),
    /// An instance announced itself.
    Member(FleetMember),
    /// An instance's announcement ended.
    MemberGone(InstanceName),
    /// An engine's holder was recorded.
    Holder(HolderRecord),
    /// An engine's holder record was removed.
    HolderGone(UpstreamName),
    /// An entry is invalid and must not be used.
    Unreadable {
        /// Key of the entry.
        key: String,
        /// Why the entry is invalid.
        problem: String,
    },
}

/// A change with its store revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RevisedChange {
    /// Store revision of the change.
    pub revision: u64,
    /// The change.
    pub change: FleetChange,
}

/// All changes up to a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetChanges {
    /// The changes in order.
    pub changes: Vec<RevisedChange>,
    /// Revision up to which the changes are complete; revisions never go back, also when the store comes back
    /// from an older copy.
    pub revision: u64,
    /// How often the store came back from an older copy.
    pub era: u64,
}

/// A holder record to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimWrite {
    /// The engine.
    pub upstream: UpstreamName,
    /// Revision that the existing record must have; 0 if there must be none.
    pub expected_revision: u64,
    /// The instance that holds the engine.
    pub holder: InstanceName,
    /// What the holder is doing; the record of a holder that stopped is kept after its lease ends.
    pub activity: HolderActivity,
    /// How long the holder still must wait for its predecessors, in milliseconds; a holder that stopped leaves
    /// the rest of its wait to the next one.
    pub orders_in_ms: u64,
}

/// Result of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// All records were written, at this revision.
    Written(u64),
    /// No record was written, because an existing record has another revision.
    Conflict,
    /// No record was written, because the lease has ended.
    NoLease,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum FleetStoreError {
    /// the store can't be reached: {0}
    Unreachable(String),
    /// the store's answer was lost, the call may have taken effect: {0}
    AnswerLost(String),
    /// the store's answer didn't arrive in full in time: {0}
    CutShort(String),
    /// the store rejected the call with status {0}
    Refused(u16),
    /// the store has compacted the changes after revision {0}
    HistoryCompacted(u64),
    /// the store came back from an older copy
    Restored,
    /// the lease has ended
    LeaseEnded,
    /// the store's answer can't be read: {0}
    Unreadable(String),
}

/// Access to the platform's persistent store.
#[async_trait(?Send)]
pub trait FleetStore {
    /// Reads the complete current state as changes.
    async fn read_all(&self) -> Result<FleetChanges, FleetStoreError>;

    /// Waits up to `wait_ms` for changes after `revision`.
    async fn changes_after(
        &self,
        revision: u64,
        wait_ms: u64,
    ) -> Result<FleetChanges, FleetStoreError>;

    /// Opens a lease that expires `ttl_ms` after its last renewal.
    async fn open_lease(&self, ttl_ms: u64) -> Result<LeaseId, FleetStoreError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), FleetStoreError>;

    /// Announces this instance until the lease ends.
    async fn announce(&self, lease: LeaseId, member: &FleetMember) -> Result<(), FleetStoreError>;

    /// Removes the announcement of an instance.
    async fn withdraw(&self, member: &InstanceName) -> Result<(), FleetStoreError>;

    /// Whether the store can hold a record of this engine's holder: a name may be too long.
    fn can_record_holder(&self, upstream: &UpstreamName) -> bool;

    /// Writes holder records under the lease, either all or none.
    async fn claim(
        &self,
        lease: LeaseId,
        writes: &[ClaimWrite],
    ) -> Result<ClaimOutcome, FleetStoreError>;
}
