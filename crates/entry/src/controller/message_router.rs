//! Routing of mesh events to the tasks.

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::MeshMessage;
use tokio::sync::mpsc;

use super::Handles;
use super::bundle::BundleCommand;
use super::dispatch::DispatchCommand;
use super::membership::MembershipCommand;
use super::owner::OwnerCommand;
use super::ownership::OwnershipCommand;
use crate::directory::DirectoryCommand;
use crate::mesh::MeshEvent;

/// Sends each mesh event to the tasks that handle it.
pub struct MessageRouter {
    events: mpsc::Receiver<MeshEvent>,
    handles: Handles,
}

impl MessageRouter {
    /// Creates the task; [`Self::run`] runs it.
    pub fn new(events: mpsc::Receiver<MeshEvent>, handles: Handles) -> Self {
        Self { events, handles }
    }

    /// Routes events until the mesh has ended.
    pub async fn run(mut self) {
        while let Some(event) = self.events.recv().await {
            match event {
                MeshEvent::Opened { hello, address } => {
                    let member = hello.instance.clone();
                    let opened = OwnershipCommand::PeerResponsive(member);
                    self.handles.ownership.post(opened);
                    let opened = DirectoryCommand::PeerConnected(hello.instance.clone());
                    self.handles.directory.post(opened);
                    let opened = MembershipCommand::Connected { hello, address };
                    self.handles.membership.post(opened);
                }
                MeshEvent::Received { from, message } => self.on_message(from, message),
                MeshEvent::Undelivered { to, message } => self.on_undelivered(to, message),
                MeshEvent::ConnectionRefused(peer) => {
                    let refused = MembershipCommand::ConnectionRefused(peer);
                    self.handles.membership.post(refused);
                }
                MeshEvent::ConnectionLost(peer) => {
                    let unresponsive = OwnershipCommand::PeerUnresponsive(peer.clone());
                    self.handles.ownership.post(unresponsive);
                    self.handles
                        .dispatch
                        .enqueue(DispatchCommand::PeerLost(peer));
                }
            }
        }
    }

    fn on_message(&self, from: InstanceName, message: MeshMessage) {
        let handles = &self.handles;
        match message {
            MeshMessage::Hello(_) => {}
            MeshMessage::GrantRequest(request) => {
                handles.owner.post(OwnerCommand::Request { from, request });
            }
            MeshMessage::GrantReply(reply) => {
                handles.dispatch.enqueue(DispatchCommand::Reply(reply))
            }
            MeshMessage::GrantReturn(returned) => {
                handles.owner.post(OwnerCommand::Return { from, returned });
            }
            MeshMessage::GrantWithdraw { upstream, request } => {
                handles.owner.post(OwnerCommand::Withdraw {
                    from,
                    upstream,
                    request,
                });
            }
            MeshMessage::AnnounceRequest(announce_request) => {
                let seen = OwnershipCommand::EpochSeen {
                    upstream: announce_request.upstream.clone(),
                    epoch: announce_request.epoch,
                };
                handles.ownership.post(seen);
                // The owner task forwards it to the dispatch task once it has stepped down.
                handles.owner.post(OwnerCommand::AnnounceRequest {
                    from,
                    announce_request,
                });
            }
            MeshMessage::Announce(announce) => {
                handles
                    .owner
                    .post(OwnerCommand::Announce { from, announce });
            }
            MeshMessage::Handover(handover) => {
                handles
                    .ownership
                    .post(OwnershipCommand::Handover { from, handover });
            }
            MeshMessage::Swim(swim) => {
                handles
                    .membership
                    .post(MembershipCommand::Swim { from, swim });
            }
            MeshMessage::Table(table) => {
                handles
                    .ownership
                    .post(OwnershipCommand::Table { from, table });
            }
            MeshMessage::TableRequest {
                zone,
                known_revision,
            } => handles.ownership.post(OwnershipCommand::TableRequest {
                from,
                zone,
                known_revision,
            }),
            MeshMessage::BundleNotice(notice) => {
                handles.bundle.post(BundleCommand::Notice { from, notice });
            }
            MeshMessage::BundleRequest(request) => {
                handles
                    .bundle
                    .post(BundleCommand::Request { from, request });
            }
            MeshMessage::BundleContent(content) => {
                handles
                    .bundle
                    .post(BundleCommand::Content { from, content });
            }
            MeshMessage::BudgetAsk(ask) => {
                handles.owner.post(OwnerCommand::BudgetAsk { from, ask });
            }
            MeshMessage::BudgetLend(lend) => {
                handles.owner.post(OwnerCommand::BudgetLend { from, lend });
            }
            MeshMessage::ListRequest => {
                handles.directory.post(DirectoryCommand::Request(from));
            }
            MeshMessage::List(rows) => handles.directory.post(DirectoryCommand::PeerList(rows)),
            MeshMessage::CrashNotice(notice) => {
                handles
                    .dispatch
                    .enqueue(DispatchCommand::CrashNotice(notice));
            }
        }
    }

    fn on_undelivered(&self, to: InstanceName, message: MeshMessage) {
        let unresponsive = OwnershipCommand::PeerUnresponsive(to.clone());
        self.handles.ownership.post(unresponsive);
        match message {
            MeshMessage::GrantRequest(grant_request) => {
                self.handles
                    .dispatch
                    .enqueue(DispatchCommand::GrantRequestFailed {
                        request: grant_request.request,
                        upstream: grant_request.upstream,
                    });
            }
            MeshMessage::GrantReply(reply) => self.handles.owner.post(OwnerCommand::Withdraw {
                from: to,
                upstream: reply.upstream,
                request: reply.request,
            }),
            _ => {}
        }
    }
}
