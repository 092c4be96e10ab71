//! Which bundle each instance has in force.

mod instance_status;
mod progress;

pub use instance_status::InstanceStatus;
pub use progress::{NoProgress, Progress, ProgressLine};

use std::net::SocketAddr;
use std::time::Duration;

use monsoonspread_borders::http::HttpClient;
use monsoonspread_model::{BundleVersion, UnixMs};
use tokio::task::JoinSet;

const POLL_INTERVAL: Duration = Duration::from_millis(100);
const DUMP_TIMEOUT_MS: u64 = 3_000;

/// Asks instances for their state at their operators' listeners.
#[derive(Clone, Debug)]
pub struct FleetStatus {
    client: HttpClient,
    instances: Vec<SocketAddr>,
}

impl FleetStatus {
    /// Asks the given operators' listeners.
    ///
    /// ```
    /// # use monsoonspread_ctl::fleet_status::FleetStatus;
    /// let fleet = FleetStatus::new(&["127.0.0.1:8081".parse().unwrap()]);
    /// ```
    pub fn new(instances: &[SocketAddr]) -> Self {
        Self {
            client: HttpClient::new(),
            instances: instances.to_vec(),
        }
    }

    /// Asks every instance once, all at a time; in the order given.
    ///
    /// ```
    /// # use monsoonspread_ctl::fleet_status::FleetStatus;
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let fleet = FleetStatus::new(&["127.0.0.1:1".parse().unwrap()]);
    /// assert!(fleet.ask().await[0].error.is_some());
    /// # });
    /// ```
    pub async fn ask(&self) -> Vec<InstanceStatus> {
        let mut asking = JoinSet::new();
        for (place, address) in self.instances.iter().enumerate() {
            let client = self.client.clone();
            let address = *address;
            asking.spawn(async move { (place, ask_one(&client, address).await) });
        }
        let mut answers = asking.join_all().await;
        answers.sort_by_key(|(place, _)| *place);
        answers.into_iter().map(|(_, status)| status).collect()
    }

    /// Waits until every instance reports `version` or a later one.
    ///
    /// # Errors
    ///
    /// Returns those that do not by the deadline.
    ///
    /// ```
    /// # use monsoonspread_ctl::fleet_status::{FleetStatus, NoProgress};
    /// # use monsoonspread_model::{BundleVersion, UnixMs};
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let fleet = FleetStatus::new(&["127.0.0.1:1".parse().unwrap()]);
    /// let waited = fleet.wait_for(BundleVersion(3), UnixMs(0), &NoProgress).await;
    /// assert_eq!(waited.unwrap_err().len(), 1);
    /// # });
    /// ```
    pub async fn wait_for(
        &self,
        version: BundleVersion,
        deadline_unix_ms: UnixMs,
        progress: &dyn Progress,
    ) -> Result<(), Vec<InstanceStatus>> {
        loop {
            let mut lagging = self.ask().await;
            lagging.retain(|status| status.lags(version));
            progress.reported(self.instances.len() - lagging.len(), self.instances.len());
            if lagging.is_empty() {
                return Ok(());
            }
            if UnixMs::now() >= deadline_unix_ms {
                return Err(lagging);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn ask_one(client: &HttpClient, address: SocketAddr) -> InstanceStatus {
    match client.get(address, "/dump", DUMP_TIMEOUT_MS).await {
        Err(error) => InstanceStatus::failed(address, &error.to_string()),
        Ok(reply) if !reply.status.is_success() => {
            InstanceStatus::failed(address, &reply.summary())
        }
        Ok(reply) => InstanceStatus::from_dump(address, &reply.body),
    }
}
