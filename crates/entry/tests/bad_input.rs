//! Tests of invalid requests and slow senders.

mod support;

use std::net::SocketAddr;

use monsoonspread_demo::{Client, Reply};
use serde_json::json;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn assert_refused(reply: &Reply, status: u16, error_type: &str) {
    assert_eq!(
        (reply.status, reply.error_type().as_str()),
        (status, error_type)
    );
    assert!(reply.says_not_run(), "{}", reply.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_as_not_run() {
    let region = region(shape(1, 1)).await;
    let address = region.callers_address("entry-1-1");
    let bench = bench();
    let cases = [
        ("{", 400, "bad_request"),
        ("[1]", 400, "bad_request"),
        (r#"{"model":"a@b","messages":[{}]}"#, 400, "bad_request"),
        (r#"{"model":"needle-0002"}"#, 400, "bad_request"),
        (r#"{"model":"nobody","messages":[{}]}"#, 404, "not_found"),
        (
            r#"{"model":"needle-0002@7","messages":[{}]}"#,
            404,
            "not_found",
        ),
        (
            r#"{"model":"verse-0001","messages":[{}]}"#,
            403,
            "forbidden",
        ),
    ];
    for (body, status, error_type) in cases {
        let reply = bench.send("POST", address, CHAT, &[], body).await.unwrap();
        assert_refused(&reply, status, error_type);
    }
    let large = "x".repeat(3 * 1024 * 1024);
    let reply = bench
        .send("POST", address, CHAT, &[], &large)
        .await
        .unwrap();
    assert_refused(&reply, 413, "body_too_large");
    let reply = bench.get(address, CHAT).await.unwrap();
    assert_refused(&reply, 405, "method_not_allowed");
    assert_eq!(reply.header("allow"), "POST");
    assert_refused(&bench.get(address, "/v9").await.unwrap(), 404, "not_found");
    let deadline = [("x-deadline-ms", "soon")];
    let reply = bench
        .send("POST", address, CHAT, &deadline, "{}")
        .await
        .unwrap();
    assert_refused(&reply, 400, "bad_request");
    let unknown_client = Client::new("nobody's key");
    let reply = unknown_client
        .post(address, CHAT, &json!({}))
        .await
        .unwrap();
    assert_refused(&reply, 401, "unauthenticated");
    let engine = region.engines["engine-1-1"].did().await;
    assert_eq!(engine.runs, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_are_disconnected() {
    let mut region = region(shape(1, 1)).await;
    let mut settings = region.settings("entry-slow", &"zone-1".into());
    // The header timeout is much longer than the body timeout, so that a busy machine does not hit
    // it before the body is overdue.
    settings.limits.header_timeout_ms = 3_000;
    settings.limits.body_timeout_ms = 100;
    let platform = monsoonspread_entry::Platform::connect(&settings);
    let entry = monsoonspread_entry::Entry::start(settings, platform)
        .await
        .unwrap();
    let address = entry.callers_address();
    region.entries.insert("entry-slow".to_owned(), entry);
    // The instance becomes ready shortly after it receives its first bundle.
    eventually("the instance is ready", async || {
        let ready = bench().get(address, "/readyz").await;
        ready.is_ok_and(|reply| reply.status == 200)
    })
    .await;
    let head = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\ncontent-length: 90\r\n\r\n{{",
        monsoonspread_model::bundle::SAMPLE_BENCH.key
    );
    let response = send_raw(address, &head).await;
    assert!(
        response.starts_with("HTTP/1.1 408") && response.contains("\"not_run\":true"),
        "{response}"
    );
    // The connection is closed if the headers are never completed.
    let response = send_raw(address, "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n").await;
    assert!(
        response.is_empty() || response.starts_with("HTTP/1.1 4"),
        "{response}"
    );
}

/// Sends `request` as raw bytes and reads until the server closes the connection.
async fn send_raw(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    response
}
