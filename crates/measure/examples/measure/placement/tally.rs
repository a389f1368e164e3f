//! Counters and samples of one run, and the figures of the report.

use serde_json::{Value, json};

/// Counters and samples taken after the warm-up.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub requests: u64,
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache of the chosen engine.
    pub reused_tokens: u64,
    /// Times that the placer found no target.
    pub refused: u64,
    /// Requests sent to a target that was down.
    pub refused_connections: u64,
    /// Placements without a question to an owner; a retried request counts again.
    pub placed_without_reservation: u64,
    /// Load of each sampled target as a multiple of the mean.
    pub load_over_mean: Vec<f64>,
    /// Sampled target loads.
    pub samples: u64,
    /// Samples above the bound, with joining targets weighted less in the mean.
    pub over_bound: u64,
    /// Samples above the bound when every target has full weight.
    pub over_full_weight: u64,
    /// Total delay of requests on engines above their capacity.
    pub queueing_s: f64,
    /// Bytes sent and received by each router.
    pub sent_bytes: Vec<u64>,
    /// Virtual time after the warm-up.
    pub seconds: f64,
    /// Real time of each placement decision.
    pub place_ns: Vec<u32>,
    /// Real time of all ticks and received messages.
    pub handling_ns: u64,
    /// Virtual time from each reservation request to its placement.
    pub reservation_waits_us: Vec<u32>,
    /// Violated invariants that the placers counted.
    pub violations: u64,
    /// Largest number of chats that one placer remembers.
    pub max_remembered_chats: usize,
    /// Sum over the count samples of the difference between a placer's count of a
    /// target's tokens and the true load, as a part of the mean load.
    pub count_error_sum: f64,
    /// Sampled targets that a placer counts.
    pub count_samples: u64,
}

impl Tally {
    /// Returns the share of the prompt tokens that were cached.
    pub fn reuse_share(&self) -> f64 {
        self.reused_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Returns the report; `oracle_reuse` is the reuse share of the oracle.
    pub fn figures(&mut self, oracle_reuse: f64) -> Value {
        self.load_over_mean.sort_unstable_by(f64::total_cmp);
        self.place_ns.sort_unstable();
        self.reservation_waits_us.sort_unstable();
        let routers = self.sent_bytes.len().max(1) as f64;
        let bytes: u64 = self.sent_bytes.iter().sum();
        let busiest = self.sent_bytes.iter().max().copied().unwrap_or(0);
        let place_ns_sum = self.place_ns.iter().map(|ns| f64::from(*ns)).sum::<f64>();
        json!({
            "reuse_of_oracle": round(self.reuse_share() / oracle_reuse),
            "worst_over_mean": round(self.load_over_mean.last().copied().unwrap_or(0.0)),
            "p99_over_mean": round(quantile(&self.load_over_mean, 0.99).unwrap_or(0.0)),
            "over_bound_share": self.over_bound as f64 / self.samples.max(1) as f64,
            "control_bytes_per_s": (bytes as f64 / routers / self.seconds).round(),
            "busiest_router_bytes_per_s": (busiest as f64 / self.seconds).round(),
            "reuse": round(self.reuse_share()),
            "over_bound_full_weight_share":
                self.over_full_weight as f64 / self.samples.max(1) as f64,
            "extra_queueing_ms": round(1e3 * self.queueing_s / self.requests.max(1) as f64),
            "decision_us_mean": round(place_ns_sum / 1e3 / self.place_ns.len().max(1) as f64),
            "decision_us_p99": round(f64::from(quantile(&self.place_ns, 0.99).unwrap_or(0)) / 1e3),
            "control_core_share":
                round(self.handling_ns as f64 / 1e9 / routers / self.seconds),
            "ask_ms_p50":
                round(f64::from(quantile(&self.reservation_waits_us, 0.5).unwrap_or(0)) / 1e3),
            "ask_ms_p99":
                round(f64::from(quantile(&self.reservation_waits_us, 0.99).unwrap_or(0)) / 1e3),
            "unasked_share":
                round(self.placed_without_reservation as f64 / self.requests.max(1) as f64),
            "refused": self.refused,
            "refused_connections": self.refused_connections,
            "count_error": round(self.count_error_sum / self.count_samples.max(1) as f64),
            "violations": self.violations,
            "remembered_chats": self.max_remembered_chats,
            "requests": self.requests,
        })
    }
}

/// Returns the value at a share of a sorted list.
fn quantile<T: Copy>(sorted: &[T], share: f64) -> Option<T> {
    let index = (sorted.len() as f64 * share) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
}

/// Rounds to four decimal places.
fn round(value: f64) -> f64 {
    (value * 1e4).round() / 1e4
}
