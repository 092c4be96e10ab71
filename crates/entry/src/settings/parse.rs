//! Parses and validates settings in TOML.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use monsoonspread_model::ZoneName;
use monsoonspread_model::bundle::Verifier;
use monsoonspread_model::toml_check::{Document, Findings, TableReader};

use super::{Limits, Listeners, LoadBudget, MeshKey, MeshSettings, PlatformSettings, Settings};

/// Expected form of an address, for findings.
const ADDRESS: &str = "an IP address with a port, such as \"10.0.0.7:8080\"";
/// Valid range of body sizes.
const BODY_BYTES: RangeInclusive<u64> = 1..=64 * 1024 * 1024;
/// Valid range of durations.
const DURATION_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Valid range of connection limits.
const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
/// Valid range of load rates.
const LOADS_PER_S: RangeInclusive<f64> = 0.001..=1_000_000.0;
/// Valid range of an instance's share of the load rate.
const SHARE: RangeInclusive<f64> = 0.0..=1.0;

/// Parses and validates settings; findings name `file`.
///
/// # Errors
///
/// Returns all findings together, each with file, line and key.
///
/// ```
/// # use monsoonspread_entry::settings;
/// let findings = settings::parse("entry.toml", "instance = 7\n").unwrap_err();
/// assert!(findings.to_string().contains("entry.toml:1: instance: must be a string"));
/// ```
pub fn parse(file: &str, toml: &str) -> Result<Settings, Findings> {
    let document = Document::parse(file, toml)?;
    let settings = read(&document.root());
    document.finish(settings)
}

fn read(root: &TableReader<'_>) -> Option<Settings> {
    let instance = name(root, "instance");
    let zone = name(root, "zone");
    let zones = region_zones(root, zone.as_deref());
    let listeners = required_table(root, "listeners").and_then(|table| listeners(&table));
    let mesh = required_table(root, "mesh").and_then(|table| mesh(&table));
    let platform = required_table(root, "platform").and_then(|table| platform(&table));
    let verifier = required_table(root, "bundle").and_then(|table| verifier(&table));
    let limits = root.table("limits").map(|table| limits(&table));
    let load_budget = root.table("weight_store").map(|table| load_budget(&table));
    let statsd = root
        .table("metrics")
        .and_then(|table| table.optional_parsed("statsd", ADDRESS));
    Some(Settings {
        instance: instance?.into(),
        zone: zone?.into(),
        region_zones: zones,
        listeners: listeners?,
        mesh: mesh?,
        platform: platform?,
        verifier: verifier?,
        limits: limits.unwrap_or_default(),
        load_budget: load_budget.unwrap_or_default(),
        statsd,
    })
}

fn required_table<'d>(root: &TableReader<'d>, key: &str) -> Option<TableReader<'d>> {
    if !root.has(key) {
        root.finding(key, "is missing");
    }
    root.table(key)
}

fn name(root: &TableReader<'_>, key: &str) -> Option<String> {
    let name = root.string(key)?;
    if name.is_empty() {
        root.finding(key, "must not be empty");
    }
    Some(name)
}

fn region_zones(root: &TableReader<'_>, local_zone: Option<&str>) -> Vec<ZoneName> {
    let zones = root.strings("region_zones");
    if let Some(local_zone) = local_zone.filter(|local| !zones.iter().any(|zone| zone == local)) {
        root.finding("region_zones", &format!("must name zone \"{local_zone}\""));
    }
    zones.into_iter().map(ZoneName::from).collect()
}

fn listeners(table: &TableReader<'_>) -> Option<Listeners> {
    let callers = table.parsed("callers", ADDRESS);
    let operators = table.parsed("operators", ADDRESS);
    let mesh = table.parsed::<SocketAddr>("mesh", ADDRESS);
    if mesh.is_some_and(|mesh| mesh.ip().is_unspecified()) {
        table.finding(
            "mesh",
            "must be the address that other instances connect to",
        );
    }
    Some(Listeners {
        callers: callers?,
        operators: operators?,
        mesh: mesh?,
    })
}

fn mesh(table: &TableReader<'_>) -> Option<MeshSettings> {
    let peers = table.parsed_list::<SocketAddr>("peers", ADDRESS);
    Some(MeshSettings {
        key: mesh_key(table)?,
        peers,
    })
}

fn mesh_key(table: &TableReader<'_>) -> Option<MeshKey> {
    let file = table.optional_string("key_file");
    let variable = table.optional_string("key_env");
    let (key, bytes) = match (file, variable) {
        (Some(path), None) => ("key_file", key_from_file(table, &path)?),
        (None, Some(name)) => ("key_env", key_from_environment(table, &name)?),
        _ => {
            table.finding("key_file", "one of key_file and key_env must be given");
            return None;
        }
    };
    let bytes = bytes.trim_ascii();
    if bytes.len() < MeshKey::MIN_BYTES {
        let message = format!("the key must have {} bytes or more", MeshKey::MIN_BYTES);
        table.finding(key, &message);
    }
    Some(MeshKey::new(bytes))
}

fn key_from_file(table: &TableReader<'_>, path: &str) -> Option<Vec<u8>> {
    std::fs::read(path)
        .map_err(|error| table.finding("key_file", &format!("\"{path}\" can't be read: {error}")))
        .ok()
}

fn key_from_environment(table: &TableReader<'_>, name: &str) -> Option<Vec<u8>> {
    std::env::var(name)
        .map(String::into_bytes)
        .map_err(|_| table.finding("key_env", &format!("variable \"{name}\" is not set")))
        .ok()
}

fn platform(table: &TableReader<'_>) -> Option<PlatformSettings> {
    if !table.has("store") {
        table.finding("store", "is missing");
    }
    let store = table.parsed_list("store", ADDRESS);
    let instance_list = table.parsed("instance_list", ADDRESS);
    let defaults = PlatformSettings::default().list_poll_ms;
    Some(PlatformSettings {
        store,
        list_poll_ms: table.integer_or("list_poll_ms", DURATION_MS, defaults),
        instance_list: Some(instance_list?),
    })
}

fn verifier(table: &TableReader<'_>) -> Option<Verifier> {
    let keys = table.strings("verify_keys");
    if keys.is_empty() {
        table.finding("verify_keys", "must name one key or more");
    }
    Verifier::from_hex(&keys)
        .map_err(|error| table.finding("verify_keys", &error.to_string()))
        .ok()
}

fn limits(table: &TableReader<'_>) -> Limits {
    let defaults = Limits::default();
    let limits = Limits {
        body_bytes: table.integer_or("body_bytes", BODY_BYTES, defaults.body_bytes as u64) as usize,
        header_timeout_ms: table.integer_or(
            "header_timeout_ms",
            DURATION_MS,
            defaults.header_timeout_ms,
        ),
        body_timeout_ms: table.integer_or("body_timeout_ms", DURATION_MS, defaults.body_timeout_ms),
        connections: table.integer_or("connections", CONNECTIONS, defaults.connections as u64)
            as usize,
        default_deadline_ms: table.integer_or(
            "default_deadline_ms",
            DURATION_MS,
            defaults.default_deadline_ms,
        ),
        max_deadline_ms: table.integer_or("max_deadline_ms", DURATION_MS, defaults.max_deadline_ms),
    };
    if limits.default_deadline_ms > limits.max_deadline_ms {
        table.finding("default_deadline_ms", "must not be above max_deadline_ms");
    }
    limits
}

fn load_budget(table: &TableReader<'_>) -> LoadBudget {
    let defaults = LoadBudget::default();
    LoadBudget {
        loads_per_s: table.float_or("loads_per_s", LOADS_PER_S, defaults.loads_per_s),
        share: table.optional_float("share", SHARE),
    }
}
