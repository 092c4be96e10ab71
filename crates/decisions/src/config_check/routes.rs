//! Check of routes.

use std::collections::BTreeMap;

use monsoonspread_model::fleet::{RepeatRule, Route, RoutingConfig};

use super::{Finding, Place, check_names};

pub(super) fn check(config: &RoutingConfig, findings: &mut Vec<Finding>) {
    let names = config.routes.iter().map(|route| route.name.as_str());
    check_names(names, |name| Place::Route(name.to_owned()), findings);
    let mut first: BTreeMap<(String, &str), &str> = BTreeMap::new();
    for route in &config.routes {
        check_route(config, route, findings);
        let key = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
        if let Some(other) = first.get(&key) {
            let problem = format!(
                "never matches: route \"{other}\" has the same host and path prefix and comes first"
            );
            findings.push(Finding::error(place(route), problem));
        }
        first.entry(key).or_insert(&route.name);
    }
}

fn check_route(config: &RoutingConfig, route: &Route, findings: &mut Vec<Finding>) {
    let mut error = |problem: String| findings.push(Finding::error(place(route), problem));
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        error(format!(
            "path prefix \"{prefix}\" doesn't begin and end with a slash"
        ));
    }
    if route.timeout_ms == 0 {
        error("its timeout is 0, so every request is rejected".to_owned());
    }
    if route.targets.is_empty() {
        error("it has no service to send requests to".to_owned());
    }
    for target in &route.targets {
        if config.service(&target.service).is_none() {
            error(format!("service \"{}\" is not defined", target.service));
        }
    }
    check_contradictions(route, findings);
}

fn check_contradictions(route: &Route, findings: &mut Vec<Finding>) {
    let mut warning = |problem: String| findings.push(Finding::warning(place(route), problem));
    if route.objective_ms > route.timeout_ms {
        warning(format!(
            "its target latency of {} ms is beyond its timeout of {} ms",
            route.objective_ms, route.timeout_ms
        ));
    }
    if route.max_attempts > 1 && !route.repeat.may_run_again() {
        let why = match route.repeat {
            RepeatRule::Stream { .. } => "a stream that can't be resumed",
            RepeatRule::Once | RepeatRule::Repeatable => "a request that may not be repeated",
        };
        warning(format!(
            "{} attempts have no effect: {why} is sent once",
            route.max_attempts
        ));
    }
    for target in route.targets.iter().filter(|target| target.weight == 0) {
        warning(format!(
            "service \"{}\" has weight 0 and gets no requests",
            target.service
        ));
    }
}

fn place(route: &Route) -> Place {
    Place::Route(route.name.clone())
}
