//! Arrival rates, and the choice of a target from stale load reports.
//!
//! Load reports from other routers are a few hundred milliseconds old. If every router
//! sent to the target with the least reported load, that target would receive all
//! requests until the next report. Instead the requests expected in that time are
//! spread so that the loads would be equal at its end: M. Dahlin, "Interpreting Stale
//! Load Information", IEEE Transactions on Parallel and Distributed Systems, 2000.
//! With few arrivals the least loaded target is chosen, with many nearly any target.

use std::time::{Duration, Instant};

/// Time constant of the exponentially decaying arrival rate.
const SMOOTHING: Duration = Duration::from_secs(1);

/// Smoothed rate of the requests that arrive at this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    rate_per_s: f64,
    updated_at: Option<Instant>,
}

/// Routers report their arrival rates as whole requests per this time, so that low rates
/// do not round to zero.
const REPORTED_RATE_INTERVAL: Duration = Duration::from_secs(10);

impl Arrivals {
    pub fn record(&mut self, now: Instant) {
        self.rate_per_s = self.rate_per_s(now) + 1.0 / SMOOTHING.as_secs_f64();
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
        self.rate_per_s * (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
    }
}

/// Weight of the newest ratio in the smoothed [`FleetRate::ratio`].
const RATIO_WEIGHT: f64 = 0.2;

/// Arrival rate of all routers for one pool, as a multiple of the rate of this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetRate {
    /// Requests per [`REPORTED_RATE_INTERVAL`].
    last_reported: u32,
    ratio: Option<f64>,
    total_received_at: Option<Instant>,
}

impl FleetRate {
    /// Returns the rate to report to other routers, in requests per
    /// [`REPORTED_RATE_INTERVAL`], and stores the value for [`Self::record_total`].
    pub fn report_rate(&mut self, own: &Arrivals, now: Instant) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "casts of floats saturate"
        )]
        let reported = own.expected_within(REPORTED_RATE_INTERVAL, now).round() as u32;
        self.last_reported = reported;
        reported
    }

    /// Records the sum of the rates reported by all routers. The ratio is smoothed
    /// because the sum is older than the rate of this router.
    pub fn record_total(&mut self, total: u32, now: Instant) {
        self.total_received_at = Some(now);
        if self.last_reported > 0 && total > 0 {
            let newest = (f64::from(total) / f64::from(self.last_reported)).max(1.0);
            let ratio = self.ratio.unwrap_or(newest);
            self.ratio = Some(ratio + RATIO_WEIGHT * (newest - ratio));
        }
    }

    /// Returns the requests of all routers per request of this router. Without a total
    /// in the last `max_age`, all `router_count` routers are assumed to have the same rate.
    pub fn ratio(&self, router_count: u32, max_age: Duration, now: Instant) -> f64 {
        let is_recent = self.total_received_at.is_some_and(|at| now < at + max_age);
        let ratio = self.ratio.filter(|_| is_recent);
        ratio.unwrap_or_else(|| f64::from(router_count))
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
