//! Collection of a state dump.

use std::sync::Arc;
use std::time::Duration;

use monsoonspread_model::UnixMs;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::{InstanceDump, ListedCounts};
use crate::controller::bundle::BundleCommand;
use crate::controller::dispatch::OwnerMap;
use crate::controller::membership::MembershipCommand;
use crate::controller::owner::OwnerCommand;
use crate::controller::ownership::OwnershipCommand;
use crate::controller::service::{RouteCommand, ServiceCalls};
use crate::controller::{Handles, Mailbox};
use crate::directory::Directory;
use crate::run_state::RunState;
use crate::settings::Settings;

/// Timeout for the answer of one task.
const TASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Collects the state of every task.
pub struct Dumper {
    /// The instance's settings.
    pub settings: Arc<Settings>,
    /// Handles to the tasks.
    pub handles: Handles,
    /// Calls of plain services and their routing task.
    pub calls: ServiceCalls,
    /// Run state of the instance.
    pub state: watch::Receiver<RunState>,
    /// Directory of listed instances.
    pub directory: watch::Receiver<Arc<Directory>>,
    /// Known owners of upstreams.
    pub owners: watch::Receiver<Arc<OwnerMap>>,
}

impl Dumper {
    /// Collects a dump; a task that does not answer within the timeout is left out.
    pub async fn dump(&self) -> InstanceDump {
        let handles = &self.handles;
        let dispatch = timeout(TASK_TIMEOUT, handles.dispatch.dump()).await;
        let mesh = timeout(TASK_TIMEOUT, handles.mesh.dump()).await;
        let services = request_dump(&self.calls.routes, RouteCommand::Dump).await;
        let state = *self.state.borrow();
        let owners = OwnerMap::clone(&self.owners.borrow());
        InstanceDump {
            instance: self.settings.instance.clone(),
            zone: self.settings.zone.clone(),
            taken_at_unix_ms: UnixMs::now(),
            state: state.as_str(),
            bundle: request_dump(&handles.bundle, BundleCommand::Dump).await,
            membership: request_dump(&handles.membership, MembershipCommand::Dump).await,
            ownership: request_dump(&handles.ownership, OwnershipCommand::Dump).await,
            owners,
            owner: request_dump(&handles.owner, OwnerCommand::Dump).await,
            dispatch: dispatch.ok().flatten(),
            services: services.unwrap_or_default(),
            service_calls: self.calls.tasks.len(),
            claims: self.calls.in_flight.dump(),
            mesh: mesh.ok().flatten(),
            listed: self.listed(),
        }
    }

    fn listed(&self) -> ListedCounts {
        let directory = self.directory.borrow();
        ListedCounts {
            entries: directory.entries.len(),
            engines: directory.engines.len(),
            services: directory.services.values().map(Vec::len).sum(),
        }
    }
}

async fn request_dump<T, D>(
    mailbox: &Mailbox<T>,
    message: impl FnOnce(oneshot::Sender<D>) -> T,
) -> Option<D> {
    timeout(TASK_TIMEOUT, mailbox.ask(message))
        .await
        .ok()
        .flatten()
}
