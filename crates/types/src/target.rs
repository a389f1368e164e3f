//! Records in which targets announce themselves.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{PoolId, TargetId, stable_id};
use crate::offer::Offer;

/// Work in tokens: prompt tokens not cached plus expected output tokens.
pub type WorkTokens = u64;
/// Start number of a process; a restart uses a higher one.
pub type Incarnation = u64;

/// Kind of a target.
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
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service replica.
    Service,
}

/// State of a target, ordered so that a later state wins within one incarnation.
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
pub enum TargetState {
    /// The target accepts new work.
    Ready,
    /// The target finishes its work and accepts no new work.
    Draining,
    /// The target has left or is known to have failed.
    Gone,
}

/// What a target announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Name chosen by the target.
    pub name: String,
    /// Start number of the target process.
    pub incarnation: Incarnation,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: String,
    /// Pool that the target belongs to.
    pub pool: String,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Models, versions and adapters served; empty for a service.
    pub offers: Vec<Offer>,
    /// Work that the target processes at full batch, in tokens.
    pub capacity_tokens: WorkTokens,
    /// Requests that the target runs at once.
    pub capacity_requests: u32,
    /// Whether the target refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

impl TargetRecord {
    /// Returns the id of the target's name.
    #[must_use]
    pub fn id(&self) -> TargetId {
        stable_id(&self.name)
    }

    /// Returns the id of the target's pool.
    #[must_use]
    pub fn pool_id(&self) -> PoolId {
        stable_id(&self.pool)
    }
}
