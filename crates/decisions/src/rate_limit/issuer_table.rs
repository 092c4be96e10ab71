//! Which instances issue the credit of which workspaces.

use std::collections::{BTreeMap, BTreeSet};

use monsoonspread_model::{InstanceName, UnixMs, WorkspaceName, ZoneName};

use super::first_by_hash;

/// Time in which the bucket of a backup issuer fills, in milliseconds: longer than any window of quotas.
const FILLED_MS: u64 = 60_000;

/// Role of an issuer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Role {
    /// Issues rate and burst of the quota to all instances.
    Primary,
    /// Issues a small share to the instances of its availability zone that can't reach the primary issuer.
    Backup,
    /// The backup issuer issues the share of its zone, as the primary one doesn't answer it.
    Zone,
}

#[derive(Clone, Debug)]
struct Assigned {
    instance: InstanceName,
    /// When it was assigned here.
    since: UnixMs,
}

#[derive(Clone, Debug, Default)]
struct Issuers {
    primary: Option<Assigned>,
    backup: Option<Assigned>,
}

/// The issuers of all workspaces, as seen from one availability zone.
#[derive(Clone, Debug, Default)]
pub struct IssuerTable {
    issuers: BTreeMap<WorkspaceName, Issuers>,
    instances: usize,
    zones: usize,
    /// When instances were listed for the first time.
    listed_since: Option<UnixMs>,
}

impl IssuerTable {
    /// Assigns issuers to `workspaces` from the listed instances; `zone` is that of this instance.
    ///
    /// ```
    /// # use monsoonspread_decisions::rate_limit::{IssuerTable, Role};
    /// # use monsoonspread_model::{InstanceName, UnixMs, WorkspaceName, ZoneName};
    /// let (workspace, zone): (WorkspaceName, ZoneName) = ("crm".into(), "a".into());
    /// let instances: [InstanceName; 2] = ["node-1".into(), "node-2".into()];
    /// let mut table = IssuerTable::default();
    /// let listed: Vec<_> = instances.iter().map(|instance| (instance, &zone)).collect();
    /// table.refresh(UnixMs(1_000), [&workspace], &listed, &zone);
    /// let primary = table.issuer(&workspace, Role::Primary).expect("an issuer").clone();
    /// assert_ne!(table.issuer(&workspace, Role::Backup), Some(&primary));
    /// let since = table.role(&workspace, &primary, Role::Primary);
    /// assert_eq!(since, Some(UnixMs(1_000)));
    /// ```
    pub fn refresh<'a>(
        &mut self,
        now: UnixMs,
        workspaces: impl IntoIterator<Item = &'a WorkspaceName>,
        listed: &[(&InstanceName, &ZoneName)],
        zone: &ZoneName,
    ) {
        self.instances = listed.len();
        self.zones = listed
            .iter()
            .map(|(_, zone)| zone)
            .collect::<BTreeSet<_>>()
            .len();
        if !listed.is_empty() {
            self.listed_since.get_or_insert(now);
        }
        let mut before = std::mem::take(&mut self.issuers);
        for workspace in workspaces {
            let former = before.remove(workspace).unwrap_or_default();
            let all = listed.iter().map(|(instance, _)| *instance);
            let primary = first_by_hash(workspace.as_str(), all);
            let of_zone = listed.iter().filter(|(_, of)| *of == zone);
            let others = of_zone
                .map(|(instance, _)| *instance)
                .filter(|instance| Some(*instance) != primary);
            let backup = first_by_hash(workspace.as_str(), others);
            let issuers = Issuers {
                primary: assigned(now, former.primary, primary),
                backup: assigned(now, former.backup, backup),
            };
            self.issuers.insert(workspace.clone(), issuers);
        }
    }

    /// Returns the issuer of a workspace.
    pub fn issuer(&self, workspace: &WorkspaceName, role: Role) -> Option<&InstanceName> {
        self.assigned(workspace, role)
            .map(|issuer| &issuer.instance)
    }

    /// Returns since when `instance` issues credit in this role; `None` if it doesn't.
    ///
    /// A backup issuer that is one from the start of its process counts as one for longer, so that its bucket is
    /// full: it serves its zone while the primary issuer waits, which most are at once after a loss of power.
    pub fn role(
        &self,
        workspace: &WorkspaceName,
        instance: &InstanceName,
        role: Role,
    ) -> Option<UnixMs> {
        let issuer = self.assigned(workspace, role)?;
        if issuer.instance != *instance {
            return None;
        }
        let is_first = Some(issuer.since) == self.listed_since;
        let earlier_ms = if role == Role::Backup && is_first {
            FILLED_MS
        } else {
            0
        };
        Some(issuer.since - earlier_ms)
    }

    /// Returns the workspaces of which `instance` is the backup issuer, and since when.
    pub fn backed_up<'a>(
        &'a self,
        instance: &'a InstanceName,
    ) -> impl Iterator<Item = (&'a WorkspaceName, UnixMs)> {
        self.issuers.iter().filter_map(|(workspace, issuers)| {
            let backup = issuers.backup.as_ref()?;
            (backup.instance == *instance).then_some((workspace, backup.since))
        })
    }

    /// Returns the workspaces of which `instance` is the primary issuer and alone in its zone.
    pub fn without_backup<'a>(
        &'a self,
        instance: &'a InstanceName,
    ) -> impl Iterator<Item = &'a WorkspaceName> {
        self.issuers.iter().filter_map(|(workspace, issuers)| {
            let primary = issuers.primary.as_ref()?;
            let is_alone = primary.instance == *instance && issuers.backup.is_none();
            is_alone.then_some(workspace)
        })
    }

    /// Number of listed instances.
    pub fn instances(&self) -> usize {
        self.instances
    }

    /// Number of availability zones with listed instances.
    pub fn zones(&self) -> usize {
        self.zones
    }

    /// Whether instances have been listed for as long as others need to be listed too: before, their number
    /// says nothing.
    pub fn is_settled(&self, now: UnixMs, after_ms: u64) -> bool {
        self.listed_since
            .is_some_and(|since| now.ms_since(since) >= after_ms)
    }

    fn assigned(&self, workspace: &WorkspaceName, role: Role) -> Option<&Assigned> {
        let issuers = self.issuers.get(workspace)?;
        match role {
            Role::Primary => issuers.primary.as_ref(),
            Role::Backup | Role::Zone => issuers.backup.as_ref(),
        }
    }
}

/// Keeps the time of an assignment that doesn't change.
fn assigned(
    now: UnixMs,
    former: Option<Assigned>,
    instance: Option<&InstanceName>,
) -> Option<Assigned> {
    let instance = instance?;
    let same = former.filter(|former| former.instance == *instance);
    same.or_else(|| {
        Some(Assigned {
            instance: instance.clone(),
            since: now,
        })
    })
}
