//! Content of the status page for operators.

use serde::Serialize;

use crate::actors::{Counters, Targets};
use crate::peers::{LinkStatus, TrafficStatus};

/// State of one target.
#[derive(Clone, Debug, Serialize)]
pub struct TargetStatus {
    /// Name, unique in the fleet.
    pub name: String,
    /// IP address and port.
    pub address: String,
    /// State as the router uses it, with drains by operators.
    pub state: String,
    /// Whether the target gets no new work because it is flapping.
    pub damped: bool,
    /// State of the circuit breaker for the target.
    pub breaker: String,
    /// Last load that the target reported, in tokens.
    pub load_tokens: u64,
    /// Last load that the target reported, in requests.
    pub load_requests: u32,
}

/// State of one pool.
#[derive(Clone, Debug, Serialize)]
pub struct PoolStatus {
    /// Name of the pool.
    pub name: String,
    /// Retries that the retry budget allows immediately.
    pub retries_available: u64,
    /// Targets that belong to the pool.
    pub targets: Vec<TargetStatus>,
}

impl PoolStatus {
    /// Collects the state of the pool `name` from the known targets.
    #[must_use]
    pub fn new(name: &str, targets: &Targets, retries_available: u64) -> Self {
        let targets = targets.in_pool(name).map(|target| TargetStatus {
            name: target.name.clone(),
            address: target.address.to_string(),
            state: target.view.state.to_string(),
            damped: target.view.damped,
            breaker: target.breaker.state().to_string(),
            load_tokens: target.view.report.map_or(0, |report| report.load_tokens),
            load_requests: target.view.report.map_or(0, |report| report.load_requests),
        });
        Self {
            name: name.to_owned(),
            retries_available,
            targets: targets.collect(),
        }
    }
}

/// State of the control replica, the settings and the links to other instances.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ControlStatus {
    /// Revision of the settings in force.
    pub revision: u64,
    /// Role of the replica in the control group; empty on an instance without one.
    pub role: String,
    /// Whether this instance, or the control instance that it follows, knows a leader.
    pub has_leader: bool,
    /// Unix time in milliseconds since which no leader is known; `None` while one is
    /// known. Without a leader, settings don't change and claims are refused.
    pub cut_off_since_unix_ms: Option<u64>,
    /// Identity of the data folder, in hexadecimal; 0 without a replica.
    pub disk: String,
    /// Reason why the replica takes no part in the group; `None` when it does.
    pub problem: Option<String>,
    /// Links to other instances.
    pub links: Vec<LinkStatus>,
    /// Traffic with other instances since the start.
    pub traffic: TrafficStatus,
    /// Number of claims that the replica holds.
    pub claims: usize,
    /// Number of invariant violations found since the start.
    pub violations: u64,
}

/// State that the actors report for the status page.
#[derive(Clone, Debug, Default, Serialize)]
pub struct StatusParts {
    /// Pools of the fleet's settings.
    pub pools: Vec<PoolStatus>,
    /// Number of live routers in the data centre, this one included.
    pub routers: usize,
    /// State of the control actor.
    pub control: ControlStatus,
    /// Counters by the names that the metrics server uses.
    pub counters: Counters,
}

impl StatusParts {
    /// Returns the value of a counter; 0 when its actor did not answer.
    #[must_use]
    pub fn counter(&self, name: &str) -> u64 {
        self.counters.get(name).copied().unwrap_or_default()
    }

    /// Returns the number of invariant violations that the actors found.
    #[must_use]
    pub fn violations(&self) -> u64 {
        let counters = self.counters.iter();
        let violations = counters.filter(|(name, _)| name.ends_with(".violations"));
        violations.map(|(_, count)| count).sum()
    }
}
