//! What targets receive when callers disconnect, when targets answer before they read
//! the body, and when callers send fields that only routers may set.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::harness::{Behaviour, Deployment, Target, call, eventually, request_text};

/// Longest time from a caller's disconnect to the close of the target's connection,
/// which makes the target stop its work.
const MAX_CANCEL_DELAY: Duration = Duration::from_millis(500);

/// Sends a request, disconnects while it runs, and returns how much later the
/// target's connection was closed.
fn disconnect_delay(
    network: u8,
    service: &str,
    behaviour: Behaviour,
    method: &str,
    path: &str,
) -> Duration {
    let mut deployment = Deployment::start(network);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", behaviour);
    deployment.report("t1", &target, service, "ready", 1);
    deployment.wait_ready();
    let mut caller = TcpStream::connect(deployment.caller_address()).expect("a connection");
    let text = request_text(method, path, "id-1", "k1");
    caller.write_all(text.as_bytes()).expect("it is sent");
    eventually("the target runs it", || target.runs() == 1);
    drop(caller);
    let left_at = Instant::now();
    eventually("the target's connection is closed", || {
        !target.closed_at.lock().expect("times").is_empty()
    });
    let seen_at = target.closed_at.lock().expect("times")[0];
    assert_eq!(target.runs(), 1);
    seen_at.saturating_duration_since(left_at)
}

#[test]
fn a_target_stops_when_the_caller_of_a_repeatable_request_disconnects() {
    let took = disconnect_delay(40, "s", Behaviour::NeverAnswer, "GET", "/read/1");
    assert!(took < MAX_CANCEL_DELAY, "{took:?}");
}

#[test]
fn a_target_stops_when_the_caller_of_a_stream_disconnects() {
    let took = disconnect_delay(41, "engine", Behaviour::Stream, "POST", "/chat/1");
    assert!(took < MAX_CANCEL_DELAY, "{took:?}");
}

#[test]
fn the_rest_of_a_body_that_was_answered_early_is_never_another_request() {
    // More than the buffers of a connection hold, and less than the limit on bodies.
    const BODY_BYTES: usize = 4_000_000;
    let mut deployment = Deployment::start(42);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", Behaviour::AnswerEarly);
    deployment.report("t1", &target, "s", "ready", 1);
    deployment.wait_ready();
    let body = "b".repeat(BODY_BYTES);
    for index in 0..5 {
        let head = request_text("POST", "/read/1", &format!("id-{index}"), "k1");
        let length = format!("Content-Length: {BODY_BYTES}");
        let text = head.replace("Content-Length: 0", &length) + &body;
        let reply = call(deployment.caller_address(), &text).expect("a reply");
        assert_eq!((reply.status, reply.body.as_str()), (200, "ok"));
    }
    eventually("all bodies have ended", || {
        target.bodies.lock().expect("bodies").len() == 5
    });
    for rest in target.bodies.lock().expect("bodies").iter() {
        assert!(rest.len() <= BODY_BYTES, "{} bytes", rest.len());
        assert!(rest.iter().all(|&byte| byte == b'b'));
    }
}

#[test]
fn a_caller_cannot_command_a_target() {
    const COMMANDS: [&str; 5] = [
        "X-Bamboospur-Hold: h1",
        "x-bamboospur-pin-ms: 4000",
        "X-BAMBOOSPUR-KV-BACKUP: 10.0.0.1:80",
        "Kv-From: 10.0.0.1:80/h1",
        "X-Bamboospur-Request-Priority: 0",
    ];
    let mut deployment = Deployment::start(43);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &target, "s", "ready", 1);
    deployment.wait_ready();
    let text = request_text("GET", "/read/1", "id-1", "k1");
    let commands = COMMANDS.join("\r\n") + "\r\nConnection: close";
    let text = text.replace("Connection: close", &commands);
    let reply = call(deployment.caller_address(), &text).expect("a reply");
    assert_eq!(reply.status, 200);
    let heads = target.heads.lock().expect("heads");
    let received = heads[0].to_ascii_lowercase();
    for command in COMMANDS {
        let (name, _) = command.split_once(':').expect("a name");
        assert!(!received.contains(&name.to_ascii_lowercase()), "{received}");
    }
}

#[test]
fn a_request_that_targets_with_room_reject_is_refused_at_once() {
    let mut deployment = Deployment::start(44);
    deployment.configure("k1");
    let mut targets = Vec::new();
    for (index, name) in [(20, "t1"), (21, "t2"), (22, "t3")] {
        let target = Target::start(deployment.host(index), name, Behaviour::RejectWithRoom);
        deployment.report(name, &target, "s", "ready", 1);
        targets.push(target);
    }
    deployment.wait_ready();
    eventually("the router knows all targets", || {
        let log = std::fs::read_to_string(deployment.folder.join("router.log"));
        log.is_ok_and(|log| ["t1", "t2", "t3"].iter().all(|name| log.contains(name)))
    });
    let reply = deployment.request("GET", "/read/1", "id-1", "k1");
    assert_eq!(reply.expect("a reply").status, 503);
    let offers: usize = targets.iter().map(Target::runs).sum();
    assert_eq!(offers, 2);
}

#[test]
fn a_repeatable_request_goes_over_a_new_connection_when_a_kept_one_ends() {
    let mut deployment = Deployment::start(45);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", Behaviour::AnswerOnce);
    deployment.report("t1", &target, "s", "ready", 1);
    deployment.wait_ready();
    for index in 0..6 {
        let reply = deployment.request("GET", "/read/1", &format!("id-{index}"), "k1");
        let reply = reply.expect("a reply");
        assert_eq!(reply.status, 200, "request {index}: {}", reply.body);
    }
    assert_eq!(target.runs(), 6);
}
