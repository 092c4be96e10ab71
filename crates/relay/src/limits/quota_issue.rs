//! Issues credit of workspaces to instances.

use monsoonspread_decisions::rate_limit::{QuotaAnswer, QuotaRequest, Role};
use monsoonspread_model::fleet::TokenQuota;
use monsoonspread_model::{InstanceName, WorkspaceName};

use crate::peers::{PeerQuota, PeerQuotaAnswer, PeerQuotaRequest};
use crate::shared::Shared;

impl Shared {
    /// Answers another instance's request for credit.
    pub fn on_quota_request(
        &self,
        instance: &InstanceName,
        request: &PeerQuotaRequest,
    ) -> PeerQuota {
        let issued = match request.answered_ms {
            Some(answered_ms) => {
                let is_issuer = self.on_quota_beat(instance, &request.workspace, answered_ms);
                is_issuer.then_some(QuotaAnswer::Granted)
            }
            None => self.issue_credit(instance, request),
        };
        let answer = match issued {
            Some(QuotaAnswer::Granted) => PeerQuotaAnswer::Granted,
            Some(QuotaAnswer::Denied(until)) => PeerQuotaAnswer::Denied(until.ms_since(self.now())),
            None => PeerQuotaAnswer::NotIssuer,
        };
        PeerQuota {
            number: request.number,
            answer,
        }
    }

    /// Issues credit to `instance`; `None` if this instance isn't the issuer that was asked for, or the
    /// store has not confirmed its lease recently, so that another may be the primary issuer.
    pub(super) fn issue_credit(
        &self,
        instance: &InstanceName,
        request: &PeerQuotaRequest,
    ) -> Option<QuotaAnswer> {
        let now = self.now();
        let role = if request.is_backup {
            Role::Backup
        } else {
            Role::Primary
        };
        if role == Role::Primary && !self.holding.is_confirmed(now) {
            return None;
        }
        let workspace = &request.workspace;
        let local = &self.settings.instance;
        let since = self.quotas.table.borrow().role(workspace, local, role)?;
        let issues_since = self.quotas.beats.issues_since(now, workspace);
        let (role, since) = match (role, issues_since) {
            (Role::Backup, Some(zone_since)) => (Role::Zone, zone_since.max(since)),
            _ => (role, since),
        };
        let terms = self.quotas.terms(self.listed_quota(workspace)?);
        let asked = QuotaRequest {
            instance,
            process: request.process,
            settlement: request.settlement,
            cost: request.cost,
        };
        let mut issuer = self.quotas.issuer.borrow_mut();
        issuer.on_request(now, workspace, (role, since), &terms, &asked)
    }

    pub(super) fn listed_quota(&self, workspace: &WorkspaceName) -> Option<TokenQuota> {
        let fleet = self.fleet.borrow();
        let workspaces = &fleet.routes()?.config().workspaces;
        let listed = workspaces.iter().find(|listed| listed.name == *workspace);
        listed?.quota
    }
}
