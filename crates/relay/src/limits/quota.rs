//! Admission of requests of workspaces with a quota.

use std::rc::Rc;
use std::time::Duration;

use monsoonspread_decisions::rate_limit::{Admission, HandoverWait, QuotaAnswer, Role};
use monsoonspread_model::fleet::TokenQuota;
use monsoonspread_model::{InstanceName, UnixMs, WorkspaceName};

use crate::event::{Line, kind};
use crate::peers::{PeerQuotaAnswer, PeerQuotaRequest};
use crate::shared::Shared;

/// How long to wait for the answer of an issuer, in milliseconds: a few round trips to another zone, plus
/// the queueing delay at a busy instance.
const ANSWER_TIMEOUT_MS: u64 = 150;
/// When a client may return whose request no issuer answered, in milliseconds: as long as an unresponsive
/// issuer isn't asked again.
const NO_ISSUER_RETRY_MS: u64 = 1_000;

impl Shared {
    /// Decides whether a request of `workspace` may run that counts `cost` units; tries again as long as `wait`
    /// allows.
    ///
    /// # Errors
    ///
    /// Returns when the client may return.
    pub async fn admit(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
        quota: TokenQuota,
        cost: f64,
        wait: HandoverWait,
    ) -> Result<(), UnixMs> {
        loop {
            let Err(free_at) = self.try_admit(workspace, quota, cost).await else {
                return Ok(());
            };
            let now = self.now();
            let is_silent = self.quotas.is_issuer_silent(workspace);
            let Some(next_at) = wait.next_try(now, is_silent) else {
                self.metrics.count("quota", "refused");
                self.quotas.on_refused(now, workspace, cost);
                return Err(self.quota_return_at(workspace, quota, cost, free_at));
            };
            self.metrics.count("quota", "waited");
            tokio::time::sleep(Duration::from_millis(next_at.ms_since(now))).await;
        }
    }

    /// Like [`Self::admit`], without a wait; an error tells when there is credit again.
    async fn try_admit(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
        quota: TokenQuota,
        cost: f64,
    ) -> Result<(), UnixMs> {
        let now = self.now();
        match self.quotas.on_request(now, workspace, quota, cost) {
            Admission::Admitted => {
                self.metrics.count("quota", "admitted");
                Ok(())
            }
            Admission::Refused(until) => Err(until),
            Admission::Ask => self.ask(workspace, cost).await,
        }
    }

    async fn ask(self: &Rc<Self>, workspace: &WorkspaceName, cost: f64) -> Result<(), UnixMs> {
        let answered = match self.request_credit(workspace, Role::Primary, cost).await {
            Some(answer) => Some(("asked", answer)),
            None => {
                self.on_silent_issuer(workspace);
                let answer = self.request_credit(workspace, Role::Backup, cost).await;
                answer.map(|answer| ("backup", answer))
            }
        };
        match answered {
            Some((outcome, QuotaAnswer::Granted)) => {
                self.metrics.count("quota", outcome);
                Ok(())
            }
            Some((_, QuotaAnswer::Denied(until))) => Err(until),
            None => {
                self.metrics.count("quota", "no issuer");
                Err(self.now() + NO_ISSUER_RETRY_MS)
            }
        }
    }

    /// Reports use to the issuers, and divides the quotas anew after changes.
    pub fn tick_quotas(self: &Rc<Self>) {
        let now = self.now();
        let zone = &self.settings.zone;
        self.quotas.refresh(now, &self.fleet.borrow(), zone);
        self.beat();
        for workspace in self.quotas.due(now) {
            let shared = Rc::clone(self);
            tokio::task::spawn_local(async move {
                // Without an answer, the use stays unsettled and is reported again.
                let _ = shared.request_credit(&workspace, Role::Primary, 0.0).await;
            });
        }
    }

    /// Requests credit from an issuer, and settles with the primary one; `None` if it doesn't issue.
    async fn request_credit(
        self: &Rc<Self>,
        workspace: &WorkspaceName,
        role: Role,
        cost: f64,
    ) -> Option<QuotaAnswer> {
        let issuer = self
            .quotas
            .table
            .borrow()
            .issuer(workspace, role)
            .cloned()?;
        let request = self.quota_request(workspace, role, cost);
        let settlement = request.settlement;
        let answer = if issuer == self.settings.instance {
            self.issue_credit(&issuer, &request)
        } else {
            self.request_remote(&issuer, request).await
        };
        let answer = answer?;
        let now = self.now();
        if role == Role::Primary {
            self.quotas.on_settled(now, workspace, &settlement);
        }
        self.quotas.on_answer(now, workspace, role, cost, answer);
        Some(answer)
    }

    pub(super) fn quota_request(
        &self,
        workspace: &WorkspaceName,
        role: Role,
        cost: f64,
    ) -> PeerQuotaRequest {
        PeerQuotaRequest {
            number: self.holding.next_number(),
            workspace: workspace.clone(),
            process: self.quotas.process,
            settlement: self.quotas.settlement(self.now(), workspace),
            cost,
            is_backup: role == Role::Backup,
            answered_ms: None,
        }
    }

    async fn request_remote(
        &self,
        issuer: &InstanceName,
        request: PeerQuotaRequest,
    ) -> Option<QuotaAnswer> {
        if self.permits.is_unresponsive(self.now(), issuer) {
            return None;
        }
        match self.exchange(issuer, request).await? {
            PeerQuotaAnswer::Granted => Some(QuotaAnswer::Granted),
            PeerQuotaAnswer::Denied(in_ms) => Some(QuotaAnswer::Denied(self.now() + in_ms)),
            PeerQuotaAnswer::NotIssuer => None,
        }
    }

    /// Sends a request to another instance; `None` if it doesn't answer.
    pub(super) async fn exchange(
        &self,
        issuer: &InstanceName,
        request: PeerQuotaRequest,
    ) -> Option<PeerQuotaAnswer> {
        let address = self.fleet.borrow().member(issuer)?;
        let answer = self.peers.request_quota(issuer, address, request);
        let timeout = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let Ok(Some(quota)) = tokio::time::timeout(timeout, answer).await else {
            self.permits.on_unresponsive(self.now(), issuer);
            return None;
        };
        Some(quota.answer)
    }

    fn on_silent_issuer(&self, workspace: &WorkspaceName) {
        if !self.quotas.on_issuer_silent(workspace) {
            return;
        }
        let table = self.quotas.table.borrow();
        let name = |role| {
            table
                .issuer(workspace, role)
                .map_or("none", |name| name.as_str())
        };
        Line::new(&kind::QUOTA_ISSUER_SILENT)
            .field("workspace", workspace)
            .field("issuer", name(Role::Primary))
            .field("backup", name(Role::Backup))
            .log();
    }

    /// Returns when a refused client may return, if there is credit again at `until`.
    fn quota_return_at(
        &self,
        workspace: &WorkspaceName,
        quota: TokenQuota,
        cost: f64,
        until: UnixMs,
    ) -> UnixMs {
        let instances = self.quotas.table.borrow().instances().max(1) as f64;
        let per_s = quota.per_s / cost.max(1.0) / instances;
        let mut returns = self.quotas.returns.borrow_mut();
        returns.on_refused(self.now(), workspace, until, per_s)
    }
}
