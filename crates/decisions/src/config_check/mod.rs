//! Check of a configuration before operators send it.
//!
//! [`check`] finds errors, entries that can never match and limits that contradict each other; [`differences`]
//! lists what changes from the version in force. No finding shows a key of a caller.

mod changes;
mod finding;
mod routes;
mod services;
#[cfg(test)]
mod tests;
mod workspaces;

pub use changes::differences;
pub use finding::{Finding, Place, Severity};

use monsoonspread_model::fleet::RoutingConfig;

/// Returns all findings on `config`, in the order of its entries.
///
/// ```
/// use monsoonspread_decisions::config_check::check;
/// use monsoonspread_model::fleet::{ClientLimits, RoutingConfig};
///
/// let limits = ClientLimits {
///     max_header_bytes: 16_384,
///     max_body_bytes: 1_000,
///     header_timeout_ms: 3_000,
///     idle_timeout_ms: 0,
/// };
/// let (routes, services, workspaces) = (Vec::new(), Vec::new(), Vec::new());
/// let config = RoutingConfig { version: 1, routes, services, limits, workspaces };
/// let findings = check(&config);
/// assert_eq!(
///     findings[0].to_string(),
///     "error: limits: the idle timeout is 0, so each connection closes after one request"
/// );
/// ```
pub fn check(config: &RoutingConfig) -> Vec<Finding> {
    let mut findings = Vec::new();
    routes::check(config, &mut findings);
    services::check(config, &mut findings);
    workspaces::check(config, &mut findings);
    check_limits(config, &mut findings);
    findings
}

fn check_limits(config: &RoutingConfig, findings: &mut Vec<Finding>) {
    let limits = &config.limits;
    let mut error = |problem: &str| findings.push(Finding::error(Place::Limits, problem));
    if limits.max_header_bytes == 0 {
        error("no header bytes are allowed, so every request is rejected");
    }
    if limits.header_timeout_ms == 0 {
        error("the header timeout is 0, so every request is rejected");
    }
    if limits.idle_timeout_ms == 0 {
        error("the idle timeout is 0, so each connection closes after one request");
    }
}

/// Adds an error for each name that occurs more than once.
fn check_names<'a>(
    names: impl Iterator<Item = &'a str>,
    place: impl Fn(&str) -> Place,
    findings: &mut Vec<Finding>,
) {
    let mut known = std::collections::BTreeSet::new();
    for name in names.filter(|name| !known.insert(name.to_owned())) {
        findings.push(Finding::error(
            place(name),
            "another entry has the same name",
        ));
    }
}
