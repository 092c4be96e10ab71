//! Orders to engines, each sent in a separate task.

use std::sync::Arc;
use std::time::Duration;

use monsoonspread_borders::{Engine, OrderError};
use monsoonspread_decisions::owner::OrderFailure;
use monsoonspread_model::{CopyName, Epoch, UpstreamName};
use tokio::time::timeout;

use super::OwnerCommand;
use crate::controller::Mailbox;
use crate::event::Event;
use crate::metrics::Metrics;

/// Timeout for reading a load report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends orders to one engine and posts the results to the owner task.
pub(super) struct Orders {
    pub(super) upstream: UpstreamName,
    pub(super) engine: Arc<dyn Engine>,
    pub(super) owner: Mailbox<OwnerCommand>,
    pub(super) metrics: Metrics,
}

impl Orders {
    pub(super) async fn load(self, copy: CopyName) {
        let result = self.engine.load(&copy, copy.epoch).await;
        self.metrics.on_load(result.is_ok());
        let result = self.order_result("load", result);
        self.owner.post(OwnerCommand::Loaded {
            upstream: self.upstream,
            copy,
            result,
        });
    }

    pub(super) async fn unload(self, copy: CopyName, epoch: Epoch) {
        let result = self.engine.unload(&copy, epoch).await;
        let result = self.order_result("unload", result);
        self.owner.post(OwnerCommand::Unloaded {
            upstream: self.upstream,
            copy,
            result,
        });
    }

    pub(super) async fn fence(self, epoch: Epoch) {
        let result = self.engine.fence(epoch).await;
        let result = self.order_result("fence", result);
        self.owner.post(OwnerCommand::Fenced {
            upstream: self.upstream,
            epoch,
            result,
        });
    }

    pub(super) async fn report(self) {
        let report = timeout(REPORT_TIMEOUT, self.engine.report()).await;
        self.owner.post(OwnerCommand::Reported {
            upstream: self.upstream,
            report: report.ok().and_then(Result::ok),
        });
    }

    fn order_result(
        &self,
        order: &str,
        result: Result<(), OrderError>,
    ) -> Result<(), OrderFailure> {
        result.map_err(|error| {
            Event::OrderFailed {
                upstream: &self.upstream,
                order,
                error: &error.to_string(),
            }
            .log();
            match error {
                OrderError::Unreachable(_) => OrderFailure::Unreachable,
                OrderError::Fenced(_) => OrderFailure::Fenced,
                OrderError::Failed(_) => OrderFailure::Failed,
                OrderError::AnswerLost(_) => OrderFailure::AnswerLost,
            }
        })
    }
}
