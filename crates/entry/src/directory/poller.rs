//! The task that reads the instance list.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::Directory;
use crate::event::Event;
use crate::mesh::MeshHandle;
use crate::platform::Platform;
use crate::settings::Settings;

/// Longest that one reading may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the list again and again; the last good reading stays in force.
pub struct Poller {
    settings: Arc<Settings>,
    platform: Platform,
    mesh: MeshHandle,
    directory: watch::Sender<Arc<Directory>>,
    available: bool,
}

impl Poller {
    /// Creates a poller that publishes to `directory`.
    pub fn new(
        settings: Arc<Settings>,
        platform: Platform,
        mesh: MeshHandle,
        directory: watch::Sender<Arc<Directory>>,
    ) -> Self {
        Self {
            settings,
            platform,
            mesh,
            directory,
            available: true,
        }
    }

    /// Polls until it is dropped.
    pub async fn run(mut self) {
        let mut ticks = interval(Duration::from_millis(self.settings.platform.list_poll_ms));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.read().await;
        }
    }

    async fn read(&mut self) {
        let error = match timeout(READ_TIMEOUT, self.platform.list.list()).await {
            Ok(Ok(rows)) => return self.on_rows(&rows),
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        if self.available {
            Event::ListUnavailable { error: &error }.log();
        }
        self.available = false;
        for peer in &self.settings.mesh.peers {
            self.mesh.dial(*peer);
        }
    }

    fn on_rows(&mut self, rows: &[monsoonspread_model::ListedInstance]) {
        if !self.available {
            Event::ListAvailable.log();
        }
        self.available = true;
        let previous = Arc::clone(&self.directory.borrow());
        let directory = Directory::new(rows, &previous, &self.platform);
        self.mesh.know(directory.mesh_addresses());
        self.directory.send_replace(Arc::new(directory));
    }
}
