//! Memory of a router while targets and callers send as much as they can.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use super::harness::{Behaviour, Deployment, MEMORY_MB, Target, call, report_body, request_text};
use super::memory_probe::{field, peak_mb, start_endless_target};

/// Requests at once.
const REQUESTS: usize = 80;
/// Body that a caller announces.
const BODY_BYTES: usize = 4 * 1024 * 1024;

fn endless_head(request: &str) -> String {
    let id = field(request, "x-bamboospur-request-id");
    format!(
        "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\n\
         X-Bamboospur-Replica-Stamp: t\r\nContent-Length: 99999999999999\r\n\r\n"
    )
}

fn endless_events(request: &str) -> String {
    let id = field(request, "x-bamboospur-request-id");
    format!(
        "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\n\
         X-Bamboospur-Replica-Stamp: t\r\nContent-Type: text/event-stream\r\n\r\ndata: "
    )
}

fn endless_field(request: &str) -> String {
    let id = field(request, "x-bamboospur-request-id");
    format!("HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\nX-Field: ")
}

/// Sends requests to a target that answers without end, while others are sent to a sound one.
fn send_beside_endless_answers(network: u8, path: &'static str, head: fn(&str) -> String) {
    let mut deployment = Deployment::start(network);
    deployment.configure("k1");
    let (service, method) = match path {
        "/talk/1" => ("engine", "POST"),
        _ => ("lossy", "POST"),
    };
    let endless = start_endless_target(deployment.host(20).into(), head);
    deployment.send_report("t", &report_body(endless, service, "ready", "1"));
    let sound = Target::start(deployment.host(21), "t1", Behaviour::Answer);
    deployment.report("t1", &sound, "s", "ready", 1);
    deployment.wait_ready();
    let callers = deployment.caller_address();
    let done = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let threads: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (done, answered) = (Arc::clone(&done), Arc::clone(&answered));
            thread::spawn(move || {
                while !done.load(Ordering::SeqCst) {
                    let text = request_text(method, path, &format!("hog-{number}"), "k1");
                    if call(callers, &text).is_some() {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    for number in 0..20 {
        // Targets that do not report count as silent after some seconds.
        deployment.report("t1", &sound, "s", "ready", number + 2);
        let text = request_text("GET", "/read/1", &format!("id-{number}"), "k1");
        let reply = call(callers, &text).expect("an answer");
        assert_eq!(reply.status, 200, "{} {}", reply.head, reply.body);
    }
    done.store(true, Ordering::SeqCst);
    let peak = peak_mb(deployment.processes["router"].id());
    println!(
        "{path}: {peak} MB, {} answers",
        answered.load(Ordering::SeqCst)
    );
    assert!(peak < MEMORY_MB, "the router used {peak} MB");
    drop(deployment);
    for thread in threads {
        thread.join().expect("a caller");
    }
}

/// The bodies of 80 answers, each within its limit, took a router to twice its memory.
#[test]
fn answers_without_end_at_many_requests_leave_memory_for_others() {
    send_beside_endless_answers(80, "/submit/1", endless_head);
}

#[test]
fn events_without_end_at_many_requests_leave_memory_for_others() {
    send_beside_endless_answers(90, "/talk/1", endless_events);
}

#[test]
fn heads_without_end_at_many_requests_leave_memory_for_others() {
    send_beside_endless_answers(91, "/submit/1", endless_field);
}

/// Bodies of callers that have no room are rejected before they are sent, and run nowhere.
#[test]
fn bodies_of_many_callers_are_rejected_when_there_is_no_memory() {
    let mut deployment = Deployment::start(92);
    deployment.configure("k1");
    let sound = Target::start(deployment.host(21), "t1", Behaviour::Answer);
    deployment.report("t1", &sound, "s", "ready", 1);
    deployment.wait_ready();
    let mut streams = Vec::new();
    let mut rejected = 0;
    for number in 0..REQUESTS {
        let mut stream = TcpStream::connect(deployment.caller_address()).expect("a connection");
        let head = format!(
            "POST /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Bamboospur-Request-Id: b{number}\r\n\
             Authorization: Bearer k1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("it is sent");
        let mut sent = stream.try_clone().expect("a clone");
        // All of the body but its last byte, as far as the router reads it.
        thread::spawn(move || sent.write_all(&vec![b'x'; BODY_BYTES - 1]));
        streams.push(stream);
    }
    thread::sleep(Duration::from_secs(1));
    for stream in &mut streams {
        let timeout = Some(Duration::from_millis(50));
        stream.set_read_timeout(timeout).expect("a timeout");
        let mut buffer = [0; 1024];
        if let Ok(count @ 1..) = stream.read(&mut buffer) {
            let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
            assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
            assert!(head.contains("Retry-After: "), "{head}");
            rejected += 1;
        }
    }
    assert!(rejected > 0, "all bodies fit");
    let reply = deployment
        .request("GET", "/read/1", "small", "k1")
        .expect("an answer");
    assert_eq!(reply.status, 200);
    let peak = peak_mb(deployment.processes["router"].id());
    println!("{rejected} rejected, {peak} MB");
    assert!(peak < MEMORY_MB, "the router used {peak} MB");
}
