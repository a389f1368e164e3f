//! Stand-in targets.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a stand-in target does with its requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Behaviour {
    /// Answers, and closes the connection as its answer says.
    Answer,
    /// Runs the request and closes the connection without an answer.
    CloseWithoutAnswer,
    /// Streams ten events with pauses, or those after the last one that the caller has.
    Stream,
    /// Streams three events, waits until the test releases [`Target::end_gate`] and closes the
    /// connection.
    BreakOff,
    /// Answers the first request of each connection, and closes the connection when the next
    /// one arrives.
    AnswerOnce,
    /// Answers as [`Self::Answer`] and states that it leaves.
    Leaving,
    /// Rejects requests without running them, and asks for none for this many seconds.
    RejectFor(&'static str),
    /// Sends no answer and waits until the router closes the connection.
    NeverAnswer,
    /// Rejects requests without running them, and states that all slots are free.
    RejectWithRoom,
    /// Answers before reading the body, reads the body after a pause, and takes the
    /// next request on the same connection.
    AnswerEarly,
}

/// Events of a whole stream.
pub const EVENTS: u64 = 10;
/// Delay between an early answer and the reading of the body.
const BODY_READ_DELAY: Duration = Duration::from_millis(300);

/// Stand-in target that records the requests it ran.
pub struct Target {
    pub address: SocketAddr,
    pub runs: Arc<AtomicUsize>,
    pub heads: Arc<Mutex<Vec<String>>>,
    /// How many times the target ran each request, by request id.
    pub ids: Arc<Mutex<BTreeMap<String, u32>>>,
    /// Times at which routers closed connections before the answer was complete.
    pub closed_at: Arc<Mutex<Vec<Instant>>>,
    /// Bytes that arrived as bodies of requests that were answered early.
    pub bodies: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Times at which requests arrived.
    pub arrived_at: Arc<Mutex<Vec<Instant>>>,
    /// Requests per second that the answers state as limit, if any.
    pub limit: Arc<Mutex<Option<String>>>,
    /// A stream is broken off only while no one else holds this.
    pub end_gate: Arc<Mutex<()>>,
}

/// Records that all connections of a target share; see the fields of `Target`.
#[derive(Clone)]
struct Observations {
    runs: Arc<AtomicUsize>,
    heads: Arc<Mutex<Vec<String>>>,
    ids: Arc<Mutex<BTreeMap<String, u32>>>,
    closed_at: Arc<Mutex<Vec<Instant>>>,
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
    arrived_at: Arc<Mutex<Vec<Instant>>>,
    limit: Arc<Mutex<Option<String>>>,
    end_gate: Arc<Mutex<()>>,
}

impl Observations {
    /// Records a run; `None` if a thread of a failed test holds the records.
    fn record_run(&self, id: &str, head: &str) -> Option<()> {
        self.heads.lock().ok()?.push(head.to_owned());
        self.arrived_at.lock().ok()?.push(Instant::now());
        self.runs.fetch_add(1, Ordering::SeqCst);
        *self.ids.lock().ok()?.entry(id.to_owned()).or_default() += 1;
        Some(())
    }
}

impl Target {
    pub fn start(host: Ipv4Addr, name: &'static str, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let target = Self {
            address,
            runs: Arc::default(),
            heads: Arc::default(),
            ids: Arc::default(),
            closed_at: Arc::default(),
            bodies: Arc::default(),
            arrived_at: Arc::default(),
            limit: Arc::default(),
            end_gate: Arc::default(),
        };
        let records = Observations {
            runs: Arc::clone(&target.runs),
            heads: Arc::clone(&target.heads),
            ids: Arc::clone(&target.ids),
            closed_at: Arc::clone(&target.closed_at),
            bodies: Arc::clone(&target.bodies),
            arrived_at: Arc::clone(&target.arrived_at),
            limit: Arc::clone(&target.limit),
            end_gate: Arc::clone(&target.end_gate),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let records = records.clone();
                thread::spawn(move || serve(&stream, name, behaviour, &records));
            }
        });
        target
    }

    /// Sets the requests per second that the answers state as limit from now on.
    pub fn state_limit(&self, per_second: Option<&str>) {
        *self.limit.lock().expect("the limit") = per_second.map(str::to_owned);
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

fn serve(stream: &TcpStream, name: &str, behaviour: Behaviour, records: &Observations) {
    while serve_one(stream, name, behaviour, records) == Some(true) {
        if behaviour == Behaviour::AnswerOnce {
            // The request is discarded unread or read, but never run.
            let _ = (&mut &*stream).read(&mut [0; 4096]);
            return;
        }
    }
}

/// Serves one request; returns whether another can follow on the connection.
fn serve_one(
    mut stream: &TcpStream,
    name: &str,
    behaviour: Behaviour,
    records: &Observations,
) -> Option<bool> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains("\r\n\r\n") {
        let count = stream.read(&mut buffer).ok().filter(|&count| count > 0)?;
        text.push_str(std::str::from_utf8(&buffer[..count]).ok()?);
    }
    let body = text.split_once("\r\n\r\n")?.1.as_bytes().to_vec();
    let field = |wanted: &str| {
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        let mut fields = lines.filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
        fields.next().map(|(_, value)| value.to_owned())
    };
    let id = field("x-bamboospur-request-id")?;
    assert_eq!(field("x-bamboospur-expect-replica").as_deref(), Some(name));
    records.record_run(&id, &text)?;
    let limit = records.limit.lock().ok()?.clone();
    let limit = limit.map_or_else(String::new, |limit| format!("Server-Limit: {limit}\r\n"));
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Replica-Stamp: {name}\r\n{limit}"
    );
    match behaviour {
        Behaviour::CloseWithoutAnswer => {}
        Behaviour::NeverAnswer => {
            while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
            records.closed_at.lock().ok()?.push(Instant::now());
        }
        Behaviour::AnswerEarly => {
            answer(stream, &head, "")?;
            let length: usize = field("content-length")?.parse().ok()?;
            return read_body_late(stream, body, length, records);
        }
        Behaviour::RejectWithRoom => {
            reject(stream, &head, "X-Bamboospur-Replica-Load: 0,0,4")?;
        }
        Behaviour::RejectFor(seconds) => {
            reject(stream, &head, &format!("Retry-After: {seconds}"))?;
        }
        Behaviour::AnswerOnce => {
            answer(stream, &head, "Keep-Alive: timeout=60\r\n")?;
            return Some(true);
        }
        Behaviour::Answer => answer(stream, &head, "Connection: close\r\n")?,
        Behaviour::Leaving => answer(stream, &head, "Server-Leaving: 1\r\n")?,
        Behaviour::Stream | Behaviour::BreakOff => {
            let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            stream.write_all(format!("{head}{kind}").as_bytes()).ok()?;
            let last = field("last-event-id").and_then(|value| value.parse().ok());
            let first: u64 = last.map_or(1, |last: u64| last + 1);
            let is_whole = behaviour == Behaviour::Stream;
            let end = if is_whole { EVENTS } else { first + 2 };
            if write_events(stream, name, first..=end, is_whole).is_err() {
                records.closed_at.lock().ok()?.push(Instant::now());
                return None;
            }
            if behaviour == Behaviour::BreakOff {
                drop(records.end_gate.lock().ok()?);
            }
        }
    }
    Some(false)
}

/// Answers a request, with further header lines.
fn answer(mut stream: &TcpStream, head: &str, lines: &str) -> Option<()> {
    let text = format!("{head}{lines}Content-Length: 2\r\n\r\nok");
    stream.write_all(text.as_bytes()).ok()
}

/// Answers that the request did not run, with a further header line.
fn reject(mut stream: &TcpStream, head: &str, line: &str) -> Option<()> {
    let head = head.replace("200 OK", "503 Service Unavailable");
    let rest = format!("X-Bamboospur-Not-Executed: 1\r\n{line}\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(format!("{head}{rest}").as_bytes()).ok()
}

/// Writes events with these ids and the target's name, with pauses, and the end of the
/// stream if it is whole.
fn write_events(
    mut stream: &TcpStream,
    name: &str,
    events: RangeInclusive<u64>,
    is_whole: bool,
) -> std::io::Result<()> {
    for event in events {
        let data = format!("id: {event}\ndata: {name}\n\n");
        let chunk = format!("{:x}\r\n{data}\r\n", data.len());
        stream.write_all(chunk.as_bytes())?;
        thread::sleep(Duration::from_millis(200));
    }
    stream.write_all(if is_whole { b"0\r\n\r\n" } else { b"" })
}

/// Reads the rest of a body after a pause; returns whether it was complete.
fn read_body_late(
    stream: &TcpStream,
    mut body: Vec<u8>,
    length: usize,
    records: &Observations,
) -> Option<bool> {
    thread::sleep(BODY_READ_DELAY);
    let left = u64::try_from(length.saturating_sub(body.len())).ok()?;
    // A reset connection ends the body; what arrived before is recorded.
    let _ = stream.take(left).read_to_end(&mut body);
    let is_whole = body.len() == length;
    records.bodies.lock().ok()?.push(body);
    Some(is_whole)
}
