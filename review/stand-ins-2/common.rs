//! Starts a small deployment with the commands of the deploy file, and stand-ins for replicas,
//! consumers and the operator. Uses the standard library only.

#![allow(dead_code, reason = "each program uses a part")]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Bounds of the site `rangmahal-ad`.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
pub const CONTACT: Duration = Duration::from_secs(3);
pub const DRAIN: Duration = Duration::from_secs(2);

/// Writes `record.txt`, with the time since the start of the script.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Self> {
        let file = File::create(folder.join("record.txt"))
            .unwrap_or_else(|e| cannot_run(&format!("record.txt: {e}")));
        Arc::new(Self {
            start: Instant::now(),
            file: Mutex::new(file),
        })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.4} {text}");
    }

    pub fn show(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the script because the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    RUNNING.lock().unwrap().iter().for_each(|&id| {
        let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
    });
    std::process::exit(2);
}

/// Records a process that is to be ended when the script gives up.
pub fn end_with_script(child: &Child) {
    RUNNING.lock().unwrap().push(child.id());
}

/// Process ids to end when the script gives up.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub complete: bool,
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (n, v) = line.split_once(':')?;
        n.trim()
            .eq_ignore_ascii_case(name)
            .then(|| v.trim().to_owned())
    })
}

/// Reads bytes up to and including the empty line after a head.
pub fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            return String::from_utf8(head).ok();
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => buffer.extend_from_slice(&part[..count]),
        }
    }
}

/// Reads a body of this length; returns what arrived.
pub fn read_body(stream: &mut TcpStream, buffer: &mut Vec<u8>, length: usize) -> Vec<u8> {
    while buffer.len() < length {
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => buffer.extend_from_slice(&part[..count]),
        }
    }
    let length = length.min(buffer.len());
    buffer.drain(..length).collect()
}

fn read_chunked(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let line = loop {
            if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = buffer.drain(..end + 2).collect();
                break String::from_utf8_lossy(&line[..end]).into_owned();
            }
            let mut part = [0; 4096];
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return (body, false),
                Ok(count) => buffer.extend_from_slice(&part[..count]),
            }
        };
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return (body, false);
        };
        let data = read_body(stream, buffer, size + 2);
        if data.len() < size + 2 {
            body.extend_from_slice(&data[..size.min(data.len())]);
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        body.extend_from_slice(&data[..size]);
    }
}

/// Reads an answer. `None` without a whole head.
pub fn read_reply(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Reply> {
    let head = read_head(stream, buffer)?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let chunked =
        header(&head, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    let length: Option<usize> = header(&head, "content-length").and_then(|v| v.parse().ok());
    let (body, complete) = if chunked {
        read_chunked(stream, buffer)
    } else if let Some(length) = length {
        let body = read_body(stream, buffer, length);
        let complete = body.len() == length;
        (body, complete)
    } else {
        let mut body = std::mem::take(buffer);
        let ended = stream.read_to_end(&mut body).is_ok();
        (body, ended)
    };
    Some(Reply {
        status,
        body,
        complete,
    })
}

pub fn connect(address: SocketAddr, timeout: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// One call on a channel of its own.
pub fn call(address: SocketAddr, text: &[u8], timeout: Duration) -> Option<Reply> {
    let mut stream = connect(address, timeout)?;
    stream.write_all(text).ok()?;
    read_reply(&mut stream, &mut Vec::new())
}

pub fn json_call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Reply> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    call(address, text.as_bytes(), Duration::from_secs(1))
}

pub fn wait_for(what: &str, limit: Duration, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() > end {
            cannot_run(&format!("not within {limit:?}: {what}"));
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// Ports of the deployment; the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub frontend: u16,
    pub readiness: u16,
    pub links: u16,
}

pub struct Deployment {
    pub folder: PathBuf,
    pub root: PathBuf,
    pub processes: BTreeMap<String, Child>,
    pub ports: Ports,
    pub network: [u8; 2],
    pub controls: u8,
    pub record: Arc<Record>,
}

impl Deployment {
    /// `root` is the root of the repository.
    pub fn new(root: &Path, name: &str, controls: u8, record: Arc<Record>) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("bamboospur-review-{name}-{id}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&format!("a folder: {e}")));
        let network = [100 + (id >> 8 & 0x3f) as u8, (id & 0xff) as u8];
        let base = (0..500u16)
            .map(|step| 20_000 + step * 40)
            .find(|&base| {
                (0..24).all(|port| {
                    (1..=30).step_by(9).all(|host| {
                        TcpListener::bind((
                            Ipv4Addr::new(127, network[0], network[1], host),
                            base + port,
                        ))
                        .is_ok()
                    })
                })
            })
            .unwrap_or_else(|| cannot_run("no free ports"));
        let ports = Ports {
            control: base,
            frontend: base + 1,
            readiness: base + 2,
            links: base + 4,
        };
        if !root.join("target/release/bamboospur").exists() {
            cannot_run("target/release/bamboospur is not built");
        }
        Self {
            folder,
            root: root.to_owned(),
            processes: BTreeMap::new(),
            ports,
            network,
            controls,
            record,
        }
    }

    pub fn host(&self, index: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network[0], self.network[1], index)
    }

    pub fn address(&self, index: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(index).into(), port)
    }

    pub fn control_address(&self, index: u8) -> SocketAddr {
        self.address(index, self.ports.control)
    }

    pub fn frontend(&self, index: u8) -> SocketAddr {
        self.address(index, self.ports.frontend)
    }

    fn settings(
        &self,
        index: u8,
        role: &str,
        class: &str,
        serves: &str,
        bootstrap: bool,
        listen: &str,
        rest: &str,
    ) -> String {
        let seeds: Vec<String> = (1..=self.controls.min(3))
            .map(|i| format!("\"{}\"", self.control_address(i)))
            .collect();
        let zones = ["gulberg-hall", "johar-hall", "dha-hall"];
        format!(
            "nodeName = \"{class}-{index}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"lahore\"\nportRange = [{first},{last}]\nseeds = [{seeds}]\n\
             bootstrap = {bootstrap}\ninTolerance = {tolerance}\ndiscovery = \"register\"\nentry = \"vip\"\nheartbeatMs = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\"]\n\
             configMode = \"highest\"\n{rest}[zones]\ngulberg-hall = \"lahore\"\njohar-hall = \"lahore\"\ndha-hall = \"lahore\"\n\
             [listen]\n{listen}[limits]\ncpuQuota = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = {mbps:?}\ndiskMb = 128\n\
             [faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\ncatchUpS = 4\ndrainMs = 2000\ngraceS = 8\n\
             lossSlackMs = 200\nconfigApplyMs = 2000\nrollbackSlackMs = 250\nmaxSkewMs = 5000\nfailClosed = true\nrevokeMs = 5000\n\
             retryRatio = 0.2\nretryWindowS = 10\nretrySlack = 54\nrecoverS = 12\niterationMs = 120\nreuseWindowS = 10\noverloadFactor = 2\n",
            ip = self.host(index),
            zone = zones[usize::from(index) % 3],
            first = self.ports.links,
            last = self.ports.links + 15,
            seeds = seeds.join(","),
            tolerance = class == "core",
            mbps = if class == "core" { 6.0 } else { 1000.0 },
        )
    }

    fn data_folder(&self, index: u8) -> PathBuf {
        self.folder.join(format!("data-{index}"))
    }

    pub fn remove_data(&self, index: u8) {
        let _ = fs::remove_dir_all(self.data_folder(index));
    }

    pub fn start_control(&mut self, index: u8, bootstrap: bool) {
        let data = self.data_folder(index);
        let _ = fs::create_dir_all(&data);
        let listen = format!("controlPlane = \"{}\"\n", self.control_address(index));
        let rest = format!("dataDir = \"{}\"\n", data.display());
        let settings = self.settings(index, "control", "core", "ctrl", bootstrap, &listen, &rest);
        self.spawn(&format!("control-{index}"), "control", "9465", &settings);
    }

    pub fn start_router(&mut self, index: u8, bootstrap: bool) {
        let listen = format!(
            "frontend = \"{}\"\nreadiness = \"{}\"\n",
            self.frontend(index),
            self.address(index, self.ports.readiness)
        );
        let settings = self.settings(index, "router", "edge", "edge", bootstrap, &listen, "");
        self.spawn(&format!("router-{index}"), "router", "9464", &settings);
    }

    fn spawn(&mut self, name: &str, role: &str, metrics: &str, settings: &str) {
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings).unwrap_or_else(|e| cannot_run(&format!("settings: {e}")));
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")));
        let log = log.map_or_else(|_| Stdio::null(), Stdio::from);
        let child = Command::new(self.root.join("target/release/bamboospur"))
            .args([role, "--metrics", metrics])
            .current_dir(&self.root)
            .env("BAMBOOSPUR_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("the program does not start: {e}")));
        end_with_script(&child);
        self.record.line(&format!("start {name}"));
        self.processes.insert(name.to_owned(), child);
    }

    pub fn kill(&mut self, name: &str) {
        if let Some(mut child) = self.processes.remove(name) {
            let id = child.id();
            let _ = child.kill();
            self.record.line(&format!("SIGKILL {name}"));
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|&other| other != id);
        }
    }

    /// Name of a process that has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        self.processes
            .iter_mut()
            .find_map(|(name, child)| match child.try_wait() {
                Ok(Some(_)) => Some(name.clone()),
                _ => None,
            })
    }

    /// Sends a configuration to any control instance until it is acknowledged.
    pub fn configure(&self, body: &str) {
        let mut next = 0;
        wait_for(
            "a configuration is acknowledged",
            Duration::from_secs(20),
            || {
                next += 1;
                let address = self.control_address(next % self.controls + 1);
                json_call(address, "PUT", "/config", body).is_some_and(|r| r.status == 200)
            },
        );
        self.record.line("configuration acknowledged");
    }

    pub fn wait_ready(&self, index: u8) {
        let address = self.address(index, self.ports.readiness);
        wait_for("the router is ready", Duration::from_secs(20), || {
            json_call(address, "GET", "/readyz", "").is_some_and(|r| r.status == 200)
        });
    }

    /// Number of the control instance that leads.
    pub fn leader(&self) -> Option<u8> {
        (1..=self.controls).find(|&i| {
            let reply = json_call(self.address(i, 9465), "GET", "/metrics", "");
            reply.is_some_and(|r| {
                String::from_utf8_lossy(&r.body).lines().any(|l| {
                    !l.starts_with('#') && l.contains("leads") && l.trim_end().ends_with(" 1")
                })
            })
        })
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for child in self.processes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub ran: bool,
}

/// Stand-in for a replica of a plain service: answers each request after a few milliseconds,
/// and answers 421 to those for another replica.
pub struct Replica {
    pub name: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    pub reports: Arc<AtomicBool>,
    pub sequence: Arc<AtomicU64>,
    pub born: u64,
}

impl Replica {
    pub fn start(name: &str, service: &str, host: Ipv4Addr, record: Arc<Record>) -> Self {
        let listener =
            TcpListener::bind((host, 0)).unwrap_or_else(|e| cannot_run(&format!("a replica: {e}")));
        let address = listener
            .local_addr()
            .unwrap_or_else(|e| cannot_run(&format!("a replica: {e}")));
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(1, |d| d.as_millis() as u64);
        let replica = Self {
            name: name.to_owned(),
            service: service.to_owned(),
            address,
            zone: "gulberg-hall".to_owned(),
            arrivals: Arc::clone(&arrivals),
            reports: Arc::new(AtomicBool::new(true)),
            sequence: Arc::new(AtomicU64::new(0)),
            born,
        };
        let name = name.to_owned();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let (name, arrivals, record) =
                    (name.clone(), Arc::clone(&arrivals), Arc::clone(&record));
                thread::spawn(move || serve_plain(stream, &name, &arrivals, &record));
            }
        });
        replica
    }

    pub fn report_body(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\"state\":\"{state}\",\
             \"coldLeftMs\":0,\"seq\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    /// Sends one liveness report to the first of these instances that acknowledges it.
    pub fn report(&self, controls: &[SocketAddr], state: &str) -> bool {
        let body = self.report_body(state);
        let path = format!("/replicas/{}", self.name);
        controls.iter().any(|&c| {
            json_call(c, "PUT", &path, &body).is_some_and(|r| (200..300).contains(&r.status))
        })
    }

    /// Reports every heartbeat until `reports` is false.
    pub fn spawn_reporter(&self, controls: Vec<SocketAddr>, first_in: Duration) {
        let copy = Self {
            name: self.name.clone(),
            service: self.service.clone(),
            address: self.address,
            zone: self.zone.clone(),
            arrivals: Arc::clone(&self.arrivals),
            reports: Arc::clone(&self.reports),
            sequence: Arc::clone(&self.sequence),
            born: self.born,
        };
        thread::spawn(move || {
            thread::sleep(first_in);
            while copy.reports.load(Ordering::SeqCst) {
                copy.report(&controls, "ready");
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

fn serve_plain(mut stream: TcpStream, name: &str, arrivals: &Mutex<Vec<Arrival>>, record: &Record) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer) {
        let length = header(&head, "content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        let _body = read_body(&mut stream, &mut buffer, length);
        let id = header(&head, "x-bamboospur-request-id").unwrap_or_default();
        let expected = header(&head, "x-bamboospur-expect-replica");
        let ran = expected.as_deref().is_none_or(|e| e == name);
        arrivals.lock().unwrap().push(Arrival {
            at: Instant::now(),
            id: id.clone(),
            ran,
        });
        record.line(&format!(
            "{} {id} at {name}",
            if ran { "run" } else { "421" }
        ));
        let answer = if ran {
            thread::sleep(Duration::from_millis(10));
            let body = format!("{name} {id}");
            format!(
                "HTTP/1.1 200 OK\r\nX-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Replica-Stamp: {name}.{id}\r\n\
                 Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
        } else {
            format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

pub fn request_text(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    close: bool,
    body: &str,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Bamboospur-Request-Id: {id}\r\nX-Bamboospur-Deadline-Ms: {deadline_ms}\r\n\
         Authorization: Bearer {key}\r\n{}Content-Length: {}\r\n\r\n{body}",
        if close { "Connection: close\r\n" } else { "" },
        body.len()
    )
}

/// Configuration with a plain service and one route of each kind.
pub fn config(version: u64, key: &str, extra_routes: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"read\",\"host\":\"a.example\",\"pathPrefix\":\"/read/\",\"type\":\"idempotent\",\"timeoutMs\":3000,\"sloMs\":500,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}},\
         {{\"name\":\"write\",\"host\":\"a.example\",\"pathPrefix\":\"/write/\",\"type\":\"non_idempotent\",\"timeoutMs\":3000,\"sloMs\":500,\"priority\":2,\"service\":\"desk\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}}{extra_routes}],\
         \"services\":[{{\"name\":\"desk\",\"healthPath\":\"/healthz\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"{key}\"],\"priority\":1}}]}}"
    )
}
