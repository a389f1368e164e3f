//! Behaviour of the stand-ins on which the router's tests rely.

use std::time::Duration;

use bamboospur_standin::{Engine, EngineSettings, RecordsService, RecordsSettings};
use serde_json::{Value, json};

fn fast_engine() -> Engine {
    Engine::start(EngineSettings {
        first_token: Duration::ZERO,
        token_interval: Duration::ZERO,
        ..EngineSettings::default()
    })
    .expect("the engine starts")
}

fn post(url: &str, headers: &[(&str, &str)], body: &Value) -> (u16, String) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut request = agent.post(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = request.send(body.to_string()).expect("the call completes");
    let text = response
        .body_mut()
        .read_to_string()
        .expect("the body is read");
    (response.status().as_u16(), text)
}

fn chat(stream: bool) -> Value {
    json!({
        "model": "demo-chat",
        "messages": [{"role": "user", "content": "describe the scene"}],
        "stream": stream,
        "max_tokens": 5,
    })
}

#[test]
fn stream_has_numbered_events_and_an_end_event() {
    let engine = fast_engine();
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let (status, text) = post(&url, &[("x-request-id", "r1")], &chat(true));
    assert_eq!(status, 200);
    assert!(text.starts_with("id: 1\n"), "{text}");
    assert!(text.contains("id: 6\n"), "{text}");
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
}

#[test]
fn second_turn_finds_its_prefix_cached() {
    let engine = fast_engine();
    let url = format!("http://{}/v1/chat/completions", engine.address());
    post(&url, &[], &chat(false));
    assert_eq!(engine.stats().cached_tokens, 0);
    post(&url, &[], &chat(false));
    assert!(engine.stats().cached_tokens > 0);
}

#[test]
fn old_fencing_token_is_refused() {
    let engine = fast_engine();
    let url = format!("http://{}/orders", engine.address());
    let order = |id: &str, fencing: u64| {
        json!({
            "order_id": id, "fencing": fencing, "deadline_unix_ms": u64::MAX,
            "action": "load", "offer": "other@2",
        })
    };
    assert_eq!(post(&url, &[], &order("a", 7)).0, 200);
    assert_eq!(post(&url, &[], &order("b", 6)).0, 409);
}

#[test]
fn records_counts_runs_by_key() {
    let records = RecordsService::start(RecordsSettings::default()).expect("the service starts");
    let url = format!("http://{}/certificates/7", records.address());
    post(&url, &[("idempotency-key", "k")], &json!({}));
    let (_, text) = post(&url, &[("idempotency-key", "k")], &json!({}));
    let answer: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(answer["run"], 2);
    assert_eq!(records.runs("k"), 2);
}
