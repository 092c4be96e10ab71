//! Tests of `docs/OPERATIONS.md` against the code.

use std::path::Path;

use monsoonspread_entry::metrics::METRIC_NAMES;
use monsoonspread_entry::settings;

fn operations_page() -> String {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    std::fs::read_to_string(page).unwrap()
}

#[test]
fn operators_page_lists_every_metric() {
    let page = operations_page();
    for name in METRIC_NAMES {
        assert!(page.contains(&format!("`{name}`")), "{name} is missing");
    }
}

#[test]
fn settings_on_the_operators_page_are_valid_except_placeholders() {
    let page = operations_page();
    let start = page.find("```toml\n").unwrap() + "```toml\n".len();
    let length = page[start..].find("```").unwrap();
    let findings = settings::parse("entry.toml", &page[start..start + length]).unwrap_err();
    let keys: Vec<&str> = findings.findings.iter().map(|f| f.key.as_str()).collect();
    assert_eq!(keys, ["mesh.key_file", "bundle.verify_keys"]);
}
