//! Settings of the whole fleet, stored in its branch.

use std::collections::BTreeMap;

use bamboospur_types::TargetKind;
use serde::{Deserialize, Serialize};

use crate::key_hash::KeyHash;
use crate::request_rule::RequestRule;

/// Settings of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Time for which an instance that shuts down still accepts connections.
    pub balancer_drain_ms: u64,
    /// Time for which an idempotency key is remembered.
    pub claim_validity_ms: u64,
    /// Limits for teams that set none.
    pub limits: LimitDefaults,
    /// Limits on retries of repeatable requests.
    pub retry: RetryDefaults,
    /// Rate and deadlines of orders to engines.
    pub orders: OrderSettings,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Models by name.
    pub models: BTreeMap<String, Model>,
    /// Operators by name.
    pub operators: BTreeMap<String, Operator>,
    /// Targets by name; those with `true` get no new work.
    pub drained: BTreeMap<String, bool>,
}

impl Fleet {
    /// Returns whether an operator has drained the target.
    #[must_use]
    pub fn is_drained(&self, target: &str) -> bool {
        self.drained.get(target).copied().unwrap_or_default()
    }
}

impl Default for Fleet {
    fn default() -> Self {
        Self {
            balancer_drain_ms: 10_000,
            claim_validity_ms: 24 * 60 * 60 * 1000,
            limits: LimitDefaults::default(),
            retry: RetryDefaults::default(),
            orders: OrderSettings::default(),
            pools: BTreeMap::new(),
            models: BTreeMap::new(),
            operators: BTreeMap::new(),
            drained: BTreeMap::new(),
        }
    }
}

/// Limits for a team that sets none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitDefaults {
    /// Maximum number of requests in flight.
    pub requests: u32,
    /// Maximum work in flight, in tokens.
    pub work_tokens: u64,
    /// Maximum work per minute, in tokens.
    pub work_tokens_per_minute: u64,
}

impl Default for LimitDefaults {
    fn default() -> Self {
        Self {
            requests: 16,
            work_tokens: 200_000,
            work_tokens_per_minute: 1_000_000,
        }
    }
}

/// Limits on retries of repeatable requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryDefaults {
    /// Retries allowed per hundred new requests.
    pub budget_percent: u32,
    /// Maximum number of attempts per request, including the first.
    pub attempts: u32,
    /// Longest wait before the first retry.
    pub backoff_base_ms: u64,
    /// Longest wait before any retry.
    pub backoff_cap_ms: u64,
}

impl Default for RetryDefaults {
    fn default() -> Self {
        Self {
            budget_percent: 10,
            attempts: 3,
            backoff_base_ms: 50,
            backoff_cap_ms: 2_000,
        }
    }
}

/// Rate and deadlines of orders to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct OrderSettings {
    /// Model loads per minute that the weight store allows.
    pub loads_per_minute: u32,
    /// Time from issuing an order to its deadline.
    pub deadline_ms: u64,
    /// Largest assumed difference between two clocks in the fleet.
    pub clock_drift_ms: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self {
            loads_per_minute: 6,
            deadline_ms: 120_000,
            clock_drift_ms: 2_000,
        }
    }
}

/// Targets that serve one model or one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Kind of the pool's targets.
    pub kind: TargetKind,
    /// Rules for requests that must run at most once.
    #[serde(default)]
    pub not_repeatable: Vec<RequestRule>,
    /// Maximum load of a target, in percent of the mean load.
    #[serde(default = "default_load_bound_percent")]
    pub load_bound_percent: u32,
    /// Whether the targets refuse orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

const fn default_load_bound_percent() -> u32 {
    125
}

/// A model that the fleet serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Pool whose engines serve the model.
    pub pool: String,
    /// Versions by name.
    #[serde(default)]
    pub versions: BTreeMap<String, ModelVersion>,
}

/// Desired engines for one version of a model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelVersion {
    /// Number of engines that should have the version loaded; absent when the
    /// engines choose for themselves and get no orders about this version.
    pub replicas: Option<u32>,
    /// Phases of a request that these engines run.
    pub role: EngineRole,
    /// Adapters loaded with the version.
    pub adapters: Vec<String>,
}

/// Phases of a request that an engine runs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EngineRole {
    /// Prompt processing and output generation.
    #[default]
    Both,
    /// Prompt processing only.
    Prefill,
    /// Output generation only.
    Decode,
}

/// A person or program that may use the operator API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// SHA-256 of the operator's token.
    pub token_hash: KeyHash,
    /// Permissions of the operator.
    pub role: Role,
}

/// Permissions of an operator; each role includes those of the roles before it.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Reads settings (secrets redacted), status and history.
    Viewer,
    /// Changes team branches and drains targets.
    Editor,
    /// Changes the fleet branch and the control group's members.
    Admin,
}
