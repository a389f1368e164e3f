//! A target on raw TCP that fails in the ways that a test chooses.

use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::heartbeat::Heartbeat;

/// Number of events in a complete stream.
pub const EVENT_COUNT: u64 = 6;

/// What a target does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetAction {
    /// Sends a complete answer, as a stream when the request asks for one.
    Answer,
    /// Reads the request and sends nothing.
    NoAnswer,
    /// Closes the connection in the middle of the head.
    CloseInHead,
    /// Closes the connection after this many bytes of a complete answer.
    CloseAfterBytes(usize),
    /// Refuses with status 503 without running the request, and states this `Retry-After`.
    RefuseFor(&'static str),
    /// Closes the connection before the end of a body with `content-length`.
    CloseInBody,
    /// Closes the connection before the last chunk of a chunked body.
    NoLastChunk,
    /// Sends a body with neither `content-length` nor chunked encoding.
    Unframed,
    /// Answers after this many milliseconds.
    AnswerAfterMs(u64),
    /// Answers with an `x-request-id` that is not that of the request.
    WrongRequestId,
    /// Sends the complete answer twice.
    DuplicateAnswer,
    /// Refuses with a status, with or without the header that proves that the request
    /// did not run.
    Refuse(u16, bool),
    /// Streams this many events and closes the connection.
    CloseAfterEvents(u64),
    /// Streams this many events and then keeps the connection open without sending.
    StallAfterEvents(u64),
    /// Ends a stream with the last chunk, but without the end event.
    NoEndEvent,
    /// Streams a part of an event, and a whole answer behind it.
    AnswerInEvent,
    /// Streams from the first event on, also when the request asks for a resume.
    RestartStream,
    /// Leaves out the first event after the resume point.
    SkipEvent,
    /// Sends a complete answer without `x-request-id`.
    NoRequestId,
    /// Sends a complete answer without `x-request-id` before the own one.
    AnswerBefore,
    /// Answers a resume with status 410.
    Gone,
    /// Streams events until the connection breaks.
    EndlessStream,
    /// Sends this text, in which `ID` stands for the id of the request, and closes the connection.
    Raw(&'static str),
    /// Sends these parts again and again after a beginning, until the connection breaks.
    /// `ID` in the beginning stands for the id of the request.
    Endless(&'static str, &'static str),
}

/// A request as the target received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Request line.
    pub line: String,
    /// Request line and headers.
    pub head: String,
    pub body: String,
    pub received_at: Instant,
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
    actions: Mutex<VecDeque<TargetAction>>,
    requests: Mutex<Vec<ReceivedRequest>>,
    connections: Mutex<u64>,
    endless_events: Mutex<u64>,
    endless_bytes: Mutex<u64>,
    /// Requests per second that answers state as limit.
    limit: Mutex<Option<String>>,
}

/// A running target that performs a list of actions, one for each request, and then
/// answers all requests.
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
        actions: &[TargetAction],
        operators: SocketAddr,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let shared = Arc::new(Shared {
            actions: Mutex::new(actions.iter().copied().collect()),
            ..Shared::default()
        });
        let server_shared = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = Arc::clone(&server_shared);
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

    /// Returns the number of requests received, resumes and cancels not counted.
    pub fn runs(&self) -> usize {
        let requests = self.received_requests();
        let runs = requests.iter().filter(|request| {
            let cancel = request.line.contains("/v1/cancel");
            let resume = request.header("x-resume-request-id").is_some();
            !cancel && !resume
        });
        runs.count()
    }

    pub fn resumes(&self) -> usize {
        let requests = self.received_requests();
        let resumes = requests.iter();
        resumes
            .filter(|s| s.header("x-resume-request-id").is_some())
            .count()
    }

    pub fn cancels(&self) -> usize {
        let requests = self.received_requests();
        requests
            .iter()
            .filter(|s| s.line.contains("/v1/cancel"))
            .count()
    }

    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        self.shared.requests.lock().expect("requests").clone()
    }

    pub fn connections(&self) -> u64 {
        *self.shared.connections.lock().expect("connections")
    }

    /// Returns the number of events that endless streams wrote.
    pub fn endless_events(&self) -> u64 {
        *self.shared.endless_events.lock().expect("events")
    }

    /// Returns the number of bytes that [`TargetAction::Endless`] wrote.
    pub fn endless_bytes(&self) -> u64 {
        *self.shared.endless_bytes.lock().expect("bytes")
    }

    pub fn push_action(&self, action: TargetAction) {
        self.shared
            .actions
            .lock()
            .expect("actions")
            .push_back(action);
    }

    /// Sets the requests per second that whole answers state as limit from now on.
    pub fn state_limit(&self, per_second: Option<&str>) {
        *self.shared.limit.lock().expect("the limit") = per_second.map(str::to_owned);
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
    while let Some(request) = read_request(&mut stream) {
        shared
            .requests
            .lock()
            .expect("requests")
            .push(request.clone());
        if request.line.contains("/v1/cancel") {
            write_answer(&mut stream, &request, 200, "{}");
            continue;
        }
        let action = shared.actions.lock().expect("actions").pop_front();
        if !perform(
            &mut stream,
            &request,
            action.unwrap_or(TargetAction::Answer),
            shared,
        ) {
            return;
        }
    }
}

/// Performs an action; returns whether the connection takes more requests.
fn perform(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    action: TargetAction,
    shared: &Shared,
) -> bool {
    let id = request.header("x-request-id").unwrap_or_default();
    let run = shared.requests.lock().expect("requests").len();
    let body = json!({"run": run, "seen": request.line}).to_string();
    match action {
        TargetAction::Answer if request.body.contains("\"stream\":true") => {
            write_events(stream, request, EVENT_COUNT, true);
        }
        TargetAction::Answer => {
            let limit = shared.limit.lock().expect("the limit").clone();
            let limit = limit.map_or_else(String::new, |l| format!("x-request-limit: {l}\r\n"));
            let extra = format!("{limit}content-length: {}", body.len());
            write(stream, &(head(200, &id, &extra) + &body));
        }
        TargetAction::AnswerAfterMs(millis) => {
            thread::sleep(Duration::from_millis(millis));
            return perform(stream, request, TargetAction::Answer, shared);
        }
        TargetAction::WrongRequestId => {
            let head = head(200, "another", &format!("content-length: {}", body.len()));
            write(stream, &(head + &body));
        }
        TargetAction::DuplicateAnswer => {
            write_answer(stream, request, 200, &body);
            write_answer(stream, request, 200, &body);
        }
        TargetAction::Refuse(status, proof) => {
            let proof = if proof { "x-not-run: true\r\n" } else { "" };
            let extra = format!("{proof}content-length: 2");
            write(stream, &(head(status, &id, &extra) + "{}"));
        }
        TargetAction::RefuseFor(seconds) => {
            let extra = format!("x-not-run: true\r\nretry-after: {seconds}\r\ncontent-length: 2");
            write(stream, &(head(503, &id, &extra) + "{}"));
        }
        TargetAction::RestartStream => write_event_range(stream, &id, 1, EVENT_COUNT, true),
        TargetAction::SkipEvent => {
            let after = request.header("last-event-id").and_then(|v| v.parse().ok());
            write_event_range(stream, &id, after.unwrap_or(0) + 2, EVENT_COUNT, true);
        }
        TargetAction::NoRequestId => {
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            write(stream, &(head + &body));
        }
        TargetAction::AnswerBefore => {
            perform(stream, request, TargetAction::NoRequestId, shared);
            return perform(stream, request, TargetAction::Answer, shared);
        }
        TargetAction::Gone => write_answer(stream, request, 410, "{}"),
        TargetAction::NoEndEvent => {
            write_events(stream, request, EVENT_COUNT - 1, false);
            write(stream, "0\r\n\r\n");
        }
        _ => {
            perform_and_close(stream, request, action, shared, (&id, &body));
            return false;
        }
    }
    true
}

/// Performs an action after which the connection is closed.
fn perform_and_close(
    stream: &mut TcpStream,
    request: &ReceivedRequest,
    action: TargetAction,
    shared: &Shared,
    (id, body): (&str, &str),
) {
    let length = body.len();
    match action {
        TargetAction::CloseInHead => write(stream, "HTTP/1.1 200 OK\r\ncontent-le"),
        TargetAction::CloseAfterBytes(count) => {
            let whole = if request.body.contains("\"stream\":true") {
                let events = (1..=EVENT_COUNT).map(|number| chunk(&event(number)));
                stream_head(id)
                    + &events.collect::<String>()
                    + &chunk("data: [DONE]\n\n")
                    + "0\r\n\r\n"
            } else {
                head(200, id, &format!("content-length: {length}")) + body
            };
            write(stream, &whole[..count.min(whole.len() - 1)]);
        }
        TargetAction::CloseInBody => {
            let head = head(200, id, &format!("content-length: {}", length + 10));
            write(stream, &(head + body));
        }
        TargetAction::NoLastChunk => {
            let head = head(200, id, "transfer-encoding: chunked");
            write(stream, &(head + &format!("{length:x}\r\n{body}\r\n")));
        }
        TargetAction::Unframed => write(stream, &(head(200, id, "x-unframed: 1") + body)),
        TargetAction::AnswerInEvent => {
            write(stream, &stream_head(id));
            let answer = head(200, id, &format!("content-length: {length}")) + body;
            write(stream, &chunk(&event(1)));
            write(stream, &chunk(&format!("id: 2\ndata: {{\"tok{answer}\n\n")));
        }
        TargetAction::CloseAfterEvents(count) => write_events(stream, request, count, false),
        TargetAction::StallAfterEvents(count) => {
            write_events(stream, request, count, false);
            wait_for_close(stream);
        }
        TargetAction::EndlessStream => write_endless(stream, id, shared),
        TargetAction::Raw(text) => write(stream, &text.replace("ID", id)),
        TargetAction::Endless(begin, repeated) => {
            write(stream, &begin.replace("ID", id));
            let repeated = repeated.repeat(16 * 1024 / repeated.len());
            while stream.write_all(repeated.as_bytes()).is_ok() {
                *shared.endless_bytes.lock().expect("bytes") += repeated.len() as u64;
            }
        }
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
    let mut request = ReceivedRequest {
        line: head.lines().next()?.to_owned(),
        head,
        body: String::new(),
        received_at: Instant::now(),
    };
    let length = request
        .header("content-length")
        .and_then(|v| v.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).ok()?;
    Some(request)
}

fn head(status: u16, id: &str, extra: &str) -> String {
    format!(
        "HTTP/1.1 {status} Test\r\ncontent-type: application/json\r\n\
         x-request-id: {id}\r\n{extra}\r\n\r\n"
    )
}

fn write_answer(stream: &mut TcpStream, request: &ReceivedRequest, status: u16, body: &str) {
    let id = request.header("x-request-id").unwrap_or_default();
    let head = head(status, &id, &format!("content-length: {}", body.len()));
    write(stream, &(head + body));
}

/// Writes the events after the resume point up to number `last`, then the end of the
/// stream if `with_end` is set.
fn write_events(stream: &mut TcpStream, request: &ReceivedRequest, last: u64, with_end: bool) {
    let id = request.header("x-request-id").unwrap_or_default();
    let after = request.header("last-event-id").and_then(|v| v.parse().ok());
    write_event_range(stream, &id, after.unwrap_or(0) + 1, last, with_end);
}

fn write_event_range(stream: &mut TcpStream, id: &str, first: u64, last: u64, with_end: bool) {
    write(stream, &stream_head(id));
    for number in first..=last {
        write(stream, &chunk(&event(number)));
    }
    if with_end {
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
    // The node may have closed the connection; tests check what the caller receives.
    let _ = stream.write_all(text.as_bytes());
}

fn wait_for_close(stream: &mut TcpStream) {
    let mut rest = [0; 64];
    while matches!(stream.read(&mut rest), Ok(count) if count > 0) {}
}
