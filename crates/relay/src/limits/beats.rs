//! Beats of backup issuers to the primary ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use monsoonspread_decisions::rate_limit::{BEAT_MS, IssuerTable, Role, ZoneWatch};
use monsoonspread_model::{InstanceName, UnixMs, WorkspaceName};

use crate::peers::PeerQuotaAnswer;
use crate::shared::Shared;

/// The workspaces of which this instance is the backup issuer, and whether it issues the share of its zone.
#[derive(Debug, Default)]
pub(super) struct Beats {
    watches: RefCell<BTreeMap<WorkspaceName, ZoneWatch>>,
    beat_at: Cell<UnixMs>,
}

impl Beats {
    /// Returns the workspaces whose primary issuers get a beat now, with the time since the last one that was
    /// answered; `None` between two beats.
    fn due(&self, now: UnixMs, table: &IssuerTable, local: &InstanceName) -> Option<Vec<Beat>> {
        if now < self.beat_at.get() {
            return None;
        }
        self.beat_at.set(now + BEAT_MS);
        let mut watches = self.watches.borrow_mut();
        let mut former = std::mem::take(&mut *watches);
        for (workspace, _) in table.backed_up(local) {
            let watch = former.remove(workspace);
            let watch = watch.unwrap_or_else(|| ZoneWatch::new(now));
            watches.insert(workspace.clone(), watch);
        }
        let beats = watches.iter().map(|(workspace, watch)| Beat {
            workspace: workspace.clone(),
            answered_ms: watch.answered_ms(now),
        });
        Some(beats.collect())
    }

    fn on_answered(&self, workspace: &WorkspaceName, sent_at: UnixMs) {
        if let Some(watch) = self.watches.borrow_mut().get_mut(workspace) {
            watch.on_answered(sent_at);
        }
    }

    /// Returns since when this instance issues the share of its zone; `None` if the primary issuer does.
    pub(super) fn issues_since(&self, now: UnixMs, workspace: &WorkspaceName) -> Option<UnixMs> {
        let watches = self.watches.borrow();
        watches.get(workspace)?.issues_since(now)
    }
}

struct Beat {
    workspace: WorkspaceName,
    answered_ms: u64,
}

impl Shared {
    /// Beats to the primary issuers of the workspaces that this instance backs up.
    pub(super) fn beat(self: &Rc<Self>) {
        let now = self.now();
        let local = &self.settings.instance;
        let table = self.quotas.table.borrow();
        let Some(beats) = self.quotas.beats.due(now, &table, local) else {
            return;
        };
        for beat in beats {
            let shared = Rc::clone(self);
            tokio::task::spawn_local(async move { shared.send_beat(beat, now).await });
        }
        // Where a primary issuer is alone in its zone, no other issues the zone's share.
        for workspace in table.without_backup(local) {
            self.on_quota_beat(local, workspace, 0);
        }
    }

    async fn send_beat(self: Rc<Self>, beat: Beat, sent_at: UnixMs) {
        let primary = {
            let table = self.quotas.table.borrow();
            table.issuer(&beat.workspace, Role::Primary).cloned()
        };
        let Some(primary) = primary else {
            return;
        };
        let request = self.quota_request(&beat.workspace, Role::Primary, 0.0);
        let request = request.with_beat(beat.answered_ms);
        if self.exchange(&primary, request).await == Some(PeerQuotaAnswer::Granted) {
            self.quotas.beats.on_answered(&beat.workspace, sent_at);
        }
    }

    /// The backup issuer of a zone beats to this instance; returns whether it is the primary issuer.
    pub(super) fn on_quota_beat(
        &self,
        instance: &InstanceName,
        workspace: &WorkspaceName,
        answered_ms: u64,
    ) -> bool {
        let now = self.now();
        let zone = {
            let fleet = self.fleet.borrow();
            let mut members = fleet.members();
            let member = members.find(|member| member.name == *instance);
            member.map(|member| member.zone.clone())
        };
        let local = &self.settings.instance;
        let since = self
            .quotas
            .table
            .borrow()
            .role(workspace, local, Role::Primary)
            .filter(|_| self.holding.is_confirmed(now));
        let quota = self.listed_quota(workspace);
        let (Some(zone), Some(since), Some(quota)) = (zone, since, quota) else {
            return false;
        };
        let terms = self.quotas.terms(quota);
        let mut issuer = self.quotas.issuer.borrow_mut();
        issuer.on_beat(now, workspace, since, &terms, (&zone, answered_ms));
        true
    }
}
