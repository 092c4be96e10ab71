//! What a request counts against the quota of its workspace.

use std::cell::Cell;
use std::fmt::{Debug, Formatter, Result as FmtResult};
use std::rc::Rc;

use hyper::Response;
use monsoonspread_decisions::rate_limit::HandoverWait;
use monsoonspread_model::fleet::CallHead;
use monsoonspread_model::{UnixMs, WorkspaceName};

use super::caller::Caller;
use super::{RelayBody, refusal};
use crate::shared::Shared;

/// What a request counts against the quota of its workspace; returned when dropped, unless an upstream may
/// have run the request.
pub(super) struct QuotaCharge {
    shared: Rc<Shared>,
    workspace: WorkspaceName,
    units: f64,
    admitted_at: UnixMs,
    /// Number of upstreams that may have run the request.
    runs: Cell<u32>,
}

impl QuotaCharge {
    /// The request is sent to an upstream.
    pub(super) fn on_sent(&self) {
        self.runs.set(self.runs.get() + 1);
    }

    /// The upstream that the request was sent to last didn't run it.
    pub(super) fn on_not_run(&self) {
        self.runs.set(self.runs.get().saturating_sub(1));
    }
}

impl Debug for QuotaCharge {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        let mut charge = formatter.debug_struct("QuotaCharge");
        charge.field("workspace", &self.workspace);
        charge.field("units", &self.units).finish_non_exhaustive()
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if self.runs.get() == 0 {
            self.shared.metrics.count("quota", "returned");
            let quotas = &self.shared.quotas;
            quotas.on_returned(&self.workspace, self.admitted_at, self.units);
        }
    }
}

/// Charges the workspace of `caller`; `None` if it has no quota.
///
/// # Errors
///
/// Returns the response to a request beyond the quota.
pub(super) async fn charge(
    shared: &Rc<Shared>,
    caller: &Caller,
    head: &CallHead,
    wait: HandoverWait,
) -> Result<Option<QuotaCharge>, Box<Response<RelayBody>>> {
    let Caller::Member(member) = caller else {
        return Ok(None);
    };
    let Some(quota) = member.quota else {
        return Ok(None);
    };
    let units = quota.cost(head.prompt_tokens, head.max_output_tokens);
    match shared.admit(&member.workspace, quota, units, wait).await {
        Ok(()) => Ok(Some(QuotaCharge {
            shared: Rc::clone(shared),
            workspace: member.workspace.clone(),
            units,
            admitted_at: shared.now(),
            runs: Cell::new(0),
        })),
        Err(return_at) => {
            shared.metrics.count("calls", "over_quota");
            let retry_ms = return_at.ms_since(shared.now());
            Err(Box::new(refusal::over_quota(retry_ms)))
        }
    }
}
