//! Faults of targets: the outcome that the caller gets, and how many times the request
//! runs.

mod support;

use bamboospur_types::ResultCode as Code;
use support::{Node, TargetAction};

const FIRST_BYTE_MS: u64 = 400;

fn node() -> Node {
    let node = Node::builder().limit("first_byte_ms", FIRST_BYTE_MS);
    node.limit("stall_ms", 400).start()
}

/// Guards against a fault of one target that fails a repeatable request.
#[test]
fn a_repeatable_request_is_answered_after_one_fault() {
    let faults = [
        TargetAction::NoAnswer,
        TargetAction::CloseInHead,
        TargetAction::CloseInBody,
        TargetAction::NoLastChunk,
        TargetAction::Unframed,
        TargetAction::WrongRequestId,
        TargetAction::Refuse(429, true),
        TargetAction::Refuse(503, true),
        TargetAction::Refuse(503, false),
    ];
    for fault in faults {
        let node = node();
        let engine = node.add_engine(&[fault]);
        let answer = node.caller().send_chat();
        answer.assert_outcome("answered", Code::Ok);
        assert_eq!(engine.runs(), 2, "{fault:?}");
    }
}

/// Guards against the outcome "not run" without proof, and against a second run of a
/// request that must run at most once.
#[test]
fn a_request_that_must_run_once_gets_the_proved_outcome() {
    let cases = [
        (TargetAction::NoAnswer, "unknown", Code::TargetFailed),
        (TargetAction::CloseInHead, "unknown", Code::TargetFailed),
        (TargetAction::CloseInBody, "unknown", Code::Truncated),
        (TargetAction::NoLastChunk, "unknown", Code::Truncated),
        (TargetAction::Unframed, "unknown", Code::Truncated),
        (TargetAction::WrongRequestId, "unknown", Code::WrongAnswer),
        (
            TargetAction::Refuse(503, false),
            "unknown",
            Code::TargetFailed,
        ),
        (
            TargetAction::Refuse(503, true),
            "not-run",
            Code::TargetRefused,
        ),
        (
            TargetAction::Refuse(429, true),
            "not-run",
            Code::TargetRefused,
        ),
        (TargetAction::AnswerAfterMs(100), "answered", Code::Ok),
        (TargetAction::DuplicateAnswer, "answered", Code::Ok),
    ];
    for (fault, outcome, code) in cases {
        let node = node();
        let records = node.add_records(&[fault]);
        let answer = node.caller().with_key("one").post_record("entry");
        answer.assert_outcome(outcome, code);
        assert_eq!(records.runs(), 1, "{fault:?}");
        let again = node.caller().with_key("one").post_record("entry");
        let runs = if outcome == "not-run" { 2 } else { 1 };
        assert_eq!(records.runs(), runs, "{fault:?}: {again:?}");
        if outcome == "unknown" {
            again.assert_outcome("unknown", Code::ClaimUnknown);
        }
    }
}

/// Guards against giving up a request that must run at most once while another target
/// can still run it: both targets refuse it with proof, so both must have received it.
#[test]
fn a_request_proved_not_run_goes_to_another_target() {
    let node = node();
    let refuse = [TargetAction::Refuse(503, true)];
    let targets = ["one", "two"].map(|name| node.add_records_named(name, &refuse));
    let answer = node.caller().with_key("once").post_record("entry");
    answer.assert_outcome("not-run", Code::TargetRefused);
    for target in &targets {
        assert_eq!(target.received_requests().len(), 1);
    }
    let again = node.caller().with_key("once").post_record("entry");
    again.assert_outcome("answered", Code::Ok);
    assert_eq!(
        targets[0].received_requests().len() + targets[1].received_requests().len(),
        3
    );
}

/// Guards against the outcome "unknown" after a refused connection, on which nothing
/// was sent.
#[test]
fn a_refused_connection_is_not_run() {
    let node = node();
    let records = node.add_records(&[]);
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = closed.local_addr().expect("address");
    drop(closed);
    records.leave();
    let record = serde_json::json!({
        "name": "closed", "incarnation": 1, "address": address.to_string(),
        "data_centre": "dev", "pool": "records", "kind": "service", "offers": [],
        "capacity_tokens": 100, "capacity_requests": 8, "checks_fencing": false,
    });
    let operators = support::Caller::new(node.operators);
    operators.post("/targets/announce", &record.to_string());
    let answer = node.caller().with_key("one").post_record("entry");
    answer.assert_outcome("not-run", Code::ConnectFailed);
    assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
    assert_eq!(records.runs(), 0);
}

/// Guards against an answer after the deadline that is sent to the caller of the next
/// request, and against a caller that gets no answer at its deadline.
#[test]
fn a_late_answer_is_discarded() {
    let node = node();
    let engine = node.add_engine(&[TargetAction::AnswerAfterMs(900)]);
    let late = node.caller().with_deadline_ms(300).send_chat();
    late.assert_outcome("unknown", Code::DeadlineExceeded);
    assert!(!late.header("retry-after").is_empty(), "{late:?}");
    for _ in 0..5 {
        let answer = node.caller().send_chat();
        answer.assert_outcome("answered", Code::Ok);
    }
    assert!(engine.runs() >= 6);
}

/// Guards against taking a duplicate answer for the answer to the next request.
#[test]
fn a_duplicate_answer_is_discarded() {
    let node = node();
    let _records = node.add_records(&[
        TargetAction::DuplicateAnswer,
        TargetAction::DuplicateAnswer,
        TargetAction::Answer,
    ]);
    for run in 1..=3 {
        let answer = node.caller().get(&format!("/services/records/{run}"));
        answer.assert_outcome("answered", Code::Ok);
        let seen = answer.json()["seen"].as_str().map(str::to_owned);
        assert_eq!(seen, Some(format!("GET /{run} HTTP/1.1")));
    }
}

/// Guards against taking a late answer for the answer to the next request when a target
/// does not return the request's id: such a connection must not be reused.
#[test]
fn connections_without_the_id_are_not_reused() {
    let node = node();
    let records = node.add_records(&[
        TargetAction::NoRequestId,
        TargetAction::NoRequestId,
        TargetAction::Answer,
        TargetAction::Answer,
    ]);
    for _ in 0..4 {
        let answer = node.caller().get("/services/records/x");
        answer.assert_outcome("answered", Code::Ok);
    }
    assert_eq!((records.runs(), records.connections()), (4, 3));
}

/// Guards against an answer that is not the caller's own: a target wrote one without an id on a
/// kept connection before that of the request.
#[test]
fn an_answer_without_an_id_on_a_kept_connection_is_not_taken_for_the_next_request() {
    let node = node();
    let records = node.add_records(&[TargetAction::Answer, TargetAction::AnswerBefore]);
    for run in 1..=2 {
        let answer = node.caller().get(&format!("/services/records/{run}"));
        answer.assert_outcome("answered", Code::Ok);
    }
    // The second one is sent again over a new connection.
    assert_eq!((records.runs(), records.connections()), (3, 2));
}

/// Guards against counting a pooled connection that stopped answering as a failure of
/// the target.
#[test]
fn an_unresponsive_pooled_connection_is_replaced_by_a_new_one() {
    let node = node();
    let engine = node.add_engine(&[TargetAction::Answer, TargetAction::NoAnswer]);
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    assert_eq!(engine.connections(), 1);
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    assert_eq!(engine.connections(), 2);
    let status = node.status();
    assert!(status.contains("\"breaker\":\"closed\""), "{status}");
}

/// Guards against a retry storm: a target that always fails gets at most the attempts
/// allowed for each request.
#[test]
fn retries_are_bounded_and_end_with_the_true_outcome() {
    let node = node();
    let actions = [TargetAction::CloseInHead; 40];
    let engine = node.add_engine(&actions);
    for _ in 0..8 {
        let before = engine.runs();
        let answer = node.caller().send_chat();
        assert!(!answer.header("retry-after").is_empty(), "{answer:?}");
        let ran = engine.runs() - before;
        // An open breaker refuses without a run.
        let outcome = if ran == 0 { "not-run" } else { "unknown" };
        assert_eq!(answer.outcome(), outcome, "{answer:?}");
        assert!(ran <= 3, "{ran} runs of one request");
    }
    assert!(engine.runs() <= 12, "{}", engine.runs());
}

/// Guards against an answer that ends inside its head or body and looks whole.
#[test]
fn an_answer_that_is_cut_at_any_byte_does_not_look_whole() {
    // More than the head, whose length differs with the id of the request.
    const CUTS: usize = 150;
    let node = node();
    let records = node.add_records(&[]);
    for cut in 0..CUTS {
        records.push_action(TargetAction::CloseAfterBytes(cut));
        let caller = node.caller().with_key(&format!("cut-{cut}"));
        let answer = caller.post_record("entry");
        assert_eq!(answer.outcome(), "unknown", "cut at {cut}: {answer:?}");
        // A target that fails again and again gets no requests.
        let whole = node.caller().with_key(&format!("whole-{cut}"));
        whole
            .post_record("entry")
            .assert_outcome("answered", Code::Ok);
    }
}
