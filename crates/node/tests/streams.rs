//! Streams: whole, resumed, or clearly broken.

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
fn is_whole(answer: &Answer) {
    assert_eq!(answer.event_ids(), ALL, "{answer:?}");
    assert!(answer.is_done(), "{answer:?}");
}

#[track_caller]
fn is_broken(answer: &Answer) {
    assert!(answer.body.contains("event: error\n"), "{answer:?}");
    assert!(!answer.body.contains("[DONE]"), "{answer:?}");
    assert!(
        answer.body.contains("\"outcome\":\"unknown\""),
        "{answer:?}"
    );
}

/// Guards against a doubled or lost token when a stream breaks.
#[test]
fn a_broken_stream_is_resumed_where_it_stopped() {
    for fault in [TargetAction::CutAfter(3), TargetAction::StallAfter(3)] {
        let node = node();
        let engine = node.engine(&[fault]);
        is_whole(&node.caller().stream_chat());
        assert_eq!((engine.runs(), engine.resumes()), (1, 1), "{fault:?}");
        let seen = engine.received_requests();
        let resume = seen
            .iter()
            .find(|s| s.header("x-resume-request-id").is_some());
        let after = resume.and_then(|resume| resume.header("last-event-id"));
        assert_eq!(after.as_deref(), Some("3"));
    }
}

/// Guards against giving up after the first resume broke, too.
#[test]
fn a_stream_that_breaks_twice_is_whole() {
    let node = node();
    let engine = node.engine(&[TargetAction::CutAfter(2), TargetAction::CutAfter(4)]);
    is_whole(&node.caller().stream_chat());
    assert_eq!((engine.runs(), engine.resumes()), (1, 2));
}

/// Guards against passing on events twice when a target repeats them.
#[test]
fn events_that_were_seen_are_dropped() {
    let node = node();
    let engine = node.engine(&[TargetAction::CutAfter(3), TargetAction::FromStart]);
    is_whole(&node.caller().stream_chat());
    assert_eq!((engine.runs(), engine.resumes()), (1, 1));
}

/// Guards against a lost event when a target resumes at the wrong place.
#[test]
fn a_gap_ends_the_stream_with_an_error_event() {
    let node = node();
    let _engine = node.engine(&[TargetAction::CutAfter(3), TargetAction::Skip]);
    let answer = node.caller().stream_chat();
    is_broken(&answer);
    assert_eq!(answer.event_ids(), [1, 2, 3]);
}

/// Guards against passing a stream off as whole when its end is missing.
#[test]
fn a_stream_that_cannot_be_resumed_ends_in_an_error_event() {
    for fault in [
        TargetAction::CutAfter(3),
        TargetAction::StallAfter(3),
        TargetAction::NoDone,
    ] {
        let node = node();
        let engine = node.engine(&[fault, TargetAction::Gone]);
        is_broken(&node.caller().stream_chat());
        assert_eq!(engine.runs(), 1, "{fault:?}");
        eventually("the engine is told to stop", || engine.cancels() == 1);
    }
}

/// Guards against an error event where another engine can still answer.
#[test]
fn a_stream_without_a_first_event_is_retried() {
    for fault in [
        TargetAction::CutHead,
        TargetAction::Silence,
        TargetAction::Refuse(503, true),
        TargetAction::Crossed,
    ] {
        let node = node();
        let engine = node.engine(&[fault]);
        is_whole(&node.caller().stream_chat());
        assert_eq!(engine.runs(), 2, "{fault:?}");
    }
}

/// Guards against a slow first token being taken for a failure.
#[test]
fn a_slow_first_token_is_waited_for() {
    let node = node();
    let engine = node.engine(&[TargetAction::Late(350)]);
    is_whole(&node.caller().stream_chat());
    assert_eq!(engine.runs(), 1);
}

/// Guards against an engine that goes on for a caller who hung up.
#[test]
fn a_hang_up_cancels_the_engine() {
    let node = node();
    let engine = node.engine(&[TargetAction::StallAfter(1)]);
    let request = stream_request(&node);
    let mut stream = node.caller().open(request.as_bytes());
    let mut first = [0; 64];
    let count = stream.read(&mut first).expect("first bytes");
    assert!(count > 0);
    stream.shutdown(Shutdown::Both).expect("shutdown");
    drop(stream);
    eventually("the engine is told to stop", || engine.cancels() == 1);
    eventually("the hang-up is logged", || {
        node.log()
            .contains(&format!("\"code\":{}", Code::CallerGone.number()))
    });
}

/// Guards against work for a caller who hung up before any answer: only the
/// state of the connection shows that.
#[test]
fn a_hang_up_before_the_answer_cancels_the_engine() {
    let node = Node::builder().limit("first_byte_ms", 60_000).start();
    let engine = node.engine(&[TargetAction::Silence]);
    let body = stream_body().replace("true", "false");
    let request = node.caller().post_text("/v1/chat/completions", &body);
    let stream = node.caller().open(request.as_bytes());
    eventually("the request runs", || engine.runs() == 1);
    drop(stream);
    eventually("the engine is told to stop", || engine.cancels() == 1);
}

/// Guards against buffering a stream without bound for a caller that does not
/// read: the engine's writes must stop, too.
#[test]
fn a_slow_caller_slows_the_engine() {
    let node = node();
    let engine = node.engine(&[TargetAction::Endless]);
    let stream = node.caller().open(stream_request(&node).as_bytes());
    let mut last = 0;
    eventually("the engine's writes stop", || {
        thread::sleep(Duration::from_millis(300));
        let events = engine.endless_events();
        let stopped = events > 0 && events == last;
        last = events;
        stopped
    });
    // Events have 4 KiB; what is in flight sits in the buffers of four sockets.
    assert!(last < 8_000, "{last} events were taken in");
    drop(stream);
    eventually("the engine is told to stop", || engine.cancels() == 1);
}

/// Guards against taking callers for gone while the kernel's table of
/// connections changes: 31 of 2,000 streams were once cancelled that way.
#[test]
fn many_callers_at_once_are_not_taken_for_gone() {
    let node = Node::builder().start();
    let engine = node.engine(&[TargetAction::Late(1600); 150]);
    let callers: Vec<_> = (0..150)
        .map(|number| {
            let caller = node
                .caller()
                .with_header("bamboospur-chat", &number.to_string());
            thread::spawn(move || caller.stream_chat())
        })
        .collect();
    for caller in callers {
        is_whole(&caller.join().expect("caller"));
    }
    assert_eq!((engine.runs(), engine.cancels()), (150, 0));
}

fn stream_request(node: &Node) -> String {
    node.caller()
        .post_text("/v1/chat/completions", &stream_body())
}

fn stream_body() -> String {
    let messages = "[{\"role\":\"user\",\"content\":\"x\"}]";
    format!("{{\"model\":\"demo-chat\",\"stream\":true,\"messages\":{messages}}}")
}

/// Guards against ignoring the target that a caller names, which would cost a
/// returning chat its cached prompt at a router that never saw it.
#[test]
fn a_chat_goes_to_the_target_that_its_caller_names() {
    let node = node();
    let names = ["engine-a", "engine-b", "engine-c"];
    let _engines = names.map(|name| node.engine_named(name, &[]));
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
