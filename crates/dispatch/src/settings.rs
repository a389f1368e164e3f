//! Settings of a dispatcher.

use std::time::Duration;

/// Bounds and weights of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatchSettings {
    /// A prompt goes to a target that has its prefix cached while the load there is at
    /// most this multiple of the mean plus [`Self::reuse_slack`]. The limit is below
    /// the bound required of deployments, twice the mean plus three, because loads are
    /// estimates.
    pub reuse_factor: f64,
    /// Requests added to the multiple of the mean in [`Self::reuse_factor`].
    pub reuse_slack: f64,
    /// Prompts with one prefix spread to further targets only when the ones expected next
    /// would bring the targets that have the prefix cached above this multiple of the mean
    /// plus [`Self::max_load_slack`], which is the bound required of
    /// deployments.
    pub max_load_factor: f64,
    /// Requests added to the multiple of the mean in [`Self::max_load_factor`].
    pub max_load_slack: f64,
    /// A target is given prompts up to this multiple of its slots. Further prompts would
    /// queue at the target, and during a lasting overload for longer than their callers
    /// wait.
    pub slots_factor: f64,
    /// A target that does not have the prefix cached takes a prompt while its load is at
    /// most this multiple of the mean plus [`Self::load_slack`]. The paper on consistent
    /// hashing with bounded loads shows that 1.25 keeps most keys in place.
    pub load_factor: f64,
    /// Requests added to the multiple of the mean in [`Self::load_factor`], so that a nearly
    /// idle pool keeps its prompts in place.
    pub load_slack: f64,
    /// Largest usual age of the loads of other routers: two reporting periods.
    pub max_report_age: Duration,
    /// Age at which the weight of a load report, 1 when new, has fallen to 0.
    pub report_decay: Duration,
    /// Weight of the newest outcome in the smoothed share of failures, in [0, 1].
    pub failure_weight: f64,
    /// Smoothed share of failures above which a target is ejected.
    pub eject_failure_share: f64,
    /// Length of the first ejection; the length doubles with each further one.
    pub min_ejection: Duration,
    /// Upper limit of the length of an ejection.
    pub max_ejection: Duration,
    /// Largest share of the targets of a pool that may be ejected at once.
    pub max_ejected_share: f64,
    /// Pause before a target is tried again after a failed connection; the pause doubles
    /// with each further failure in a row.
    pub min_unreachable_pause: Duration,
    /// Upper limit of the pause after a failed connection.
    pub max_unreachable_pause: Duration,
    /// Another data centre is taken to be cut off when this many of its targets, or all
    /// if it has fewer, are unreachable.
    pub unreachable_targets_for_cut_off: usize,
    /// Weight of the newest value in a smoothed latency or request duration, in [0, 1].
    pub latency_weight: f64,
    /// Time without an answer after which the weight of a smoothed latency, 1 when new,
    /// has fallen to 0.
    pub latency_decay: Duration,
    /// Start value of the smoothed latency of a target.
    pub initial_latency: Duration,
    /// Time added to the expected wait at a target of another data centre.
    pub remote_penalty: Duration,
    /// Time for which a target is avoided after it refused a request for lack of capacity.
    pub full_pause: Duration,
    /// Longest time for which a target gets no requests because one answer asked for none.
    pub first_pause: Duration,
    /// As [`Self::first_pause`], after two answers in a row.
    pub second_pause: Duration,
    /// As [`Self::first_pause`], after three answers in a row and more.
    pub max_pause: Duration,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            reuse_factor: 1.5,
            reuse_slack: 1.5,
            max_load_factor: 2.0,
            max_load_slack: 3.0,
            slots_factor: 0.95,
            load_factor: 1.25,
            load_slack: 1.5,
            max_report_age: Duration::from_millis(500),
            report_decay: Duration::from_secs(3),
            failure_weight: 0.25,
            eject_failure_share: 0.4,
            min_ejection: Duration::from_millis(700),
            max_ejection: Duration::from_secs(6),
            max_ejected_share: 0.5,
            min_unreachable_pause: Duration::from_millis(600),
            max_unreachable_pause: Duration::from_secs(3),
            unreachable_targets_for_cut_off: 2,
            latency_weight: 0.2,
            latency_decay: Duration::from_secs(5),
            initial_latency: Duration::from_millis(20),
            remote_penalty: Duration::from_millis(4),
            full_pause: Duration::from_millis(100),
            first_pause: Duration::from_secs(5),
            second_pause: Duration::from_mins(1),
            max_pause: Duration::from_hours(1),
        }
    }
}
