//! Handles through which tasks communicate.

use super::Mailbox;
use super::bundle::BundleCommand;
use super::dispatch::DispatchHandle;
use super::membership::MembershipCommand;
use super::owner::OwnerCommand;
use super::ownership::OwnershipCommand;
use crate::directory::DirectoryCommand;
use crate::mesh::MeshHandle;

/// Handles to all tasks.
#[derive(Clone)]
pub struct Handles {
    /// Mesh connections to other instances.
    pub mesh: MeshHandle,
    /// Dispatch task, which owns the model requests in flight.
    pub dispatch: DispatchHandle,
    /// Owner task, which manages the upstreams that this instance owns.
    pub owner: Mailbox<OwnerCommand>,
    /// Membership task, which tracks the members of the zone.
    pub membership: Mailbox<MembershipCommand>,
    /// Ownership task, which keeps the ownership tables.
    pub ownership: Mailbox<OwnershipCommand>,
    /// Directory task, which reads the instance list.
    pub directory: Mailbox<DirectoryCommand>,
    /// Bundle task, which keeps the bundle in force.
    pub bundle: Mailbox<BundleCommand>,
}
