use super::*;

#[test]
fn every_finding_is_reported_with_line_and_key() {
    let text = "zone = 3\n[limits]\nbody_bytes = 0\nextra = 1\n[[peers]]\naddress = \"here\"\n";
    let document = Document::parse("entry.toml", text).unwrap();
    let root = document.root();
    root.string("zone");
    root.string("instance");
    let limits = root.table("limits").unwrap();
    limits.integer("body_bytes", 1..=9);
    for peer in root.tables("peers") {
        peer.parsed::<std::net::SocketAddr>("address", "an IP address and port");
    }
    let findings = document.finish(Some(())).unwrap_err().to_string();
    let expected = "entry.toml:1: instance: is missing\n\
                    entry.toml:1: zone: must be a string\n\
                    entry.toml:3: limits.body_bytes: must be from 1 to 9\n\
                    entry.toml:4: limits.extra: is not a known key\n\
                    entry.toml:6: peers[0].address: \"here\" is not an IP address and port";
    assert_eq!(findings, expected);
}

#[test]
fn syntax_errors_report_their_line() {
    let findings = Document::parse("b.toml", "a = 1\nb = [\n").err().unwrap();
    assert!(findings.findings.iter().all(|finding| finding.line >= 2));
}

#[test]
fn a_missing_value_without_a_finding_is_an_error() {
    let document = Document::parse("c.toml", "").unwrap();
    assert!(document.finish(None::<()>).is_err());
}
