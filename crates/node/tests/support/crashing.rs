//! Engines that end when they begin to answer a chat with one message, and start again after
//! a pause.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::Heartbeat;

/// Message that ends each engine.
pub const CRASHING_MESSAGE: &str = "this message crashes engines";
const RESTART_AFTER: Duration = Duration::from_secs(2);
const PREFILL_TIME: Duration = Duration::from_millis(30);
const EVENT_PAUSE: Duration = Duration::from_millis(50);
const EVENTS: u64 = 8;

/// What happened at all engines of a test.
#[derive(Debug, Default)]
pub struct CrashRecords {
    pub crashes: Vec<Instant>,
    /// Arrivals of chats with [`CRASHING_MESSAGE`], resumes included.
    pub crashing_arrivals: Vec<Instant>,
}

/// What becomes of connections while an engine is down.
#[derive(Clone, Copy, PartialEq)]
pub enum WhileDown {
    /// They are refused.
    Refuse,
    /// A proxy in front of the engine takes and resets them.
    Reset,
}

/// An engine that runs until the test ends.
pub struct CrashingEngine;

struct Start {
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl CrashingEngine {
    /// Starts an engine that announces itself to these nodes.
    pub fn start(
        name: &str,
        operators: Vec<SocketAddr>,
        records: &Arc<Mutex<CrashRecords>>,
        while_down: WhileDown,
    ) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
        let address = listener.local_addr().expect("address");
        let (name, records) = (name.to_owned(), Arc::clone(records));
        thread::spawn(move || {
            let mut listener = listener;
            for incarnation in 1.. {
                let record = json!({
                    "name": name, "incarnation": incarnation, "address": address.to_string(),
                    "data_centre": "dev", "pool": "demo-chat", "kind": "engine",
                    "offers": ["demo-chat"], "capacity_tokens": 10_000_000,
                    "capacity_requests": 4096, "checks_fencing": false,
                });
                let beats = operators
                    .iter()
                    .map(|&to| Heartbeat::start(to, record.clone()));
                let beats: Vec<Heartbeat> = beats.collect();
                serve(&listener, &records);
                drop(beats);
                if while_down == WhileDown::Reset {
                    reset_connections(&listener, RESTART_AFTER);
                    continue;
                }
                drop(listener);
                thread::sleep(RESTART_AFTER);
                listener = TcpListener::bind(address).expect("the address is free");
            }
        });
    }
}

/// Takes connections and closes them for a time.
fn reset_connections(listener: &TcpListener, time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        if listener.accept().is_err() {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Accepts connections until the engine has ended.
fn serve(listener: &TcpListener, records: &Arc<Mutex<CrashRecords>>) {
    let start = Arc::new(Start {
        has_ended: AtomicBool::new(false),
        connections: Mutex::default(),
    });
    listener.set_nonblocking(true).expect("a listener");
    while !start.has_ended.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        stream.set_nonblocking(false).expect("a connection");
        let kept = stream.try_clone().expect("a connection");
        start.connections.lock().expect("connections").push(kept);
        let (start, records) = (Arc::clone(&start), Arc::clone(records));
        thread::spawn(move || while serve_one(&stream, &start, &records).is_some() {});
    }
    end(&start);
}

/// Ends all connections, as the end of a process does.
fn end(start: &Start) {
    start.has_ended.store(true, Ordering::SeqCst);
    for connection in start.connections.lock().expect("connections").iter() {
        // It may have ended already.
        let _ = connection.shutdown(Shutdown::Both);
    }
}

/// Serves one request; `None` when the connection has ended.
fn serve_one(mut stream: &TcpStream, start: &Start, records: &Mutex<CrashRecords>) -> Option<()> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        text.push(byte[0]);
    }
    let head = String::from_utf8(text).ok()?.to_ascii_lowercase();
    let field = |name: &str| {
        let mut lines = head.lines();
        lines.find_map(|line| Some(line.strip_prefix(name)?.trim().to_owned()))
    };
    let length: usize = field("content-length:").map_or(Some(0), |v| v.parse().ok())?;
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    let id = field("x-request-id:")?;
    let crashes = body.contains(CRASHING_MESSAGE);
    if crashes {
        let mut records = records.lock().ok()?;
        records.crashing_arrivals.push(Instant::now());
    }
    thread::sleep(PREFILL_TIME);
    if crashes && !start.has_ended.swap(true, Ordering::SeqCst) {
        records.lock().ok()?.crashes.push(Instant::now());
        end(start);
        return None;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\nx-request-id: {id}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    for event in 1..=EVENTS {
        write_chunk(
            stream,
            &format!("id: {event}\ndata: {{\"token\":\"t\"}}\n\n"),
        )?;
        thread::sleep(EVENT_PAUSE);
    }
    write_chunk(stream, "data: [DONE]\n\n")?;
    stream.write_all(b"0\r\n\r\n").ok()
}

fn write_chunk(mut stream: &TcpStream, data: &str) -> Option<()> {
    let chunk = format!("{:x}\r\n{data}\r\n", data.len());
    stream.write_all(chunk.as_bytes()).ok()
}
