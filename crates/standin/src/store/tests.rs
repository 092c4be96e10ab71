//! Semantics of the key-value service.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;

use super::data::Data;
use super::wire::{RangeRequest, TxnRequest};

fn base64(text: &str) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(text)
}

fn put(data: &mut Data, key: &str, value: &str, lease: i64) {
    let request = json!({ "success": [{ "request_put": {
        "key": base64(key), "value": base64(value), "lease": lease.to_string()
    }}]});
    data.txn(&serde_json::from_value(request).expect("a request"));
}

/// Whether a transaction with one comparison of key `a` succeeds.
fn holds(data: &mut Data, compare: &serde_json::Value) -> bool {
    let mut compare = compare.clone();
    compare["key"] = base64("a").into();
    let request = serde_json::from_value::<TxnRequest>(json!({ "compare": [compare] }));
    data.txn(&request.expect("a request")).succeeded
}

fn keys(data: &Data, key: &str, range_end: &str) -> Vec<String> {
    let request = json!({ "key": base64(key), "range_end": base64(range_end) });
    let request = serde_json::from_value::<RangeRequest>(request).expect("a request");
    let found = data.range(&request).kvs.into_iter();
    found
        .map(|kv| String::from_utf8(kv.key).expect("text"))
        .collect()
}

#[test]
fn comparisons_follow_creation_writes_and_values() {
    let mut data = Data::default();
    assert!(holds(
        &mut data,
        &json!({ "target": "MOD", "mod_revision": "0" })
    ));
    assert!(!holds(
        &mut data,
        &json!({ "target": "VALUE", "value": "" })
    ));
    put(&mut data, "b", "x", 0);
    put(&mut data, "a", "one", 0);
    put(&mut data, "a", "two", 0);
    let cases = [
        (json!({ "target": "CREATE", "create_revision": "2" }), true),
        (json!({ "target": "MOD", "mod_revision": 3 }), true),
        (
            json!({ "target": "MOD", "modRevision": "2", "result": "GREATER" }),
            true,
        ),
        (
            json!({ "target": "MOD", "mod_revision": "3", "result": "NOT_EQUAL" }),
            false,
        ),
        (
            json!({ "target": "VERSION", "version": "3", "result": "LESS" }),
            true,
        ),
        (json!({ "target": "VALUE", "value": base64("two") }), true),
        (json!({ "target": "VALUE", "value": base64("one") }), false),
    ];
    for (compare, expected) in cases {
        assert_eq!(holds(&mut data, &compare), expected, "{compare}");
    }
}

#[test]
fn a_transaction_has_one_revision_and_a_read_has_none() {
    let mut data = Data::default();
    let writes = json!({ "success": [
        { "request_put": { "key": base64("a"), "value": "" } },
        { "requestPut": { "key": base64("b"), "value": "" } },
    ]});
    let request = serde_json::from_value(writes).expect("a request");
    assert_eq!(data.txn(&request).header.revision, 1);
    assert!(!holds(
        &mut data,
        &json!({ "target": "MOD", "mod_revision": "7" })
    ));
    assert_eq!(data.header().revision, 1);
}

#[test]
fn ranges_end_before_their_end() {
    let mut data = Data::default();
    for key in ["a", "b", "c"] {
        put(&mut data, key, "", 0);
    }
    assert_eq!(keys(&data, "a", "c"), ["a", "b"]);
    assert_eq!(keys(&data, "b", "\0"), ["b", "c"]);
    assert_eq!(keys(&data, "b", ""), ["b"]);
    assert_eq!(keys(&data, "c", "a"), Vec::<String>::new());
}

#[test]
fn keys_end_with_their_lease_and_watchers_see_it() {
    let mut data = Data::default();
    let start = Instant::now();
    let lease = data.grant_lease(0, 10, start);
    put(&mut data, "a", "", lease);
    let kept = data.keep_lease(lease, start + Duration::from_secs(5));
    assert_eq!(kept, 10);
    data.end_leases(start + Duration::from_secs(14));
    assert_eq!(keys(&data, "a", ""), ["a"]);
    data.end_leases(start + Duration::from_secs(15));
    assert_eq!(keys(&data, "a", ""), Vec::<String>::new());
    assert_eq!(data.keep_lease(lease, start), 0);
    let (events, revision) = data.events_from(2, b"a", b"");
    assert_eq!(revision, 2);
    assert_eq!(events[0].kind, Some("DELETE"));
}
