//! The platform: machines of a small deployment, each with a loopback address of its own. Starts
//! the programs with the commands of the deploy file, restarts those that end by themselves, and
//! ends all of them when the deployment is dropped.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::note;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["gulberg-hall", "johar-hall", "dha-hall"];
/// Bounds of rangmahal-ad that the cases use.
pub const CONTACT_MS: u64 = 3_000;
pub const ACK_MS: u64 = 4_000;
pub const CONFIG_APPLY_MS: u64 = 2_000;

const PROGRAM: &str = "target/release/bamboospur";
/// Time until the platform starts a process again that has ended.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Ports, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    control: u16,
    callers: u16,
    ready: u16,
    first: u16,
}

struct Process {
    child: Child,
    role: &'static str,
    index: u8,
}

pub struct Deployment {
    network: [u8; 3],
    ports: Ports,
    pub folder: PathBuf,
    processes: BTreeMap<String, Process>,
    /// Processes that ended by themselves.
    pub own_ends: u32,
    version: u64,
}

impl Deployment {
    /// Starts three control processes and `edges` routers.
    pub fn start(edges: u8) -> io::Result<Self> {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("bamboospur-review-{id}"));
        fs::create_dir_all(&folder)?;
        let byte = |number: u32| u8::try_from(number % 200 + 20).unwrap_or(20);
        let network = [127, byte(id / 200), byte(id)];
        let ports = free_ports(network, edges)?;
        let mut deployment = Self {
            network,
            ports,
            folder,
            processes: BTreeMap::new(),
            own_ends: 0,
            version: 0,
        };
        for index in 1..=3 {
            deployment.spawn("control", index, true)?;
        }
        for index in 0..edges {
            deployment.spawn("router", 11 + index, true)?;
        }
        Ok(deployment)
    }

    fn host(&self, index: u8) -> Ipv4Addr {
        let [a, b, c] = self.network;
        Ipv4Addr::new(a, b, c, index)
    }

    fn address(&self, index: u8, port: u16) -> SocketAddr {
        SocketAddr::new(self.host(index).into(), port)
    }

    /// Address at which a control process takes calls; the first has the index 1.
    pub fn control(&self, index: u8) -> SocketAddr {
        self.address(index, self.ports.control)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (1..=3).map(|index| self.control(index)).collect()
    }

    /// Address at which a router takes channels of consumers; the first has the index 0.
    pub fn edge(&self, index: u8) -> SocketAddr {
        self.address(11 + index, self.ports.callers)
    }

    /// Address for a replica.
    pub fn replica_host(&self, index: u8) -> Ipv4Addr {
        self.host(101 + index)
    }

    fn spawn(&mut self, role: &'static str, index: u8, first_start: bool) -> io::Result<()> {
        let name = format!("{role}-{index}");
        let zone = ZONES[usize::from(index) % 3];
        let (class, serves, listen, data, metrics) = if role == "control" {
            let data = self.folder.join(format!("data-{index}"));
            (
                "core",
                "ctrl",
                format!("controlPlane = \"{}\"", self.control(index)),
                format!("dataDir = \"{}\"\n", data.display()),
                "9465",
            )
        } else {
            let (callers, ready) = (
                self.address(index, self.ports.callers),
                self.address(index, self.ports.ready),
            );
            (
                "edge",
                "edge",
                format!("frontend = \"{callers}\"\nreadiness = \"{ready}\""),
                String::new(),
                "9464",
            )
        };
        let seeds = self.controls().into_iter().map(|a| format!("\"{a}\""));
        let seeds: Vec<String> = seeds.collect();
        let zones: Vec<String> = ZONES.map(|zone| format!("{zone} = \"lahore\"")).to_vec();
        let settings = format!(
            "nodeName = \"{name}\"\nrole = \"{role}\"\nmachineClass = \"{class}\"\n\
             serves = [\"{serves}\"]\nip = \"{}\"\nzone = \"{zone}\"\nregion = \"lahore\"\n\
             portRange = [{},{}]\nseeds = [{}]\nbootstrap = {first_start}\ninTolerance = {}\n\
             discovery = \"register\"\nentry = \"vip\"\nheartbeatMs = 1200\n{data}\
             configMode = \"highest\"\n[zones]\n{}\n[listen]\n{listen}\n\
             [limits]\ncpuQuota = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = 128\n[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = {CONTACT_MS}\nackMs = {ACK_MS}\n\
             catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n\
             configApplyMs = {CONFIG_APPLY_MS}\nrollbackSlackMs = 250\nmaxSkewMs = 5000\n\
             failClosed = true\nrevokeMs = 5000\nretryRatio = 0.2\nretryWindowS = 10\n\
             retrySlack = 54\nrecoverS = 12\niterationMs = 120\nreuseWindowS = 10\n\
             overloadFactor = 2\n",
            self.host(index),
            self.ports.first,
            self.ports.first + 15,
            seeds.join(","),
            role == "control",
            zones.join("\n"),
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(PROGRAM)
            .args([role, "--metrics", metrics])
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| name == "PATH" || name == "HOME"))
            .env("BAMBOOSPUR_SETTINGS", &path)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        note!("platform: {name} starts as process {}", child.id());
        self.processes.insert(name, Process { child, role, index });
        Ok(())
    }

    /// Kills a router with SIGKILL.
    pub fn kill_edge(&mut self, index: u8) {
        let name = format!("router-{}", 11 + index);
        if let Some(mut process) = self.processes.remove(&name) {
            note!("platform: kills {name}");
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Cuts the power of a control process: its files stay as they are.
    pub fn kill_control(&mut self, index: u8) {
        let name = format!("control-{index}");
        if let Some(mut process) = self.processes.remove(&name) {
            note!("platform: kills {name}");
            let _ = process.child.kill();
            let _ = process.child.wait();
        }
    }

    /// Starts a killed control process again.
    pub fn restart_control(&mut self, index: u8) -> io::Result<()> {
        self.spawn("control", index, false)
    }

    /// Starts the processes again that have ended by themselves.
    pub fn restart_ended(&mut self) -> io::Result<()> {
        let mut ended = Vec::new();
        for (name, process) in &mut self.processes {
            if let Ok(Some(status)) = process.child.try_wait() {
                note!("platform: {name} has ended by itself: {status}");
                ended.push((process.role, process.index));
            }
        }
        for (role, index) in ended {
            self.own_ends += 1;
            sleep(RESTART_DELAY);
            self.spawn(role, index, false)?;
        }
        Ok(())
    }

    /// Sends a configuration to one node after the other until it is acknowledged, as the
    /// operator does, for at most `wait`. Returns whether it was.
    pub fn configure(&mut self, content: &str, wait: Duration) -> bool {
        self.version += 1;
        let body = format!("{{\"version\":{},{content}}}", self.version);
        let end = Instant::now() + wait;
        let mut pause = Duration::from_millis(50);
        let mut node = 0;
        while Instant::now() < end {
            let address = self.controls()[node % 3];
            node += 1;
            let answer = call(address, "PUT", "/config", &body, Duration::from_secs(1));
            note!(
                "operator: PUT /config version {} to {address}: {}",
                self.version,
                shown(&answer)
            );
            match answer {
                Ok((200, _)) => return true,
                _ => sleep(pause),
            }
            pause = (pause * 2).min(Duration::from_millis(400));
        }
        false
    }

    /// Waits until a router says that it is ready.
    pub fn wait_ready(&self, index: u8, wait: Duration) -> bool {
        let address = self.address(11 + index, self.ports.ready);
        let end = Instant::now() + wait;
        while Instant::now() < end {
            let answer = call(address, "GET", "/readyz", "", Duration::from_secs(1));
            if matches!(answer, Ok((200, _))) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        note!("platform: {address} is not ready in time");
        false
    }

    /// Starts a killed router again.
    pub fn restart_edge(&mut self, index: u8) -> io::Result<()> {
        self.spawn("router", 11 + index, false)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.child.kill();
        }
        for process in self.processes.values_mut() {
            let _ = process.child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Describes the answer to a call.
pub fn shown(answer: &io::Result<(u16, String)>) -> String {
    match answer {
        Ok((status, body)) => format!("{status} {}", &body[..body.len().min(80)]),
        Err(error) => format!("no answer: {error}"),
    }
}

/// Finds ports that are free on all machines.
fn free_ports(network: [u8; 3], edges: u8) -> io::Result<Ports> {
    let [a, b, c] = network;
    let hosts = (1..=3).chain(11..11 + edges);
    let hosts: Vec<Ipv4Addr> = hosts.map(|d| Ipv4Addr::new(a, b, c, d)).collect();
    let is_free = |port: u16| {
        hosts
            .iter()
            .all(|&host| TcpListener::bind((host, port)).is_ok())
    };
    for base in (20_200..30_000).step_by(64) {
        if (base..base + 19).all(is_free) {
            return Ok(Ports {
                control: base,
                callers: base + 1,
                ready: base + 2,
                first: base + 3,
            });
        }
    }
    Err(io::Error::other("no free ports"))
}
