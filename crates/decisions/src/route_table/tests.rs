use monsoonspread_model::fleet::{ClientLimits, RepeatRule, Route, RouteTarget, RoutingConfig};

use super::{RouteTable, pick_service};

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: name.to_owned(),
        host: "Bench.example".to_owned(),
        path_prefix: prefix.to_owned(),
        repeat: RepeatRule::Once,
        targets: targets
            .iter()
            .map(|(service, weight)| RouteTarget {
                service: (*service).into(),
                weight: *weight,
            })
            .collect(),
        max_attempts: 1,
        timeout_ms: 1_000,
        objective_ms: 100,
        rank: 0,
        is_public: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(RoutingConfig {
        version: 1,
        routes,
        services: Vec::new(),
        limits: ClientLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        workspaces: Vec::new(),
    })
}

#[test]
fn the_longest_prefix_of_the_host_is_found() {
    let table = table(vec![
        route("short", "/a/", &[("x", 1)]),
        route("long", "/a/b/", &[("x", 1)]),
    ]);
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.as_str());
    assert_eq!(found("bench.example:80", "/a/b/c"), Some("long"));
    assert_eq!(found("bench.example", "/a/bc"), Some("short"));
    assert_eq!(found("bench.example", "/a"), None);
    assert_eq!(found("other.example", "/a/b/c"), None);
}

#[test]
fn requests_follow_the_weights_and_keep_their_target() {
    let route = route("split", "/", &[("x", 90), ("y", 10), ("z", 0)]);
    let mut counts = [0, 0, 0];
    for id in 0..10_000 {
        let id = id.to_string();
        let service = pick_service(&route, &id).expect("a target");
        assert_eq!(pick_service(&route, &id), Some(service));
        counts["xyz".find(service.as_str()).expect("a target")] += 1;
    }
    assert!((800..1_200).contains(&counts[1]), "{counts:?}");
    assert_eq!(counts[2], 0);
}
