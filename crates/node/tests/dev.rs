//! The development node with its stand-in targets, and its metrics.

mod support;

use std::net::UdpSocket;
use std::time::Duration;

use bamboospur_types::ResultCode as Code;
use support::{Node, Target, TargetAction, eventually};

/// Guards against a `--dev` start that does not work without further settings.
#[test]
fn the_development_node_answers() {
    let node = Node::builder().standins(2, 1).start();
    eventually("the stand-ins join", || {
        node.status().matches("\"state\":\"ready\"").count() == 3
    });
    let chat = node.caller().send_chat();
    chat.assert_outcome("answered", Code::Ok);
    assert!(!chat.header("bamboospur-request-id").is_empty());
    let stream = node.caller().stream_chat();
    assert!(stream.has_end_event(), "{stream:?}");
    let first = node.caller().with_key("a").post_record("entry");
    first.assert_outcome("answered", Code::Ok);
    assert_eq!(first.json()["run"], 1, "{first:?}");
    node.caller()
        .with_key("a")
        .post_record("entry")
        .assert_outcome("answered", Code::Replayed);
}

/// Guards against sending the requests of a chat to several engines, which would lose
/// the cached prompt.
#[test]
fn the_requests_of_a_chat_go_to_one_engine() {
    let node = Node::start();
    let engines = ["one", "two", "three"].map(|name| node.add_engine_named(name, &[]));
    for _ in 0..9 {
        let caller = node.caller().with_header("bamboospur-chat", "a chat");
        caller.send_chat().assert_outcome("answered", Code::Ok);
    }
    let mut runs = engines.each_ref().map(Target::runs);
    runs.sort_unstable();
    assert_eq!(runs, [0, 0, 9]);
}

/// Guards against metrics that miss the result of a request.
#[test]
fn metrics_count_results() {
    let server = UdpSocket::bind("127.0.0.1:0").expect("bind");
    let limit = Some(Duration::from_secs(20));
    server.set_read_timeout(limit).expect("time-out");
    let address = server.local_addr().expect("address");
    let node = Node::builder().metrics_to(address).start();
    let _engine = node.add_engine(&[TargetAction::CloseInHead]);
    node.caller()
        .send_chat()
        .assert_outcome("answered", Code::Ok);
    let mut text = String::new();
    while !text.contains("bamboospur.requests:1|c|#code:ok") {
        let mut packet = [0; 2048];
        let count = server.recv(&mut packet).expect("metrics arrive");
        text.push_str(&String::from_utf8_lossy(&packet[..count]));
    }
    assert!(text.contains("bamboospur.retries:1|c"), "{text}");
}
