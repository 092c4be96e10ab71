//! Tests of parsing callers' requests.

use monsoonspread_model::{RefusalReason, RequestClass};
use quickcheck::{Arbitrary, Gen};

use super::{Api, GenerateCall, Route};

#[test]
fn refusal_names_the_invalid_field() {
    let cases = [
        ("not json", "the body is not JSON"),
        ("[]", "not a JSON object"),
        ("{}", "\"model\" is missing"),
        (r#"{"model":"a@0","prompt":"x"}"#, "version \"0\""),
        (r#"{"model":"a"}"#, "\"prompt\" is missing"),
        (r#"{"model":"a","prompt":"x","stream":1}"#, "\"stream\""),
        (
            r#"{"model":"a","prompt":"x","max_tokens":-1}"#,
            "\"max_tokens\"",
        ),
    ];
    for (body, expected) in cases {
        let refusal = GenerateCall::parse(Api::Completions, body.as_bytes()).unwrap_err();
        assert_eq!(refusal.reason, RefusalReason::BadRequest);
        assert!(
            refusal.not_run && refusal.message.contains(expected),
            "{refusal}"
        );
    }
}

#[test]
fn request_class_is_derived_from_max_tokens() {
    let body = br#"{"model":"a@2","prompt":"x","max_tokens":16,"stream":true}"#;
    let call = GenerateCall::parse(Api::Completions, body).unwrap();
    assert_eq!(call.class(), RequestClass::Short);
    assert!(call.stream && call.is_resumable());
}

#[test]
fn resumed_body_continues_after_the_text() {
    let body = br#"{"model":"a","messages":[{"role":"user","content":"hi"}],"max_tokens":9}"#;
    let call = GenerateCall::parse(Api::Chat, body).unwrap();
    let resumed = call.resumed_body("Good ", 4);
    assert_eq!(resumed["max_tokens"], 5);
    assert_eq!(resumed["messages"][1]["content"], "Good ");
    assert_eq!(resumed["continue_final_message"], true);
}

#[test]
fn arbitrary_bytes_parse_or_are_refused() {
    for seed in 0..500 {
        let mut random = Gen::from_size_and_seed(80, seed);
        let bytes = Vec::<u8>::arbitrary(&mut random);
        let text = String::arbitrary(&mut random);
        let body = serde_json::json!({ "model": text, "messages": [text], "stream": true });
        let _ = GenerateCall::parse(Api::Chat, &bytes);
        let _ = GenerateCall::parse(Api::Chat, body.to_string().as_bytes());
        let _ = Route::of(&text);
    }
}
