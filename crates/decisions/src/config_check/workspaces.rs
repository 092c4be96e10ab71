//! Check of workspaces, their keys and quotas.

use std::collections::HashMap;

use monsoonspread_model::fleet::{CallerKey, QuotaUnit, RoutingConfig, Workspace};

use super::{Finding, Place, check_names};

/// Highest rank of a workspace that engines tell from the next one: they know ten ranks, and each rank of
/// workspaces has three of routes.
const MAX_DISTINCT_RANK: u32 = 2;

pub(super) fn check(config: &RoutingConfig, findings: &mut Vec<Finding>) {
    let names = config
        .workspaces
        .iter()
        .map(|workspace| workspace.name.as_str());
    check_names(names, |name| Place::Workspace(name.to_owned()), findings);
    let mut holders: HashMap<&CallerKey, &Workspace> = HashMap::new();
    for workspace in &config.workspaces {
        check_keys(workspace, &mut holders, findings);
        check_quota(workspace, findings);
        if workspace.rank > MAX_DISTINCT_RANK {
            let problem = format!(
                "engines don't tell rank {} from others beyond {MAX_DISTINCT_RANK}",
                workspace.rank
            );
            findings.push(Finding::warning(place(workspace), problem));
        }
    }
    let is_closed = |workspace: &Workspace| workspace.keys.is_empty();
    if !config.workspaces.is_empty() && config.workspaces.iter().all(is_closed) {
        for route in config.routes.iter().filter(|route| !route.is_public) {
            let problem = "it needs a key, and no workspace has one";
            findings.push(Finding::error(Place::Route(route.name.clone()), problem));
        }
    }
}

fn check_keys<'a>(
    workspace: &'a Workspace,
    holders: &mut HashMap<&'a CallerKey, &'a Workspace>,
    findings: &mut Vec<Finding>,
) {
    if workspace.keys.is_empty() {
        findings.push(Finding::warning(
            place(workspace),
            "it has no key, so nobody can call",
        ));
    }
    for (index, key) in workspace.keys.iter().enumerate() {
        let number = index + 1;
        if key.as_bytes().is_empty() {
            let problem = format!("key {number} is empty and admits nobody");
            findings.push(Finding::error(place(workspace), problem));
            continue;
        }
        match holders.get(key) {
            Some(holder) => {
                let problem = format!(
                    "key {number} belongs to workspace \"{}\" already",
                    holder.name
                );
                findings.push(Finding::error(place(workspace), problem));
            }
            None => {
                holders.insert(key, workspace);
            }
        }
    }
}

fn check_quota(workspace: &Workspace, findings: &mut Vec<Finding>) {
    let Some(quota) = workspace.quota else {
        return;
    };
    if let QuotaUnit::Tokens { plain_tokens } = quota.unit
        && f64::from(plain_tokens) > quota.per_s + quota.burst
    {
        let problem = format!(
            "a request without tokens counts as {plain_tokens}, more than its quota allows in a second"
        );
        findings.push(Finding::warning(place(workspace), problem));
    }
    if matches!(quota.unit, QuotaUnit::Requests) && quota.per_s + quota.burst < 1.0 {
        let problem = "its quota allows less than one request in a second";
        findings.push(Finding::warning(place(workspace), problem));
    }
}

fn place(workspace: &Workspace) -> Place {
    Place::Workspace(workspace.name.to_string())
}
