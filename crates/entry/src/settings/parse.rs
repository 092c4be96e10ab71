//! Settings from TOML.

use monsoonspread_model::ZoneName;
use toml::de::DeTable;

use super::table_reader::{FindingSink, TableReader, address, count, list, number, text};
use super::{
    Findings, Limits, Listeners, LoadBudget, MeshKey, MeshSettings, PlatformSettings, Settings,
};

/// Digits of an Ed25519 public key.
const VERIFY_KEY_DIGITS: usize = 64;

/// Reads and checks settings; `file` is named in findings.
///
/// # Errors
///
/// Reports everything that is wrong together, each with file, line and key.
///
/// ```
/// # use monsoonspread_entry::settings;
/// let findings = settings::parse("entry.toml", "instance = 7\n").unwrap_err();
/// let first = &findings.0[0];
/// assert_eq!((first.line, first.key.as_str()), (1, "instance"));
/// ```
pub fn parse(file: &str, toml: &str) -> Result<Settings, Findings> {
    let sink = FindingSink::new(file, toml);
    let (document, errors) = DeTable::parse_recoverable(toml);
    for error in &errors {
        let span = error.span().unwrap_or_default();
        sink.add(span, "", error.message().to_owned());
    }
    let settings = read(TableReader::root(&sink, document.get_ref()));
    let findings = sink.into_findings();
    if findings.is_empty() {
        return Ok(settings);
    }
    Err(Findings(findings))
}

fn read(root: TableReader<'_>) -> Settings {
    let instance = root.required("instance", String::new(), text);
    let zone = root.required("zone", String::new(), text);
    let zones = root.required("region_zones", Vec::new(), list(text));
    if !zone.is_empty() && !zones.is_empty() && !zones.contains(&zone) {
        root.finding("region_zones", &format!("must name zone \"{zone}\""));
    }
    let settings = Settings {
        instance: instance.into(),
        zone: zone.into(),
        region_zones: zones.into_iter().map(ZoneName::from).collect(),
        listeners: listeners(root.table("listeners")),
        mesh: mesh(root.table("mesh")),
        platform: platform(root.table("platform")),
        bundle_verify_keys: verify_keys(root.table("bundle")),
        limits: limits(root.table("limits")),
        load_budget: load_budget(root.table("weight_store")),
        statsd: statsd(root.table("metrics")),
    };
    root.close();
    settings
}

fn listeners(table: TableReader<'_>) -> Listeners {
    let absent = Listeners::default();
    let listeners = Listeners {
        callers: table.required("callers", absent.callers, address),
        operators: table.required("operators", absent.operators, address),
        mesh: table.required("mesh", absent.mesh, address),
    };
    table.close();
    listeners
}

fn mesh(table: TableReader<'_>) -> MeshSettings {
    let key_file = table.optional("key_file", text);
    let key_env = table.optional("key_env", text);
    let key = match (key_file, key_env) {
        (Some(path), None) => std::fs::read(&path)
            .map_err(|error| table.finding("key_file", &format!("can't be read: {error}"))),
        (None, Some(name)) => std::env::var(&name)
            .map(String::into_bytes)
            .map_err(|_| table.finding("key_env", &format!("variable \"{name}\" is not set"))),
        _ => {
            table.finding("key_file", "one of key_file and key_env must be given");
            Err(())
        }
    };
    let key = key.unwrap_or_default();
    let key = key.trim_ascii();
    if !key.is_empty() && key.len() < MeshKey::MIN_BYTES {
        let message = format!("the key must have {} bytes or more", MeshKey::MIN_BYTES);
        table.finding("key_file", &message);
    }
    let settings = MeshSettings {
        key: MeshKey::new(key),
        peers: table.optional("peers", list(address)).unwrap_or_default(),
    };
    table.close();
    settings
}

fn platform(table: TableReader<'_>) -> PlatformSettings {
    let absent = PlatformSettings::default();
    let settings = PlatformSettings {
        store: table.required("store", Vec::new(), list(address)),
        instance_list: table.required("instance_list", None, |value| address(value).map(Some)),
        list_poll_ms: table
            .optional("list_poll_ms", count)
            .unwrap_or(absent.list_poll_ms),
    };
    table.close();
    settings
}

fn verify_keys(table: TableReader<'_>) -> Vec<String> {
    let keys = table.required("verify_keys", Vec::new(), list(text));
    let well_formed =
        |key: &String| key.len() == VERIFY_KEY_DIGITS && hex::decode(key.as_str()).is_ok();
    if !keys.iter().all(well_formed) {
        let message = "each key must be an Ed25519 public key of 64 hexadecimal digits";
        table.finding("verify_keys", message);
    }
    table.close();
    keys
}

fn limits(table: TableReader<'_>) -> Limits {
    let absent = Limits::default();
    let of = |key: &str, absent: u64| table.optional(key, count).unwrap_or(absent);
    let limits = Limits {
        body_bytes: of("body_bytes", absent.body_bytes as u64) as usize,
        header_timeout_ms: of("header_timeout_ms", absent.header_timeout_ms),
        body_timeout_ms: of("body_timeout_ms", absent.body_timeout_ms),
        connections: of("connections", absent.connections as u64) as usize,
        default_deadline_ms: of("default_deadline_ms", absent.default_deadline_ms),
        max_deadline_ms: of("max_deadline_ms", absent.max_deadline_ms),
    };
    if limits.default_deadline_ms > limits.max_deadline_ms {
        table.finding("default_deadline_ms", "must not be above max_deadline_ms");
    }
    table.close();
    limits
}

fn load_budget(table: TableReader<'_>) -> LoadBudget {
    let absent = LoadBudget::default();
    let budget = LoadBudget {
        loads_per_s: table
            .optional("loads_per_s", number)
            .unwrap_or(absent.loads_per_s),
        share: table.optional("share", number),
    };
    if budget.share.is_some_and(|share| share > 1.0) {
        table.finding("share", "must not be above 1");
    }
    table.close();
    budget
}

fn statsd(table: TableReader<'_>) -> Option<std::net::SocketAddr> {
    let statsd = table.optional("statsd", address);
    table.close();
    statsd
}
