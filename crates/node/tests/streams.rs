//! Streams that are complete, resumed, or ended by an error event.

mod support;

use std::io::Read;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use bamboospur_types::ResultCode as Code;
use support::{Answer, Node, TargetAction, eventually};

const ALL: [u64; 6] = [1, 2, 3, 4, 5, 6];

fn node() -> Node {
    let node = Node::builder().limit("first_byte_ms", 500);
    node.limit("stall_ms", 300).start()
}

#[track_caller]
fn assert_complete(answer: &Answer) {
    assert_eq!(answer.event_ids(), ALL, "{answer:?}");
    assert!(answer.has_end_event(), "{answer:?}");
}

#[track_caller]
fn assert_error_event(answer: &Answer) {
    assert!(answer.body.contains("event: error\n"), "{answer:?}");
    assert!(!answer.body.contains("[DONE]"), "{answer:?}");
    assert!(
        answer.body.contains("\"outcome\":\"unknown\""),
        "{answer:?}"
    );
}

/// Guards against a duplicate or lost event when a stream breaks.
#[test]
fn a_broken_stream_is_resumed_where_it_stopped() {
    for fault in [
        TargetAction::CloseAfterEvents(3),
        TargetAction::StallAfterEvents(3),
    ] {
        let node = node();
        let engine = node.add_engine(&[fault]);
        assert_complete(&node.caller().stream_chat());
        assert_eq!((engine.runs(), engine.resumes()), (1, 1), "{fault:?}");
        let seen = engine.received_requests();
        let resume = seen
            .iter()
            .find(|s| s.header("x-resume-request-id").is_some());
        let after = resume.and_then(|resume| resume.header("last-event-id"));
        assert_eq!(after.as_deref(), Some("3"));
    }
}

/// Guards against giving up when a resumed stream breaks as well.
#[test]
fn a_stream_that_breaks_twice_is_whole() {
    let node = node();
    let engine = node.add_engine(&[
        TargetAction::CloseAfterEvents(2),
        TargetAction::CloseAfterEvents(4),
    ]);
    assert_complete(&node.caller().stream_chat());
    assert_eq!((engine.runs(), engine.resumes()), (1, 2));
}

/// Guards against duplicate events when a resumed target sends events again.
#[test]
fn repeated_events_are_dropped() {
    let node = node();
    let engine = node.add_engine(&[
        TargetAction::CloseAfterEvents(3),
        TargetAction::RestartStream,
    ]);
    assert_complete(&node.caller().stream_chat());
    assert_eq!((engine.runs(), engine.resumes()), (1, 1));
}

/// Guards against a lost event when a target resumes after the wrong event.
#[test]
fn a_gap_ends_the_stream_with_an_error_event() {
    let node = node();
    let _engine = node.add_engine(&[TargetAction::CloseAfterEvents(3), TargetAction::SkipEvent]);
    let answer = node.caller().stream_chat();
    assert_error_event(&answer);
    assert_eq!(answer.event_ids(), [1, 2, 3]);
}

/// Guards against bytes of another answer that a caller gets as a part of an event.
#[test]
fn an_answer_inside_an_event_is_no_part_of_the_stream() {
    let node = node();
    node.add_engine(&[TargetAction::AnswerInEvent]);
    let answer = node.caller().stream_chat();
    assert_error_event(&answer);
    assert!(
        !answer.body.contains("tok{") && !answer.body.contains("HTTP"),
        "{answer:?}"
    );
    assert_eq!(answer.event_ids(), [1]);
}

/// Guards against a stream without its end that looks complete to the caller.
#[test]
fn a_stream_that_cannot_be_resumed_ends_in_an_error_event() {
    for fault in [
        TargetAction::CloseAfterEvents(3),
        TargetAction::StallAfterEvents(3),
        TargetAction::NoEndEvent,
    ] {
        let node = node();
        let engine = node.add_engine(&[fault, TargetAction::Gone]);
        assert_error_event(&node.caller().stream_chat());
        assert_eq!(engine.runs(), 1, "{fault:?}");
        eventually("the engine is told to stop", || engine.cancels() == 1);
    }
}

/// Guards against an error event while the request can still be retried.
#[test]
fn a_stream_without_a_first_event_is_retried() {
    for fault in [
        TargetAction::CloseInHead,
        TargetAction::NoAnswer,
        TargetAction::Refuse(503, true),
        TargetAction::WrongRequestId,
    ] {
        let node = node();
        let engine = node.add_engine(&[fault]);
        assert_complete(&node.caller().stream_chat());
        assert_eq!(engine.runs(), 2, "{fault:?}");
    }
}

/// Guards against treating a slow first token as a failure.
#[test]
fn a_slow_first_token_is_waited_for() {
    let node = node();
    let engine = node.add_engine(&[TargetAction::AnswerAfterMs(350)]);
    assert_complete(&node.caller().stream_chat());
    assert_eq!(engine.runs(), 1);
}

/// Guards against an engine that keeps generating after the caller disconnected.
#[test]
fn a_disconnect_cancels_the_engine() {
    let node = node();
    let engine = node.add_engine(&[TargetAction::StallAfterEvents(1)]);
    let request = stream_request(&node);
    let mut stream = node.caller().open(request.as_bytes());
    let mut first = [0; 64];
    let count = stream.read(&mut first).expect("first bytes");
    assert!(count > 0);
    stream.shutdown(Shutdown::Both).expect("shutdown");
    drop(stream);
    eventually("the engine is told to stop", || engine.cancels() == 1);
    eventually("the disconnect is logged", || {
        node.log()
            .contains(&format!("\"code\":{}", Code::CallerGone.number()))
    });
}

/// Guards against an engine that keeps working after the caller disconnected before
/// any answer. Only the state of the connection shows such a disconnect.
#[test]
fn a_disconnect_before_the_answer_cancels_the_engine() {
    let node = Node::builder().limit("first_byte_ms", 60_000).start();
    let engine = node.add_engine(&[TargetAction::NoAnswer]);
    let body = stream_body().replace("true", "false");
    let request = node.caller().post_request("/v1/chat/completions", &body);
    let stream = node.caller().open(request.as_bytes());
    eventually("the request runs", || engine.runs() == 1);
    drop(stream);
    eventually("the engine is told to stop", || engine.cancels() == 1);
}

/// Guards against unbounded buffering for a caller that does not read: the engine's
/// writes must block.
#[test]
fn a_slow_caller_slows_the_engine() {
    let node = node();
    let engine = node.add_engine(&[TargetAction::EndlessStream]);
    let stream = node.caller().open(stream_request(&node).as_bytes());
    let mut last = 0;
    eventually("the engine's writes stop", || {
        thread::sleep(Duration::from_millis(300));
        let events = engine.endless_events();
        let stopped = events > 0 && events == last;
        last = events;
        stopped
    });
    // Each event has 4 KiB; the buffers of four sockets hold the events in flight.
    assert!(last < 8_000, "{last} events were buffered");
    drop(stream);
    eventually("the engine is told to stop", || engine.cancels() == 1);
}

/// Guards against cancelling streams of connected callers because the kernel's table of
/// connections changes while it is read: that once cancelled 31 of 2,000 streams.
#[test]
fn streams_of_many_connected_callers_are_not_cancelled() {
    let node = Node::builder().start();
    let engine = node.add_engine(&[TargetAction::AnswerAfterMs(1600); 150]);
    let callers: Vec<_> = (0..150)
        .map(|number| {
            let caller = node
                .caller()
                .with_header("bamboospur-chat", &number.to_string());
            thread::spawn(move || caller.stream_chat())
        })
        .collect();
    for caller in callers {
        assert_complete(&caller.join().expect("caller"));
    }
    assert_eq!((engine.runs(), engine.cancels()), (150, 0));
}

fn stream_request(node: &Node) -> String {
    node.caller()
        .post_request("/v1/chat/completions", &stream_body())
}

fn stream_body() -> String {
    let messages = "[{\"role\":\"user\",\"content\":\"x\"}]";
    format!("{{\"model\":\"demo-chat\",\"stream\":true,\"messages\":{messages}}}")
}

/// Guards against ignoring the target that a caller names. A router without a record of
/// the chat would send it to another target, which has no cached prompt.
#[test]
fn a_chat_goes_to_the_target_that_its_caller_names() {
    let node = node();
    let names = ["engine-a", "engine-b", "engine-c"];
    let _engines = names.map(|name| node.add_engine_named(name, &[]));
    for name in names {
        let caller = node.caller().with_header("bamboospur-target", name);
        for chat in 0..4 {
            let chat = format!("{name}-{chat}");
            let answer = caller
                .clone()
                .with_header("bamboospur-chat", &chat)
                .send_chat();
            assert_eq!(answer.header("bamboospur-target"), name, "{answer:?}");
        }
    }
}

/// Comments and repeated events without end were read at full speed until the deadline.
#[test]
fn bytes_without_end_that_are_no_answer_are_read_up_to_a_limit() {
    const STREAM: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                          x-request-id: ID\r\n\r\n";
    const REJECTED: &str = "HTTP/1.1 503 Full\r\nx-request-id: ID\r\nx-not-run: true\r\n\r\n";
    /// For each of the attempts of a request: the largest body that is read, and the
    /// buffers of a connection.
    const MAX_BYTES: u64 = 3 * 24 * 1024 * 1024;
    for (name, begin, repeated) in [
        ("comments", STREAM, ": alive\n\n"),
        ("an event", STREAM, "data: more\n"),
        ("a repeated event", STREAM, "id: 1\ndata: t\n\n"),
        ("interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("fields", "HTTP/1.1 200 OK\r\n", "x-field: value\r\n"),
        ("no head", "", "\u{1}\u{2}bytes"),
        ("a rejection", REJECTED, "body"),
    ] {
        let node = node();
        let endless = TargetAction::Endless(begin, repeated);
        let engine = node.add_engine(&[endless; 8]);
        let sent_at = std::time::Instant::now();
        let answer = node.caller().with_deadline_ms(6_000).stream_chat();
        let took = sent_at.elapsed();
        assert!(!answer.has_end_event(), "{name}: {answer:?}");
        let bytes = engine.endless_bytes();
        println!(
            "{name}: {bytes} bytes in {took:?}, status {}",
            answer.status
        );
        assert!(bytes <= MAX_BYTES, "{name}: {bytes} bytes");
        assert!(took < Duration::from_secs(5), "{name}: {took:?}");
    }
}

/// Guards against a stream that is joined wrongly, or ends as if it were whole, after an answer
/// that ends inside its head or an event.
#[test]
fn a_stream_that_is_cut_at_any_byte_goes_on_where_it_stopped() {
    let node = node();
    let engine = node.add_engine(&[]);
    for cut in (1..420).step_by(9) {
        // New requests fill the retry budget.
        for _ in 0..20 {
            node.caller().send_chat();
        }
        engine.push_action(TargetAction::CloseAfterBytes(cut));
        assert_complete(&node.caller().stream_chat());
    }
}
