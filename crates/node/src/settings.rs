//! Settings of one node, read from a TOML file.
//!
//! Fleet-wide settings, such as teams and pools, are kept in the replicated
//! settings tree instead.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::peers::ControlAddress;

/// Settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// Name of the instance, unique in the fleet.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Addresses on which the instance listens.
    pub addresses: Addresses,
    /// Instances to contact when joining the fleet, in this and in other data centres.
    pub seeds: Vec<SeedAddress>,
    /// Members of the control group; each of them holds a replica.
    pub control: Vec<ControlAddress>,
    /// Folder for durable state; makes this a control instance, unless `control`
    /// lists other instances only.
    pub data_folder: Option<PathBuf>,
    /// File with the secret that authenticates instances to each other.
    pub fleet_secret_file: Option<PathBuf>,
    /// File with a token that authorizes an operator before any operator is
    /// configured in the fleet's settings.
    pub operator_token_file: Option<PathBuf>,
    /// File with the bearer token that targets send.
    pub target_token_file: Option<PathBuf>,
    /// Size limits and time-outs.
    pub limits: Limits,
    /// Address of a `StatsD` server; `None` disables metrics.
    pub statsd: Option<SocketAddr>,
    /// Whether this is a development node with its own control instance.
    pub dev: bool,
    /// Stand-in targets started by a development node.
    pub standins: StandInCounts,
}

/// An instance to contact when joining the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeedAddress {
    /// Fleet address of the instance.
    pub address: SocketAddr,
    /// Data centre of the instance; `None` for the data centre of this node.
    pub data_centre: Option<String>,
}

/// Numbers of stand-in targets of a development node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandInCounts {
    /// Number of engines.
    pub engines: usize,
    /// Number of replicas of the records service.
    pub records: usize,
}

/// Addresses of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address for operators and targets.
    pub operators: SocketAddr,
    /// Address for other instances, UDP and TCP.
    pub fleet: SocketAddr,
}

/// Size limits and time-outs of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections from callers.
    pub connections: usize,
    /// Maximum number of requests in progress.
    pub requests: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum size of an answer that is not a stream.
    pub answer_bytes: usize,
    /// Maximum size of all requests and answers in memory together.
    pub buffer_bytes: usize,
    /// Longest time without data while a caller sends a request head, and between
    /// requests of a connection.
    pub head_timeout: Duration,
    /// Longest time to receive a whole request body.
    pub body_timeout: Duration,
    /// Time during which a node that shuts down still accepts connections.
    pub drain: Duration,
    /// Time until the deadline of requests that set none.
    pub deadline: Duration,
    /// Longest time without data from a target before the head of its answer.
    pub first_byte: Duration,
    /// Longest time without data from a target inside a stream or body.
    pub stall: Duration,
    /// Longest time that a write waits for a caller that does not read.
    pub caller_stall: Duration,
}

const LOOPBACK: [u8; 4] = [127, 0, 0, 1];

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            name: "node-01".to_owned(),
            data_centre: "dev".to_owned(),
            addresses: Addresses::default(),
            seeds: Vec::new(),
            control: Vec::new(),
            operator_token_file: None,
            data_folder: None,
            fleet_secret_file: None,
            target_token_file: None,
            limits: Limits::default(),
            statsd: None,
            dev: false,
            standins: StandInCounts::default(),
        }
    }
}

impl Default for StandInCounts {
    fn default() -> Self {
        Self {
            engines: 3,
            records: 2,
        }
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Self {
            callers: SocketAddr::from((LOOPBACK, 8080)),
            operators: SocketAddr::from((LOOPBACK, 8081)),
            fleet: SocketAddr::from((LOOPBACK, 8082)),
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            requests: 2500,
            body_bytes: 8 * 1024 * 1024,
            answer_bytes: 8 * 1024 * 1024,
            buffer_bytes: 48 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            drain: Duration::from_secs(10),
            deadline: Duration::from_mins(5),
            first_byte: Duration::from_secs(30),
            stall: Duration::from_secs(5),
            caller_stall: Duration::from_secs(30),
        }
    }
}
