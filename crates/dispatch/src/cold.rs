//! Pace of requests to a target that is cold: it has just started, or says that it is slow
//! again.
//!
//! A cold target bears a stated rate of requests from all routers together. Routers do not
//! coordinate: each takes an equal part and begins at a random moment, so the number of
//! requests in a second varies like that of independent arrivals. They use only a share of
//! the rate, so that the sum stays below the bound also then, and while some routers count
//! the others wrongly.

use std::time::{Duration, Instant};

use bamboospur_types::RequestRate;

/// Share of the stated rate that all routers use together.
const USED_SHARE: f64 = 0.5;

/// Rate that a cold target bears, divided among routers.
#[derive(Clone, Copy, Debug)]
pub struct ColdPace {
    /// Requests of all routers; `None` without a limit.
    pub rate: Option<RequestRate>,
    /// Number of routers that share the rate.
    pub router_count: u32,
}

impl ColdPace {
    /// Returns the time between two requests of one router; `None` without a limit.
    fn interval(self) -> Option<Duration> {
        let interval = self.rate?.interval(self.router_count)?;
        Some(interval.div_f64(USED_SHARE))
    }
}

/// A cold target, and what this router has sent to it.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    since: Instant,
    until: Instant,
    /// Random number in [0, 1) that differs between routers.
    phase: f64,
    sent_at: Option<Instant>,
}

impl Cold {
    /// Returns the state of a target that becomes cold.
    pub const fn new(phase: f64, now: Instant, until: Instant) -> Self {
        Self {
            since: now,
            until,
            phase,
            sent_at: None,
        }
    }

    /// Whether the target is still cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.until
    }

    /// Sets the time at which the target is cold no more.
    pub const fn set_until(&mut self, until: Instant) {
        self.until = until;
    }

    /// Returns when this router may send to the target next; `None` if that is now.
    pub fn available_at(&self, pace: ColdPace, now: Instant) -> Option<Instant> {
        let interval = pace.interval()?;
        let next_at = match self.sent_at {
            Some(sent_at) => sent_at + interval,
            None => self.since + interval.mul_f64(self.phase),
        };
        let available_at = next_at.min(self.until);
        (now < available_at).then_some(available_at)
    }

    /// Records that this router sends a request to the target.
    pub const fn record_request(&mut self, now: Instant) {
        self.sent_at = Some(now);
    }
}
