//! Messages between routers and hubs.

use bamboospur_types::{InstanceId, RequestRate};
use serde::{Deserialize, Serialize};

/// Most statements in one message between instances that send packets.
pub const MAX_STATED_PER_MESSAGE: usize = 48;

/// Identity of one start of a target.
pub type TargetStartId = u64;

/// Router to hub: what a target stated in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatedLimit {
    /// The target.
    pub target: TargetStartId,
    /// The limit; `None` if the target states none any more.
    pub limit: Option<RequestRate>,
}

/// Hub to routers: a limit and the routers that divide it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitShare {
    /// The target.
    pub target: TargetStartId,
    /// The limit; `None` if the target states none any more.
    pub limit: Option<RequestRate>,
    /// Routers that divide the limit equally; the others send nothing.
    pub holders: Vec<InstanceId>,
}
