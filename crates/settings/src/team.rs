//! Settings of a team, stored in its branch.

use serde::{Deserialize, Serialize};

use crate::fleet::LimitDefaults;
use crate::key_hash::KeyHash;
use crate::request_rule::RequestRule;
use crate::sorted::SortedMap;

/// Settings of one team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Priority passed to engines, 0 to 9; higher priorities run first.
    pub priority: u8,
    /// Treatment of a request that must run at most once and has no idempotency
    /// key.
    pub without_key: WithoutKey,
    /// Rules for requests that must run at most once, in addition to the pool's.
    pub not_repeatable: Box<[RequestRule]>,
    /// Limits on the team's use of the fleet.
    pub share: Share,
    /// Models that the team may use, by name.
    pub models: SortedMap<ModelUse>,
    /// Hashes of the team's keys, by a human-readable name.
    pub keys: SortedMap<KeyHash>,
}

impl Team {
    /// Returns whether the team may use a version and an adapter of a model.
    #[must_use]
    pub fn may_use(&self, model: &str, version: &str, adapter: Option<&str>) -> bool {
        let Some(allowed) = self.models.get(model) else {
            return false;
        };
        let version_allowed = allowed.versions.is_empty()
            || version.is_empty()
            || allowed.versions.iter().any(|name| **name == *version);
        let adapter_allowed =
            adapter.is_none_or(|wanted| allowed.adapters.iter().any(|name| **name == *wanted));
        version_allowed && adapter_allowed
    }

    /// Returns whether a rule of the team says that a request must run at most once.
    #[must_use]
    pub fn is_not_repeatable(&self, method: &str, path: &str) -> bool {
        self.not_repeatable
            .iter()
            .any(|rule| rule.matches(method, path))
    }
}

/// What a team may use of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ModelUse {
    /// Allowed versions; empty for all.
    pub versions: Box<[Box<str>]>,
    /// Allowed adapters; empty for none.
    pub adapters: Box<[Box<str>]>,
}

/// Limits of a team; an absent limit has the fleet's default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Share {
    /// Maximum number of requests in flight.
    pub requests: Option<u32>,
    /// Maximum work in flight, in tokens.
    pub work_tokens: Option<u64>,
    /// Maximum work per minute, in tokens.
    pub work_tokens_per_minute: Option<u64>,
}

impl Share {
    /// Replaces absent limits by the fleet's defaults.
    #[must_use]
    pub fn with_defaults(&self, defaults: &LimitDefaults) -> LimitDefaults {
        LimitDefaults {
            requests: self.requests.unwrap_or(defaults.requests),
            work_tokens: self.work_tokens.unwrap_or(defaults.work_tokens),
            work_tokens_per_minute: self
                .work_tokens_per_minute
                .unwrap_or(defaults.work_tokens_per_minute),
        }
    }
}

/// Treatment of a request that must run at most once and has no idempotency key.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WithoutKey {
    /// The request is refused and not run.
    #[default]
    Refuse,
    /// The request is sent once, at the caller's risk.
    RunOnce,
}
