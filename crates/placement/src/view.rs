//! Description of a target by the host.

use std::time::Instant;

use bamboospur_types::{Incarnation, OfferId, TargetId, TargetState, WorkTokens};

/// Stable hash of a data centre's name.
pub type DataCentreId = u64;

/// Load that a target reported about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Work in progress, in tokens.
    pub load_tokens: WorkTokens,
    /// Requests in progress.
    pub load_requests: u32,
    /// Time at which the target measured the load.
    pub taken_at: Instant,
}

/// What the host knows about a target.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetView {
    /// Id of the target.
    pub id: TargetId,
    /// Start number of the target process; after a change its caches count as
    /// empty.
    pub incarnation: Incarnation,
    /// Data centre of the target; one of its routers owns the target.
    pub data_centre: DataCentreId,
    /// Whether the target is in this router's data centre.
    pub same_data_centre: bool,
    /// Offers that the target serves; empty for a target of a service
    /// without offers.
    pub offers: Vec<OfferId>,
    /// Work in progress when the batch is full, in tokens; also the weight of the
    /// target in the ranking.
    pub capacity_tokens: WorkTokens,
    /// Most requests that the target runs at once.
    pub capacity_requests: u32,
    /// Last load report; `None` before the first one.
    pub report: Option<LoadReport>,
    /// State of the target; only `Ready` targets get new requests.
    pub state: TargetState,
    /// Whether membership holds the target back because its state changes too
    /// often; such a target gets no new requests.
    pub damped: bool,
}
