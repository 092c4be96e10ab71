//! Handle to the mesh.

use std::net::SocketAddr;

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::MeshMessage;
use tokio::sync::{mpsc, oneshot};

use super::{HubCommand, MeshDump, MeshEvent};

/// Sends messages to other instances; a message to the local instance needs no connection.
#[derive(Clone)]
pub struct MeshHandle {
    local_instance: InstanceName,
    hub: mpsc::Sender<HubCommand>,
    events: mpsc::Sender<MeshEvent>,
}

impl MeshHandle {
    pub(super) fn new(
        local_instance: InstanceName,
        hub: mpsc::Sender<HubCommand>,
        events: mpsc::Sender<MeshEvent>,
    ) -> Self {
        Self {
            local_instance,
            hub,
            events,
        }
    }

    /// Queues `message` for `to`; a later failure is reported as [`MeshEvent::Undelivered`].
    ///
    /// Returns false when the message was dropped because the queue is full.
    pub fn send(&self, to: &InstanceName, message: MeshMessage) -> bool {
        if *to == self.local_instance {
            let from = self.local_instance.clone();
            return self
                .events
                .try_send(MeshEvent::Received { from, message })
                .is_ok();
        }
        let command = HubCommand::Send {
            to: to.clone(),
            message,
        };
        self.hub.try_send(command).is_ok()
    }

    /// Sets the addresses of instances' mesh listeners.
    pub fn set_addresses(&self, addresses: Vec<(InstanceName, SocketAddr)>) {
        let _ = self.hub.try_send(HubCommand::SetAddresses(addresses));
    }

    /// Connects to the instance that listens at `address`, whatever its name.
    pub fn dial(&self, address: SocketAddr) {
        let _ = self.hub.try_send(HubCommand::Dial(address));
    }

    /// Sends the queued messages, then closes every connection.
    pub async fn close(&self) {
        let (reply, done) = oneshot::channel();
        if self.hub.send(HubCommand::Close(reply)).await.is_ok() {
            let _ = done.await;
        }
    }

    /// Describes the connections for the dump; `None` when the hub has ended.
    pub async fn dump(&self) -> Option<MeshDump> {
        let (reply, answer) = oneshot::channel();
        self.hub.send(HubCommand::Dump(reply)).await.ok()?;
        answer.await.ok()
    }
}
