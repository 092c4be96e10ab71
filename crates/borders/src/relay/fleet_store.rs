//! What lasts: the platform's store, as a relaying instance uses it.

use std::net::SocketAddr;

use async_trait::async_trait;
use displaydoc::Display;
use monsoonspread_model::fleet::{AdapterKey, HolderActivity, RoutingConfig, UpstreamRecord};
use monsoonspread_model::{InstanceName, UpstreamName, ZoneName};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A lease of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseId(pub u64);

/// An instance, as it announces itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetMember {
    /// Its name.
    pub name: InstanceName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where other instances reach it.
    pub peer_address: SocketAddr,
}

/// Who gives an engine its orders.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HolderRecord {
    /// The engine.
    pub upstream: UpstreamName,
    /// The holder.
    pub holder: InstanceName,
    /// What it does.
    pub activity: HolderActivity,
    /// Revision of the record: the fencing number of its orders.
    pub fence: u64,
}

/// Something that changed in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum FleetChange {
    /// The operators' configuration.
    Routing(Box<RoutingConfig>),
    /// An upstream appeared or changed.
    Upstream(UpstreamRecord),
    /// An upstream is no longer listed, or its entry can't be read.
    UpstreamGone(UpstreamName),
    /// A newer version of an adapter was named.
    Version(AdapterKey, u64),
    /// An instance announced itself.
    Member(FleetMember),
    /// An instance's announcement ended.
    MemberGone(InstanceName),
    /// An engine's holder was recorded.
    Holder(HolderRecord),
    /// An engine's holder record vanished.
    HolderGone(UpstreamName),
    /// An entry that can't be read was passed over.
    Unreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// A change, and when it was made.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RevisedChange {
    /// The store's revision of the change.
    pub revision: u64,
    /// What changed.
    pub change: FleetChange,
}

/// Changes up to a revision.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetChanges {
    /// What changed, in order.
    pub changes: Vec<RevisedChange>,
    /// Revision up to which nothing is missing.
    pub revision: u64,
}

/// A holder record to be written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimWrite {
    /// The engine.
    pub upstream: UpstreamName,
    /// Revision that the record must have, 0 for none.
    pub expected_revision: u64,
    /// The holder.
    pub holder: InstanceName,
    /// What it does; the record of one that stopped outlasts the lease.
    pub activity: HolderActivity,
}

/// How a claim ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// Every record was written, at this revision.
    Written(u64),
    /// None was written, as some record differs.
    Conflict,
    /// None was written, as the lease has ended.
    NoLease,
}

/// Why the store gave no answer.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum FleetStoreError {
    /// the store can't be reached: {0}
    Unreachable(String),
    /// the store's answer was lost, the call may have taken effect: {0}
    AnswerLost(String),
    /// the store turned the call away with status {0}
    Refused(u16),
    /// the store no longer has the changes after revision {0}
    HistoryCompacted(u64),
    /// the lease has ended
    LeaseEnded,
    /// the store's answer can't be read: {0}
    Unreadable(String),
}

/// What lasts: the platform's store.
#[async_trait(?Send)]
pub trait FleetStore {
    /// Reads everything there is.
    async fn read_all(&self) -> Result<FleetChanges, FleetStoreError>;

    /// Waits for changes after `revision`, at the most `wait_ms`.
    async fn changes_after(
        &self,
        revision: u64,
        wait_ms: u64,
    ) -> Result<FleetChanges, FleetStoreError>;

    /// Opens a lease that ends `ttl_ms` after its last renewal.
    async fn open_lease(&self, ttl_ms: u64) -> Result<LeaseId, FleetStoreError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), FleetStoreError>;

    /// Announces this instance for as long as the lease lasts.
    async fn announce(&self, lease: LeaseId, member: &FleetMember) -> Result<(), FleetStoreError>;

    /// Ends the announcement of an instance.
    async fn withdraw(&self, member: &InstanceName) -> Result<(), FleetStoreError>;

    /// Writes holder records under the lease, all or none.
    async fn claim(
        &self,
        lease: LeaseId,
        writes: &[ClaimWrite],
    ) -> Result<ClaimOutcome, FleetStoreError>;
}
