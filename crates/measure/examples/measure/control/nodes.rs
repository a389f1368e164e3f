//! Measures a fleet of seven node processes on loopback: three control instances
//! and four routers.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use ureq::Agent;

use super::sample::{TEAM_COUNT, fleet_toml, team_name, team_toml};

const CONTROL_NODE_COUNT: usize = 3;
const NODE_COUNT: usize = 7;
const CLIENT_COUNT: usize = 8;
/// Teams created between two waits until all nodes have the changes in force.
const TEAMS_PER_BATCH: usize = 200;
const WAIT_TIMEOUT: Duration = Duration::from_secs(90);
/// Clock ticks per second in `/proc/PID/stat`; always 100 on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Interval at which the revision in force on a node is read.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
const IDLE_DURATION: Duration = Duration::from_secs(10);

/// One node process.
pub struct Node {
    config: PathBuf,
    child: Child,
    /// Address of the operator API.
    pub operators: SocketAddr,
}

/// Resources that a node uses while nothing changes.
#[derive(Debug)]
pub struct IdleUsage {
    pub role: String,
    pub cpu_percent: f64,
    pub memory_bytes: u64,
    pub sent_per_s: f64,
    pub received_per_s: f64,
    /// Frames and packets, sent and received.
    pub messages_per_s: f64,
    /// Bytes per second, sent and received, by kind of message.
    pub bytes_per_s_by_kind: Vec<(String, f64)>,
}

/// The running fleet. Dropping it kills the processes and removes their files.
pub struct NodeFleet {
    nodes: Vec<Node>,
    folder: PathBuf,
    agent: Agent,
}

/// Runs one node with the settings in a file. This is the child process of
/// `spawn_node`.
pub fn run_role(path: Option<&str>) -> Result<(), String> {
    let path = path.ok_or("role-node: the path of the settings file is missing")?;
    let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
    let settings = bamboospur_node::file::read(&text).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })?;
    bamboospur_node::run::run(settings)
}

impl NodeFleet {
    /// Starts all nodes and creates the settings branch of the fleet.
    pub fn start() -> Result<Self, String> {
        let name = format!("bamboospur-measure-nodes-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        for name in ["secret", "operator"] {
            fs::write(folder.join(name), format!("{name} of the measurement"))
                .map_err(|error| error.to_string())?;
        }
        let addresses = free_addresses(3 * NODE_COUNT)?;
        let mut fleet = Self {
            nodes: Vec::new(),
            folder,
            agent: http_agent(),
        };
        for number in 0..NODE_COUNT {
            let node = fleet.spawn(number, &addresses)?;
            fleet.nodes.push(node);
        }
        fleet.apply(0, "fleet", "fleet", 0, &fleet_toml())?;
        Ok(fleet)
    }

    fn spawn(&self, number: usize, addresses: &[SocketAddr]) -> Result<Node, String> {
        let control_nodes = addresses[..CONTROL_NODE_COUNT].iter().enumerate();
        let control_nodes = control_nodes
            .map(|(n, address)| format!("{{ name = \"node-{n}\", address = \"{address}\" }}"));
        let control_nodes: Vec<String> = control_nodes.collect();
        let seeds: Vec<String> = addresses[..CONTROL_NODE_COUNT]
            .iter()
            .map(|a| format!("\"{a}\""))
            .collect();
        let file = |name: &str| self.folder.join(name).display().to_string();
        let data = match number {
            0..CONTROL_NODE_COUNT => {
                format!("data_folder = \"{}\"\n", file(&format!("data-{number}")))
            }
            _ => String::new(),
        };
        let operators = addresses[2 * NODE_COUNT + number];
        let text = format!(
            "name = \"node-{number}\"\ndata_centre = \"dc\"\nfleet_secret_file = \"{}\"\n\
             operator_token_file = \"{}\"\n{data}seeds = [{}]\ncontrol = [{}]\n[addresses]\n\
             callers = \"{}\"\noperators = \"{operators}\"\nfleet = \"{}\"\n",
            file("secret"),
            file("operator"),
            seeds.join(", "),
            control_nodes.join(", "),
            addresses[NODE_COUNT + number],
            addresses[number],
        );
        let config = self.folder.join(format!("node-{number}.toml"));
        fs::write(&config, text).map_err(|error| error.to_string())?;
        Ok(Node {
            child: spawn_node(&config)?,
            config,
            operators,
        })
    }

    /// Replaces a settings branch through node `via` and retries until the change is
    /// accepted. Returns the revision and the time of the answer.
    pub fn apply(
        &self,
        via: usize,
        id: &str,
        path: &str,
        base_version: u64,
        toml: &str,
    ) -> Result<(u64, Instant), String> {
        let body =
            json!({"change_id": id, "path": path, "base_version": base_version, "toml": toml});
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let mut last = "no answer".to_owned();
        while Instant::now() < deadline {
            let sent = self
                .agent
                .post(format!(
                    "http://{}/control/apply",
                    self.nodes[via].operators
                ))
                .header("authorization", "Bearer operator of the measurement")
                .send(body.to_string());
            if let Ok(mut answer) = sent {
                let text = answer.body_mut().read_to_string().unwrap_or_default();
                let value: Value = serde_json::from_str(&text).unwrap_or_default();
                if let Some(revision) = value["revision"].as_u64() {
                    return Ok((revision, Instant::now()));
                }
                last = text;
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(format!("change {id} was not accepted in time: {last}"))
    }

    /// Creates the branches of all teams from several clients. Each batch is in
    /// force on all nodes before the next one starts; otherwise routers fall behind
    /// and the control instances spend their time sending whole trees.
    pub fn create_all_teams(&self) -> Result<Duration, String> {
        let began = Instant::now();
        for first in (0..TEAM_COUNT).step_by(TEAMS_PER_BATCH) {
            let numbers = first..TEAM_COUNT.min(first + TEAMS_PER_BATCH as u64);
            let last = thread::scope(|scope| {
                let clients = (0..CLIENT_COUNT).map(|client| {
                    let own = numbers.clone().skip(client).step_by(CLIENT_COUNT);
                    scope.spawn(move || self.create_teams(client % NODE_COUNT, own))
                });
                let clients: Vec<_> = clients.collect();
                let results = clients.into_iter().map(|client| {
                    let result = client.join();
                    result.map_err(|_| "a client thread panicked".to_owned())?
                });
                results.collect::<Result<Vec<u64>, String>>()
            })?;
            let last = last.into_iter().max().unwrap_or(0);
            (0..NODE_COUNT).try_for_each(|node| self.wait_for_revision(node, last))?;
        }
        Ok(began.elapsed())
    }

    fn create_teams(&self, via: usize, numbers: impl Iterator<Item = u64>) -> Result<u64, String> {
        let mut last = 0;
        for number in numbers {
            let name = team_name(number);
            let path = format!("teams.{name}");
            last = self.apply(via, &name, &path, 0, &team_toml(number, 0))?.0;
        }
        Ok(last)
    }

    /// Changes a team's branch. Returns the seconds from the answer until the change
    /// is in force on all nodes.
    pub fn measure_change(&self, number: u64) -> Result<f64, String> {
        let path = format!("teams.{}", team_name(number));
        let via = usize::try_from(number).unwrap_or(0) % NODE_COUNT;
        let version = self.branch_version(&path)?;
        let id = format!("edit-{number}");
        let (revision, accepted) = self.apply(via, &id, &path, version, &team_toml(number, 1))?;
        for node in 0..NODE_COUNT {
            self.wait_for_revision(node, revision)?;
        }
        Ok(accepted.elapsed().as_secs_f64())
    }

    /// Waits until a revision is in force on a node.
    pub fn wait_for_revision(&self, node: usize, revision: u64) -> Result<(), String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            let status = self.status(node);
            if status["control"]["revision"].as_u64() >= Some(revision) {
                return Ok(());
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(format!(
            "revision {revision} is not in force on node {node}"
        ))
    }

    /// Kills a router, which has no data folder, and starts it again. Returns the
    /// seconds until the revision is in force there, and the bytes of settings that
    /// the router received.
    pub fn restart_router(&mut self, number: usize, revision: u64) -> Result<(f64, u64), String> {
        let node = &mut self.nodes[number];
        node.stop();
        node.child = spawn_node(&node.config)?;
        let began = Instant::now();
        self.wait_for_revision(number, revision)?;
        let seconds = began.elapsed().as_secs_f64();
        let status = self.status(number);
        let received = &status["control"]["traffic"]["tcp"]["settings"]["received_bytes"];
        Ok((seconds, received.as_u64().unwrap_or(0)))
    }

    /// Measures the resource use of all nodes while nothing changes.
    pub fn measure_idle(&self) -> Vec<IdleUsage> {
        let sample = |number: usize| (self.status(number), self.nodes[number].cpu_time_s());
        let began = Instant::now();
        let before: Vec<_> = (0..NODE_COUNT).map(sample).collect();
        thread::sleep(IDLE_DURATION);
        let seconds = began.elapsed().as_secs_f64();
        let after = (0..NODE_COUNT).map(sample);
        let pairs = before.into_iter().zip(after).enumerate();
        pairs
            .map(|(number, (before, after))| {
                let memory_bytes = self.nodes[number].memory_bytes();
                idle_usage(&before, &after, seconds, memory_bytes)
            })
            .collect()
    }

    /// Returns the `/status` document of a node; null if the node does not answer.
    pub fn status(&self, node: usize) -> Value {
        self.get(node, "/status").unwrap_or_default()
    }

    fn branch_version(&self, path: &str) -> Result<u64, String> {
        let tree = self.get(0, &format!("/control/tree?path={path}"))?;
        tree["version"]
            .as_u64()
            .ok_or(format!("the settings of {path} have no version: {tree}"))
    }

    fn get(&self, node: usize, path: &str) -> Result<Value, String> {
        let mut answer = self
            .agent
            .get(format!("http://{}{path}", self.nodes[node].operators))
            .header("authorization", "Bearer operator of the measurement")
            .call()
            .map_err(|error| error.to_string())?;
        let text = answer.body_mut().read_to_string();
        let text = text.map_err(|error| error.to_string())?;
        serde_json::from_str(&text).map_err(|error| error.to_string())
    }
}

impl Drop for NodeFleet {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::stop);
        drop(fs::remove_dir_all(&self.folder));
    }
}

impl Node {
    fn stop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    fn cpu_time_s(&self) -> f64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        // The text after the last `)` starts at field 3; fields 14 and 15 are the
        // user and system time.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / TICKS_PER_S
    }

    fn memory_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|kb| kb.parse::<u64>().ok()).unwrap_or(0) * 1024
    }
}

/// Computes the usage between two samples of `/status` and CPU seconds.
fn idle_usage(
    before: &(Value, f64),
    after: &(Value, f64),
    seconds: f64,
    memory_bytes: u64,
) -> IdleUsage {
    let traffic = |status: &Value| status["control"]["traffic"].clone();
    let (old, new) = (traffic(&before.0), traffic(&after.0));
    let number = |value: &Value| value.as_f64().unwrap_or(0.0);
    let rate = |group: &str, kind: &str, field: &str| {
        let field = |traffic: &Value| match kind {
            "" => number(&traffic[group][field]),
            _ => number(&traffic[group][kind][field]),
        };
        (field(&new) - field(&old)) / seconds
    };
    let mut kinds = Vec::new();
    let mut messages_per_s = 0.0;
    for group in ["udp", "tcp"] {
        for kind in new[group]
            .as_object()
            .into_iter()
            .flat_map(|kinds| kinds.keys())
        {
            let bytes = rate(group, kind, "sent_bytes") + rate(group, kind, "received_bytes");
            messages_per_s += rate(group, kind, "sent") + rate(group, kind, "received");
            kinds.push((format!("{group} {kind}"), bytes));
        }
    }
    let role = after.0["control"]["role"].as_str().unwrap_or_default();
    IdleUsage {
        role: if role.is_empty() { "router" } else { role }.to_owned(),
        cpu_percent: (after.1 - before.1) / seconds * 100.0,
        memory_bytes,
        sent_per_s: rate("total", "", "sent_bytes"),
        received_per_s: rate("total", "", "received_bytes"),
        messages_per_s,
        bytes_per_s_by_kind: kinds,
    }
}

fn spawn_node(config: &Path) -> Result<Child, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    Command::new(program)
        .args(["control", "role-node"])
        .arg(config)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("cannot start a node: {error}"))
}

fn http_agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(10)))
        .http_status_as_error(false)
        .build()
        .into()
}

/// Returns distinct loopback addresses that were free at the time of the call.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, String> {
    let listeners = (0..count).map(|_| TcpListener::bind("127.0.0.1:0"));
    let listeners: Result<Vec<_>, _> = listeners.collect();
    let listeners = listeners.map_err(|error| error.to_string())?;
    let addresses = listeners.iter().map(TcpListener::local_addr);
    addresses
        .collect::<Result<_, _>>()
        .map_err(|error| error.to_string())
}
