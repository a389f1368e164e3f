//! What targets see of callers that leave, and of bodies that they answer early.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use super::world::{Behaviour, Deployment, Target, call, eventually, request_text};

/// A target stops its work within this time after its caller has left.
const STOP_TIME: Duration = Duration::from_millis(500);

/// Sends a request, leaves while it runs, and returns how much later the target
/// saw that.
fn leave(network: u8, service: &str, behaviour: Behaviour, method: &str, path: &str) -> Duration {
    let mut deployment = Deployment::start(network);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", behaviour);
    deployment.report("t1", &target, service, "ready", 1);
    deployment.wait_ready();
    let mut caller = TcpStream::connect(deployment.callers()).expect("a connection");
    let text = request_text(method, path, "id-1", "k1");
    caller.write_all(text.as_bytes()).expect("it is sent");
    eventually("the target runs it", || target.runs() == 1);
    drop(caller);
    let left_at = Instant::now();
    eventually("the target sees that the caller left", || {
        !target.left.lock().expect("times").is_empty()
    });
    let seen_at = target.left.lock().expect("times")[0];
    assert_eq!(target.runs(), 1);
    seen_at.saturating_duration_since(left_at)
}

#[test]
fn a_target_stops_when_the_caller_of_a_repeatable_request_leaves() {
    let took = leave(40, "s", Behaviour::Hold, "GET", "/read/1");
    assert!(took < STOP_TIME, "{took:?}");
}

#[test]
fn a_target_stops_when_the_caller_of_a_stream_leaves() {
    let took = leave(41, "engine", Behaviour::Stream, "POST", "/chat/1");
    assert!(took < STOP_TIME, "{took:?}");
}

#[test]
fn the_rest_of_a_body_that_was_answered_early_is_never_another_request() {
    // More than the buffers of a connection, and less than the limit on bodies.
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
        let reply = call(deployment.callers(), &text).expect("a reply");
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
