//! Reading of settings files.

use std::path::PathBuf;

use monsoonspread_relay::RelaySettings;

const SETTINGS: &str = r#"
instance = "front-a-1"
zone = "zone-a"
store = "10.200.1.7:8142"

[listen]
callers = "10.1.0.38:8149"
readiness = "10.1.0.38:8141"
peers = "10.1.0.38:7380"

[bounds]
order_gap_ms = 2500
"#;

fn read(name: &str, text: &str) -> Result<RelaySettings, String> {
    let file = format!("monsoonspread-settings-{}-{name}.toml", std::process::id());
    let path: PathBuf = std::env::temp_dir().join(file);
    std::fs::write(&path, text).expect("the temporary file is writable");
    let settings = RelaySettings::read(&path).map_err(|error| error.to_string());
    std::fs::remove_file(&path).expect("the temporary file can be removed");
    settings
}

#[test]
fn omitted_settings_have_defaults() {
    let settings = read("whole", SETTINGS).expect("valid settings");
    assert_eq!(settings.bounds.order_gap_ms, 2_500);
    assert_eq!(settings.bounds.version_ms, 5_000);
    assert!(!settings.bootstrap);
    assert_eq!(settings.listen.metrics, None);
}

#[test]
fn errors_name_file_line_and_key() {
    let error =
        read("typo", &SETTINGS.replace("order_gap_ms", "order_gap")).expect_err("unknown key");
    assert!(
        error.contains("line 12") && error.contains("order_gap"),
        "{error}"
    );
    let error = read("type", &SETTINGS.replace("2500", "\"soon\"")).expect_err("wrong type");
    assert!(
        error.contains("line 12") && error.contains("order_gap_ms = \"soon\""),
        "{error}"
    );
    let absent = RelaySettings::read("nowhere.toml".as_ref()).expect_err("missing file");
    assert!(absent.to_string().contains("nowhere.toml"));
}
