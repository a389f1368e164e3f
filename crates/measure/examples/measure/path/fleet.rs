//! The child processes: one node and one engine.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use super::client;

/// Longest time until the node serves requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Clock ticks a second of the times in `/proc/PID/stat`; always 100 on Linux.
const TICKS_PER_S: f64 = 100.0;

/// A node with one engine; dropping the value ends both processes.
pub struct Fleet {
    node: Child,
    engine: Child,
    /// Address of the node for callers.
    pub callers_address: SocketAddr,
    pub engine_address: SocketAddr,
}

impl Fleet {
    /// Starts both processes and waits until the node answers a chat request.
    pub fn start() -> Result<Self, String> {
        let [callers, operators, engine_address] = free_addresses()?;
        let node = spawn(&["role-node", &callers.to_string(), &operators.to_string()])?;
        let engine = spawn(&[
            "role-engine",
            &engine_address.to_string(),
            &operators.to_string(),
        ])?;
        let fleet = Self {
            node,
            engine,
            callers_address: callers,
            engine_address,
        };
        fleet.wait_until_serving()?;
        Ok(fleet)
    }

    fn wait_until_serving(&self) -> Result<(), String> {
        let deadline = Instant::now() + START_TIMEOUT;
        let agent = client::agent();
        while Instant::now() < deadline {
            if client::send_chat(&agent, self.callers_address).is_ok() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the node did not answer a chat request within the start timeout".to_owned())
    }

    /// Returns the resident memory of the node.
    pub fn node_memory_bytes(&self) -> Result<u64, String> {
        let path = format!("/proc/{}/status", self.node.id());
        let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        let kilobytes: u64 = number
            .and_then(|number| number.parse().ok())
            .ok_or("no VmRSS value in /proc/PID/status of the node")?;
        Ok(kilobytes * 1024)
    }

    /// Returns the user and system time that the node has used.
    pub fn node_cpu_s(&self) -> Result<f64, String> {
        let path = format!("/proc/{}/stat", self.node.id());
        let text = fs::read_to_string(path).map_err(|error| error.to_string())?;
        let fields = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<&str> = fields.split_whitespace().collect();
        // User and system time are fields 14 and 15 of the line; the text after the last
        // parenthesis begins with field 3.
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        match (ticks(11), ticks(12)) {
            (Some(user), Some(system)) => Ok((user + system) / TICKS_PER_S),
            _ => Err("no processor time in /proc/PID/stat of the node".to_owned()),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in [&mut self.node, &mut self.engine] {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn spawn(args: &[&str]) -> Result<Child, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    Command::new(program)
        .arg("path")
        .args(args)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .map_err(|error| format!("cannot start {}: {error}", args[0]))
}

/// Returns local addresses whose ports were free a moment ago.
fn free_addresses<const N: usize>() -> Result<[SocketAddr; N], String> {
    let mut listeners = Vec::new();
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for address in &mut addresses {
        let listener = TcpListener::bind(*address).map_err(|error| error.to_string())?;
        *address = listener.local_addr().map_err(|error| error.to_string())?;
        listeners.push(listener);
    }
    Ok(addresses)
}
