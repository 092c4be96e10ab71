//! Task that owns the peers and their connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use monsoonspread_model::message::{Hello, MeshMessage};
use monsoonspread_model::{InstanceName, UnixMs};
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::connection::{Connection, ConnectionId};
use super::dial_failure::DialFailure;
use super::handshake::{self, Socket};
use super::peer::{Link, Peer};
use super::{
    Context, IDLE_TIMEOUT_MS, MeshEvent, MeshHandle, OPEN_TIMEOUT_MS, PEER_QUEUE_MESSAGES,
    SharedContext,
};
use crate::event::Event;
use crate::settings::MeshKey;

/// Commands that may be queued for the hub.
const HUB_QUEUE_COMMANDS: usize = 8192;
/// Time after a failed dial during which messages to the peer fail immediately.
const DIAL_BACKOFF_MS: u64 = 200;

/// Command for the hub.
pub enum HubCommand {
    /// Send a message.
    Send {
        /// Peer to send it to.
        to: InstanceName,
        /// Message to send.
        message: MeshMessage,
    },
    /// Set the addresses of instances' mesh listeners.
    SetAddresses(Vec<(InstanceName, SocketAddr)>),
    /// Connect to the instance that listens at this address.
    Dial(SocketAddr),
    /// A connection was opened and authenticated.
    Opened {
        /// The peer's hello.
        hello: Hello,
        /// Open socket.
        socket: Box<Socket>,
        /// Name that was dialled; `None` when the address was dialled without a name or the peer
        /// opened the connection.
        dialled: Option<InstanceName>,
        /// Address that was dialled; `None` when the peer opened the connection.
        address: Option<SocketAddr>,
    },
    /// A dial to a named peer failed.
    DialFailed {
        /// Peer that was dialled.
        peer: InstanceName,
        /// Reason for the failure.
        failure: DialFailure,
    },
    /// A connection ended.
    Closed {
        /// Peer of the connection.
        peer: InstanceName,
        /// Connection that ended.
        id: ConnectionId,
        /// Messages that were not sent.
        unsent: Vec<MeshMessage>,
        /// Whether both sides closed it, so that no message was lost.
        clean: bool,
    },
    /// Send the queued messages, then close every connection.
    Close(oneshot::Sender<()>),
    /// Describe the connections for the dump.
    Dump(oneshot::Sender<MeshDump>),
}

/// Connections of an instance, for the dump.
#[derive(Clone, Debug, Default, Serialize)]
pub struct MeshDump {
    /// Peers with an open connection.
    pub connected: Vec<InstanceName>,
    /// Peers whose address is known.
    pub known: usize,
    /// Messages that were dropped because a queue was full.
    pub dropped: u64,
}

/// Owns the peers and their connections.
pub struct Hub {
    local_instance: InstanceName,
    peers: BTreeMap<InstanceName, Peer>,
    commands: mpsc::Receiver<HubCommand>,
    context: SharedContext,
    connections: JoinSet<()>,
    next_id: u64,
    dropped: u64,
}

impl Hub {
    /// Creates a hub and the handle to send through it.
    pub fn new(
        key: MeshKey,
        hello: watch::Receiver<Hello>,
        events: mpsc::Sender<MeshEvent>,
    ) -> (Self, MeshHandle) {
        Self::with_idle_timeout_ms(key, hello, events, IDLE_TIMEOUT_MS)
    }

    /// Creates a hub whose connections end after `idle_timeout_ms` without a message.
    pub fn with_idle_timeout_ms(
        key: MeshKey,
        hello: watch::Receiver<Hello>,
        events: mpsc::Sender<MeshEvent>,
        idle_timeout_ms: u64,
    ) -> (Self, MeshHandle) {
        let (sender, commands) = mpsc::channel(HUB_QUEUE_COMMANDS);
        let local_instance = hello.borrow().instance.clone();
        let handle = MeshHandle::new(local_instance.clone(), sender.clone(), events.clone());
        let context = Arc::new(Context {
            key,
            hello,
            events,
            hub: sender,
            idle_timeout_ms,
        });
        let hub = Self {
            local_instance,
            peers: BTreeMap::new(),
            commands,
            context,
            connections: JoinSet::new(),
            next_id: 0,
            dropped: 0,
        };
        (hub, handle)
    }

    pub(super) fn context(&self) -> SharedContext {
        Arc::clone(&self.context)
    }

    /// Processes commands until every handle is dropped.
    pub async fn run(mut self) {
        while let Some(command) = self.commands.recv().await {
            self.on_command(command).await;
            while self.connections.try_join_next().is_some() {}
        }
    }

    async fn on_command(&mut self, command: HubCommand) {
        match command {
            HubCommand::Send { to, message } => self.send(to, message).await,
            HubCommand::SetAddresses(addresses) => self.set_addresses(addresses),
            HubCommand::Dial(address) => self.dial(address, None),
            HubCommand::Opened {
                hello,
                socket,
                dialled,
                address,
            } => self.on_opened(hello, *socket, dialled, address).await,
            HubCommand::DialFailed { peer, failure } => self.on_dial_failed(peer, failure).await,
            HubCommand::Closed {
                peer,
                id,
                unsent,
                clean,
            } => self.on_closed(peer, id, unsent, clean).await,
            HubCommand::Close(done) => {
                self.close().await;
                let _ = done.send(());
            }
            HubCommand::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
        }
    }

    async fn send(&mut self, to: InstanceName, message: MeshMessage) {
        let peer = self.peers.entry(to.clone()).or_default();
        if !peer.links.is_empty() {
            if let Some(message) = peer.push(message) {
                self.dropped += 1;
                self.report_undelivered(to, message).await;
            }
            return;
        }
        let may_dial = peer.dialing || peer.retry_at_unix_ms <= UnixMs::now();
        let Some(address) = peer.address.filter(|_| may_dial) else {
            self.report_undelivered(to, message).await;
            return;
        };
        if peer.waiting.len() == PEER_QUEUE_MESSAGES {
            self.dropped += 1;
            self.report_undelivered(to, message).await;
            return;
        }
        peer.waiting.push_back(message);
        if !peer.dialing {
            peer.dialing = true;
            self.dial(address, Some(to));
        }
    }

    fn set_addresses(&mut self, addresses: Vec<(InstanceName, SocketAddr)>) {
        let others = addresses
            .into_iter()
            .filter(|(name, _)| *name != self.local_instance);
        for (name, address) in others {
            self.peers.entry(name).or_default().address = Some(address);
        }
    }

    fn dial(&self, address: SocketAddr, name: Option<InstanceName>) {
        let context = self.context();
        tokio::spawn(async move {
            let limit = Duration::from_millis(OPEN_TIMEOUT_MS);
            let opened = timeout(limit, open(address, &context)).await;
            let command = match (opened.unwrap_or(Err(DialFailure::Other)), name) {
                (Ok((socket, hello)), dialled) => HubCommand::Opened {
                    hello,
                    socket: Box::new(socket),
                    dialled,
                    address: Some(address),
                },
                (Err(failure), Some(peer)) => HubCommand::DialFailed { peer, failure },
                (Err(_), None) => return,
            };
            let _ = context.hub.send(command).await;
        });
    }

    async fn on_opened(
        &mut self,
        hello: Hello,
        socket: Socket,
        dialled: Option<InstanceName>,
        address: Option<SocketAddr>,
    ) {
        let name = hello.instance.clone();
        if let Some(other) = dialled.filter(|dialled| *dialled != name) {
            self.on_dial_failed(other, DialFailure::Other).await;
        }
        if name == self.local_instance {
            return;
        }
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        let (sender, queue) = mpsc::channel(PEER_QUEUE_MESSAGES);
        let connection = Connection {
            id,
            peer: name.clone(),
            socket,
            queue,
            context: self.context(),
        };
        self.connections.spawn(connection.run());
        let peer = self.peers.entry(name).or_default();
        peer.dialing = false;
        peer.address = address.or(peer.address);
        peer.retry_at_unix_ms = UnixMs::default();
        for message in peer.waiting.drain(..) {
            // The new queue has room for all waiting messages.
            let _ = sender.try_send(message);
        }
        peer.links.push(Link { id, queue: sender });
        let opened = MeshEvent::Opened { hello, address };
        let _ = self.context.events.send(opened).await;
    }

    async fn on_dial_failed(&mut self, name: InstanceName, failure: DialFailure) {
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        peer.dialing = false;
        peer.retry_at_unix_ms = UnixMs::now() + DIAL_BACKOFF_MS;
        let waiting: Vec<_> = peer.waiting.drain(..).collect();
        Event::PeerUnreachable { peer: &name }.log();
        for message in waiting {
            self.report_undelivered(name.clone(), message).await;
        }
        if failure == DialFailure::Refused {
            let _ = self
                .context
                .events
                .send(MeshEvent::ConnectionRefused(name))
                .await;
        }
    }

    async fn on_closed(
        &mut self,
        name: InstanceName,
        id: ConnectionId,
        unsent: Vec<MeshMessage>,
        clean: bool,
    ) {
        let Some(peer) = self.peers.get_mut(&name) else {
            return;
        };
        peer.links.retain(|link| link.id != id);
        let lost = !clean && peer.links.is_empty();
        for message in unsent {
            if clean {
                Box::pin(self.send(name.clone(), message)).await;
            } else {
                self.report_undelivered(name.clone(), message).await;
            }
        }
        if lost {
            let _ = self
                .context
                .events
                .send(MeshEvent::ConnectionLost(name))
                .await;
        }
    }

    /// Closes every connection after its queued messages were sent.
    async fn close(&mut self) {
        for peer in self.peers.values_mut() {
            peer.links.clear();
        }
        let limit = Duration::from_millis(OPEN_TIMEOUT_MS);
        let ended = async { while self.connections.join_next().await.is_some() {} };
        let _ = timeout(limit, ended).await;
    }

    async fn report_undelivered(&self, to: InstanceName, message: MeshMessage) {
        let event = MeshEvent::Undelivered { to, message };
        let _ = self.context.events.send(event).await;
    }

    fn dump(&self) -> MeshDump {
        let connected = self
            .peers
            .iter()
            .filter(|(_, peer)| !peer.links.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        MeshDump {
            connected,
            known: self.peers.len(),
            dropped: self.dropped,
        }
    }
}

async fn open(address: SocketAddr, context: &Context) -> Result<(Socket, Hello), DialFailure> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| DialFailure::of(&error))?;
    stream
        .set_nodelay(true)
        .map_err(|error| DialFailure::of(&error))?;
    handshake::dial(stream, context).await.map_err(|error| {
        let error = error.to_string();
        Event::PeerRejected {
            address,
            error: &error,
        }
        .log();
        DialFailure::Other
    })
}
