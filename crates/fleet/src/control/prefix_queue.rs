//! Cached prefixes that wait to be sent to routers.
//!
//! Under overload prompts go to targets that have not cached them, so there are most new
//! cached prefixes when a control instance has least room for them. They are hints: the
//! instance spends a bounded part of its network link on them, and drops the oldest ones
//! when more wait. Otherwise they delay leases and loads, without which routers refuse
//! requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of the network link that cached prefixes may take.
const LINK_SHARE: f64 = 0.2;
/// Bytes of a prefix and its target in a frame.
const PREFIX_BYTES: f64 = 18.0;
/// Time whose share can be sent at once after a pause.
const MAX_BURST: Duration = Duration::from_secs(1);
/// Most prefixes that wait.
const MAX_WAITING: usize = 1_024;

/// Queue of pairs of the hashes of a prefix and of a target.
#[derive(Clone, Debug)]
pub struct PrefixQueue {
    /// `None` if the rate of the network link is not known.
    bytes_per_s: Option<f64>,
    bytes: f64,
    updated_at: Instant,
    waiting: VecDeque<(u64, u64)>,
}

impl PrefixQueue {
    /// Creates an empty queue for a network link with this rate.
    #[must_use]
    pub fn new(link_bytes_per_s: Option<f64>, now: Instant) -> Self {
        let bytes_per_s = link_bytes_per_s.map(|rate| rate * LINK_SHARE);
        Self {
            bytes_per_s,
            bytes: bytes_per_s.unwrap_or_default() * MAX_BURST.as_secs_f64(),
            updated_at: now,
            waiting: VecDeque::new(),
        }
    }

    /// Adds prefixes to send.
    pub fn push(&mut self, prefixes: &[(u64, u64)]) {
        self.waiting.extend(prefixes.iter().copied());
        let excess = self.waiting.len().saturating_sub(MAX_WAITING);
        self.waiting.drain(..excess);
    }

    /// Removes and returns the prefixes that can be sent to this number of links now.
    pub fn take(&mut self, links: usize, now: Instant) -> Vec<(u64, u64)> {
        let Some(bytes_per_s) = self.bytes_per_s else {
            return self.waiting.drain(..).collect();
        };
        let passed = now.saturating_duration_since(self.updated_at);
        let max_bytes = bytes_per_s * MAX_BURST.as_secs_f64();
        self.bytes = (self.bytes + bytes_per_s * passed.as_secs_f64()).min(max_bytes);
        self.updated_at = now;
        #[expect(clippy::cast_precision_loss, reason = "there are few links")]
        let bytes_each = PREFIX_BYTES * links as f64;
        let mut taken = Vec::new();
        while self.bytes >= bytes_each
            && let Some(prefix) = self.waiting.pop_front()
        {
            self.bytes -= bytes_each;
            taken.push(prefix);
        }
        taken
    }
}
