use super::Workload;

const NALVERK: &str = include_str!("../../../../workloads/nalverk.toml");
const ATCERE: &str = include_str!("../../../../workloads/atcere.toml");

#[test]
fn shipped_workloads_are_valid() {
    for (file, text) in [("nalverk.toml", NALVERK), ("atcere.toml", ATCERE)] {
        let workload = Workload::parse(file, text).unwrap_or_else(|list| panic!("{list}"));
        assert_eq!(workload.adapters.count, 3_000);
        assert_eq!(workload.engines.count, 18);
    }
}

#[test]
fn every_fault_is_reported_with_its_place() {
    let text = NALVERK
        .replace("base_per_s = ", "base_per_s = -")
        .replace("load_ms", "load_s")
        .replace("name = \"nalverk\"", "name = 3");
    let findings = Workload::parse("n.toml", &text).unwrap_err();
    let messages = findings.to_string();
    let has = |part: &str| messages.contains(part);
    assert!(has("n.toml:2: name: must be a string"), "{messages}");
    assert!(
        has("arrivals.base_per_s: must be from 0.1 to 10000"),
        "{messages}"
    );
    assert!(has("weights.load_s: is not a known key"), "{messages}");
    assert!(has("weights.load_ms: is missing"), "{messages}");
}

#[test]
fn shares_must_add_up() {
    let text = NALVERK.replacen("\nshare = 0.6", "\nshare = 0.5", 1);
    let findings = Workload::parse("n.toml", &text).unwrap_err();
    assert!(findings.to_string().contains("not 1"), "{findings}");
}
