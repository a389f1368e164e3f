//! How the requests of a target fared.

use std::time::{Duration, Instant};

use crate::settings::DispatchSettings;

/// How an attempt ended, as far as it tells about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered; it took this long until the first byte of a result.
    Answered {
        /// Time from sending to the first byte of the body.
        latency: Duration,
    },
    /// The target refused for lack of room.
    Full,
    /// No connection to the target was made.
    Unreachable,
    /// The target failed: a broken answer or an error of its own.
    Failed,
    /// The attempt ended for a reason that is not the target's.
    Neutral,
}

/// Smoothed failures and latency of a target, and its ejection.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_share: f64,
    latency_s: f64,
    latency_at: Option<Instant>,
    ejected_until: Option<Instant>,
    ejections: u32,
    full_until: Option<Instant>,
    unreachable_until: Option<Instant>,
    /// Failed connections in a row.
    unreachable: u32,
}

impl Health {
    pub fn new(settings: &DispatchSettings) -> Self {
        Self {
            failure_share: 0.0,
            latency_s: settings.latency_start.as_secs_f64(),
            latency_at: None,
            ejected_until: None,
            ejections: 0,
            full_until: None,
            unreachable_until: None,
            unreachable: 0,
        }
    }

    pub const fn latency_s(&self) -> f64 {
        self.latency_s
    }

    /// Smoothed latency, which approaches the best one of the pool as it gets
    /// old, so that a target that was slow is tried again.
    pub fn expected_latency_s(
        &self,
        best_s: f64,
        settings: &DispatchSettings,
        now: Instant,
    ) -> f64 {
        let Some(at) = self.latency_at else {
            return best_s;
        };
        let age = now.saturating_duration_since(at).as_secs_f64();
        let trust = (1.0 - age / settings.latency_memory.as_secs_f64()).max(0.0);
        best_s + (self.latency_s - best_s) * trust
    }

    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Whether the target is left out now.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the target has not yet proved itself after an ejection.
    pub const fn is_on_trial(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the last connection failed and it is too early for another one.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    pub fn record(&mut self, outcome: Outcome, settings: &DispatchSettings, now: Instant) {
        match outcome {
            Outcome::Answered { latency } => self.answered(latency, settings, now),
            Outcome::Failed => self.failed(settings, now),
            Outcome::Unreachable => {
                let pause = settings.unreachable_min * 2_u32.pow(self.unreachable.min(8));
                self.unreachable_until = Some(now + pause.min(settings.unreachable_max));
                self.unreachable += 1;
            }
            Outcome::Full => self.full_until = Some(now + settings.full_pause),
            Outcome::Neutral => {}
        }
    }

    fn answered(&mut self, latency: Duration, settings: &DispatchSettings, now: Instant) {
        self.failure_share *= 1.0 - settings.failure_weight;
        let weight = settings.latency_weight;
        self.latency_s += weight * (latency.as_secs_f64() - self.latency_s);
        self.latency_at = Some(now);
        self.ejected_until = None;
        self.unreachable_until = None;
        self.unreachable = 0;
        if self.failure_share < settings.eject_share / 4.0 {
            self.ejections = 0;
        }
    }

    fn failed(&mut self, settings: &DispatchSettings, now: Instant) {
        self.failure_share += settings.failure_weight * (1.0 - self.failure_share);
        let failed_trial = self.is_on_trial() && !self.is_ejected(now);
        if self.failure_share > settings.eject_share || failed_trial {
            let pause = settings.eject_min * 2_u32.pow(self.ejections.min(8));
            self.ejected_until = Some(now + pause.min(settings.eject_max));
            self.ejections += 1;
        }
    }
}
