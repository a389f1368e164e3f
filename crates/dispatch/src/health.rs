//! Failures, latency and ejection of one target.

use std::time::{Duration, Instant};

use crate::settings::DispatchSettings;

/// Result of an attempt, as evidence about the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
    Answered {
        /// Time from sending the request to the first byte of the answer's body.
        latency: Duration,
    },
    /// The target refused the request because it had no capacity left.
    Full,
    /// No connection to the target could be made.
    Unreachable,
    /// The target sent an incomplete answer or reported an error of its own.
    Failed,
    /// The attempt ended for a reason unrelated to the target.
    Neutral,
}

/// Smoothed share of failures and latency of a target, and the pauses that result from them.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    failure_share: f64,
    latency_s: f64,
    latency_at: Option<Instant>,
    /// Remains set after the end of an ejection until the target answers.
    ejected_until: Option<Instant>,
    /// Ejections since the share of failures was last low.
    ejections: u32,
    full_until: Option<Instant>,
    unreachable_until: Option<Instant>,
    /// Failed connections in a row.
    connect_failures: u32,
}

impl Health {
    pub fn new(settings: &DispatchSettings) -> Self {
        Self {
            failure_share: 0.0,
            latency_s: settings.initial_latency.as_secs_f64(),
            latency_at: None,
            ejected_until: None,
            ejections: 0,
            full_until: None,
            unreachable_until: None,
            connect_failures: 0,
        }
    }

    pub const fn latency_s(&self) -> f64 {
        self.latency_s
    }

    /// Returns the smoothed latency. The longer the target has not answered, the closer the
    /// returned value is to `best_s`, the lowest latency of the candidates, so that a target
    /// that was slow is tried again.
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
        let weight = (1.0 - age / settings.latency_decay.as_secs_f64()).max(0.0);
        best_s + (self.latency_s - best_s) * weight
    }

    pub const fn failure_share(&self) -> f64 {
        self.failure_share
    }

    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the target was ejected and has not answered since.
    pub const fn is_on_trial(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the last connection failed and the pause before the next one is not over.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    pub fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    pub fn record(&mut self, outcome: Outcome, settings: &DispatchSettings, now: Instant) {
        match outcome {
            Outcome::Answered { latency } => self.record_answer(latency, settings, now),
            Outcome::Failed => self.record_failure(settings, now),
            Outcome::Unreachable => {
                let pause =
                    settings.min_unreachable_pause * 2_u32.pow(self.connect_failures.min(8));
                self.unreachable_until = Some(now + pause.min(settings.max_unreachable_pause));
                self.connect_failures += 1;
            }
            Outcome::Full => self.full_until = Some(now + settings.full_pause),
            Outcome::Neutral => {}
        }
    }

    fn record_answer(&mut self, latency: Duration, settings: &DispatchSettings, now: Instant) {
        self.failure_share *= 1.0 - settings.failure_weight;
        let weight = settings.latency_weight;
        self.latency_s += weight * (latency.as_secs_f64() - self.latency_s);
        self.latency_at = Some(now);
        self.ejected_until = None;
        self.unreachable_until = None;
        self.connect_failures = 0;
        if self.failure_share < settings.eject_failure_share / 4.0 {
            self.ejections = 0;
        }
    }

    fn record_failure(&mut self, settings: &DispatchSettings, now: Instant) {
        self.failure_share += settings.failure_weight * (1.0 - self.failure_share);
        let failed_trial = self.is_on_trial() && !self.is_ejected(now);
        if self.failure_share > settings.eject_failure_share || failed_trial {
            let pause = settings.min_ejection * 2_u32.pow(self.ejections.min(8));
            self.ejected_until = Some(now + pause.min(settings.max_ejection));
            self.ejections += 1;
        }
    }
}
