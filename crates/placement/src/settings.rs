//! Settings of a pool.

use std::time::Duration;

/// When the owner of a target is asked before a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ReservationMode {
    /// On every placement.
    Always,
    /// Only when the first choice's estimated load is above `direct_below`.
    NearBound,
    /// Never: placement works from load reports alone.
    Never,
}

/// Parts of the policy that can be switched off for comparison.
#[expect(clippy::struct_excessive_bools, reason = "independent switches")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyFeatures {
    /// Use of the owners' counts.
    pub ask: ReservationMode,
    /// Owners remember where the chats they placed went.
    pub memory: bool,
    /// Locations are noted at the owners of the chat's first two choices.
    pub notes: bool,
    /// Chats without a cached prefix go to targets below `cold_limit`.
    pub steering: bool,
    /// Hints carried by callers are followed.
    pub hints: bool,
    /// A cached prefix counts less than its full work.
    pub discount: bool,
    /// Load bound at all.
    pub bounded: bool,
    /// The two first choices are compared by load instead of taken in order.
    pub two_choices: bool,
}

impl Default for PolicyFeatures {
    fn default() -> Self {
        Self {
            ask: ReservationMode::Always,
            memory: true,
            notes: true,
            steering: true,
            hints: true,
            discount: true,
            bounded: true,
            two_choices: false,
        }
    }
}

/// Settings of one placer.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Load bound as a multiple of the mean.
    pub bound: f64,
    /// Part of the bound kept free at a grant, because the mean can fall and a
    /// prefix can turn out not to be cached after the grant.
    pub headroom: f64,
    /// Load over mean up to which a request without a cached prefix is granted
    /// at its first try.
    pub cold_limit: f64,
    /// Load over mean up to which requests are sent from load reports alone.
    pub report_limit: f64,
    /// Estimated load over mean below which `ReservationMode::NearBound` does not ask.
    pub direct_below: f64,
    /// Work of a cached prefix token, in tokens.
    pub cached_cost: f64,
    /// Load over capacity at which other data centres are used.
    pub short_at: f64,
    /// Load over capacity at which requests are refused.
    pub refuse_at: f64,
    /// Time between calls of `tick`.
    pub tick_interval: Duration,
    /// Time after which an unanswered ask is repeated.
    pub reservation_retry: Duration,
    /// Time after which an unanswered ask falls back to load reports.
    pub reservation_timeout: Duration,
    /// Longest time that a changed holding stays undeclared.
    pub declare_delay: Duration,
    /// Time between declarations without a change, which repair lost ones.
    pub declare_refresh: Duration,
    /// Time after which the holdings of a silent router are dropped.
    pub holder_expiry: Duration,
    /// Time between load summaries to one router, for each router.
    pub summary_interval: Duration,
    /// Time a joining target takes to reach its full weight.
    pub warm_up: Duration,
    /// Time after a change of owner in which unknown chats are looked for at
    /// the owner of their second choice.
    pub probe_window: Duration,
    /// Chats remembered per router.
    pub memory_chats: usize,
    /// Time advised to a refused caller.
    pub retry_after: Duration,
    /// Parts in use.
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
            short_at: 0.9,
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
            memory_chats: 32_768,
            retry_after: Duration::from_secs(1),
            features: PolicyFeatures::default(),
        }
    }
}
