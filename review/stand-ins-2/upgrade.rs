//! Two of nine model replicas crash. One starts again under its id with other software, and its
//! first report is late; streams of the other one are resumed by the router.
//!
//! With the arguments `engine NAME VERSION ADDRESS` it is a model replica.

#[path = "common.rs"]
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const ENGINES: usize = 9;
const STREAMS: usize = 27;
const EVENTS: u64 = 40;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which the upgraded replica is down.
const DOWN: Duration = Duration::from_millis(500);
/// Delay of its first report.
const REPORT_DELAY: Duration = Duration::from_secs(2);

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|arg| arg == "engine") {
        return run_engine(&args[1], &args[2], args[3].parse().expect("an address"));
    }
    let root = PathBuf::from(args.first().map_or(".", String::as_str));
    let case = PathBuf::from(args.get(1).map_or(".", String::as_str));
    run_case(&root, &case);
}

/// Serves streams whose events name the replica and its software.
fn run_engine(name: &str, version: &str, address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        let (name, version) = (name.to_owned(), version.to_owned());
        thread::spawn(move || serve_streams(stream, &name, &version));
    }
}

fn serve_streams(mut stream: TcpStream, name: &str, version: &str) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut buffer = Vec::new();
    loop {
        let head = read_head(&mut stream, &mut buffer)?;
        let length = header(&head, "content-length").and_then(|v| v.parse().ok());
        read_body(&mut stream, &mut buffer, length.unwrap_or(0));
        let id = header(&head, "x-bamboospur-request-id").unwrap_or_default();
        let expected = header(&head, "x-bamboospur-expect-replica");
        if expected.is_some_and(|expected| expected != name) {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Bamboospur-Request-Id: {id}\r\n\
                 X-Bamboospur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\n\
             X-Bamboospur-Replica-Stamp: {name}.{id}\r\nX-Bamboospur-Weight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Keep-Alive: timeout=5\r\n\r\n"
        );
        stream.write_all(answer.as_bytes()).ok()?;
        let last = header(&head, "last-event-id")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        for event in last + 1..=EVENTS {
            thread::sleep(EVENT_INTERVAL);
            let text = format!("id: {event}\ndata: {version} {name} token {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
}

struct Engine {
    name: String,
    address: SocketAddr,
    process: Child,
    /// Software, start and time of the first report of the process that runs now.
    announced: Arc<Mutex<(&'static str, u64, Instant)>>,
    reports: Arc<AtomicBool>,
}

fn spawn_engine(name: &str, version: &str, address: SocketAddr) -> Child {
    let program = std::env::current_exe().unwrap_or_else(|e| cannot_run(&e.to_string()));
    let args = ["engine", name, version, &address.to_string()];
    let child = Command::new(program).args(args).spawn();
    let child = child.unwrap_or_else(|e| cannot_run(&format!("a replica does not start: {e}")));
    end_with_script(&child);
    child
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(1, |time| time.as_millis() as u64)
}

/// Sends a report every heartbeat, the first one of a process not before its time.
fn spawn_reporter(engine: &Engine, controls: Vec<SocketAddr>, record: Arc<Record>) {
    let (announced, reports) = (Arc::clone(&engine.announced), Arc::clone(&engine.reports));
    let (name, address) = (engine.name.clone(), engine.address);
    thread::spawn(move || {
        let sequence = AtomicU64::new(0);
        let mut reported = 0;
        let mut next_at = Instant::now();
        while reports.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(20));
            let (version, born, first_at) = *announced.lock().unwrap();
            let now = Instant::now();
            if now < first_at || (now < next_at && born == reported) {
                continue;
            }
            next_at = now + HEARTBEAT;
            let number = sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = format!(
                "{{\"service\":\"pool\",\"address\":\"{address}\",\"zone\":\"gulberg-hall\",\
                 \"version\":\"{version}\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\
                 \"phase\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"seq\":{number},\"born\":{born}}}"
            );
            let path = format!("/replicas/{name}");
            for &control in &controls {
                let reply = json_call(control, "PUT", &path, &body);
                if reply.is_some_and(|reply| reply.status == 200) {
                    if born != reported {
                        record.line(&format!("{name} {version}: first report acknowledged"));
                    }
                    reported = born;
                    break;
                }
            }
        }
    });
}

fn stream_config() -> String {
    let route = ",{\"name\":\"chat\",\"host\":\"a.example\",\"pathPrefix\":\"/chat/\",\
        \"type\":\"stream\",\"timeoutMs\":12000,\"sloMs\":1200,\"priority\":1,\
        \"service\":\"pool\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\
        \"resumable\":true,\"itlTargetMs\":400}";
    let service = "\"services\":[{\"name\":\"pool\",\"healthPath\":\"/healthz\",\"maxConns\":360,\
        \"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacity\":423882,\
        \"kvTokenBytes\":18432,\"linkMbps\":740000.0,\"models\":[{\"name\":\"m\"}]}},";
    config(1, "k1", route).replace("\"services\":[", service)
}

fn stream_request(index: usize) -> String {
    format!(
        "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Bamboospur-Request-Id: s{index:04}\r\n\
         X-Bamboospur-Deadline-Ms: 12000\r\nAuthorization: Bearer k1\r\n\
         X-Bamboospur-Model: m\r\nX-Bamboospur-Token-Count: 900,280\r\n\
         X-Bamboospur-Prefix-Hash: 5c1e07a2:800,{:x}:100\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\n{{}}",
        0xa000 + index
    )
}

/// Returns the replicas and versions that wrote a stream, in order.
fn writers(body: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(body);
    let mut writers: Vec<String> = Vec::new();
    for line in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        let writer: Vec<&str> = line.split(' ').take(2).collect();
        let writer = writer.join(" ");
        if writers.last() != Some(&writer) {
            writers.push(writer);
        }
    }
    writers
}

fn run_case(root: &Path, case: &Path) {
    let record = Record::create(case);
    let mut deployment = Deployment::new(root, "upgrade", 3, Arc::clone(&record));
    for index in 1..=3 {
        deployment.start_control(index, true);
    }
    deployment.start_router(9, true);
    deployment.configure(&stream_config());
    let controls: Vec<_> = (1..=3).map(|i| deployment.control_address(i)).collect();
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let name = format!("i-{number}");
        let host = deployment.host(30 + number as u8);
        let address = SocketAddr::new(host.into(), deployment.ports.links + 10);
        let process = spawn_engine(&name, "v1", address);
        let engine = Engine {
            name,
            address,
            process,
            announced: Arc::new(Mutex::new(("v1", now_ms(), Instant::now()))),
            reports: Arc::new(AtomicBool::new(true)),
        };
        spawn_reporter(&engine, controls.clone(), Arc::clone(&record));
        engines.push(engine);
    }
    deployment.wait_ready(9);
    thread::sleep(CONTACT + Duration::from_secs(1));

    let frontend = deployment.frontend(9);
    let consumers: Vec<_> = (0..STREAMS)
        .map(|index| {
            let record = Arc::clone(&record);
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || {
                record.line(&format!("sent s{index:04}"));
                let text = stream_request(index);
                let reply = call(frontend, text.as_bytes(), Duration::from_secs(5))?;
                let writers = writers(&reply.body);
                record.line(&format!(
                    "answer s{index:04}: {}, complete {}, written by {writers:?}",
                    reply.status, reply.complete
                ));
                Some((reply.status, reply.complete, writers))
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(600));
    if has_trouble() {
        let upgraded = &mut engines[0];
        let _ = upgraded.process.kill();
        let _ = upgraded.process.wait();
        record.show("i-0 (v1) crashes");
        thread::sleep(DOWN);
        upgraded.process = spawn_engine(&upgraded.name, "v2", upgraded.address);
        *upgraded.announced.lock().unwrap() = ("v2", now_ms(), Instant::now() + REPORT_DELAY);
        record.show("i-0 starts again under its id with software v2; its first report is late");
        thread::sleep(Duration::from_millis(800));
        let crashed = &mut engines[1];
        crashed.reports.store(false, Ordering::SeqCst);
        let _ = crashed.process.kill();
        let _ = crashed.process.wait();
        record.show("i-1 (v1) crashes");
    }
    let results: Vec<_> = consumers
        .into_iter()
        .filter_map(|c| c.join().ok().flatten())
        .collect();
    for engine in &mut engines {
        engine.reports.store(false, Ordering::SeqCst);
        let _ = engine.process.kill();
        let _ = engine.process.wait();
    }
    if let Some(name) = deployment.ended() {
        cannot_run(&format!("{name} ended by itself"));
    }
    drop(deployment);
    let is_whole = |result: &&(u16, bool, Vec<String>)| result.0 == 200 && result.1;
    let whole: Vec<_> = results.iter().filter(is_whole).collect();
    let versions = |writers: &[String]| {
        let mut versions: Vec<_> = writers.iter().map(|w| w[..2].to_owned()).collect();
        versions.dedup();
        versions.len()
    };
    let resumed = whole
        .iter()
        .filter(|(_, _, writers)| writers.len() > 1)
        .count();
    let joined: Vec<_> = whole.iter().filter(|(_, _, w)| versions(w) > 1).collect();
    record.show(&format!(
        "{} of {STREAMS} streams complete, {resumed} resumed, {} joined from two versions",
        whole.len(),
        joined.len()
    ));
    if whole.is_empty() {
        cannot_run("no stream was complete");
    }
    if joined.is_empty() {
        record.show("ORDER held");
        return;
    }
    for (_, _, writers) in &joined {
        record.show(&format!("written by {writers:?}"));
    }
    record.show("ORDER is broken");
    std::process::exit(1);
}
