//! Pause of a target that rejected a request and asked for none for a time.
//!
//! One answer takes a target out of service for [`DispatchSettings::first_pause`] at most,
//! however long a time it states. Then one request, a trial, shows whether the target means it.
//! If the trial is rejected too, the next pause is longer, and the third as long as the target
//! asks for; so at most two requests reach a target that means it.

use std::time::{Duration, Instant};

use crate::settings::DispatchSettings;

/// Pause of one target; it is over when the target answers a trial.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// When the target first rejected a request, or the last trial was sent.
    began_at: Instant,
    /// End of the time for which the target asked for no requests.
    asked_until: Instant,
    /// Trials so far, except those that ended without any answer.
    trials: u32,
    trial_sent_at: Option<Instant>,
}

impl Pause {
    /// Begins a pause after an answer that asks for no requests for this time.
    pub fn begin(asked: Duration, settings: &DispatchSettings, now: Instant) -> Self {
        Self {
            began_at: now,
            asked_until: now + asked.min(settings.max_pause),
            trials: 0,
            trial_sent_at: None,
        }
    }

    /// Whether the target asked for no requests at this time.
    pub fn is_asked_for(&self, now: Instant) -> bool {
        now < self.asked_until
    }

    /// Records a further answer that asks for no requests for this time.
    pub fn extend(&mut self, asked: Duration, settings: &DispatchSettings, now: Instant) {
        let asked_until = now + asked.min(settings.max_pause);
        self.asked_until = self.asked_until.max(asked_until);
    }

    /// Returns when the target gets its next request; `None` if that is now.
    pub fn ends_at(&self, settings: &DispatchSettings, now: Instant) -> Option<Instant> {
        let longest = match self.trials {
            0 => settings.first_pause,
            1 => settings.second_pause,
            _ => settings.max_pause,
        };
        let ends_at = self.asked_until.min(self.began_at + longest);
        (now < ends_at).then_some(ends_at)
    }

    /// Records a request that is sent to the target. Within the time that the target asked for,
    /// it is a trial, and no other request is sent until it is answered.
    pub fn record_request(&mut self, now: Instant) {
        if self.is_asked_for(now) {
            self.began_at = now;
            self.trials = self.trials.saturating_add(1);
            self.trial_sent_at = Some(now);
        }
    }

    /// Whether a request that was sent at this time is the last trial.
    pub fn is_trial(&self, sent_at: Instant) -> bool {
        self.trial_sent_at.is_some_and(|trial| sent_at >= trial)
    }

    /// Records that a trial ended without any answer of the target.
    pub const fn record_lost_trial(&mut self, now: Instant) {
        self.began_at = now;
        self.trials = self.trials.saturating_sub(1);
        self.trial_sent_at = None;
    }
}
