//! How tasks reach each other.

use super::Mailbox;
use super::bundle::BundleCommand;
use super::dispatch::DispatchHandle;
use super::membership::MembershipCommand;
use super::owner::OwnerCommand;
use super::ownership::OwnershipCommand;
use crate::directory::DirectoryCommand;
use crate::mesh::MeshHandle;

/// A way to each task.
#[derive(Clone)]
pub struct Handles {
    /// Other instances.
    pub mesh: MeshHandle,
    /// Model requests in flight.
    pub dispatch: DispatchHandle,
    /// Upstreams that this instance owns.
    pub owner: Mailbox<OwnerCommand>,
    /// Members of the zone.
    pub membership: Mailbox<MembershipCommand>,
    /// Ownership tables.
    pub ownership: Mailbox<OwnershipCommand>,
    /// The instance list.
    pub directory: Mailbox<DirectoryCommand>,
    /// Bundles.
    pub bundle: Mailbox<BundleCommand>,
}
