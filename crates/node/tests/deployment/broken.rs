//! Targets whose answers are no HTTP responses, or are reset before their end.
//!
//! Nothing of such an answer reaches a caller: the attempt has failed, and the request may have
//! run.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use strum::IntoEnumIterator;

use super::broken_heads::{INVALID_STATUSES, invalid_field_lines};
use super::harness::{Deployment, Reply, eventually, read_reply, report_body, request_text};
use super::raw_target::{self, RawConnection, answer, without_length};

/// Targets of each service; a router avoids those that have just failed.
const TARGETS: u32 = 3;
const BODY: &str = "broken";
const EVENT: &str = "id: 2\ndata: broken\n\n";
const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";
const EVENT_STREAM: &str = "Content-Type: text/event-stream\r\n";

/// Largest request body that a router takes.
const UPLOAD_BYTES: usize = 4 * 1024 * 1024;
/// Uploads of each kind that are answered early.
const UPLOADS: usize = 8;
/// Time until a router has filled the buffers of a connection that is not read, and until bytes
/// arrive at a suspended process.
const PAUSE: Duration = Duration::from_millis(100);

/// What is wrong with the head of an answer.
#[derive(Clone, Debug)]
enum Fault {
    Status(&'static str),
    FirstLine(String),
    LastLine(String),
}

impl Fault {
    /// Returns a head with this fault, without a framing.
    fn head(&self, id: &str) -> String {
        let own = format!("X-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Replica-Stamp: t\r\n");
        match self {
            Self::Status(status) => format!("HTTP/1.1 {status} Trouble\r\n{own}"),
            Self::FirstLine(line) => format!("HTTP/1.1 200 OK\r\n{line}\r\n{own}"),
            Self::LastLine(line) => format!("HTTP/1.1 200 OK\r\n{own}{line}\r\n"),
        }
    }
}

/// Where a target writes a head with a fault, and which body follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
enum Place {
    Length,
    Chunks,
    UntilClose,
    Events,
    AfterInterim,
    AfterLateAnswer,
    ResumedStream,
}

impl Place {
    fn request(self) -> (&'static str, &'static str) {
        match self {
            Self::Length | Self::UntilClose => ("GET", "/read/1"),
            Self::Chunks | Self::AfterInterim | Self::AfterLateAnswer => ("POST", "/submit/1"),
            Self::Events | Self::ResumedStream => ("POST", "/talk/1"),
        }
    }

    /// Returns what a target writes.
    fn text(self, id: &str, fault: &Fault) -> String {
        let head = fault.head(id);
        let length = format!("{head}Content-Length: {}\r\n\r\n{BODY}", BODY.len());
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n0\r\n\r\n", text.len());
        match self {
            Self::Length => length,
            Self::Chunks => format!("{head}{CHUNKED}\r\n{}", chunk(BODY)),
            Self::UntilClose => format!("{head}\r\n{BODY}"),
            Self::Events | Self::ResumedStream => {
                format!("{head}{EVENT_STREAM}{CHUNKED}\r\n{}", chunk(EVENT))
            }
            Self::AfterInterim => format!("HTTP/1.1 103 Early Hints\r\n\r\n{length}"),
            Self::AfterLateAnswer => answer("earlier", "200 OK", "", "late") + &length,
        }
    }
}

/// Serves one request and closes the connection.
fn serve(connection: &mut RawConnection, faults: &[Fault], written: &AtomicBool) -> Option<()> {
    let request = connection.read_request()?;
    let id = request.id();
    let mut numbers = id.split('-').filter_map(|part| part.parse::<usize>().ok());
    let fault = numbers.next().and_then(|index| faults.get(index))?;
    let place = numbers.next().and_then(|index| Place::iter().nth(index))?;
    if place == Place::ResumedStream && request.field("last-event-id").is_none() {
        let head = answer(id, "200 OK", EVENT_STREAM, "");
        connection.write(&head.replace("Content-Length: 0\r\n", CHUNKED))?;
        let event = "id: 1\ndata: own\n\n";
        connection.write(&format!("{:x}\r\n{event}\r\n", event.len()))?;
        return None;
    }
    written.store(true, Ordering::SeqCst);
    connection.write(&place.text(id, fault))?;
    None
}

/// Checks that a caller got nothing of a broken answer.
fn check(place: Place, reply: Option<&Reply>) -> Result<(), String> {
    let Some(reply) = reply else {
        // Without an answer, a stream that has begun is broken off.
        return if place == Place::ResumedStream {
            Ok(())
        } else {
            Err("no reply".to_owned())
        };
    };
    let has_part = format!("{}{}", reply.head, reply.body).contains(BODY);
    let is_right = match place {
        Place::ResumedStream => reply.status == 200 && !reply.body.ends_with("0\r\n\r\n"),
        _ => reply.status == 502,
    };
    if !has_part && is_right {
        return Ok(());
    }
    Err(format!("{}\n\n{}", reply.head, reply.body))
}

/// Reports targets once more: one that reports nothing for six seconds gets no more requests.
fn report_targets(
    deployment: &Deployment,
    targets: &[(String, SocketAddr, &str)],
    sequence: usize,
) {
    for (name, address, service) in targets {
        let report = report_body(*address, service, "ready", &sequence.to_string());
        deployment.send_report(name, &report);
    }
}

/// Lets targets answer with each fault at each place; returns what callers got that they must not.
fn broken_replies(network: u8, faults: Vec<Fault>) -> Vec<String> {
    let mut deployment = Deployment::start(network);
    deployment.configure("k1");
    let faults: Arc<[Fault]> = faults.into();
    let written = Arc::new(AtomicBool::new(false));
    let mut targets = Vec::new();
    for service in ["s", "lossy", "engine"] {
        for index in 0..TARGETS {
            let (faults, written) = (Arc::clone(&faults), Arc::clone(&written));
            let address = raw_target::start(deployment.host(20), move |connection| {
                serve(connection, &faults, &written)
            });
            targets.push((format!("{service}-{index}"), address, service));
        }
    }
    report_targets(&deployment, &targets, 0);
    deployment.wait_ready();
    let mut broken = Vec::new();
    for (fault_index, fault) in faults.iter().enumerate() {
        report_targets(&deployment, &targets, fault_index + 1);
        for (place_index, place) in Place::iter().enumerate() {
            let (method, path) = place.request();
            let mut attempt = 0;
            written.store(false, Ordering::SeqCst);
            eventually("a target writes the answer", || {
                attempt += 1;
                let id = format!("id-{fault_index}-{place_index}-{attempt}");
                let reply = deployment.request(method, path, &id, "k1");
                let reached = written.load(Ordering::SeqCst);
                if reached && let Err(reply) = check(place, reply.as_ref()) {
                    broken.push(format!("{fault:?} {place:?}: {reply}"));
                }
                reached
            });
        }
    }
    broken
}

/// Guards against a status that is none of HTTP: callers got it as `HTTP/1.1 0`, with its body.
#[test]
fn an_answer_whose_status_is_none_of_http_reaches_no_caller() {
    let broken = broken_replies(24, INVALID_STATUSES.map(Fault::Status).to_vec());
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn an_answer_with_a_blank_or_control_byte_in_a_field_name_reaches_no_caller() {
    let lines = invalid_field_lines().into_iter();
    let faults = lines.flat_map(|line| [Fault::FirstLine(line.clone()), Fault::LastLine(line)]);
    let broken = broken_replies(29, faults.collect());
    assert!(broken.is_empty(), "{broken:#?}");
}

/// How a target ends an early answer.
#[derive(Clone, Copy, PartialEq)]
enum End {
    Reset,
    /// It closes its side, which shows the end of the answer, and resets the connection.
    CloseThenReset,
}

/// Answers an upload that it does not read, while the router is suspended: the answer and the end
/// of the connection arrive at once.
fn answer_early(connection: &mut RawConnection, router: Pid, end: End) -> Option<()> {
    let request = connection.read_request()?;
    let is_stream = request.head.contains(" /chat/");
    let (kind, body) = if is_stream {
        (EVENT_STREAM, "id: 1\ndata: part\n\n")
    } else {
        ("", "part")
    };
    let head = without_length(&answer(request.id(), "200 OK", kind, ""));
    thread::sleep(PAUSE);
    kill_process(router, Signal::STOP).ok()?;
    connection.write(&format!("{head}{body}"))?;
    if end == End::CloseThenReset {
        connection.close_writing()?;
    }
    connection.reset_at_end()?;
    thread::spawn(move || {
        thread::sleep(PAUSE);
        kill_process(router, Signal::CONT).expect("the router goes on");
    });
    None
}

/// Sends uploads that are answered early; returns the answers.
fn upload(network: u8, path: &str, service: &str, end: End) -> Vec<Option<Reply>> {
    let mut deployment = Deployment::start(network);
    deployment.configure("k1");
    let router = deployment.process_id("router");
    let targets = (0..UPLOADS).map(|index| {
        let address = raw_target::start(deployment.host(20), move |connection| {
            answer_early(connection, router, end)
        });
        (format!("t{index}"), address, service)
    });
    let targets: Vec<_> = targets.collect();
    report_targets(&deployment, &targets, 0);
    deployment.wait_ready();
    thread::sleep(super::versions::SPREAD_TIME);
    let body = vec![b'x'; UPLOAD_BYTES];
    let replies = (1..=UPLOADS).map(|index| {
        report_targets(&deployment, &targets, index);
        let text = request_text("POST", path, &format!("id-{index}"), "k1");
        let text = text.replace("Length: 0", &format!("Length: {UPLOAD_BYTES}"));
        let mut stream = TcpStream::connect(deployment.caller_address()).expect("a connection");
        stream.write_all(text.as_bytes()).expect("a head is sent");
        stream.write_all(&body).expect("a body is sent");
        read_reply(&mut stream)
    });
    replies.collect()
}

/// Guards against the part of an answer that looks whole because the upload's write took the error
/// of the connection.
#[test]
fn a_part_of_an_early_answer_that_is_reset_reaches_no_caller() {
    for reply in upload(37, "/submit/1", "lossy", End::Reset) {
        let reply = reply.expect("a reply");
        assert_eq!(reply.status, 502, "{}\n\n{}", reply.head, reply.body);
    }
}

#[test]
fn an_early_stream_that_is_reset_does_not_look_whole() {
    for reply in upload(38, "/chat/1", "engine", End::Reset) {
        let reply = reply.expect("a reply");
        let is_whole = reply.status == 200 && reply.body.ends_with("0\r\n\r\n");
        assert!(!is_whole, "{}\n\n{}", reply.head, reply.body);
    }
}

/// A target that closes its side has shown the end of its answer.
#[test]
fn an_early_answer_that_is_closed_is_delivered() {
    for reply in upload(39, "/submit/1", "lossy", End::CloseThenReset) {
        let reply = reply.expect("a reply");
        assert_eq!(
            (reply.status, &reply.body[..]),
            (200, "part"),
            "{}",
            reply.head
        );
    }
}

/// Guards against a stream that breaks off and looks whole to a caller of HTTP/1.0, for whom it
/// ends with its connection.
#[test]
fn a_stream_that_breaks_off_is_reset_for_callers_without_chunks() {
    let mut deployment = Deployment::start(78);
    deployment.configure("k1");
    let address = raw_target::start(deployment.host(20), |connection| {
        let request = connection.read_request()?;
        let head = answer(request.id(), "200 OK", EVENT_STREAM, "");
        let event = "id: 1\ndata: own\n\n";
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        connection.write(&head.replace("Content-Length: 0\r\n", CHUNKED))?;
        connection.write(&chunk)?;
        thread::sleep(PAUSE);
        if request.id() == "whole" {
            connection.write("0\r\n\r\n")?;
        }
        None
    });
    deployment.send_report("t", &report_body(address, "engine", "ready", "1"));
    deployment.wait_ready();
    let read = |id: &str| {
        let mut stream = TcpStream::connect(deployment.caller_address()).expect("a connection");
        let text = request_text("POST", "/chat/1", id, "k1").replace("HTTP/1.1", "HTTP/1.0");
        stream
            .write_all(text.as_bytes())
            .expect("a request is sent");
        let mut reply = String::new();
        let end = stream.read_to_string(&mut reply);
        (reply, end.map_err(|error| error.kind()))
    };
    let (reply, end) = read("whole");
    assert!(
        reply.contains("data: own") && end.is_ok(),
        "{reply} {end:?}"
    );
    let (reply, end) = read("cut");
    assert_eq!(end, Err(ErrorKind::ConnectionReset), "{reply}");
}
