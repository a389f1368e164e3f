//! How many requests a target has.

use std::time::{Duration, Instant};

/// What an answer said about its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that ran.
    pub running: u32,
    /// Requests that waited.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Requests of this router, and an estimate of those of all others.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests of this router.
    pub own: u32,
    others: f64,
    reported_at: Option<Instant>,
}

impl Load {
    pub const fn new() -> Self {
        Self {
            own: 0,
            others: 0.0,
            reported_at: None,
        }
    }

    /// Takes a report. It includes the requests of this router, so requests
    /// that are sent after it are not counted twice.
    pub fn report(&mut self, report: LoadReport, now: Instant) {
        let total = report.running.saturating_add(report.waiting);
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_at = Some(now);
    }

    /// Takes the requests of all routers, of which this one told `told`.
    pub fn total(&mut self, total: u32, told: u32, now: Instant) {
        self.others = f64::from(total.saturating_sub(told));
        self.reported_at = Some(now);
    }

    /// Requests of other routers by the last report, and how much it counts:
    /// 1 when it is new, 0 when it is older than `memory`.
    pub fn others(&self, now: Instant, memory: Duration) -> (f64, f64) {
        let Some(at) = self.reported_at else {
            return (0.0, 0.0);
        };
        let age = now.saturating_duration_since(at);
        let trust = 1.0 - age.as_secs_f64() / memory.as_secs_f64().max(f64::EPSILON);
        (self.others, trust.max(0.0))
    }
}
