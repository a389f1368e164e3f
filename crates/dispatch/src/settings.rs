//! Settings of a dispatcher.

use std::time::Duration;

/// Bounds and weights of a dispatcher.
#[derive(Clone, Copy, Debug)]
pub struct DispatchSettings {
    /// A prompt stays where its shared parts are cached while the load there is
    /// at most this multiple of the mean, and [`Self::stay_slack`]. It is less
    /// than the deployments' bound of twice the mean plus three, because loads
    /// are estimates.
    pub stay_factor: f64,
    /// Requests above that multiple at which a prompt still stays.
    pub stay_slack: f64,
    /// Prompts go on to further targets only when those that are about to come would
    /// bring the ones that cached them above this multiple of the mean, and
    /// [`Self::most_slack`]: the bound of the deployments.
    pub most_factor: f64,
    /// Requests above that multiple.
    pub most_slack: f64,
    /// A target takes prompts up to this multiple of the requests that it runs at
    /// once. Beyond it they would wait for a place, and for longer than their
    /// callers do when the overload lasts.
    pub slots_factor: f64,
    /// A target takes a new prompt while its load is at most this multiple of the
    /// mean; the paper above shows that 1.25 keeps most keys in place.
    pub load_factor: f64,
    /// Requests above that multiple that are always allowed, so that a nearly
    /// idle pool keeps its prompts in place.
    pub load_slack: f64,
    /// Age that loads of other routers can have: two periods in which they are told.
    pub report_age: Duration,
    /// A load report counts fully when it is new and not at all after this time.
    pub report_memory: Duration,
    /// Weight of the newest outcome in the smoothed share of failures.
    pub failure_weight: f64,
    /// A target with a higher share of failures is ejected.
    pub eject_share: f64,
    /// First ejection; each one that follows doubles.
    pub eject_min: Duration,
    /// Longest ejection.
    pub eject_max: Duration,
    /// Largest share of a pool that is ejected at once.
    pub eject_most: f64,
    /// A target is left out for this time after a failed connection; each further
    /// one doubles it.
    pub unreachable_min: Duration,
    /// Longest time between two attempts to reach a target.
    pub unreachable_max: Duration,
    /// So many unreachable targets of another data centre, or all that it has,
    /// stand for the whole data centre.
    pub unreachable_targets: usize,
    /// Weight of the newest latency in the smoothed one.
    pub latency_weight: f64,
    /// A smoothed latency counts fully when it is new and not at all after this
    /// time without an answer.
    pub latency_memory: Duration,
    /// Latency assumed of a target that has answered nothing yet.
    pub latency_start: Duration,
    /// Added to the expected wait at a target of another data centre.
    pub remote_penalty: Duration,
    /// A target that refused for lack of room is avoided for this time.
    pub full_pause: Duration,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            stay_factor: 1.5,
            stay_slack: 1.5,
            most_factor: 2.0,
            most_slack: 3.0,
            slots_factor: 0.95,
            load_factor: 1.25,
            load_slack: 1.5,
            report_age: Duration::from_millis(500),
            report_memory: Duration::from_secs(3),
            failure_weight: 0.25,
            eject_share: 0.4,
            eject_min: Duration::from_millis(700),
            eject_max: Duration::from_secs(6),
            eject_most: 0.5,
            unreachable_min: Duration::from_millis(600),
            unreachable_max: Duration::from_secs(3),
            unreachable_targets: 2,
            latency_weight: 0.2,
            latency_memory: Duration::from_secs(5),
            latency_start: Duration::from_millis(20),
            remote_penalty: Duration::from_millis(4),
            full_pause: Duration::from_millis(100),
        }
    }
}
