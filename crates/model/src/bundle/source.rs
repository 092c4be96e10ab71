//! The TOML source files of bundles: parsing with validation, and writing.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{AdapterEntry, Bundle, BundleVersion, CallEntry, CallerEntry, ServiceEntry};
use crate::toml_check::{Document, Findings, TableReader};
use crate::{AdapterName, BaseModelName, CallerName, ServiceName};

/// Maximum priority of an adapter or a caller.
pub const MAX_PRIORITY: u64 = 9;
/// Upper limit of a caller's `max_in_flight`.
const MAX_IN_FLIGHT: u64 = 100_000;
/// Upper limit of a call's `timeout_ms`.
const MAX_CALL_TIMEOUT_MS: u64 = 60_000;
/// Length of a SHA-256 digest in hexadecimal digits.
const DIGEST_DIGITS: usize = 64;
/// Maximum length of a name in a bundle, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Parses and validates a bundle file; `file` is its name in findings.
///
/// # Errors
///
/// Returns all findings, each with file, line and key.
///
/// ```
/// # use monsoonspread_model::bundle::read_source;
/// let findings = read_source("b.toml", "version = 0").unwrap_err();
/// assert!(findings.to_string().contains("b.toml:1: version: must be from 1 to"));
/// ```
pub fn read_source(file: &str, text: &str) -> Result<Bundle, Findings> {
    let document = Document::parse(file, text)?;
    let bundle = read_bundle(&document.root());
    document.finish(bundle)
}

/// Formats a bundle as TOML that [`read_source`] accepts.
///
/// ```
/// # use monsoonspread_model::{bundle, Bundle, BundleVersion};
/// let bundle = Bundle { version: BundleVersion(3), ..Bundle::default() };
/// let text = bundle::write_source(&bundle);
/// assert_eq!(bundle::read_source("b.toml", &text), Ok(bundle));
/// ```
pub fn write_source(bundle: &Bundle) -> String {
    toml::to_string(bundle).expect("a bundle has no value that TOML lacks")
}

fn read_bundle(root: &TableReader<'_>) -> Option<Bundle> {
    let version = root.integer("version", 1..=i64::MAX as u64);
    let base_models = read_base_models(root);
    let callers = root.entries("callers");
    let groups = groups_of_callers(&callers);
    let adapters = root.entries("adapters");
    let adapters = adapters
        .iter()
        .map(|(name, entry)| read_adapter(name, entry, &base_models, &groups))
        .collect::<Vec<_>>();
    let services = root.entries("services");
    let services = services
        .iter()
        .map(|(name, entry)| read_service(name, entry, &groups))
        .collect::<Vec<_>>();
    let callers = read_callers(&callers);
    Some(Bundle {
        version: BundleVersion(version?),
        base_models: base_models.into_iter().collect(),
        adapters: adapters.into_iter().collect::<Option<_>>()?,
        callers: callers.into_iter().collect::<Option<_>>()?,
        services: services.into_iter().collect::<Option<_>>()?,
    })
}

fn read_base_models(root: &TableReader<'_>) -> BTreeSet<BaseModelName> {
    let names = root.strings("base_models");
    let distinct: BTreeSet<BaseModelName> = names.iter().map(|name| name.as_str().into()).collect();
    if distinct.len() < names.len() {
        root.finding("base_models", "names a base model twice");
    }
    distinct
}

fn groups_of_callers(callers: &[(String, TableReader<'_>)]) -> BTreeSet<Arc<str>> {
    callers
        .iter()
        .flat_map(|(_, entry)| entry.strings("groups"))
        .map(Arc::from)
        .collect()
}

fn read_adapter(
    name: &str,
    entry: &TableReader<'_>,
    base_models: &BTreeSet<BaseModelName>,
    groups: &BTreeSet<Arc<str>>,
) -> Option<(AdapterName, AdapterEntry)> {
    check_name(name, entry);
    let base_model = entry.string("base_model").map(BaseModelName::from);
    if let Some(base_model) = &base_model
        && !base_models.contains(base_model)
    {
        entry.finding(
            "base_model",
            &format!("base model \"{base_model}\" is not in base_models"),
        );
    }
    let versions = entry.integers("versions", 1..=u64::from(u32::MAX));
    check_versions(entry, &versions);
    let default_version = entry.integer("default_version", 1..=u64::from(u32::MAX));
    if let Some(default) = default_version
        && !versions.contains(&default)
    {
        entry.finding(
            "default_version",
            &format!("version {default} is not in versions"),
        );
    }
    let group = read_group(entry, groups);
    let priority = entry.integer_or("priority", 0..=MAX_PRIORITY, 0);
    let adapter = AdapterEntry {
        base_model: base_model?,
        versions: versions.into_iter().map(|version| version as u32).collect(),
        default_version: default_version? as u32,
        group: group?,
        priority: priority as u8,
    };
    Some((AdapterName::from(name), adapter))
}

fn check_versions(entry: &TableReader<'_>, versions: &[u64]) {
    if versions.is_empty() {
        entry.finding("versions", "must name at least one version");
    }
    let distinct: BTreeSet<&u64> = versions.iter().collect();
    if distinct.len() < versions.len() {
        entry.finding("versions", "names a version twice");
    }
}

fn check_name(name: &str, entry: &TableReader<'_>) {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
        entry.finding(
            "",
            &format!("\"{name}\" must be 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"),
        );
    }
}

fn read_group(entry: &TableReader<'_>, groups: &BTreeSet<Arc<str>>) -> Option<Arc<str>> {
    let group = entry.string("group")?;
    let known = groups.get(group.as_str()).cloned();
    if known.is_none() {
        entry.finding("group", &format!("no caller is in group \"{group}\""));
    }
    known
}

fn read_callers(callers: &[(String, TableReader<'_>)]) -> Vec<Option<(CallerName, CallerEntry)>> {
    let mut digests = BTreeSet::new();
    let mut read = Vec::new();
    for (name, entry) in callers {
        let caller = read_caller(name, entry);
        if let Some((_, caller)) = &caller
            && !digests.insert(caller.key_sha256.clone())
        {
            entry.finding("key_sha256", "is also the key of another caller");
        }
        read.push(caller);
    }
    read
}

fn read_caller(name: &str, entry: &TableReader<'_>) -> Option<(CallerName, CallerEntry)> {
    check_name(name, entry);
    let key_sha256 = entry.string("key_sha256");
    if let Some(digest) = &key_sha256
        && !is_digest(digest)
    {
        entry.finding(
            "key_sha256",
            "must be a SHA-256 digest in 64 lower-case hexadecimal digits",
        );
    }
    let groups = entry.strings("groups").into_iter().map(Arc::from).collect();
    let priority = entry.integer_or("priority", 0..=MAX_PRIORITY, 0);
    let max_in_flight = entry.integer("max_in_flight", 1..=MAX_IN_FLIGHT);
    let caller = CallerEntry {
        key_sha256: key_sha256?,
        groups,
        priority: priority as u8,
        max_in_flight: max_in_flight? as u32,
    };
    Some((CallerName::from(name), caller))
}

fn is_digest(text: &str) -> bool {
    let lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGEST_DIGITS && text.bytes().all(lower_hex)
}

fn read_service(
    name: &str,
    entry: &TableReader<'_>,
    groups: &BTreeSet<Arc<str>>,
) -> Option<(ServiceName, ServiceEntry)> {
    check_name(name, entry);
    let group = read_group(entry, groups);
    let calls = entry.entries("calls");
    if calls.is_empty() {
        entry.finding("calls", "must name at least one call");
    }
    let calls: Vec<_> = calls
        .iter()
        .map(|(name, call)| read_call(name, call))
        .collect();
    let service = ServiceEntry {
        group: group?,
        calls: calls.into_iter().collect::<Option<_>>()?,
    };
    Some((ServiceName::from(name), service))
}

fn read_call(name: &str, entry: &TableReader<'_>) -> Option<(Arc<str>, CallEntry)> {
    check_name(name, entry);
    if !entry.has("repeatable") {
        entry.finding("repeatable", "is missing");
    }
    let call = CallEntry {
        repeatable: entry.boolean_or("repeatable", false),
        timeout_ms: entry.integer("timeout_ms", 1..=MAX_CALL_TIMEOUT_MS)?,
    };
    Some((Arc::from(name), call))
}
