//! Stand-in engines that end when they begin to write an answer on one part of a prompt, and
//! start again under another name after a pause.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::harness::json_call;

/// Part of a prompt that ends each engine.
pub const CRASHING_PART: &str = "dead";
/// Time from the end of an engine to its next start.
const RESTART_AFTER: Duration = Duration::from_secs(2);
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Time to read a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(30);
const EVENT_PAUSE: Duration = Duration::from_millis(40);
const EVENTS: u32 = 10;

/// What happened at all engines of a test.
#[derive(Debug, Default)]
pub struct Records {
    pub crashes: Vec<Instant>,
    /// Arrivals of requests with [`CRASHING_PART`].
    pub crashing_arrivals: Vec<Instant>,
    pub sound_arrivals: usize,
}

/// What becomes of connections while an engine is down.
#[derive(Clone, Copy, PartialEq)]
pub enum WhileDown {
    /// They are refused.
    Refuse,
    /// A proxy in front of the engine takes and resets them.
    Reset,
}

/// One start of an engine.
struct Start {
    name: String,
    address: SocketAddr,
    has_ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Start {
    /// Ends all connections, as the end of a process does.
    fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().expect("connections").iter() {
            // It may have ended already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::SeqCst)
    }
}

/// An engine that runs until the test ends or [`Self::crash`] is called.
pub struct CrashingEngine {
    current: Arc<Mutex<Arc<Start>>>,
}

impl CrashingEngine {
    /// Starts an engine that reports to these control instances.
    pub fn start(
        address: SocketAddr,
        name: &str,
        controls: Vec<SocketAddr>,
        records: &Arc<Mutex<Records>>,
        while_down: WhileDown,
    ) -> Self {
        let begin = move |name: &str, generation: u32, kept: Option<TcpListener>| {
            let bind = || TcpListener::bind(address).expect("the address is free");
            let listener = kept.unwrap_or_else(bind);
            listener.set_nonblocking(true).expect("a listener");
            let start = Arc::new(Start {
                name: format!("{name}-{generation}"),
                address,
                has_ended: AtomicBool::new(false),
                connections: Mutex::default(),
            });
            (listener, start)
        };
        let (listener, first) = begin(name, 0, None);
        let current = Arc::new(Mutex::new(Arc::clone(&first)));
        let (latest, records, name) = (Arc::clone(&current), Arc::clone(records), name.to_owned());
        thread::spawn(move || {
            let mut started = (listener, first);
            for generation in 1.. {
                serve(&started.0, &started.1, &controls, &records);
                let kept = (while_down == WhileDown::Reset).then_some(started.0);
                match &kept {
                    Some(listener) => reset_connections(listener, RESTART_AFTER),
                    None => thread::sleep(RESTART_AFTER),
                }
                started = begin(&name, generation, kept);
                *latest.lock().expect("the current start") = Arc::clone(&started.1);
            }
        });
        Self { current }
    }

    /// Ends the engine as a fault of its own does; it starts again after the pause.
    pub fn crash(&self) {
        self.current.lock().expect("the current start").end();
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
fn serve(
    listener: &TcpListener,
    start: &Arc<Start>,
    controls: &[SocketAddr],
    records: &Arc<Mutex<Records>>,
) {
    let (reporting, controls) = (Arc::clone(start), controls.to_vec());
    thread::spawn(move || report(&reporting, &controls));
    while !start.has_ended() {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        stream.set_nonblocking(false).expect("a connection");
        let kept = stream.try_clone().expect("a connection");
        start.connections.lock().expect("connections").push(kept);
        let (start, records) = (Arc::clone(start), Arc::clone(records));
        thread::spawn(move || {
            while !start.has_ended() && serve_one(&stream, &start, &records).is_some() {}
        });
    }
    // Connections that were accepted meanwhile end as well.
    start.end();
}

fn report(start: &Start, controls: &[SocketAddr]) {
    for sequence in 1.. {
        if start.has_ended() {
            return;
        }
        let body = format!(
            "{{\"service\":\"engine\",\"address\":\"{}\",\"zone\":\"north\",\"slots\":16,\
             \"state\":\"ready\",\"seq\":{sequence},\"born\":1}}",
            start.address
        );
        let path = format!("/replicas/{}", start.name);
        let _taken = controls.iter().any(|&control| {
            json_call(control, "PUT", &path, &body).is_some_and(|reply| reply.status == 200)
        });
        thread::sleep(REPORT_PERIOD);
    }
}

/// Serves one request; `None` when the connection or the engine has ended.
fn serve_one(mut stream: &TcpStream, start: &Start, records: &Mutex<Records>) -> Option<()> {
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains("\r\n\r\n") {
        let count = stream.read(&mut buffer).ok().filter(|&count| count > 0)?;
        text.push_str(std::str::from_utf8(&buffer[..count]).ok()?);
    }
    let field = |wanted: &str| {
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        let mut fields = lines.filter(|(name, _)| name.eq_ignore_ascii_case(wanted));
        fields.next().map(|(_, value)| value.to_owned())
    };
    let id = field("x-bamboospur-request-id")?;
    if field("x-bamboospur-expect-replica").as_ref() != Some(&start.name) {
        let head = format!(
            "HTTP/1.1 421 Misdirected Request\r\nX-Bamboospur-Request-Id: {id}\r\n\
             Content-Length: 0\r\n\r\n"
        );
        return stream.write_all(head.as_bytes()).ok();
    }
    let prompt = field("x-bamboospur-prefix-hash")?;
    let mut parts = prompt.split(',').filter_map(|part| part.split(':').next());
    let crashes = parts.any(|part| part == CRASHING_PART);
    {
        let mut records = records.lock().ok()?;
        if crashes {
            records.crashing_arrivals.push(Instant::now());
        } else {
            records.sound_arrivals += 1;
        }
    }
    thread::sleep(PREFILL_TIME);
    if crashes && !start.has_ended.swap(true, Ordering::SeqCst) {
        records.lock().ok()?.crashes.push(Instant::now());
        start.end();
        return None;
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Replica-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    for event in 1..=EVENTS {
        let data = format!("id: {event}\ndata: {}\n\n", start.name);
        let chunk = format!("{:x}\r\n{data}\r\n", data.len());
        stream.write_all(chunk.as_bytes()).ok()?;
        thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n").ok()
}
