//! Share of one router in a retry budget of the whole fleet.
//!
//! The fleet may send a number of retries in a sliding window: a ratio of the
//! fresh requests and a slack. Each router takes the ratio of its own requests
//! and an equal part of the slack, and spends less than that, because the window
//! of the whole fleet slides over windows that routers begin at other times.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Retry budget of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetBudgetSettings {
    /// Retries for each fresh request.
    pub ratio: f64,
    /// Retries in a window besides.
    pub slack: f64,
    /// Window.
    pub window: Duration,
    /// Share of both that is spent.
    pub use_share: f64,
}

impl Default for FleetBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
            use_share: 0.7,
        }
    }
}

/// Fresh requests and retries of one service in the window that ends now.
#[derive(Clone, Debug, Default)]
pub struct FleetBudget {
    fresh: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl FleetBudget {
    /// Counts a fresh request.
    pub fn record_request(&mut self, settings: &FleetBudgetSettings, now: Instant) {
        self.advance(settings, now);
        self.fresh.push_back(now);
    }

    /// Takes a retry if there is one.
    pub fn try_retry(
        &mut self,
        settings: &FleetBudgetSettings,
        routers: u32,
        now: Instant,
    ) -> bool {
        self.advance(settings, now);
        let count = |list: &VecDeque<Instant>| u32::try_from(list.len()).unwrap_or(u32::MAX);
        let earned = settings.ratio * f64::from(count(&self.fresh));
        let part = settings.slack / f64::from(routers.max(1));
        let allowed = settings.use_share * (earned + part);
        if f64::from(count(&self.retries)) + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    fn advance(&mut self, settings: &FleetBudgetSettings, now: Instant) {
        for list in [&mut self.fresh, &mut self.retries] {
            while list.front().is_some_and(|&at| now >= at + settings.window) {
                list.pop_front();
            }
        }
    }
}
