//! Task that reads the instance list.

use std::sync::Arc;
use std::time::Duration;

use monsoonspread_borders::instance_list::ReadList;
use monsoonspread_model::ListedInstance;
use monsoonspread_model::message::MeshMessage;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::{Directory, DirectoryCommand};
use crate::event::Event;
use crate::mesh::MeshHandle;
use crate::platform::Platform;
use crate::settings::Settings;

/// Timeout for one read of the list.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Polls the instance list; the last successful read stays in use when a later one fails.
pub struct Poller {
    settings: Arc<Settings>,
    platform: Platform,
    mesh: MeshHandle,
    commands: mpsc::Receiver<DirectoryCommand>,
    directory: watch::Sender<Arc<Directory>>,
    /// Last list, read by this instance or received from a peer.
    rows: Vec<ListedInstance>,
    /// Why rows of the last list that was read are invalid.
    invalid_rows: Vec<String>,
    available: bool,
    /// Whether this instance has read the list itself; if so, lists from peers are ignored.
    has_read_list: bool,
}

impl Poller {
    /// Creates a poller that publishes to `directory`.
    pub fn new(
        settings: Arc<Settings>,
        platform: Platform,
        mesh: MeshHandle,
        commands: mpsc::Receiver<DirectoryCommand>,
        directory: watch::Sender<Arc<Directory>>,
    ) -> Self {
        Self {
            settings,
            platform,
            mesh,
            commands,
            directory,
            rows: Vec::new(),
            invalid_rows: Vec::new(),
            available: true,
            has_read_list: false,
        }
    }

    /// Polls until the future is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(Duration::from_millis(self.settings.platform.list_poll_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.read().await,
                Some(command) = self.commands.recv() => self.on_command(command),
            }
        }
    }

    fn on_command(&mut self, command: DirectoryCommand) {
        match command {
            DirectoryCommand::PeerConnected(peer) if self.rows.is_empty() => {
                self.mesh.send(&peer, MeshMessage::ListRequest);
            }
            DirectoryCommand::Request(peer) if !self.rows.is_empty() => {
                self.mesh.send(&peer, MeshMessage::List(self.rows.clone()));
            }
            DirectoryCommand::PeerList(rows) if !self.has_read_list => self.publish(rows),
            _ => {}
        }
    }

    async fn read(&mut self) {
        let error = match timeout(READ_TIMEOUT, self.platform.list.list()).await {
            Ok(Ok(list)) => return self.on_read(list),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        if self.available {
            Event::ListUnavailable { error: &error }.log();
        }
        self.available = false;
        for peer in &self.settings.mesh.peers {
            self.mesh.dial(*peer);
        }
    }

    fn on_read(&mut self, list: ReadList) {
        if !self.available {
            Event::ListAvailable.log();
        }
        self.available = true;
        self.has_read_list = true;
        for row in &list.invalid_rows {
            if !self.invalid_rows.contains(row) {
                Event::RowInvalid { error: row }.log();
            }
        }
        self.invalid_rows = list.invalid_rows;
        self.publish(list.instances);
    }

    fn publish(&mut self, rows: Vec<ListedInstance>) {
        let previous = Arc::clone(&self.directory.borrow());
        let directory = Directory::new(&rows, &previous, &self.platform);
        self.rows = rows;
        self.mesh.set_addresses(directory.mesh_addresses());
        self.directory.send_replace(Arc::new(directory));
    }
}
