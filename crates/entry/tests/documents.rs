//! The operators' page agrees with the code.

use std::path::Path;

use monsoonspread_entry::metrics::METRIC_NAMES;
use monsoonspread_entry::settings;

fn operations() -> String {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    std::fs::read_to_string(page).unwrap()
}

#[test]
fn every_metric_is_on_the_operators_page() {
    let page = operations();
    for name in METRIC_NAMES {
        assert!(page.contains(&format!("`{name}`")), "{name} is missing");
    }
}

#[test]
fn settings_on_the_operators_page_are_right_but_for_the_placeholders() {
    let page = operations();
    let start = page.find("```toml\n").unwrap() + "```toml\n".len();
    let length = page[start..].find("```").unwrap();
    let findings = settings::parse("entry.toml", &page[start..start + length]).unwrap_err();
    let keys: Vec<&str> = findings.findings.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(keys, ["mesh.key_file", "bundle.verify_keys"]);
}
