//! Arrival rates, and the choice of a target from stale load reports.
//!
//! Load reports from other routers are a few hundred milliseconds old. If every router
//! sent to the target with the least reported load, that target would receive all
//! requests until the next report. Instead the requests expected in that time are
//! spread so that the loads would be equal at its end: M. Dahlin, "Interpreting Stale
//! Load Information", IEEE Transactions on Parallel and Distributed Systems, 2000.
//! With few arrivals the least loaded target is chosen, with many nearly any target.

use std::time::{Duration, Instant};

/// Time constant of the arrival rate of a service, which follows a crowd quickly.
const SERVICE_SMOOTHING: Duration = Duration::from_secs(1);
/// Time constant of the arrival rate of one prompt prefix.
const PREFIX_SMOOTHING: Duration = Duration::from_secs(1);
/// Time for which a request with a prefix shows that the prefix has a crowd. A router among
/// hundreds sees a usual prefix once in minutes, and one with a crowd within seconds.
const PREFIX_MEMORY: Duration = Duration::from_secs(4);

/// Smoothed rate of the requests that arrive at this router, exponentially decaying.
#[derive(Clone, Copy, Debug)]
pub struct Arrivals {
    smoothing: Duration,
    rate_per_s: f64,
    updated_at: Option<Instant>,
}

/// Routers report their arrival rates as whole requests per this time, so that low rates
/// do not round to zero.
const REPORTED_RATE_INTERVAL: Duration = Duration::from_secs(10);

impl Arrivals {
    const fn new(smoothing: Duration) -> Self {
        Self {
            smoothing,
            rate_per_s: 0.0,
            updated_at: None,
        }
    }

    pub fn record(&mut self, now: Instant) {
        self.rate_per_s = self.rate_per_s(now) + 1.0 / self.smoothing.as_secs_f64();
        self.updated_at = Some(now);
    }

    /// Returns the number of requests expected within `time`.
    pub fn expected_within(&self, time: Duration, now: Instant) -> f64 {
        self.rate_per_s(now) * time.as_secs_f64()
    }

    fn rate_per_s(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        self.rate_per_s * (-age.as_secs_f64() / self.smoothing.as_secs_f64()).exp()
    }
}

/// Smoothed rates of the requests with one prompt prefix that arrive at this router.
#[derive(Clone, Copy, Debug)]
pub struct PrefixArrivals {
    recent: Arrivals,
    /// The same arrivals, smoothed over a longer time.
    lasting: Arrivals,
}

impl Default for PrefixArrivals {
    fn default() -> Self {
        Self {
            recent: Arrivals::new(PREFIX_SMOOTHING),
            lasting: Arrivals::new(PREFIX_MEMORY),
        }
    }
}

impl PrefixArrivals {
    pub fn record(&mut self, now: Instant) {
        self.recent.record(now);
        self.lasting.record(now);
    }

    /// Returns the number of requests expected within `time` when another one arrives now.
    ///
    /// The arriving request counts only if there were earlier ones. Alone it says nothing
    /// of those to come: in a large fleet nearly every request is the first of its prefix
    /// at its router, and would be taken for a crowd at all of them.
    pub fn expected_after_another(&self, time: Duration, now: Instant) -> f64 {
        let earlier = self.lasting.rate_per_s(now) * PREFIX_MEMORY.as_secs_f64();
        let arriving_per_s = earlier.min(1.0) / PREFIX_SMOOTHING.as_secs_f64();
        (self.recent.rate_per_s(now) + arriving_per_s) * time.as_secs_f64()
    }
}

/// Part of the earlier reports that the sums of [`FleetRate`] keep with each new one. A
/// router among hundreds gets a few requests per second, so a single report of its rate is
/// mostly chance.
const REPORT_DECAY: f64 = 0.95;

/// Arrival rates of one pool: of this router, and of all routers.
#[derive(Clone, Copy, Debug)]
pub struct FleetRate {
    own: Arrivals,
    /// Own rate in the last report, in requests per [`REPORTED_RATE_INTERVAL`].
    last_reported: u32,
    /// Decaying sum of the own reported rates for which a total arrived.
    own_sum: f64,
    /// Decaying sum of the totals.
    total_sum: f64,
    /// Newest total, in requests per second.
    total_per_s: f64,
    total_received_at: Option<Instant>,
}

impl Default for FleetRate {
    fn default() -> Self {
        Self {
            own: Arrivals::new(SERVICE_SMOOTHING),
            last_reported: 0,
            own_sum: 0.0,
            total_sum: 0.0,
            total_per_s: 0.0,
            total_received_at: None,
        }
    }
}

impl FleetRate {
    /// Records a request that arrived at this router.
    pub fn record(&mut self, now: Instant) {
        self.own.record(now);
    }

    /// Returns the rate of this router to report to others, in requests per
    /// [`REPORTED_RATE_INTERVAL`], and stores the value for [`Self::record_total`].
    pub fn report_rate(&mut self, now: Instant) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "casts of floats saturate"
        )]
        let reported = self
            .own
            .expected_within(REPORTED_RATE_INTERVAL, now)
            .round() as u32;
        self.last_reported = reported;
        reported
    }

    /// Records the sum of the rates reported by all routers.
    pub fn record_total(&mut self, total: u32, now: Instant) {
        self.total_per_s = f64::from(total) / REPORTED_RATE_INTERVAL.as_secs_f64();
        self.own_sum = self.own_sum * REPORT_DECAY + f64::from(self.last_reported);
        self.total_sum = self.total_sum * REPORT_DECAY + f64::from(total);
        self.total_received_at = Some(now);
    }

    /// Returns the requests of all routers per request of this router. Without a total
    /// in the last `max_age`, all `router_count` routers are assumed to have the same rate.
    pub fn ratio(&self, router_count: u32, max_age: Duration, now: Instant) -> f64 {
        if self.has_total(max_age, now) && self.own_sum > 0.0 {
            (self.total_sum / self.own_sum).max(1.0)
        } else {
            f64::from(router_count)
        }
    }

    /// Returns the requests that are expected at all routers within `time`.
    ///
    /// The total of the last reports is accurate but older than a crowd that has just
    /// begun. The own rate shows the crowd at once, but is used only as far as it exceeds
    /// chance: the rate of few requests varies by its square root.
    pub fn expected_within(
        &self,
        time: Duration,
        router_count: u32,
        max_age: Duration,
        now: Instant,
    ) -> f64 {
        let own_per_s = self.own.rate_per_s(now);
        let ratio = self.ratio(router_count, max_age, now);
        if !self.has_total(max_age, now) {
            return own_per_s * ratio * time.as_secs_f64();
        }
        let deviation_per_s = (own_per_s / SERVICE_SMOOTHING.as_secs_f64()).sqrt();
        let certain_per_s = (own_per_s - deviation_per_s).max(0.0);
        self.total_per_s.max(certain_per_s * ratio) * time.as_secs_f64()
    }

    fn has_total(&self, max_age: Duration, now: Instant) -> bool {
        self.total_received_at.is_some_and(|at| now < at + max_age)
    }
}

/// Returns the index of one of `loads`, with a probability in proportion to how far the load
/// is below the [`water_level`], so that `arrivals` requests placed in this way even out the
/// loads. If no load is below that level, returns the index of the least load.
/// `random` is in [0, 1).
pub fn choose_by_water_filling(loads: &[f64], arrivals: f64, random: f64) -> Option<usize> {
    let water_level = water_level(loads, arrivals);
    let deficits: Vec<f64> = loads
        .iter()
        .map(|load| (water_level - load).max(0.0))
        .collect();
    let least_loaded = || (0..loads.len()).min_by(|&a, &b| loads[a].total_cmp(&loads[b]));
    choose_by_weight(&deficits, random).or_else(least_loaded)
}

/// Returns an index with a probability in proportion to its weight, or `None` if all weights
/// are zero. `random` is in [0, 1).
pub fn choose_by_weight(weights: &[f64], random: f64) -> Option<usize> {
    let mut remaining = random * weights.iter().sum::<f64>();
    weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    })
}

/// Returns the load that the least loaded targets all reach when `arrivals` are added to them.
fn water_level(loads: &[f64], arrivals: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut sum, mut count) = (0.0, 0.0);
    let mut water_level = f64::NEG_INFINITY;
    for load in sorted {
        if count > 0.0 && water_level <= load {
            break;
        }
        sum += load;
        count += 1.0;
        water_level = (sum + arrivals) / count;
    }
    water_level
}
