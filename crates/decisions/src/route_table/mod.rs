//! Lookup of a request's route and of its target service.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;

use monsoonspread_model::ServiceName;
use monsoonspread_model::fleet::{CallerKey, Route, RoutingConfig, Workspace};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

/// The routes of one configuration version, indexed by host and sorted by prefix length.
#[derive(Debug)]
pub struct RouteTable {
    config: RoutingConfig,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// Index of the workspace of each key, by the key's digest: the time of a lookup tells nothing of the keys.
    by_key: HashMap<[u8; 32], usize>,
}

impl RouteTable {
    /// Indexes the routes of `config`.
    pub fn new(config: RoutingConfig) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &config.routes {
            let host = route.host.to_ascii_lowercase();
            by_host
                .entry(host)
                .or_default()
                .push(Arc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, workspace) in config.workspaces.iter().enumerate() {
            for key in workspace
                .keys
                .iter()
                .filter(|key| !key.as_bytes().is_empty())
            {
                // A key in two workspaces belongs to the first.
                by_key.entry(digest(key)).or_insert(index);
            }
        }
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// Returns the workspace that holds `key`; `None` if no workspace does. An empty key is held by none.
    pub fn workspace_of(&self, key: &CallerKey) -> Option<&Workspace> {
        let index = self.by_key.get(&digest(key))?;
        self.config.workspaces.get(*index)
    }

    /// Returns the configuration that the table was built from.
    pub fn config(&self) -> &RoutingConfig {
        &self.config
    }

    /// The route of `host` with the longest prefix of `path`; `None` if no route matches.
    ///
    /// The case of `host` and a port in it are ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.by_host.get(&name.to_ascii_lowercase())?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }
}

fn digest(key: &CallerKey) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// Picks a target service of `route` by weight; `None` if the route has no targets.
///
/// The same request id always gets the same service.
pub fn pick_service<'a>(route: &'a Route, request_id: &str) -> Option<&'a ServiceName> {
    let total: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    if total == 0 {
        return route.targets.first().map(|target| &target.service);
    }
    let mut left = xxh3_64(request_id.as_bytes()) % total;
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if left < weight {
            return Some(&target.service);
        }
        left -= weight;
    }
    None
}
