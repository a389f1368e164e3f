//! Settings of the placer of one pool.

use std::time::Duration;

/// When a router reserves room with the owner of a target before it sends a
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ReservationMode {
    /// Reserve on every placement.
    Always,
    /// Reserve only if the estimated load of the first choice is at least
    /// `direct_below`.
    NearBound,
    /// Never reserve; choose from load reports alone.
    Never,
}

/// Parts of the policy that can be switched off, to measure what each one gains.
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyFeatures {
    /// When room is reserved with the owner of a target.
    pub reservation_mode: ReservationMode,
    /// Owners remember the target of each chat that they placed.
    pub memory: bool,
    /// A chat's new location is sent to the owners of its first two choices.
    pub location_notes: bool,
    /// Chats without a cached prefix go to targets below `cold_limit`.
    pub steering: bool,
    /// The target that a caller names as a hint is tried first.
    pub hints: bool,
    /// Tokens of a cached prefix count as `cached_cost` instead of 1.
    pub cached_prefix_discount: bool,
    /// The load bound is applied.
    pub bounded: bool,
    /// Placement from load reports takes the less loaded of the first two choices
    /// instead of the first one within the bound.
    pub two_choices: bool,
}

impl Default for PolicyFeatures {
    fn default() -> Self {
        Self {
            reservation_mode: ReservationMode::Always,
            memory: true,
            location_notes: true,
            steering: true,
            hints: true,
            cached_prefix_discount: true,
            bounded: true,
            two_choices: false,
        }
    }
}

/// Settings of one placer.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Load bound of a target, as a multiple of the data centre's mean load.
    pub bound: f64,
    /// Fraction of the bound that a grant leaves free, because after the grant the
    /// mean can fall and a prefix can turn out not to be cached.
    pub headroom: f64,
    /// Ratio of load to mean up to which a request without a cached prefix is
    /// granted before it reaches its last choice.
    pub cold_limit: f64,
    /// Ratio of load to mean up to which a request is placed from load reports
    /// alone.
    pub report_limit: f64,
    /// Ratio of estimated load to mean below which `ReservationMode::NearBound`
    /// sends a request without a reservation.
    pub direct_below: f64,
    /// Work of one cached prefix token, in tokens.
    pub cached_cost: f64,
    /// Ratio of load to capacity above which another data centre may be used.
    pub remote_above: f64,
    /// Ratio of load to capacity at which requests of priority 0 are refused.
    pub refuse_at: f64,
    /// Time between calls of `tick`.
    pub tick_interval: Duration,
    /// Time after which an unanswered reservation request is sent again.
    pub reservation_retry: Duration,
    /// Time after which an unanswered reservation request starts its last round or,
    /// in the last round, falls back to load reports.
    pub reservation_timeout: Duration,
    /// Longest time until a changed holding is declared.
    pub declare_delay: Duration,
    /// Time between declarations without a change; they make up for lost ones.
    pub declare_refresh: Duration,
    /// Time without a declaration after which a router's holdings are dropped.
    pub holder_expiry: Duration,
    /// Time between load summaries to one router, multiplied by the number of
    /// peers in the data centre.
    pub summary_interval: Duration,
    /// Time a joining target takes to reach its full weight.
    pub warm_up: Duration,
    /// Time after a change of owner in which the new owner of a chat's first
    /// choice forwards unknown chats to the owner of the second choice.
    pub probe_window: Duration,
    /// Most chats whose location one router remembers.
    pub max_chat_locations: usize,
    /// Delay before a retry that a refused caller is told.
    pub retry_after: Duration,
    /// Parts of the policy in use.
    pub features: PolicyFeatures,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            bound: 1.25,
            headroom: 0.02,
            cold_limit: 1.15,
            report_limit: 1.1,
            direct_below: 0.7,
            cached_cost: 1.0 / 16.0,
            remote_above: 0.9,
            refuse_at: 2.0,
            tick_interval: Duration::from_millis(5),
            reservation_retry: Duration::from_millis(5),
            reservation_timeout: Duration::from_millis(10),
            declare_delay: Duration::from_millis(250),
            declare_refresh: Duration::from_secs(5),
            holder_expiry: Duration::from_secs(10),
            summary_interval: Duration::from_millis(60),
            warm_up: Duration::from_secs(30),
            probe_window: Duration::from_mins(10),
            max_chat_locations: 32_768,
            retry_after: Duration::from_secs(1),
            features: PolicyFeatures::default(),
        }
    }
}
