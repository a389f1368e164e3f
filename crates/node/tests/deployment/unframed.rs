//! Answers with neither a length nor chunks, which end with their connection.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::harness::{Deployment, Reply, call, report_body, request_text};

/// How a target ends its answer.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Close,
    Reset,
}

/// Sends one request to a target that writes `body` and ends the connection.
fn answer_to(network: u8, path: &str, body: &'static str, end: End) -> Option<Reply> {
    let mut deployment = Deployment::start(network);
    deployment.configure("k1");
    let is_stream = path.starts_with("/talk");
    let listener = TcpListener::bind((deployment.host(20), 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _closed = serve(&stream, is_stream, body, end);
        }
    });
    let (service, method) = if is_stream {
        ("engine", "POST")
    } else {
        ("s", "GET")
    };
    let report = report_body(address, service, "ready", "1");
    deployment.send_report("t", &report);
    deployment.wait_ready();
    let text = request_text(method, path, "id-1", "k1");
    call(deployment.caller_address(), &text)
}

fn serve(mut stream: &TcpStream, is_stream: bool, body: &str, end: End) -> Option<()> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains("\r\n\r\n") {
        let count = stream.read(&mut buffer).ok().filter(|&count| count > 0)?;
        text.push_str(std::str::from_utf8(&buffer[..count]).ok()?);
    }
    let kind = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: id-1\r\nX-Bamboospur-Replica-Stamp: t\r\n\
         Content-Type: {kind}\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).ok()?;
    if end == End::Reset {
        thread::sleep(Duration::from_millis(7));
        SockRef::from(stream)
            .set_linger(Some(Duration::ZERO))
            .ok()?;
    }
    Some(())
}

/// Whether a caller takes a stream for complete.
fn is_whole(reply: Option<&Reply>) -> bool {
    reply.is_some_and(|reply| reply.status == 200 && reply.body.ends_with("0\r\n\r\n"))
}

#[test]
fn an_answer_that_ends_with_its_connection_is_delivered() {
    let reply = answer_to(7, "/read/1", "body", End::Close).expect("a reply");
    assert_eq!((reply.status, reply.body.as_str()), (200, "body"));
}

#[test]
fn a_stream_that_ends_with_its_connection_is_delivered() {
    let reply = answer_to(
        8,
        "/talk/1",
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        End::Close,
    );
    assert!(is_whole(reply.as_ref()), "{reply:?}");
    assert!(reply.is_some_and(|reply| reply.body.contains("data: b")));
}

#[test]
fn an_answer_that_is_reset_is_no_success() {
    let reply = answer_to(9, "/read/1", "body", End::Reset).expect("a reply");
    assert_eq!(reply.status, 502, "{reply:?}");
    let reply = answer_to(10, "/talk/1", "id: 1\ndata: a\n\n", End::Reset);
    assert!(!is_whole(reply.as_ref()), "{reply:?}");
}

#[test]
fn a_stream_that_ends_inside_an_event_is_not_complete() {
    for (network, body) in [
        (11, "id: 1\ndata: a\n\nid: 2\ndata: b\n"),
        (12, "id: 1\ndata: a\n\nid"),
        (13, "id: 1\ndata: a\n"),
    ] {
        let reply = answer_to(network, "/talk/1", body, End::Close);
        assert!(!is_whole(reply.as_ref()), "{body:?}: {reply:?}");
    }
}

/// A target that ended before its first event, without a length to miss, looked like one with
/// a complete answer.
#[test]
fn a_stream_without_events_that_ends_with_its_connection_is_not_complete() {
    for (network, body) in [(14, ""), (15, ": alive\n\n")] {
        let reply = answer_to(network, "/talk/1", body, End::Close);
        assert!(!is_whole(reply.as_ref()), "{body:?}: {reply:?}");
    }
}
