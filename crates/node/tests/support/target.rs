//! A target that misbehaves as told, on raw TCP.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::json;

use super::heartbeat::Heartbeat;

/// Events of a whole test stream.
pub const EVENTS: u64 = 6;

/// What a target does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAction {
    /// Answers well, with a stream when one is asked for.
    Answer,
    /// Reads the request and never answers.
    Silence,
    /// Closes the connection inside the head.
    CutHead,
    /// Closes the connection inside a body with a length.
    CutBody,
    /// Closes the connection before the last chunk.
    NoLastChunk,
    /// Sends a body without any framing.
    Unframed,
    /// Answers after so many milliseconds.
    Late(u64),
    /// Answers with another request's id.
    Crossed,
    /// Sends the answer twice.
    Twice,
    /// Refuses with a status, with or without proof.
    Refuse(u16, bool),
    /// Streams this many events and closes the connection.
    CutAfter(u64),
    /// Streams this many events and falls silent.
    StallAfter(u64),
    /// Ends a stream properly, but without its end event.
    NoDone,
    /// Streams from the first event on, also when asked to resume.
    FromStart,
    /// Leaves out the event after the resume point.
    Skip,
    /// Answers well, but without the request's id.
    NoEcho,
    /// Has no stream to resume.
    Gone,
    /// Streams without end until the connection breaks.
    Endless,
}

/// A request as the target saw it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub line: String,
    pub head: String,
    pub body: String,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<String> {
        let mut lines = self.head.lines();
        let found = lines.find_map(|line| {
            let (field, value) = line.split_once(": ")?;
            field.eq_ignore_ascii_case(name).then_some(value)
        });
        found.map(str::to_owned)
    }
}

#[derive(Default)]
struct Shared {
    acts: Mutex<VecDeque<TargetAction>>,
    seen: Mutex<Vec<ReceivedRequest>>,
    connections: Mutex<u64>,
    endless_events: Mutex<u64>,
}

/// A target with its script.
pub struct Target {
    address: SocketAddr,
    shared: Arc<Shared>,
    heartbeat: Heartbeat,
}

impl Target {
    pub fn start(
        name: &str,
        pool: &str,
        kind: &str,
        acts: &[TargetAction],
        operators: SocketAddr,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let shared = Arc::new(Shared {
            acts: Mutex::new(acts.iter().copied().collect()),
            ..Shared::default()
        });
        let serving = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = Arc::clone(&serving);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        let offers = if kind == "engine" {
            vec!["demo-chat"]
        } else {
            vec![]
        };
        let record = json!({
            "name": name, "incarnation": 1, "address": address.to_string(),
            "data_centre": "dev", "pool": pool, "kind": kind, "offers": offers,
            "capacity_tokens": 10_000_000, "capacity_requests": 4096, "checks_fencing": false,
        });
        Self {
            address,
            shared,
            heartbeat: Heartbeat::start(operators, record),
        }
    }

    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Requests that the target ran: resumes, cancels and refusals not counted.
    pub fn runs(&self) -> usize {
        let seen = self.received_requests();
        let runs = seen.iter().filter(|seen| {
            let cancel = seen.line.contains("/v1/cancel");
            let resume = seen.header("x-resume-request-id").is_some();
            !cancel && !resume
        });
        runs.count()
    }

    pub fn resumes(&self) -> usize {
        let seen = self.received_requests();
        let resumes = seen.iter();
        resumes
            .filter(|s| s.header("x-resume-request-id").is_some())
            .count()
    }

    pub fn cancels(&self) -> usize {
        let seen = self.received_requests();
        seen.iter()
            .filter(|s| s.line.contains("/v1/cancel"))
            .count()
    }

    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.seen.lock().expect("seen").clone()
    }

    pub fn connections(&self) -> u64 {
        *self.shared.connections.lock().expect("connections")
    }

    /// Events written by endless streams.
    pub fn endless_events(&self) -> u64 {
        *self.shared.endless_events.lock().expect("events")
    }

    pub fn push_action(&self, act: TargetAction) {
        self.shared.acts.lock().expect("acts").push_back(act);
    }

    pub fn drain(&self) {
        self.heartbeat.drain();
    }

    pub fn leave(&self) {
        self.heartbeat.leave();
    }
}

fn serve(mut stream: TcpStream, shared: &Shared) {
    *shared.connections.lock().expect("connections") += 1;
    while let Some(seen) = read_request(&mut stream) {
        shared.seen.lock().expect("seen").push(seen.clone());
        if seen.line.contains("/v1/cancel") {
            write_whole(&mut stream, &seen, 200, "{}");
            continue;
        }
        let act = shared.acts.lock().expect("acts").pop_front();
        if !perform(
            &mut stream,
            &seen,
            act.unwrap_or(TargetAction::Answer),
            shared,
        ) {
            return;
        }
    }
}

/// Returns whether the connection goes on.
fn perform(
    stream: &mut TcpStream,
    seen: &ReceivedRequest,
    act: TargetAction,
    shared: &Shared,
) -> bool {
    let id = seen.header("x-request-id").unwrap_or_default();
    let run = shared.seen.lock().expect("seen").len();
    let body = json!({"run": run, "seen": seen.line}).to_string();
    match act {
        TargetAction::Answer if seen.body.contains("\"stream\":true") => {
            write_events(stream, seen, EVENTS, true);
        }
        TargetAction::Answer => write_whole(stream, seen, 200, &body),
        TargetAction::Late(millis) => {
            thread::sleep(Duration::from_millis(millis));
            return perform(stream, seen, TargetAction::Answer, shared);
        }
        TargetAction::Crossed => {
            let head = head(200, "another", &format!("content-length: {}", body.len()));
            write(stream, &(head + &body));
        }
        TargetAction::Twice => {
            write_whole(stream, seen, 200, &body);
            write_whole(stream, seen, 200, &body);
        }
        TargetAction::Refuse(status, proof) => {
            let proof = if proof { "x-not-run: true\r\n" } else { "" };
            let extra = format!("{proof}content-length: 2");
            write(stream, &(head(status, &id, &extra) + "{}"));
        }
        TargetAction::FromStart => write_numbered(stream, &id, 1, EVENTS, true),
        TargetAction::Skip => {
            let after = seen.header("last-event-id").and_then(|v| v.parse().ok());
            write_numbered(stream, &id, after.unwrap_or(0) + 2, EVENTS, true);
        }
        TargetAction::NoEcho => {
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            write(stream, &(head + &body));
        }
        TargetAction::Gone => write_whole(stream, seen, 410, "{}"),
        TargetAction::NoDone => {
            write_events(stream, seen, EVENTS - 1, false);
            write(stream, "0\r\n\r\n");
        }
        _ => {
            break_off(stream, seen, act, shared, (&id, &body));
            return false;
        }
    }
    true
}

/// Acts after which the connection is closed.
fn break_off(
    stream: &mut TcpStream,
    seen: &ReceivedRequest,
    act: TargetAction,
    shared: &Shared,
    (id, body): (&str, &str),
) {
    let length = body.len();
    match act {
        TargetAction::CutHead => write(stream, "HTTP/1.1 200 OK\r\ncontent-le"),
        TargetAction::CutBody => {
            let head = head(200, id, &format!("content-length: {}", length + 10));
            write(stream, &(head + body));
        }
        TargetAction::NoLastChunk => {
            let head = head(200, id, "transfer-encoding: chunked");
            write(stream, &(head + &format!("{length:x}\r\n{body}\r\n")));
        }
        TargetAction::Unframed => write(stream, &(head(200, id, "x-unframed: 1") + body)),
        TargetAction::CutAfter(count) => write_events(stream, seen, count, false),
        TargetAction::StallAfter(count) => {
            write_events(stream, seen, count, false);
            wait_for_close(stream);
        }
        TargetAction::Endless => write_endless(stream, id, shared),
        _ => wait_for_close(stream),
    }
}

fn read_request(stream: &mut TcpStream) -> Option<ReceivedRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let mut seen = ReceivedRequest {
        line: head.lines().next()?.to_owned(),
        head,
        body: String::new(),
    };
    let length = seen.header("content-length").and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    seen.body = String::from_utf8(body).ok()?;
    Some(seen)
}

fn head(status: u16, id: &str, extra: &str) -> String {
    format!(
        "HTTP/1.1 {status} Test\r\ncontent-type: application/json\r\n\
         x-request-id: {id}\r\n{extra}\r\n\r\n"
    )
}

fn write_whole(stream: &mut TcpStream, seen: &ReceivedRequest, status: u16, body: &str) {
    let id = seen.header("x-request-id").unwrap_or_default();
    let head = head(status, &id, &format!("content-length: {}", body.len()));
    write(stream, &(head + body));
}

/// Writes events after the resume point up to a number, then maybe the end.
fn write_events(stream: &mut TcpStream, seen: &ReceivedRequest, last: u64, whole: bool) {
    let id = seen.header("x-request-id").unwrap_or_default();
    let after = seen.header("last-event-id").and_then(|v| v.parse().ok());
    write_numbered(stream, &id, after.unwrap_or(0) + 1, last, whole);
}

fn write_numbered(stream: &mut TcpStream, id: &str, first: u64, last: u64, whole: bool) {
    write(stream, &stream_head(id));
    for number in first..=last {
        write(stream, &chunk(&event(number)));
    }
    if whole {
        write(stream, &chunk("data: [DONE]\n\n"));
        write(stream, "0\r\n\r\n");
    }
}

fn write_endless(stream: &mut TcpStream, id: &str, shared: &Shared) {
    write(stream, &stream_head(id));
    let padding = "x".repeat(4096);
    for number in 1.. {
        let event = format!("id: {number}\ndata: {{\"token\":\"{padding}\"}}\n\n");
        if stream.write_all(chunk(&event).as_bytes()).is_err() {
            return;
        }
        *shared.endless_events.lock().expect("events") += 1;
    }
}

fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\nx-request-id: {id}\r\n\r\n"
    )
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: {{\"token\":\"t{number}\"}}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn write(stream: &mut TcpStream, text: &str) {
    // The node may have closed the connection; the test looks at the caller.
    let _ = stream.write_all(text.as_bytes());
}

fn wait_for_close(stream: &mut TcpStream) {
    let mut rest = [0; 64];
    while matches!(stream.read(&mut rest), Ok(count) if count > 0) {}
}
