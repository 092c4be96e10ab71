//! What a configuration changes from the version in force.

use std::collections::BTreeMap;

use monsoonspread_model::fleet::{
    ClientLimits, EngineShape, QuotaUnit, RelayService, RepeatRule, Route, RoutingConfig,
    TokenQuota, Workspace,
};

use super::{Finding, Place};

/// Lists what differs from the configuration `in_force` to `new`, and an error if `new` would be ignored.
pub fn differences(in_force: &RoutingConfig, new: &RoutingConfig) -> Vec<Finding> {
    let mut findings = Vec::new();
    if new.version <= in_force.version {
        let problem = format!(
            "{} isn't higher than {}, which is in force, so the configuration is ignored",
            new.version, in_force.version
        );
        findings.push(Finding::error(Place::Version, problem));
    }
    let name = |route: &Route| route.name.clone();
    compare(
        (&in_force.routes, &new.routes),
        name,
        Place::Route,
        route_changes,
        &mut findings,
    );
    let name = |service: &RelayService| service.name.to_string();
    compare(
        (&in_force.services, &new.services),
        name,
        Place::Service,
        service_changes,
        &mut findings,
    );
    let name = |workspace: &Workspace| workspace.name.to_string();
    compare(
        (&in_force.workspaces, &new.workspaces),
        name,
        Place::Workspace,
        workspace_changes,
        &mut findings,
    );
    if in_force.limits != new.limits {
        let problem = limit_changes(&in_force.limits, &new.limits).join(", ");
        findings.push(Finding::change(Place::Limits, problem));
    }
    findings
}

/// Adds a finding for each entry that is new, gone or changed; `changes` describes how.
fn compare<T: PartialEq>(
    (old, new): (&[T], &[T]),
    name: impl Fn(&T) -> String,
    place: impl Fn(String) -> Place,
    changes: impl Fn(&T, &T) -> Vec<String>,
    findings: &mut Vec<Finding>,
) {
    let before: BTreeMap<String, &T> = old.iter().map(|entry| (name(entry), entry)).collect();
    let after: BTreeMap<String, &T> = new.iter().map(|entry| (name(entry), entry)).collect();
    for (name, entry) in &after {
        match before.get(name) {
            None => findings.push(Finding::change(place(name.clone()), "added")),
            Some(former) if former == entry => {}
            Some(former) => {
                let problem = changes(former, entry).join(", ");
                findings.push(Finding::change(place(name.clone()), problem));
            }
        }
    }
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        findings.push(Finding::change(place(name.clone()), "removed"));
    }
}

fn route_changes(old: &Route, new: &Route) -> Vec<String> {
    let targets = |route: &Route| {
        let targets = route.targets.iter();
        let targets = targets.map(|target| format!("{} x {}", target.service, target.weight));
        targets.collect::<Vec<_>>().join(" + ")
    };
    let fields: [(&str, String, String); 9] = [
        ("host", old.host.clone(), new.host.clone()),
        (
            "path prefix",
            old.path_prefix.clone(),
            new.path_prefix.clone(),
        ),
        ("kind", kind(old.repeat), kind(new.repeat)),
        ("services", targets(old), targets(new)),
        (
            "attempts",
            old.max_attempts.to_string(),
            new.max_attempts.to_string(),
        ),
        (
            "timeout",
            format!("{} ms", old.timeout_ms),
            format!("{} ms", new.timeout_ms),
        ),
        (
            "target latency",
            format!("{} ms", old.objective_ms),
            format!("{} ms", new.objective_ms),
        ),
        ("rank", old.rank.to_string(), new.rank.to_string()),
        (
            "public",
            old.is_public.to_string(),
            new.is_public.to_string(),
        ),
    ];
    changed(fields)
}

fn service_changes(old: &RelayService, new: &RelayService) -> Vec<String> {
    let path = |service: &RelayService| service.health_path.clone().unwrap_or("none".to_owned());
    let fields: [(&str, String, String); 3] = [
        (
            "connections",
            old.max_connections.to_string(),
            new.max_connections.to_string(),
        ),
        ("health path", path(old), path(new)),
        (
            "engine",
            engine(old.engine.as_ref()),
            engine(new.engine.as_ref()),
        ),
    ];
    changed(fields)
}

fn workspace_changes(old: &Workspace, new: &Workspace) -> Vec<String> {
    let mut changes = changed([
        ("rank", old.rank.to_string(), new.rank.to_string()),
        ("quota", quota(old.quota), quota(new.quota)),
    ]);
    let only_in = |a: &Workspace, b: &Workspace| {
        let keys = a.keys.iter().filter(|key| !b.keys.contains(key));
        keys.count()
    };
    let (added, removed) = (only_in(new, old), only_in(old, new));
    if added > 0 {
        changes.push(format!("{added} keys added"));
    }
    if removed > 0 {
        changes.push(format!("{removed} keys removed"));
    }
    if changes.is_empty() {
        changes.push("keys in another order".to_owned());
    }
    changes
}

fn limit_changes(old: &ClientLimits, new: &ClientLimits) -> Vec<String> {
    let bytes = |bytes: usize| format!("{bytes} B");
    let ms = |ms: u64| format!("{ms} ms");
    changed([
        (
            "header",
            bytes(old.max_header_bytes),
            bytes(new.max_header_bytes),
        ),
        ("body", bytes(old.max_body_bytes), bytes(new.max_body_bytes)),
        (
            "header timeout",
            ms(old.header_timeout_ms),
            ms(new.header_timeout_ms),
        ),
        (
            "idle timeout",
            ms(old.idle_timeout_ms),
            ms(new.idle_timeout_ms),
        ),
    ])
}

fn kind(repeat: RepeatRule) -> String {
    let kind = match repeat {
        RepeatRule::Once => "at most once",
        RepeatRule::Repeatable => "repeatable",
        RepeatRule::Stream { resumable: false } => "stream",
        RepeatRule::Stream { resumable: true } => "resumable stream",
    };
    kind.to_owned()
}

fn quota(quota: Option<TokenQuota>) -> String {
    let Some(quota) = quota else {
        return "none".to_owned();
    };
    let (per_s, burst) = (quota.per_s, quota.burst);
    match quota.unit {
        QuotaUnit::Requests => format!("{per_s} requests/s and a burst of {burst}"),
        QuotaUnit::Tokens { plain_tokens } => format!(
            "{per_s} tokens/s and a burst of {burst} ({plain_tokens} for a request without tokens)"
        ),
    }
}

fn engine(engine: Option<&EngineShape>) -> String {
    let Some(engine) = engine else {
        return "none".to_owned();
    };
    let models = engine.models.iter();
    let models = models.map(|model| format!("{} of {} MB", model.name, model.size_mb));
    format!(
        "{} places, {} tokens, {} adapter slots, {} MB for {}",
        engine.batch_places,
        engine.kv_tokens,
        engine.adapter_slots,
        engine.weights_mb,
        models.collect::<Vec<_>>().join(" and ")
    )
}

/// Describes the fields whose values differ.
fn changed<const N: usize>(fields: [(&str, String, String); N]) -> Vec<String> {
    let differing = fields.into_iter().filter(|(_, old, new)| old != new);
    differing
        .map(|(name, old, new)| format!("{name} {new}, before {old}"))
        .collect()
}
