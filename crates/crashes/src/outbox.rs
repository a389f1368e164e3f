//! Limit on the bytes that messages about crashes take on links.
//!
//! Votes, reports of targets, leases and configurations share the links with them, and keep
//! a deployment alive; what is known of crashes can wait.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bamboospur_types::time_at_rate;

use crate::message::CrashMessage;

/// Bytes per second and messages that an [`CrashOutbox`] may send and keep.
#[derive(Clone, Copy, Debug)]
pub struct CrashOutboxSettings {
    /// Bytes per second on all links together.
    pub bytes_per_s: u32,
    /// Bytes that can be sent at once after a pause.
    pub burst_bytes: u32,
    /// Most messages that wait; further ones are dropped, the least important first.
    pub max_waiting: usize,
}

impl CrashOutboxSettings {
    /// Bytes per second that one hub receives from all routers together: a tenth of a network
    /// link of 6 Mbit/s.
    const RECEIVED_BYTES_PER_S: u32 = 75_000;
    /// Seconds of its rate that a router can send at once after a pause.
    const ROUTER_BURST_S: u32 = 4;

    /// Returns the settings of one of `routers` that report to `hubs` hubs each.
    #[must_use]
    pub fn router(routers: u32, hubs: u32) -> Self {
        let bytes_per_s = Self::RECEIVED_BYTES_PER_S / routers.max(1) * hubs.max(1);
        Self {
            bytes_per_s,
            burst_bytes: bytes_per_s * Self::ROUTER_BURST_S,
            max_waiting: 64,
        }
    }

    /// Settings of a control instance: a twentieth of a network link of 6 Mbit/s.
    pub const HUB: Self = Self {
        bytes_per_s: 37_500,
        burst_bytes: 75_000,
        max_waiting: 64,
    };

    fn time_for(self, bytes: u32) -> Duration {
        time_at_rate(f64::from(bytes), f64::from(self.bytes_per_s.max(1)))
    }

    /// Returns since when, at most, bytes that were not sent add up.
    fn earliest_paid_at(self, now: Instant) -> Instant {
        now.checked_sub(self.time_for(self.burst_bytes))
            .unwrap_or(now)
    }
}

/// Messages that wait until their bytes are within the limit.
#[derive(Clone, Debug)]
pub struct CrashOutbox {
    settings: CrashOutboxSettings,
    waiting: VecDeque<CrashMessage>,
    /// When the bytes sent so far are within the limit again.
    paid_at: Instant,
    dropped: u64,
}

impl CrashOutbox {
    /// Creates an empty outbox.
    #[must_use]
    pub fn new(settings: CrashOutboxSettings, now: Instant) -> Self {
        Self {
            settings,
            waiting: VecDeque::new(),
            paid_at: settings.earliest_paid_at(now),
            dropped: 0,
        }
    }

    /// Changes the limit.
    pub const fn set_settings(&mut self, settings: CrashOutboxSettings) {
        self.settings = settings;
    }

    /// Adds messages. Decisions go before evidence, and evidence before questions.
    pub fn push(&mut self, messages: impl IntoIterator<Item = CrashMessage>) {
        for message in messages {
            let rank = rank(&message);
            let before = self.waiting.iter().take_while(|m| self::rank(m) <= rank);
            self.waiting.insert(before.count(), message);
        }
        let excess = self.waiting.len().saturating_sub(self.settings.max_waiting);
        self.waiting.truncate(self.settings.max_waiting);
        self.dropped += u64::try_from(excess).unwrap_or(u64::MAX);
    }

    /// Removes and returns the next message for `receivers` links, if it may be sent now.
    pub fn pop(&mut self, receivers: usize, now: Instant) -> Option<CrashMessage> {
        if self.next_at().is_none_or(|at| now < at) {
            return None;
        }
        let message = self.waiting.pop_front()?;
        let bytes = message.max_encoded_bytes().saturating_mul(receivers);
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let paid_at = self.paid_at.max(self.settings.earliest_paid_at(now));
        self.paid_at = paid_at + self.settings.time_for(bytes);
        Some(message)
    }

    /// Returns when the next message may be sent; `None` if none waits.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        (!self.waiting.is_empty()).then_some(self.paid_at)
    }

    /// Returns the number of messages that were dropped because too many waited.
    #[must_use]
    pub const fn dropped(&self) -> u64 {
        self.dropped
    }
}

const fn rank(message: &CrashMessage) -> u8 {
    match message {
        CrashMessage::Blocked(_) | CrashMessage::Released(_) => 0,
        CrashMessage::Crashed { .. } => 1,
        CrashMessage::Answered(_) => 2,
        CrashMessage::Watch(_) => 3,
    }
}
