//! Planned stops of a router, in calm: every request that it has read gets an answer that says
//! whether it may have run.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::harness::{Behaviour, Deployment, Reply, Target, eventually, read_reply, request_text};
use super::raw_target::{self, answer};

/// `graceS` of the deployment: time until a process that was told to stop is killed.
const GRACE: Duration = Duration::from_secs(8);

/// Returns a request whose connection stays open.
fn kept_request(path: &str, id: &str) -> String {
    request_text("POST", path, id, "k1").replace("Connection: close\r\n", "")
}

fn send(deployment: &Deployment, text: &str) -> TcpStream {
    let mut caller = TcpStream::connect(deployment.caller_address()).expect("a connection");
    caller.write_all(text.as_bytes()).expect("it is sent");
    caller
}

/// Starts a caller that sends a request on an open connection after a time.
fn send_after(mut caller: TcpStream, wait: Duration, text: String) -> JoinHandle<Option<Reply>> {
    thread::spawn(move || {
        thread::sleep(wait);
        caller.write_all(text.as_bytes()).ok()?;
        read_reply(&mut caller)
    })
}

/// Guards against requests that are cut without an answer at the end of the grace period, among
/// them requests that may not be repeated.
#[test]
fn requests_that_do_not_end_in_the_grace_period_get_an_answer() {
    let mut deployment = Deployment::start(17);
    deployment.configure("k1");
    let silent = Target::start(deployment.host(20), "t1", Behaviour::NeverAnswer);
    deployment.report("t1", &silent, "lossy", "ready", 1);
    deployment.wait_ready();
    let text = request_text("POST", "/submit/1", "id-1", "k1");
    let text = text.replace("Deadline-Ms: 6000", "Deadline-Ms: 20000");
    let early = send(&deployment, &text);
    eventually("the request runs", || silent.runs() == 1);
    let stopped_at = Instant::now();
    let late = TcpStream::connect(deployment.caller_address()).expect("a connection");
    deployment.signal("router", Signal::TERM);
    let text = text.replace("id-1", "id-2");
    let late = send_after(late, Duration::from_millis(2_300), text);
    let mut early = early;
    let first = read_reply(&mut early).expect("an answer to the early request");
    let second = late
        .join()
        .expect("a caller")
        .expect("an answer to the late request");
    assert!(matches!(first.status, 502 | 504), "{}", first.head);
    assert!(matches!(second.status, 502 | 504), "{}", second.head);
    assert!(deployment.wait_for_exit("router"), "the router fails");
    assert!(stopped_at.elapsed() < GRACE, "{:?}", stopped_at.elapsed());
    assert_eq!(silent.runs(), 2);
}

/// Guards against connections that stay open after an answer although the router stops, and on
/// which the next request is cut.
#[test]
fn an_answer_after_the_signal_closes_the_connection() {
    let mut deployment = Deployment::start(18);
    deployment.configure("k1");
    let slow = raw_target::start(deployment.host(20), |connection| {
        let request = connection.read_request()?;
        thread::sleep(Duration::from_millis(3_500));
        connection.write(&answer(request.id(), "200 OK", "", "ok"))
    });
    let report = super::harness::report_body(slow, "lossy", "ready", "1");
    deployment.send_report("t1", &report);
    deployment.wait_ready();
    thread::sleep(super::versions::SPREAD_TIME);
    let mut caller = send(&deployment, &kept_request("/submit/1", "id-1"));
    thread::sleep(Duration::from_millis(300));
    deployment.signal("router", Signal::TERM);
    // The next request arrives before the answer to the first one.
    thread::sleep(Duration::from_millis(2_800));
    caller
        .write_all(kept_request("/submit/1", "id-2").as_bytes())
        .expect("it is sent");
    let mut text = String::new();
    caller.read_to_string(&mut text).expect("the answers");
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    let (_, rest) = text.split_once("\r\n\r\nok").expect("the first answer");
    // A connection that is said to be closed carries no further answer.
    let says_close = text
        .split_once("\r\n\r\n")
        .is_some_and(|(head, _)| head.contains("Connection: close"));
    assert!(says_close && rest.is_empty(), "{text}");
    assert!(deployment.wait_for_exit("router"), "the router fails");
}

/// Guards against requests on idle connections that are neither rejected nor served.
#[test]
fn requests_that_cross_the_close_of_their_connection_are_rejected_or_not_read() {
    const CALLERS: u64 = 40;
    let mut deployment = Deployment::start(7);
    deployment.configure("k1");
    let target = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &target, "lossy", "ready", 1);
    deployment.wait_ready();
    let address = deployment.caller_address();
    let callers = (0..CALLERS).map(|_| TcpStream::connect(address).expect("a connection"));
    let callers: Vec<_> = callers.collect();
    deployment.signal("router", Signal::TERM);
    let callers = callers.into_iter().zip(0..).map(|(caller, number)| {
        let text = request_text("POST", "/submit/1", &format!("id-{number}"), "k1");
        send_after(caller, Duration::from_millis(2_400 + 10 * number), text)
    });
    let callers: Vec<_> = callers.collect();
    let mut served = 0;
    for (number, caller) in callers.into_iter().enumerate() {
        let ran = || {
            target
                .ids
                .lock()
                .expect("ids")
                .contains_key(&format!("id-{number}"))
        };
        match caller.join().expect("a caller").map(|reply| reply.status) {
            Some(200) => served += 1,
            Some(503) | None => assert!(!ran(), "request {number} ran"),
            Some(status) => panic!("request {number}: {status}"),
        }
    }
    assert!(served > 0, "no request was served");
    assert!(deployment.wait_for_exit("router"), "the router fails");
}
