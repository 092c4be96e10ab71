//! Tests of parsing and validating settings.

use quickcheck::{Arbitrary, Gen};

use super::parse;

const VALID: &str = r#"
instance = "entry-1"
zone = "vestland-1"
region_zones = ["vestland-1", "vestland-2"]

[listeners]
callers = "127.0.0.1:8080"
operators = "127.0.0.1:8081"
mesh = "127.0.0.1:8082"

[mesh]
key_env = "PATH"
peers = ["127.0.0.1:9000"]

[platform]
store = ["127.0.0.1:2379"]
instance_list = "127.0.0.1:7000"

[bundle]
verify_keys = ["d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a"]
"#;

#[test]
fn valid_settings_are_parsed() {
    let settings = parse("entry.toml", VALID).unwrap();
    assert_eq!(settings.instance.as_str(), "entry-1");
    assert_eq!(settings.mesh.peers.len(), 1);
    assert_eq!(settings.limits.connections, 4096);
}

#[test]
fn all_findings_are_reported_together_with_line_and_key() {
    let text = VALID
        .replace("\"127.0.0.1:8081\"", "\"localhost\"")
        .replace("store = [", "stores = [")
        + "\n[limits]\nbody_bytes = 0\n";
    let findings = parse("entry.toml", &text).unwrap_err().to_string();
    assert!(findings.contains("entry.toml:8: listeners.operators: \"localhost\" is not an IP"));
    assert!(findings.contains("entry.toml:15: platform.store: is missing"));
    assert!(findings.contains("entry.toml:16: platform.stores: is not a known key"));
    assert!(findings.contains("entry.toml:23: limits.body_bytes: must be"));
    assert_eq!(findings.lines().count(), 4, "{findings}");
}

#[test]
fn mesh_listener_must_be_reachable_by_others() {
    let text = VALID.replace("127.0.0.1:8082", "0.0.0.0:8082");
    let findings = parse("entry.toml", &text).unwrap_err().to_string();
    assert!(findings.contains("entry.toml:9: listeners.mesh: must be the address"));
}

#[test]
fn arbitrary_text_yields_settings_or_findings() {
    for seed in 0..500 {
        let mut random = Gen::from_size_and_seed(60, seed);
        let noise = String::arbitrary(&mut random);
        let split = usize::arbitrary(&mut random) % VALID.len();
        let text = format!("{}{noise}{}", &VALID[..split], &VALID[split..]);
        if let Err(findings) = parse("entry.toml", &text) {
            assert!(!findings.findings.is_empty());
        }
    }
}
