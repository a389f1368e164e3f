//! Estimate of the number of requests at a target.

use std::time::{Duration, Instant};

/// Load of a target, as stated in one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that were running.
    pub running: u32,
    /// Requests that were queued.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Requests at one target: those of this router, and an estimate of those of all others.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests of this router in flight.
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

    /// Records a report of the target. The requests of this router are included in the
    /// report and subtracted here, so that they are not counted twice.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        let total = report.running.saturating_add(report.waiting);
        self.others = f64::from(total.saturating_sub(self.own));
        self.reported_at = Some(now);
    }

    /// Records the requests of all routers, to which this router contributed `own_reported`.
    pub fn record_total(&mut self, total: u32, own_reported: u32, now: Instant) {
        self.others = f64::from(total.saturating_sub(own_reported));
        self.reported_at = Some(now);
    }

    /// Returns the requests of other routers in the last report, and the weight of that
    /// report: 1 when new, falling to 0 at the age `decay`.
    pub fn others(&self, now: Instant, decay: Duration) -> (f64, f64) {
        let Some(at) = self.reported_at else {
            return (0.0, 0.0);
        };
        let age = now.saturating_duration_since(at);
        let weight = 1.0 - age.as_secs_f64() / decay.as_secs_f64().max(f64::EPSILON);
        (self.others, weight.max(0.0))
    }
}
