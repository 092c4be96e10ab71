//! Sending over the mesh.

use std::net::SocketAddr;

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::MeshMessage;
use tokio::sync::{mpsc, oneshot};

use super::{HubCommand, MeshDump, MeshEvent};

/// Sends messages to other instances, and to this one without a socket.
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

    /// Sends `message` to `to`; when that fails later, [`MeshEvent::Undelivered`] reports it.
    ///
    /// Returns false when the message was dropped at once, as a queue is full.
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

    /// Tells where instances listen.
    pub fn set_addresses(&self, addresses: Vec<(InstanceName, SocketAddr)>) {
        let _ = self.hub.try_send(HubCommand::SetAddresses(addresses));
    }

    /// Connects to whichever instance listens at `address`.
    pub fn dial(&self, address: SocketAddr) {
        let _ = self.hub.try_send(HubCommand::Dial(address));
    }

    /// Sends what waits, then ends every connection.
    pub async fn close(&self) {
        let (reply, done) = oneshot::channel();
        if self.hub.send(HubCommand::Close(reply)).await.is_ok() {
            let _ = done.await;
        }
    }

    /// Describes the open connections.
    pub async fn dump(&self) -> Option<MeshDump> {
        let (reply, answer) = oneshot::channel();
        self.hub.send(HubCommand::Dump(reply)).await.ok()?;
        answer.await.ok()
    }
}
