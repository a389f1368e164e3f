//! Control instances and a router as real processes on loopback addresses.

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

const CONTROL_PORT: u16 = 9101;
const CALLER_PORT: u16 = 9102;
const READY_PORT: u16 = 9103;
const LINK_PORT: u16 = 9110;
/// Longest wait for a state that the processes reach by themselves.
const PATIENCE: Duration = Duration::from_secs(15);

/// Answer read from a socket.
#[derive(Debug)]
struct Reply {
    status: u16,
    head: String,
    body: String,
}

fn call(address: SocketAddr, text: &str) -> Option<Reply> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read_reply(&mut stream)
}

/// Reads until the peer closes, which every request here asks for.
fn read_reply(stream: &mut TcpStream) -> Option<Reply> {
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

fn json_call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Reply> {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    call(address, &text)
}

fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not within {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// What a stand-in target does with its requests.
#[derive(Clone, Copy, PartialEq)]
enum Behaviour {
    Answer,
    /// Runs the request and closes without an answer.
    Lose,
    /// Sends events with pauses.
    Stream,
}

/// Stand-in target that counts the requests it ran.
struct Target {
    address: SocketAddr,
    runs: Arc<AtomicUsize>,
    heads: Arc<Mutex<Vec<String>>>,
}

impl Target {
    fn start(host: Ipv4Addr, name: &'static str, behaviour: Behaviour) -> Self {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let target = Self {
            address,
            runs: Arc::default(),
            heads: Arc::default(),
        };
        let (runs, heads) = (Arc::clone(&target.runs), Arc::clone(&target.heads));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (runs, heads) = (Arc::clone(&runs), Arc::clone(&heads));
                thread::spawn(move || serve(stream, name, behaviour, &runs, &heads));
            }
        });
        target
    }

    fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }
}

fn serve(
    mut stream: TcpStream,
    name: &str,
    behaviour: Behaviour,
    runs: &AtomicUsize,
    heads: &Mutex<Vec<String>>,
) -> Option<()> {
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
    assert_eq!(field("x-bamboospur-expect-replica").as_deref(), Some(name));
    heads.lock().ok()?.push(text.clone());
    runs.fetch_add(1, Ordering::SeqCst);
    let head = format!(
        "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Replica-Stamp: {name}\r\n"
    );
    match behaviour {
        Behaviour::Lose => {}
        Behaviour::Answer => {
            stream
                .write_all(format!("{head}Content-Length: 2\r\n\r\nok").as_bytes())
                .ok()?;
        }
        Behaviour::Stream => {
            let kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            stream.write_all(format!("{head}{kind}").as_bytes()).ok()?;
            for event in 1..=10 {
                let data = format!("id: {event}\ndata: x\n\n");
                let chunk = format!("{:x}\r\n{data}\r\n", data.len());
                stream.write_all(chunk.as_bytes()).ok()?;
                thread::sleep(Duration::from_millis(200));
            }
            stream.write_all(b"0\r\n\r\n").ok()?;
        }
    }
    Some(())
}

/// Processes of one deployment; they end with it.
struct Deployment {
    network: u8,
    folder: PathBuf,
    processes: BTreeMap<String, Child>,
    version: u64,
}

impl Deployment {
    /// Starts three control instances and a router. Each test has a network of
    /// its own.
    fn start(network: u8) -> Self {
        let mut deployment = Self::without_router(network);
        deployment.start_router();
        deployment
    }

    fn without_router(network: u8) -> Self {
        let name = format!("bamboospur-deployment-{}-{network}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a folder");
        let mut deployment = Self {
            network,
            folder,
            processes: BTreeMap::new(),
            version: 0,
        };
        for index in 1..=3 {
            deployment.start_control(index, true);
        }
        deployment
    }

    fn host(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, 77, self.network, index)
    }

    fn at(&self, index: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(index).into(), port)
    }

    fn callers(&self) -> SocketAddr {
        self.at(9, CALLER_PORT)
    }

    fn settings(&self, index: u8, first_start: bool, rest: &str) -> String {
        let seeds: Vec<String> = (1..=3)
            .map(|control| format!("\"{}\"", self.at(control, CONTROL_PORT)))
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

    fn start_control(&mut self, index: u8, first_start: bool) {
        let data = self.folder.join(format!("data-{index}"));
        let rest = format!(
            "dataDir = \"{}\"\n[listen]\ncontrolPlane = \"{}\"",
            data.display(),
            self.at(index, CONTROL_PORT)
        );
        let settings = self.settings(index, first_start, &rest);
        self.spawn(&format!("control-{index}"), "control", &settings);
    }

    fn start_router(&mut self) {
        let rest = format!(
            "[listen]\nfrontend = \"{}\"\nreadiness = \"{}\"",
            self.callers(),
            self.at(9, READY_PORT)
        );
        let settings = self.settings(9, true, &rest);
        self.spawn("router", "router", &settings);
    }

    fn spawn(&mut self, name: &str, role: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_bamboospur"))
            .arg(role)
            .env("BAMBOOSPUR_SETTINGS", &path)
            .stdout(self.log(name))
            .spawn()
            .expect("the program starts");
        self.processes.insert(name.to_owned(), child);
    }

    /// Opens the log of a process; logs stay when a test fails.
    fn log(&self, name: &str) -> Stdio {
        let path = self.folder.join(format!("{name}.log"));
        let file = fs::File::options().create(true).append(true).open(path);
        file.map_or_else(|_| Stdio::null(), Stdio::from)
    }

    fn kill(&mut self, name: &str) {
        let mut child = self.processes.remove(name).expect("a process");
        child.kill().expect("it is killed");
        child.wait().expect("it ends");
    }

    /// Sets a configuration with one route of each kind, through any control
    /// instance that answers.
    fn configure(&mut self, key: &str) {
        self.version += 1;
        let body = config(self.version, key);
        eventually("the configuration is accepted", || {
            (1..=3).any(|control| {
                let address = self.at(control, CONTROL_PORT);
                json_call(address, "PUT", "/config", &body).is_some_and(|r| r.status == 200)
            })
        });
    }

    fn report(&self, name: &str, target: &Target, service: &str, state: &str, sequence: u64) {
        let body = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"north\",\"slots\":4,\
             \"state\":\"{state}\",\"seq\":{sequence},\"born\":1}}",
            target.address
        );
        eventually("a report is taken", || {
            let path = format!("/replicas/{name}");
            (1..=5).any(|control| {
                let reply = json_call(self.at(control, CONTROL_PORT), "PUT", &path, &body);
                reply.is_some_and(|r| r.status == 200)
            })
        });
    }

    fn wait_ready(&self) {
        let text = "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        eventually("the router is ready", || {
            call(self.at(9, READY_PORT), text).is_some_and(|r| r.status == 200)
        });
    }

    fn request(&self, method: &str, path: &str, id: &str, key: &str) -> Option<Reply> {
        call(self.callers(), &request_text(method, path, id, key))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            // A process that has ended already is fine.
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

fn request_text(method: &str, path: &str, id: &str, key: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Bamboospur-Request-Id: {id}\r\n\
         X-Bamboospur-Deadline-Ms: 6000\r\nAuthorization: Bearer {key}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
}

fn config(version: u64, key: &str) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeoutMs\":6000,\"sloMs\":1000,\"service\":\"{service}\",\
             \"maxAttempts\":2,\"itlTargetMs\":1000}}"
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

#[test]
fn requests_pass_through_and_departures_are_heard() {
    let mut deployment = Deployment::start(1);
    deployment.configure("k1");
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    let two = Target::start(deployment.host(21), "t2", Behaviour::Answer);
    deployment.report("t1", &one, "s", "ready", 1);
    deployment.wait_ready();
    let reply = deployment
        .request("GET", "/read/1?q", "id-1", "k1")
        .expect("a reply");
    assert_eq!(
        (reply.status, reply.body.as_str()),
        (200, "ok"),
        "{}",
        reply.head
    );
    assert!(
        reply.head.contains("X-Bamboospur-Replica-Stamp: t1"),
        "{}",
        reply.head
    );
    let heads = one.heads.lock().expect("the heads");
    assert!(
        heads[0].starts_with("GET /read/1?q HTTP/1.1\r\n"),
        "{}",
        heads[0]
    );
    assert!(
        heads[0].contains("X-Bamboospur-Tenant: red"),
        "{}",
        heads[0]
    );
    assert!(!heads[0].contains("k1"), "{}", heads[0]);
    drop(heads);

    let denied = deployment
        .request("GET", "/read/1", "id-2", "other")
        .expect("a reply");
    assert_eq!(denied.status, 401);
    let unknown = deployment
        .request("GET", "/none/1", "id-3", "k1")
        .expect("a reply");
    assert_eq!(unknown.status, 404);

    deployment.report("t2", &two, "s", "ready", 1);
    deployment.report("t1", &one, "s", "draining", 2);
    thread::sleep(Duration::from_millis(500));
    let before = one.runs();
    for index in 0..10 {
        let id = format!("id-d{index}");
        let reply = deployment
            .request("GET", "/read/1", &id, "k1")
            .expect("a reply");
        assert_eq!(reply.status, 200);
    }
    assert_eq!((one.runs(), two.runs()), (before, 10));
}

#[test]
fn a_request_that_is_not_repeatable_runs_once_when_its_answer_is_lost() {
    let mut deployment = Deployment::start(2);
    deployment.configure("k1");
    let one = Target::start(deployment.host(20), "t1", Behaviour::Lose);
    let two = Target::start(deployment.host(21), "t2", Behaviour::Lose);
    deployment.report("t1", &one, "lossy", "ready", 1);
    deployment.report("t2", &two, "lossy", "ready", 1);
    deployment.wait_ready();
    let reply = deployment
        .request("POST", "/submit/1", "id-1", "k1")
        .expect("a reply");
    assert_eq!(reply.status, 502, "{}", reply.head);
    assert_eq!(one.runs() + two.runs(), 1);
}

#[test]
fn a_change_survives_the_loss_of_any_control_instance() {
    let mut deployment = Deployment::start(3);
    deployment.configure("k1");
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &one, "s", "ready", 1);
    deployment.wait_ready();
    for control in 1..=3 {
        let name = format!("control-{control}");
        deployment.kill(&name);
        let key = format!("key-{control}");
        deployment.configure(&key);
        eventually("the new key works", || {
            let reply = deployment.request("GET", "/read/1", "id", &key);
            reply.is_some_and(|r| r.status == 200)
        });
        deployment.start_control(control, false);
        eventually("the newest configuration is read back", || {
            let reply = json_call(deployment.at(control, CONTROL_PORT), "GET", "/config", "");
            reply.is_some_and(|r| r.status == 200 && r.body.contains(&key))
        });
    }
}

#[test]
fn routers_find_control_instances_that_their_seeds_do_not_name() {
    let mut deployment = Deployment::start(6);
    deployment.configure("k1");
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &one, "s", "ready", 1);
    deployment.wait_ready();
    // Two more instances join and replace two of the seeds, one after the other,
    // so that the group ends with one instance that the router was told of.
    for (joining, leaving) in [(4, 2), (5, 3)] {
        deployment.start_control(joining, false);
        thread::sleep(Duration::from_secs(4));
        deployment.kill(&format!("control-{leaving}"));
        thread::sleep(Duration::from_secs(5));
    }
    let key = "k2";
    deployment.version += 1;
    let body = config(deployment.version, key);
    eventually("the configuration is accepted", || {
        [1, 4, 5].iter().any(|&control| {
            let address = deployment.at(control, CONTROL_PORT);
            json_call(address, "PUT", "/config", &body).is_some_and(|r| r.status == 200)
        })
    });
    deployment.report("t1", &one, "s", "ready", 2);
    eventually("the new key works", || {
        let reply = deployment.request("GET", "/read/1", "id", key);
        reply.is_some_and(|r| r.status == 200)
    });
    // The last seed goes too: the router follows the others alone.
    deployment.kill("control-1");
    thread::sleep(Duration::from_secs(6));
    let reply = deployment
        .request("GET", "/read/1", "id", key)
        .expect("a reply");
    assert_eq!(reply.status, 200, "{}", reply.head);
}

#[test]
fn keys_fail_closed_on_a_router_without_control_instances() {
    let mut deployment = Deployment::start(4);
    deployment.configure("k1");
    let one = Target::start(deployment.host(20), "t1", Behaviour::Answer);
    deployment.report("t1", &one, "s", "ready", 1);
    deployment.wait_ready();
    for control in 1..=3 {
        deployment.kill(&format!("control-{control}"));
    }
    thread::sleep(Duration::from_secs(5));
    let reply = deployment
        .request("GET", "/read/1", "id-1", "k1")
        .expect("a reply");
    assert_eq!(reply.status, 503, "{}", reply.head);
    assert!(reply.head.contains("Retry-After: "), "{}", reply.head);
    assert_eq!(one.runs(), 0);
}

#[test]
fn a_stop_finishes_streams_and_ends_in_time() {
    let mut deployment = Deployment::start(5);
    deployment.configure("k1");
    let one = Target::start(deployment.host(20), "t1", Behaviour::Stream);
    deployment.report("t1", &one, "engine", "ready", 1);
    deployment.wait_ready();
    let mut stream = TcpStream::connect(deployment.callers()).expect("a connection");
    let text = request_text("POST", "/chat/1", "id-1", "k1");
    stream
        .write_all(text.as_bytes())
        .expect("the request is sent");
    eventually("the stream has begun", || one.runs() == 1);
    let mut router = deployment.processes.remove("router").expect("the router");
    let id = i32::try_from(router.id()).expect("a process id");
    let stopped_at = Instant::now();
    kill_process(Pid::from_raw(id).expect("a process id"), Signal::TERM).expect("a signal");
    let reply = read_reply(&mut stream).expect("a whole reply");
    assert_eq!(reply.body.matches("id: ").count(), 10, "{}", reply.body);
    assert!(reply.body.ends_with("0\r\n\r\n"), "{}", reply.body);
    let status = router.wait().expect("it ends");
    assert!(status.success(), "{status}");
    assert!(stopped_at.elapsed() < Duration::from_secs(8));
}
