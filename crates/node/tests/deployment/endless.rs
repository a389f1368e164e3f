//! Targets that send bytes without end which are no answer, until the router closes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::harness::{Deployment, call, eventually, report_body, request_text};

/// Largest body that a router reads.
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;
/// What the buffers of a connection hold on both sides.
const MAX_BUFFERED_BYTES: u64 = 12 * 1024 * 1024;
/// Longest time to the answer, which must not wait for the deadline of the request.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(5);

/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(6);
const SLACK: Duration = Duration::from_secs(1);

/// What a target sends: a beginning, and a part that it repeats.
struct Form {
    name: &'static str,
    path: &'static str,
    service: &'static str,
    begin: &'static str,
    repeat: &'static str,
    /// Bytes of the body in each repeated part; the others are its framing.
    body_bytes: u64,
    /// Whether the caller may get a whole answer.
    may_succeed: bool,
}

impl Form {
    const fn answer(name: &'static str, begin: &'static str, repeat: &'static str) -> Self {
        Self {
            name,
            path: "/read/1",
            service: "s",
            begin,
            repeat,
            body_bytes: repeat.len() as u64,
            may_succeed: false,
        }
    }

    /// Returns the most bytes that a target may write for a request.
    const fn max_written_bytes(&self) -> u64 {
        MAX_BODY_BYTES * self.repeat.len() as u64 / self.body_bytes + MAX_BUFFERED_BYTES
    }

    const fn stream(name: &'static str, begin: &'static str, repeat: &'static str) -> Self {
        Self {
            path: "/talk/1",
            service: "engine",
            ..Self::answer(name, begin, repeat)
        }
    }
}

const OK: &str =
    "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: ID\r\nX-Bamboospur-Replica-Stamp: t\r\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: ID\r\n\
                      X-Bamboospur-Replica-Stamp: t\r\nContent-Type: text/event-stream\r\n\r\n";
const REJECTED: &str = "HTTP/1.1 503 Full\r\nX-Bamboospur-Request-Id: ID\r\n\
                        X-Bamboospur-Not-Executed: 1\r\n\r\n";
const LATE: &str = "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: other\r\n\
                    X-Bamboospur-Replica-Stamp: t\r\n\r\n";

fn forms() -> Vec<Form> {
    let whole = Form {
        may_succeed: true,
        ..Form::answer(
            "bytes after an answer",
            "OKContent-Length: 2\r\n\r\nok",
            "more",
        )
    };
    let chunks = Form {
        body_bytes: 4,
        ..Form::answer(
            "chunks",
            "OKTransfer-Encoding: chunked\r\n\r\n",
            "4\r\nbody\r\n",
        )
    };
    vec![
        Form::answer("no head", "", "\u{1}\u{2}bytes"),
        Form::answer("empty lines", "", "\r\n"),
        Form::answer("a field", "OKX: ", "aaaa"),
        Form::answer("fields", "OK", "X-Field: value\r\n"),
        Form::answer("interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        Form::answer("a body to the close", "OK\r\n", "body"),
        Form::answer(
            "a long body",
            "OKContent-Length: 99999999999999\r\n\r\n",
            "body",
        ),
        chunks,
        Form::answer(
            "a chunk size",
            "OKTransfer-Encoding: chunked\r\n\r\n4;",
            "aaaa",
        ),
        Form::answer(
            "trailers",
            "OKTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "A: b\r\n",
        ),
        Form::answer("a rejection", REJECTED, "body"),
        Form::answer("an answer to another request", LATE, "body"),
        whole,
        Form::stream("an event", EVENTS, "data: more\n"),
        Form::stream("comments", EVENTS, ": alive\n\n"),
        Form::stream("an event again and again", EVENTS, "id: 1\ndata: t\n\n"),
        Form::stream("a stream's rejection", REJECTED, "id: 1\ndata: t\n\n"),
    ]
}

/// What a target wrote, over all connections.
#[derive(Default)]
struct Written {
    bytes: AtomicU64,
    /// Connections that still take bytes.
    open: AtomicUsize,
}

fn serve(mut stream: &TcpStream, form: &Form, written: &Written) -> Option<()> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains("\r\n\r\n") {
        let count = stream.read(&mut buffer).ok().filter(|&count| count > 0)?;
        text.push_str(std::str::from_utf8(&buffer[..count]).ok()?);
    }
    let lower = text.to_ascii_lowercase();
    let (_, rest) = lower.split_once("x-bamboospur-request-id: ")?;
    let begin = form
        .begin
        .replacen("OK", OK, usize::from(form.begin.starts_with("OK")));
    let begin = begin.replace("ID", rest.lines().next()?);
    stream.write_all(begin.as_bytes()).ok()?;
    let repeated = form.repeat.repeat(16 * 1024 / form.repeat.len());
    loop {
        stream.write_all(repeated.as_bytes()).ok()?;
        let count = u64::try_from(repeated.len()).ok()?;
        written.bytes.fetch_add(count, Ordering::SeqCst);
    }
}

fn start_target(host: std::net::Ipv4Addr, form: Arc<Form>) -> (SocketAddr, Arc<Written>) {
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let written = Arc::<Written>::default();
    let shared = Arc::clone(&written);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (form, written) = (Arc::clone(&form), Arc::clone(&shared));
            thread::spawn(move || {
                written.open.fetch_add(1, Ordering::SeqCst);
                let _closed = serve(&stream, &form, &written);
                written.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    (address, written)
}

/// While the next bytes had always arrived already, the deadline never ended the stream.
#[test]
fn a_stream_of_events_without_end_ends_at_the_deadline() {
    let mut deployment = Deployment::start(79);
    deployment.configure("k1");
    let form = Form::stream("events", EVENTS, "data: more\n\n");
    let (address, written) = start_target(deployment.host(20), Arc::new(form));
    let body = report_body(address, "engine", "ready", "1");
    deployment.send_report("t", &body);
    deployment.wait_ready();
    let mut caller = TcpStream::connect(deployment.caller_address()).expect("a connection");
    let text = request_text("POST", "/talk/1", "id-1", "k1");
    caller.write_all(text.as_bytes()).expect("it is sent");
    let sent_at = Instant::now();
    let mut buffer = vec![0; 64 * 1024];
    let mut last = Vec::new();
    while let Ok(count @ 1..) = caller.read(&mut buffer) {
        last = buffer[..count].to_vec();
        assert!(sent_at.elapsed() < DEADLINE + SLACK, "the stream goes on");
        thread::sleep(Duration::from_millis(1));
    }
    assert!(
        sent_at.elapsed() + SLACK > DEADLINE,
        "the stream ended early"
    );
    assert!(
        !last.ends_with(b"0\r\n\r\n"),
        "a broken stream looks complete"
    );
    eventually("the connection to the target is closed", || {
        written.open.load(Ordering::SeqCst) == 0
    });
}

/// A router read some of these at full speed until the deadline of the request.
#[test]
fn bytes_without_end_that_are_no_answer_are_read_up_to_a_limit() {
    let mut failed = Vec::new();
    for form in forms() {
        let mut deployment = Deployment::start(19);
        deployment.configure("k1");
        let form = Arc::new(form);
        let (address, written) = start_target(deployment.host(20), Arc::clone(&form));
        let body = report_body(address, form.service, "ready", "1");
        deployment.send_report("t", &body);
        deployment.wait_ready();
        let sent_at = Instant::now();
        let method = if form.service == "s" { "GET" } else { "POST" };
        let text = request_text(method, form.path, "id-1", "k1");
        let reply = call(deployment.caller_address(), &text);
        let took = sent_at.elapsed();
        let is_whole = reply.is_some_and(|reply| {
            reply.status == 200 && (form.service == "s" || reply.body.ends_with("0\r\n\r\n"))
        });
        // The last connection may end after the answer.
        eventually("the connections are closed", || {
            written.open.load(Ordering::SeqCst) == 0
        });
        let bytes = written.bytes.load(Ordering::SeqCst);
        println!("{}: {bytes} bytes in {took:?}", form.name);
        let read_too_much = bytes > form.max_written_bytes();
        if read_too_much || took > MAX_ANSWER_TIME || (is_whole && !form.may_succeed) {
            let megabytes = bytes / 1_000_000;
            failed.push(format!(
                "{}: {megabytes} MB in {took:?}, {is_whole}",
                form.name
            ));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
