//! Tests of assembled responses and of the last event of broken streams.

use monsoonspread_model::{Refusal, RefusalReason};
use serde_json::json;

use super::{Assembler, error_event};

#[test]
fn chat_response_is_assembled() {
    let mut assembler = Assembler::new(true);
    assembler.push(&json!({"id": "1", "model": "a@1", "choices": [
        {"index": 0, "delta": {"role": "assistant", "content": "Set "}}]}));
    assembler.push(&json!({"id": "1", "choices": [
        {"index": 0, "delta": {"content": "it."}, "finish_reason": "stop"}]}));
    assembler.push(&json!({"choices": [], "usage": {"completion_tokens": 2}}));
    let response = assembler.finish();
    assert_eq!(response["object"], "chat.completion");
    assert_eq!(response["choices"][0]["message"]["content"], "Set it.");
    assert_eq!(response["choices"][0]["finish_reason"], "stop");
    assert_eq!(response["usage"]["completion_tokens"], 2);
}

#[test]
fn broken_stream_ends_in_an_error_event() {
    let refusal = Refusal::may_have_run(RefusalReason::UpstreamFailed, "closed");
    let event = String::from_utf8(error_event(&refusal).to_vec()).unwrap();
    assert!(event.starts_with("event: error\ndata: {"));
    assert!(event.contains("\"not_run\":false"));
    assert!(!event.contains("[DONE]"));
}
