//! Task that routes calls of plain services.

use std::sync::Arc;

use monsoonspread_decisions::retry_budget::RetryBudget;
use monsoonspread_decisions::service_route::{ServiceRouter, ServiceServer};
use monsoonspread_model::{UnixMs, ZoneName};
use tokio::sync::{mpsc, watch};

use super::{RouteCommand, RoutedCall};
use crate::directory::Directory;

/// Retries that each call adds to the budget.
const RETRY_RATIO: f64 = 0.2;
/// Retries that may be made in a burst.
const RETRY_BURST: f64 = 10.0;

/// Runs the router of plain services and keeps its retry budget.
pub struct RouteController {
    router: ServiceRouter,
    retries: RetryBudget,
    commands: mpsc::Receiver<RouteCommand>,
    directory: watch::Receiver<Arc<Directory>>,
}

impl RouteController {
    /// Creates the task; [`Self::run`] runs it.
    pub fn new(
        zone: ZoneName,
        commands: mpsc::Receiver<RouteCommand>,
        directory: watch::Receiver<Arc<Directory>>,
    ) -> Self {
        Self {
            router: ServiceRouter::new(zone, rand::random()),
            retries: RetryBudget::new(RETRY_RATIO, RETRY_BURST),
            commands,
            directory,
        }
    }

    /// Processes commands until every sender is dropped.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                Ok(()) = self.directory.changed() => self.on_directory(),
            }
        }
    }

    fn on_command(&mut self, command: RouteCommand) {
        let now = UnixMs::now();
        match command {
            RouteCommand::Start { mut call, reply } => {
                self.retries.earn();
                let action = call.start(now, &mut self.router);
                let _ = reply.send(RoutedCall { call, action });
            }
            RouteCommand::Ended {
                mut call,
                result,
                reply,
            } => {
                let action = call.on_result(now, result, &mut self.router, &mut self.retries);
                let _ = reply.send(RoutedCall { call, action });
            }
            RouteCommand::Dump(reply) => {
                let _ = reply.send(self.router.dump(now));
            }
        }
    }

    fn on_directory(&mut self) {
        let directory = Arc::clone(&self.directory.borrow_and_update());
        let live: Vec<ServiceServer> = directory
            .services
            .iter()
            .flat_map(|(service, rows)| rows.iter().map(move |row| (service, row)))
            .filter(|(_, row)| row.is_live())
            .map(|(service, row)| ServiceServer {
                name: row.name.clone(),
                service: service.as_str().into(),
                zone: row.listed.zone.clone(),
            })
            .collect();
        self.router.on_servers(&live);
    }
}
