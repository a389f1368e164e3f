//! Processes of one deployment, stand-in targets, and requests to both.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

pub const CONTROL_PORT: u16 = 9101;
pub const CALLER_PORT: u16 = 9102;
pub const READY_PORT: u16 = 9103;
const LINK_PORT: u16 = 9110;
/// Longest wait for a state that the processes reach without further input.
const STATE_TIMEOUT: Duration = Duration::from_secs(15);

/// HTTP answer as a caller received it.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Sends a request on a new connection; returns `None` without a whole answer.
pub fn call(address: SocketAddr, text: &str) -> Option<Reply> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_reply(&mut stream)
}

/// Reads an answer up to the end of the connection; all requests here ask the peer to
/// close it.
pub fn read_reply(stream: &mut TcpStream) -> Option<Reply> {
    let mut text = Vec::new();
    stream.read_to_end(&mut text).ok()?;
    let text = String::from_utf8(text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Reply {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    })
}

pub fn json_call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Reply> {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    call(address, &text)
}

pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + STATE_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "not within {STATE_TIMEOUT:?}: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// What a stand-in target does with its requests.
#[derive(Clone, Copy, PartialEq)]
pub enum Behaviour {
    Answer,
    /// Runs the request and closes the connection without an answer.
    CloseWithoutAnswer,
    /// Streams ten events with pauses.
    Stream,
    /// Sends no answer and waits until the router closes the connection.
    NeverAnswer,
    /// Rejects requests without running them, and states that all slots are free.
    RejectWithRoom,
    /// Answers before reading the body, reads the body after a pause, and takes the
    /// next request on the same connection.
    AnswerEarly,
}

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
}

/// Records that all connections of a target share; see the fields of `Target`.
#[derive(Clone)]
struct Observations {
    runs: Arc<AtomicUsize>,
    heads: Arc<Mutex<Vec<String>>>,
    ids: Arc<Mutex<BTreeMap<String, u32>>>,
    closed_at: Arc<Mutex<Vec<Instant>>>,
    bodies: Arc<Mutex<Vec<Vec<u8>>>>,
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
        };
        let records = Observations {
            runs: Arc::clone(&target.runs),
            heads: Arc::clone(&target.heads),
            ids: Arc::clone(&target.ids),
            closed_at: Arc::clone(&target.closed_at),
            bodies: Arc::clone(&target.bodies),
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let records = records.clone();
                thread::spawn(move || serve(&stream, name, behaviour, &records));
            }
        });
        target
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

fn serve(stream: &TcpStream, name: &str, behaviour: Behaviour, records: &Observations) {
    while serve_one(stream, name, behaviour, records) == Some(true) {}
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
    records.heads.lock().ok()?.push(text.clone());
    records.runs.fetch_add(1, Ordering::SeqCst);
    *records.ids.lock().ok()?.entry(id.clone()).or_default() += 1;
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Replica-Stamp: {name}\r\n"
    );
    match behaviour {
        Behaviour::CloseWithoutAnswer => {}
        Behaviour::NeverAnswer => {
            while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
            records.closed_at.lock().ok()?.push(Instant::now());
        }
        Behaviour::AnswerEarly => {
            stream
                .write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())
                .ok()?;
            let length: usize = field("content-length")?.parse().ok()?;
            return read_body_late(stream, body, length, records);
        }
        Behaviour::RejectWithRoom => {
            let head = head.replace("200 OK", "503 Service Unavailable");
            let rest = "X-Bamboospur-Not-Executed: 1\r\nX-Bamboospur-Replica-Load: 0,0,4\r\n";
            stream
                .write_all(format!("{head}{rest}Content-Length: 0\r\n\r\n").as_bytes())
                .ok()?;
        }
        Behaviour::Answer => {
            stream
                .write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())
                .ok()?;
        }
        Behaviour::Stream => {
            let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            stream.write_all(format!("{head}{kind}").as_bytes()).ok()?;
            if write_events(stream).is_err() {
                records.closed_at.lock().ok()?.push(Instant::now());
                return None;
            }
        }
    }
    Some(false)
}

/// Writes ten events with pauses, and the end of the stream.
fn write_events(mut stream: &TcpStream) -> std::io::Result<()> {
    for event in 1..=10 {
        let data = format!("id: {event}\ndata: x\n\n");
        let chunk = format!("{:x}\r\n{data}\r\n", data.len());
        stream.write_all(chunk.as_bytes())?;
        thread::sleep(Duration::from_millis(200));
    }
    stream.write_all(b"0\r\n\r\n")
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

/// Processes of one deployment. They are killed when this value is dropped.
pub struct Deployment {
    network: u8,
    pub folder: PathBuf,
    pub processes: BTreeMap<String, Child>,
    /// Version of the newest configuration.
    pub version: u64,
    /// Command-line options of the control instances.
    control_options: &'static [&'static str],
}

/// Options with which one router relays to all others and routers take all reports of
/// targets.
pub const SINGLE_RELAY_OPTIONS: &[&str] = &[
    "--direct-entries",
    "0",
    "--relays",
    "1",
    "--own-targets",
    "0",
];

impl Deployment {
    /// Starts three control instances and a router. Tests run in parallel, so each
    /// uses another `network`, which is a byte of the loopback addresses.
    pub fn start(network: u8) -> Self {
        let mut deployment = Self::without_router(network);
        deployment.start_router();
        deployment
    }

    pub fn without_router(network: u8) -> Self {
        Self::with_options(network, &[])
    }

    pub fn with_options(network: u8, control_options: &'static [&'static str]) -> Self {
        let name = format!("bamboospur-deployment-{}-{network}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder");
        let mut deployment = Self {
            network,
            folder,
            processes: BTreeMap::new(),
            version: 0,
            control_options,
        };
        for index in 1..=3 {
            deployment.start_control(index, true);
        }
        deployment
    }

    pub fn host(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.network, index)
    }

    pub fn address(&self, index: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(index).into(), port)
    }

    pub fn caller_address(&self) -> SocketAddr {
        self.address(9, CALLER_PORT)
    }

    pub fn settings(&self, index: u8, first_start: bool, rest: &str) -> String {
        let seeds: Vec<String> = (1..=3)
            .map(|control| format!("\"{}\"", self.address(control, CONTROL_PORT)))
            .collect();
        format!(
            "nodeName = \"n{index}\"\nip = \"{}\"\nzone = \"north\"\n\
             portRange = [{LINK_PORT}, {}]\nseeds = [{}]\nbootstrap = {first_start}\n\
             heartbeatMs = 1200\n{rest}\n\
             [bounds]\ngraceS = 8\nrevokeMs = 5000\nfailClosed = true\n",
            self.host(index),
            LINK_PORT + 10,
            seeds.join(",")
        )
    }

    fn data_folder(&self, index: u8) -> PathBuf {
        self.folder.join(format!("data-{index}"))
    }

    /// Removes the data folder of a control instance, which must not be running.
    pub fn remove_data(&self, index: u8) {
        fs::remove_dir_all(self.data_folder(index)).expect("the folder is removed");
    }

    pub fn start_control(&mut self, index: u8, first_start: bool) {
        let data = self.data_folder(index);
        let rest = format!(
            "dataDir = \"{}\"\n[listen]\ncontrolPlane = \"{}\"",
            data.display(),
            self.address(index, CONTROL_PORT)
        );
        let settings = self.settings(index, first_start, &rest);
        self.spawn(&format!("control-{index}"), "control", &settings);
    }

    pub fn start_router(&mut self) {
        self.start_router_at(9, "router");
    }

    /// Starts a router on the address with this index.
    pub fn start_router_at(&mut self, index: u8, name: &str) {
        let rest = format!(
            "[listen]\nfrontend = \"{}\"\nreadiness = \"{}\"",
            self.address(index, CALLER_PORT),
            self.address(index, READY_PORT)
        );
        let settings = self.settings(index, true, &rest);
        self.spawn(name, "router", &settings);
    }

    pub fn spawn(&mut self, name: &str, role: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("a settings file");
        let options = match role {
            "control" => self.control_options,
            _ => &[],
        };
        let child = Command::new(env!("CARGO_BIN_EXE_bamboospur"))
            .arg(role)
            .args(options)
            .env("BAMBOOSPUR_SETTINGS", &path)
            .stdout(self.log(name))
            .spawn()
            .expect("the program starts");
        self.processes.insert(name.to_owned(), child);
    }

    /// Opens the log of a process. Logs are kept when a test fails.
    fn log(&self, name: &str) -> Stdio {
        let path = self.folder.join(format!("{name}.log"));
        let file = fs::File::options().create(true).append(true).open(path);
        file.map_or_else(|_| Stdio::null(), Stdio::from)
    }

    /// Sends a signal to a process.
    pub fn signal(&self, name: &str, signal: Signal) {
        let id = self.processes[name].id();
        let id = i32::try_from(id).ok().and_then(Pid::from_raw);
        kill_process(id.expect("a process id"), signal).expect("a signal");
    }

    /// Waits for a process to exit; returns whether it reported success.
    pub fn wait_for_exit(&mut self, name: &str) -> bool {
        let mut child = self.processes.remove(name).expect("a process");
        child.wait().expect("it ends").success()
    }

    pub fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).expect("a process");
        child.kill().expect("it is killed");
        child.wait().expect("it ends");
    }

    /// Kills all processes before waiting for any of them.
    pub fn kill_all(&mut self) {
        for child in self.processes.values_mut() {
            child.kill().expect("it is killed");
        }
        for (_, mut child) in std::mem::take(&mut self.processes) {
            child.wait().expect("it ends");
        }
    }

    /// Writes a new configuration with one route of each kind, through any control
    /// instance that answers.
    pub fn configure(&mut self, key: &str) {
        self.version += 1;
        let body = config(self.version, key);
        eventually("the configuration is accepted", || {
            (1..=3).any(|control| {
                let address = self.address(control, CONTROL_PORT);
                json_call(address, "PUT", "/config", &body).is_some_and(|r| r.status == 200)
            })
        });
    }

    /// Reports a target to the first control instance that accepts the report.
    pub fn report(&self, name: &str, target: &Target, service: &str, state: &str, sequence: u64) {
        let body = report_body(target.address, service, state, &sequence.to_string());
        eventually("a report is taken", || {
            let path = format!("/replicas/{name}");
            (1..=5).any(|control| {
                let reply = json_call(self.address(control, CONTROL_PORT), "PUT", &path, &body);
                reply.is_some_and(|r| r.status == 200)
            })
        });
    }

    /// Waits until the router at this index reports that it is ready.
    pub fn wait_ready_at(&self, index: u8) {
        let text = "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        eventually("the router is ready", || {
            call(self.address(index, READY_PORT), text).is_some_and(|r| r.status == 200)
        });
    }

    pub fn wait_ready(&self) {
        self.wait_ready_at(9);
    }

    pub fn request(&self, method: &str, path: &str, id: &str, key: &str) -> Option<Reply> {
        call(self.caller_address(), &request_text(method, path, id, key))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        if thread::panicking() {
            println!("logs are in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Body of a target's report.
pub fn report_body(address: SocketAddr, service: &str, state: &str, sequence: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"north\",\"slots\":4,\
         \"state\":\"{state}\",\"seq\":{sequence},\"born\":1}}"
    )
}

/// Returns the address for later reports that the answer to a report names.
pub fn next_report_address(body: &str) -> Option<SocketAddr> {
    let rest = body.split_once("\"heartbeatAddr\":\"")?.1;
    rest.split_once('"')?.0.parse().ok()
}

pub fn request_text(method: &str, path: &str, id: &str, key: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Bamboospur-Request-Id: {id}\r\n\
         X-Bamboospur-Deadline-Ms: 6000\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
}

pub fn config(version: u64, key: &str) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeoutMs\":6000,\"sloMs\":1000,\"service\":\"{service}\",\
             \"maxAttempts\":2,\"itlTargetMs\":1000,\"sticky\":{}}}",
            service == "engine"
        )
    };
    let routes = [
        route("read", "idempotent", "s"),
        route("submit", "non_idempotent", "lossy"),
        route("chat", "stream", "engine"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"s\"}},\
         {{\"name\":\"lossy\"}},{{\"name\":\"engine\"}}],\
         \"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"{key}\"]}}]}}",
        routes.join(",")
    )
}
