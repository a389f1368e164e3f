//! Requests that other routers send before their loads are heard.
//!
//! Loads of other routers are some hundred milliseconds old. When all routers send
//! to the target that had the least load then, it gets all requests of that time.
//! Instead the arrivals that are expected until the next report are spread so that
//! the loads would be level at its end: M. Dahlin, "Interpreting Stale Load
//! Information", IEEE Transactions on Parallel and Distributed Systems, 2000. With
//! few arrivals that is the least loaded target, with many it is nearly any.

use std::time::{Duration, Instant};

/// Time over which the rate of arrivals is smoothed.
const SMOOTHING: Duration = Duration::from_secs(1);

/// Requests of this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Arrivals {
    rate_per_s: f64,
    counted_at: Option<Instant>,
}

/// Rates are told in requests per this time, so that slow ones are not lost.
const TOLD_PER: Duration = Duration::from_secs(10);

impl Arrivals {
    /// Counts a request.
    pub fn count(&mut self, now: Instant) {
        self.rate_per_s = self.rate_per_s(now) + 1.0 / SMOOTHING.as_secs_f64();
        self.counted_at = Some(now);
    }

    /// Requests expected in a time.
    pub fn expected(&self, time: Duration, now: Instant) -> f64 {
        self.rate_per_s(now) * time.as_secs_f64()
    }

    fn rate_per_s(&self, now: Instant) -> f64 {
        let Some(at) = self.counted_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(at);
        self.rate_per_s * (-age.as_secs_f64() / SMOOTHING.as_secs_f64()).exp()
    }
}

/// Weight of the newest ratio between the requests of all routers and of this one.
const RATIO_WEIGHT: f64 = 0.2;

/// Requests of all routers for one pool, as a multiple of those of this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetRate {
    told: u32,
    ratio: Option<f64>,
    heard_at: Option<Instant>,
}

impl FleetRate {
    /// Returns the rate of this router, for the other routers.
    pub fn tell(&mut self, own: &Arrivals, now: Instant) -> u32 {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "casts of floats saturate"
        )]
        let told = own.expected(TOLD_PER, now).round() as u32;
        self.told = told;
        told
    }

    /// Takes the sum of the rates that the routers told. The ratio is smoothed, as
    /// the sum is of an earlier time than the rate of this router.
    pub fn hear(&mut self, total: u32, now: Instant) {
        self.heard_at = Some(now);
        if self.told > 0 && total > 0 {
            let newest = (f64::from(total) / f64::from(self.told)).max(1.0);
            let ratio = self.ratio.unwrap_or(newest);
            self.ratio = Some(ratio + RATIO_WEIGHT * (newest - ratio));
        }
    }

    /// Requests of all routers for each one of this router. Until sums are heard, all
    /// of `routers` are taken to have the same.
    pub fn ratio(&self, routers: u32, memory: Duration, now: Instant) -> f64 {
        let heard = self.heard_at.is_some_and(|at| now < at + memory);
        let ratio = self.ratio.filter(|_| heard);
        ratio.unwrap_or_else(|| f64::from(routers))
    }
}

/// Chooses one of the loads so that `arrivals` chosen in this way level them.
/// `random` is in [0, 1).
pub fn level(loads: &[f64], arrivals: f64, random: f64) -> Option<usize> {
    let surface = surface(loads, arrivals);
    let room: Vec<f64> = loads.iter().map(|load| (surface - load).max(0.0)).collect();
    let least = || (0..loads.len()).min_by(|&a, &b| loads[a].total_cmp(&loads[b]));
    weighted(&room, random).or_else(least)
}

/// Chooses one with a probability in proportion to its weight.
pub fn weighted(weights: &[f64], random: f64) -> Option<usize> {
    let mut left = random * weights.iter().sum::<f64>();
    weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    })
}

/// Level up to which the arrivals fill the lowest loads.
fn surface(loads: &[f64], arrivals: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut sum, mut count) = (0.0, 0.0);
    let mut surface = f64::NEG_INFINITY;
    for load in sorted {
        if count > 0.0 && surface <= load {
            break;
        }
        sum += load;
        count += 1.0;
        surface = (sum + arrivals) / count;
    }
    surface
}
