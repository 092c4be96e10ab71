use monsoonspread_model::fleet::{
    CallerKey, ClientLimits, QuotaUnit, RelayService, RepeatRule, Route, RouteTarget,
    RoutingConfig, TokenQuota, Workspace,
};

use super::{Severity, check, differences};

fn route(name: &str, prefix: &str, service: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: "Bench.example".to_owned(),
        path_prefix: prefix.to_owned(),
        repeat: RepeatRule::Once,
        targets: vec![RouteTarget {
            service: service.into(),
            weight: 1,
        }],
        max_attempts: 1,
        timeout_ms: 1_000,
        objective_ms: 100,
        rank: 0,
        is_public: false,
    }
}

fn workspace(name: &str, keys: &[&str]) -> Workspace {
    Workspace {
        name: name.into(),
        keys: keys.iter().map(|key| CallerKey::new(key)).collect(),
        rank: 0,
        quota: None,
    }
}

fn config() -> RoutingConfig {
    RoutingConfig {
        version: 1,
        routes: vec![route("read", "/read/", "records")],
        services: vec![RelayService {
            name: "records".into(),
            max_connections: 100,
            health_path: None,
            engine: None,
        }],
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_000,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        workspaces: vec![workspace("bench", &["secret-1"])],
    }
}

fn texts(config: &RoutingConfig) -> Vec<String> {
    check(config).iter().map(ToString::to_string).collect()
}

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(texts(&config()), [""; 0]);
}

/// Guards against routes that silently get no request.
#[test]
fn entries_that_never_match_are_found() {
    let mut config = config();
    let mut hidden = route("hidden", "/read/", "records");
    hidden.host = "bench.EXAMPLE".to_owned();
    config.routes.push(hidden);
    config.routes.push(route("odd", "read", "cards"));
    config.routes[2].targets[0].weight = 0;
    config.routes[2].objective_ms = 2_000;
    config.routes[2].max_attempts = 3;
    assert_eq!(
        texts(&config),
        [
            "error: route \"hidden\": never matches: route \"read\" has the same host and path prefix and comes first",
            "error: route \"odd\": path prefix \"read\" doesn't begin and end with a slash",
            "error: route \"odd\": service \"cards\" is not defined",
            "warning: route \"odd\": its target latency of 2000 ms is beyond its timeout of 1000 ms",
            "warning: route \"odd\": 3 attempts have no effect: a request that may not be repeated is sent once",
            "warning: route \"odd\": service \"cards\" has weight 0 and gets no requests",
        ]
    );
}

/// Guards against keys that admit nobody or another workspace, and against findings that show a key.
#[test]
fn keys_and_quotas_are_checked_and_not_shown() {
    let mut config = config();
    config.workspaces.push(workspace("shop", &["secret-1", ""]));
    config.workspaces.push(workspace("bench", &[]));
    config.workspaces[0].quota = Some(TokenQuota {
        unit: QuotaUnit::Tokens { plain_tokens: 200 },
        per_s: 50.0,
        burst: 100.0,
    });
    let texts = texts(&config);
    assert_eq!(texts.len(), 5, "{texts:?}");
    assert!(
        texts[0].contains("another entry has the same name"),
        "{texts:?}"
    );
    assert!(
        texts[1].contains("counts as 200, more than its quota"),
        "{texts:?}"
    );
    assert!(
        texts[2].contains("key 1 belongs to workspace \"bench\" already"),
        "{texts:?}"
    );
    assert!(texts[3].contains("key 2 is empty"), "{texts:?}");
    assert!(
        texts.iter().all(|text| !text.contains("secret")),
        "{texts:?}"
    );
}

#[test]
fn differences_name_what_changes_and_show_no_key() {
    let old = config();
    let mut new = config();
    new.routes[0].timeout_ms = 500;
    new.routes.push(route("write", "/write/", "records"));
    new.workspaces[0].keys = vec![CallerKey::new("secret-2")];
    let found = differences(&old, &new);
    assert_eq!(found[0].severity, Severity::Error);
    let texts: Vec<String> = found.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "error: version: 1 isn't higher than 1, which is in force, so the configuration is ignored",
            "change: route \"read\": timeout 500 ms, before 1000 ms",
            "change: route \"write\": added",
            "change: workspace \"bench\": 1 keys added, 1 keys removed",
        ]
    );
    new.version = 2;
    assert!(
        differences(&old, &new)
            .iter()
            .all(|f| f.severity == Severity::Change)
    );
}
