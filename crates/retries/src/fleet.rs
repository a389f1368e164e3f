//! One router's share of a retry budget of the whole fleet.
//!
//! In a sliding window the fleet may send as many retries as a ratio of its first
//! attempts plus a fixed allowance, the slack. Each router is entitled to the ratio of
//! its own first attempts and an equal part of the slack. A router uses less than that,
//! because the window of the fleet overlaps windows of routers that begin at other
//! times.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Retry budget of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetBudgetSettings {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Further retries allowed in a window, for the whole fleet.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Share of its entitlement that a router uses, in [0, 1].
    pub spendable_share: f64,
}

impl Default for FleetBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
            spendable_share: 0.7,
        }
    }
}

/// First attempts and retries of one service at one router in the current window.
#[derive(Clone, Debug, Default)]
pub struct FleetBudget {
    first_attempts: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl FleetBudget {
    /// Counts a first attempt.
    pub fn record_request(&mut self, settings: &FleetBudgetSettings, now: Instant) {
        self.advance(settings, now);
        self.first_attempts.push_back(now);
    }

    /// Takes one retry from the budget and returns whether the retry is allowed.
    /// `router_count` is the number of routers that share the slack.
    pub fn try_retry(
        &mut self,
        settings: &FleetBudgetSettings,
        router_count: u32,
        now: Instant,
    ) -> bool {
        self.advance(settings, now);
        let count = |times: &VecDeque<Instant>| u32::try_from(times.len()).unwrap_or(u32::MAX);
        let earned = settings.ratio * f64::from(count(&self.first_attempts));
        let slack_share = settings.slack / f64::from(router_count.max(1));
        let allowed = settings.spendable_share * (earned + slack_share);
        if f64::from(count(&self.retries)) + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn advance(&mut self, settings: &FleetBudgetSettings, now: Instant) {
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|&at| now >= at + settings.window) {
                times.pop_front();
            }
        }
    }
}
