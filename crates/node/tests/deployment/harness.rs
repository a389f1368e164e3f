//! Processes of one deployment, and requests to them.

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::disk;
pub use super::target::{Behaviour, Target};

pub const CONTROL_PORT: u16 = 9101;
pub const CALLER_PORT: u16 = 9102;
pub const READY_PORT: u16 = 9103;
pub const LINK_PORT: u16 = 9110;
/// Second port of the range, where routers take reports of targets.
pub const REPORT_PORT: u16 = LINK_PORT + 1;
/// Index of the first router of a soak; the others have the next ones.
pub const FIRST_ROUTER_INDEX: u8 = 30;
/// Memory limit of each process.
pub const MEMORY_MB: u64 = 260;
/// File descriptors that each process may open.
pub const MAX_FDS: u64 = 4_100;
/// Longest wait of a caller for a connection, and for the next bytes of an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest wait for a state that the processes reach without further input.
const STATE_TIMEOUT: Duration = Duration::from_secs(15);

/// HTTP answer as a caller received it.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    /// Whether a body in chunks has its last chunk; one with a length is whole.
    pub fn is_whole(&self) -> bool {
        let is_chunked = self.head.contains("Transfer-Encoding: chunked");
        !is_chunked || self.body.ends_with("0\r\n\r\n")
    }
}

/// Sends a request on a new connection; returns `None` without a whole answer.
pub fn call(address: SocketAddr, text: &str) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
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

/// Returns the name of a router of a soak.
pub fn router_name(index: u8) -> String {
    format!("router-{index}")
}

/// Returns a setting of a soak from the environment.
pub fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

pub fn eventually(what: &str, holds: impl FnMut() -> bool) {
    assert!(comes_true(holds), "not within {STATE_TIMEOUT:?}: {what}");
}

/// Waits until a condition holds; returns false if it does not within [`STATE_TIMEOUT`].
pub fn comes_true(mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + STATE_TIMEOUT;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

/// Limits of the machine that the settings of each process state.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLimits {
    pub memory_mb: u64,
    pub max_fds: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_mb: MEMORY_MB,
            max_fds: MAX_FDS,
        }
    }
}

/// How the processes of a deployment are started.
#[derive(Clone, Copy, Debug, Default)]
pub struct DeploymentSettings {
    /// Command-line options of the control instances.
    pub control_options: &'static [&'static str],
    /// Command-line options of the routers.
    pub router_options: &'static [&'static str],
    pub limits: ProcessLimits,
}

/// Processes of one deployment. They are killed when this value is dropped.
pub struct Deployment {
    network: u8,
    pub folder: PathBuf,
    pub processes: BTreeMap<String, Child>,
    /// Version of the newest configuration.
    pub version: u64,
    settings: DeploymentSettings,
    /// Processes started so far.
    starts: u32,
}

/// Environment variable with the path of another build of the program, which runs in every
/// second process, so that a soak shows whether two builds serve side by side.
const OTHER_PROGRAM_VARIABLE: &str = "OTHER_PROGRAM";

/// Whether some of the processes run another build.
pub fn has_other_program() -> bool {
    std::env::var_os(OTHER_PROGRAM_VARIABLE).is_some()
}

/// Returns the program of a process that is started as number `start`.
fn program(start: u32) -> String {
    let other = std::env::var_os(OTHER_PROGRAM_VARIABLE).filter(|_| start.is_multiple_of(2));
    other.map_or_else(
        || env!("CARGO_BIN_EXE_bamboospur").to_owned(),
        |path| path.to_string_lossy().into_owned(),
    )
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
        let settings = DeploymentSettings {
            control_options,
            ..DeploymentSettings::default()
        };
        Self::with_settings(network, settings)
    }

    /// Starts three control instances.
    pub fn with_settings(network: u8, settings: DeploymentSettings) -> Self {
        let name = format!("bamboospur-deployment-{}-{network}", std::process::id());
        let folder = disk::test_root().join(name);
        fs::create_dir_all(&folder).expect("a folder");
        let mut deployment = Self {
            network,
            folder,
            processes: BTreeMap::new(),
            version: 0,
            settings,
            starts: 0,
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
             heartbeatMs = 1200\n{rest}\n[zones]\nnorth = \"a\"\nsouth = \"a\"\n\
             [limits]\nmemoryMb = {}\nmaxFds = {}\n\
             [bounds]\ngraceS = 8\nrevokeMs = 5000\nfailClosed = true\n",
            self.host(index),
            LINK_PORT + 10,
            seeds.join(","),
            self.settings.limits.memory_mb,
            self.settings.limits.max_fds,
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
            "control" => self.settings.control_options,
            _ => self.settings.router_options,
        };
        self.starts += 1;
        let child = disk::command(&program(self.starts))
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
        kill_process(self.process_id(name), signal).expect("a signal");
    }

    pub fn process_id(&self, name: &str) -> Pid {
        let id = self.processes[name].id();
        let id = i32::try_from(id).ok().and_then(Pid::from_raw);
        id.expect("a process id")
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

    /// Makes the disk of a control instance refuse every write, or gives it room again.
    pub fn set_disk_full(&self, control: u8, is_full: bool) {
        disk::set_full(&self.processes[&format!("control-{control}")], is_full);
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
        self.send_report(name, &body);
    }

    /// Reports a ready engine with this version of its software.
    pub fn report_engine(&self, name: &str, target: &Target, software: &str) {
        let body = report_body(target.address, "engine", "ready", "1");
        let version = format!("{{\"version\":\"{software}\",");
        self.send_report(name, &body.replacen('{', &version, 1));
    }

    pub fn send_report(&self, name: &str, body: &str) {
        eventually("a report is taken", || {
            let path = format!("/replicas/{name}");
            (1..=5).any(|control| {
                let reply = json_call(self.address(control, CONTROL_PORT), "PUT", &path, body);
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

/// Returns the version of a configuration; 0 without one.
pub fn version_of(body: &str) -> u64 {
    let field = body.split_once("\"version\":");
    let digits = field.map_or("", |(_, rest)| rest);
    let end = digits.find(|c: char| !c.is_ascii_digit());
    digits[..end.unwrap_or(digits.len())].parse().unwrap_or(0)
}

pub fn config(version: u64, key: &str) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"pathPrefix\":\"/{name}/\",\
             \"type\":\"{kind}\",\"timeoutMs\":6000,\"sloMs\":1000,\"service\":\"{service}\",\
             \"maxAttempts\":2,\"itlTargetMs\":1000,\"sticky\":{},\"resumable\":{}}}",
            service == "engine",
            name == "talk"
        )
    };
    let routes = [
        route("read", "idempotent", "s"),
        route("submit", "non_idempotent", "lossy"),
        route("chat", "stream", "engine"),
        route("talk", "stream", "engine"),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"s\"}},\
         {{\"name\":\"lossy\"}},{{\"name\":\"engine\"}}],\
         \"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"{key}\"]}}]}}",
        routes.join(",")
    )
}
