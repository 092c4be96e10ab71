//! Channels between the tasks of an instance.

use monsoonspread_model::UnixMs;
use tokio::sync::mpsc;

use crate::controller::bundle::BundleCommand;
use crate::controller::dispatch::{DispatchCommand, DispatchHandle};
use crate::controller::membership::MembershipCommand;
use crate::controller::owner::OwnerCommand;
use crate::controller::ownership::OwnershipCommand;
use crate::controller::service::{ClaimBatchCommand, RouteCommand};
use crate::controller::{Handles, Mailbox};
use crate::directory::DirectoryCommand;
use crate::mesh::MeshHandle;

/// Receivers of the tasks.
pub(super) struct Inboxes {
    pub(super) dispatch: mpsc::UnboundedReceiver<DispatchCommand>,
    pub(super) owner: mpsc::Receiver<OwnerCommand>,
    pub(super) membership: mpsc::Receiver<MembershipCommand>,
    pub(super) ownership: mpsc::Receiver<OwnershipCommand>,
    pub(super) bundle: mpsc::Receiver<BundleCommand>,
    pub(super) directory: mpsc::Receiver<DirectoryCommand>,
    pub(super) routes: mpsc::Receiver<RouteCommand>,
    pub(super) claims: mpsc::Receiver<ClaimBatchCommand>,
}

/// Senders to the tasks.
pub(super) struct Mailboxes {
    pub(super) handles: Handles,
    pub(super) routes: Mailbox<RouteCommand>,
    pub(super) claims: Mailbox<ClaimBatchCommand>,
}

impl Mailboxes {
    /// Creates all channels of an instance that started at `started_at`.
    pub(super) fn new(mesh: MeshHandle, started_at: UnixMs) -> (Self, Inboxes) {
        let (dispatch, dispatch_inbox) = DispatchHandle::new(started_at);
        let (owner, owner_inbox) = Mailbox::new("owner");
        let (membership, membership_inbox) = Mailbox::new("membership");
        let (ownership, ownership_inbox) = Mailbox::new("ownership");
        let (bundle, bundle_inbox) = Mailbox::new("bundle");
        let (directory, directory_inbox) = Mailbox::new("directory");
        let (routes, routes_inbox) = Mailbox::new("service routes");
        let (claims, claims_inbox) = Mailbox::new("claims");
        let handles = Handles {
            mesh,
            dispatch,
            owner,
            membership,
            ownership,
            directory,
            bundle,
        };
        let inboxes = Inboxes {
            dispatch: dispatch_inbox,
            owner: owner_inbox,
            membership: membership_inbox,
            ownership: ownership_inbox,
            bundle: bundle_inbox,
            directory: directory_inbox,
            routes: routes_inbox,
            claims: claims_inbox,
        };
        let mailboxes = Self {
            handles,
            routes,
            claims,
        };
        (mailboxes, inboxes)
    }
}
