//! What an instance knows of the quotas of workspaces.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use monsoonspread_decisions::rate_limit::{
    Admission, IssuerTable, QuotaAccount, QuotaAnswer, QuotaIssuer, QuotaRule, QuotaTerms,
    ReturnSchedule, Role, Settlement,
};
use monsoonspread_model::fleet::TokenQuota;
use monsoonspread_model::{InstanceName, UnixMs, WorkspaceName, ZoneName};
use serde::Serialize;

use super::beats::Beats;
use crate::event::{Line, kind};
use crate::fleet::{FleetEvent, FleetView};
use crate::settings::BoundSettings;

/// Minimum time between two assignments of issuers, in milliseconds: many instances are listed at once at
/// startup.
const REFRESH_MS: u64 = 200;
/// How long instances must have been listed before their number divides overdrafts, in milliseconds: in this
/// time all instances that start together are listed.
const LISTED_MS: u64 = 3_000;
/// Interval of reports to the issuer, in milliseconds: several in the time that a limit's bucket lasts.
const SETTLE_MS: u64 = 200;
/// Interval of reports of units that came back, in milliseconds: they count only soon after their admission.
const SETTLE_RETURNS_MS: u64 = 50;
/// How long no request must be refused until a workspace counts as within its quota, in milliseconds.
const FREE_AFTER_MS: u64 = 2_000;

/// The account of a workspace, and what operators see of it.
#[derive(Debug)]
pub(super) struct AccountState {
    pub(super) account: QuotaAccount,
    quota: TokenQuota,
    settle_at: UnixMs,
    refused_at: UnixMs,
    /// Requests refused since the quota was reached; 0 while it isn't.
    refused: u64,
    pub(super) is_issuer_silent: bool,
    dump: QuotaDump,
}

/// A workspace's quota in the state dump. Units are totals of this process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct QuotaDump {
    admitted: f64,
    refused: f64,
    returned: f64,
    unsettled: f64,
    refused_for_ms: u64,
    issuer: Option<InstanceName>,
}

/// Accounts of the workspaces with a quota, and the credit that this instance issues.
#[derive(Debug)]
pub struct Quotas {
    rule: QuotaRule,
    /// Tells the processes of an instance apart.
    pub(super) process: u64,
    pub(super) accounts: RefCell<BTreeMap<WorkspaceName, AccountState>>,
    pub(super) issuer: RefCell<QuotaIssuer>,
    pub(super) table: RefCell<IssuerTable>,
    pub(super) returns: RefCell<ReturnSchedule<WorkspaceName>>,
    pub(super) beats: Beats,
    is_stale: Cell<bool>,
    refresh_at: Cell<UnixMs>,
}

impl Quotas {
    /// Starts without accounts; `started_at` is the start of the process.
    pub fn new(bounds: &BoundSettings, started_at: UnixMs) -> Self {
        Self {
            rule: QuotaRule {
                window_ms: (bounds.quota_window_s * 1_000.0) as u64,
                overage: bounds.quota_overage,
                slack: bounds.quota_slack,
            },
            process: started_at.0,
            accounts: RefCell::default(),
            issuer: RefCell::default(),
            table: RefCell::default(),
            returns: RefCell::default(),
            beats: Beats::default(),
            is_stale: Cell::new(false),
            refresh_at: Cell::new(UnixMs(0)),
        }
    }

    /// Handles changes in the fleet.
    pub fn on_fleet(&self, events: &[FleetEvent]) {
        for event in events {
            match event {
                FleetEvent::Routing => {
                    self.is_stale.set(true);
                    self.refresh_at.set(UnixMs(0));
                }
                FleetEvent::Member(..) | FleetEvent::MemberRemoved(_) => self.is_stale.set(true),
                _ => {}
            }
        }
    }

    /// Divides the quotas anew after changes in the fleet.
    pub(super) fn refresh(&self, now: UnixMs, fleet: &FleetView, zone: &ZoneName) {
        if !self.is_stale.get() || now < self.refresh_at.get() {
            return;
        }
        self.is_stale.set(false);
        self.refresh_at.set(now + REFRESH_MS);
        let Some(routes) = fleet.routes() else {
            return;
        };
        let workspaces = routes.config().workspaces.iter();
        let quotas: BTreeMap<&WorkspaceName, TokenQuota> = workspaces
            .filter_map(|workspace| Some((&workspace.name, workspace.quota?)))
            .collect();
        self.accounts.borrow_mut().retain(|name, state| {
            let quota = quotas.get(name);
            quota.is_some_and(|quota| state.on_quota(*quota))
        });
        self.returns
            .borrow_mut()
            .retain(|name| quotas.contains_key(name));
        let members = fleet.members();
        let listed: Vec<(&InstanceName, &ZoneName)> =
            members.map(|member| (&member.name, &member.zone)).collect();
        let mut table = self.table.borrow_mut();
        table.refresh(now, quotas.keys().copied(), &listed, zone);
        self.issuer.borrow_mut().retain(
            |workspace| quotas.contains_key(workspace),
            |instance| fleet.member(instance).is_some(),
        );
    }

    pub(super) fn terms(&self, quota: TokenQuota) -> QuotaTerms {
        let table = self.table.borrow();
        QuotaTerms::new(quota, self.rule, table.instances(), table.zones())
    }

    /// A request of a workspace arrives.
    pub(super) fn on_request(
        &self,
        now: UnixMs,
        workspace: &WorkspaceName,
        quota: TokenQuota,
        cost: f64,
    ) -> Admission {
        let is_settled = self.table.borrow().is_settled(now, LISTED_MS);
        let overdraft = match is_settled {
            true => self.terms(quota).overdraft(),
            false => 0.0,
        };
        let mut accounts = self.accounts.borrow_mut();
        let fresh = || AccountState::new(quota);
        let state = accounts.entry(workspace.clone()).or_insert_with(fresh);
        let admission = state.account.on_request(now, cost, overdraft);
        match admission {
            Admission::Admitted => state.dump.admitted += cost,
            Admission::Ask | Admission::Refused(_) => {}
        }
        admission
    }

    /// An issuer answered a request for credit.
    pub(super) fn on_answer(
        &self,
        now: UnixMs,
        workspace: &WorkspaceName,
        role: Role,
        cost: f64,
        answer: QuotaAnswer,
    ) {
        self.update(workspace, |state| match answer {
            QuotaAnswer::Granted => state.dump.admitted += cost,
            QuotaAnswer::Denied(until) => {
                state.account.on_denied(now, role, until);
            }
        });
    }

    /// A request is refused that counts `cost` units.
    pub(super) fn on_refused(&self, now: UnixMs, workspace: &WorkspaceName, cost: f64) {
        self.update(workspace, |state| state.on_refused(now, workspace, cost));
    }

    /// The primary issuer confirmed a settlement.
    pub(super) fn on_settled(
        &self,
        now: UnixMs,
        workspace: &WorkspaceName,
        settlement: &Settlement,
    ) {
        self.update(workspace, |state| {
            state.account.on_settled(now, settlement);
            state.is_issuer_silent = false;
        });
    }

    /// Units of a request come back that didn't run.
    pub fn on_returned(&self, workspace: &WorkspaceName, admitted_at: UnixMs, units: f64) {
        self.update(workspace, |state| {
            state.account.on_returned(admitted_at, units);
            state.dump.returned += units;
        });
    }

    pub(super) fn settlement(&self, now: UnixMs, workspace: &WorkspaceName) -> Settlement {
        let accounts = self.accounts.borrow();
        let state = accounts.get(workspace);
        state.map_or_else(Settlement::default, |state| state.account.settlement(now))
    }

    /// Returns the workspaces whose use is to be reported now.
    pub(super) fn due(&self, now: UnixMs) -> Vec<WorkspaceName> {
        let mut due = Vec::new();
        for (workspace, state) in self.accounts.borrow_mut().iter_mut() {
            state.account.on_tick(now, self.rule.window_ms);
            state.log_free(now, workspace);
            if state.account.has_news() && now >= state.settle_at {
                let pause_ms = match state.account.has_returns() {
                    true => SETTLE_RETURNS_MS,
                    false => SETTLE_MS,
                };
                state.settle_at = now + pause_ms;
                due.push(workspace.clone());
            }
        }
        due
    }

    /// The primary issuer of a workspace doesn't answer; returns whether it did before.
    pub(super) fn on_issuer_silent(&self, workspace: &WorkspaceName) -> bool {
        let mut was_silent = true;
        self.update(workspace, |state| {
            was_silent = std::mem::replace(&mut state.is_issuer_silent, true);
        });
        !was_silent
    }

    /// Whether the primary issuer of a workspace doesn't answer now.
    pub(super) fn is_issuer_silent(&self, workspace: &WorkspaceName) -> bool {
        let accounts = self.accounts.borrow();
        let state = accounts.get(workspace);
        state.is_some_and(|state| state.is_issuer_silent)
    }

    /// Describes the workspaces that sent requests, for the state dump.
    pub fn dump(&self, now: UnixMs) -> BTreeMap<WorkspaceName, QuotaDump> {
        let table = self.table.borrow();
        let accounts = self.accounts.borrow();
        let dumps = accounts.iter().map(|(workspace, state)| {
            let dump = QuotaDump {
                unsettled: state.account.unsettled(),
                refused_for_ms: state.account.refused_until().ms_since(now),
                issuer: table.issuer(workspace, Role::Primary).cloned(),
                ..state.dump.clone()
            };
            (workspace.clone(), dump)
        });
        dumps.collect()
    }

    fn update(&self, workspace: &WorkspaceName, update: impl FnOnce(&mut AccountState)) {
        if let Some(state) = self.accounts.borrow_mut().get_mut(workspace) {
            update(state);
        }
    }
}

impl AccountState {
    fn new(quota: TokenQuota) -> Self {
        Self {
            account: QuotaAccount::default(),
            quota,
            settle_at: UnixMs(0),
            refused_at: UnixMs(0),
            refused: 0,
            is_issuer_silent: false,
            dump: QuotaDump::default(),
        }
    }

    /// The workspace has this quota from now on; returns true.
    fn on_quota(&mut self, quota: TokenQuota) -> bool {
        if self.quota != quota {
            self.quota = quota;
            self.account.on_changed();
        }
        true
    }

    fn on_refused(&mut self, now: UnixMs, workspace: &WorkspaceName, cost: f64) {
        self.dump.refused += cost;
        self.refused_at = now;
        self.refused += 1;
        if self.refused == 1 {
            Line::new(&kind::QUOTA_REACHED)
                .field("workspace", workspace)
                .field("per_s", self.quota.per_s)
                .field("burst", self.quota.burst)
                .field("free_in_ms", self.account.refused_until().ms_since(now))
                .log();
        }
    }

    fn log_free(&mut self, now: UnixMs, workspace: &WorkspaceName) {
        if self.refused == 0 || now.ms_since(self.refused_at) < FREE_AFTER_MS {
            return;
        }
        Line::new(&kind::QUOTA_FREE)
            .field("workspace", workspace)
            .field("refused", self.refused)
            .log();
        self.refused = 0;
    }
}
