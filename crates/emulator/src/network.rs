//! Network link of one machine.

use std::time::Instant;

use bamboospur_types::time_at_rate;

/// A link that sends its bytes in order at a fixed rate. What is queued waits.
#[derive(Clone, Debug)]
pub struct NetworkLink {
    bytes_per_s: f64,
    free_at: Instant,
    sent_bytes: usize,
}

impl NetworkLink {
    /// Creates an idle link.
    #[must_use]
    pub const fn new(bytes_per_s: f64, now: Instant) -> Self {
        Self {
            bytes_per_s,
            free_at: now,
            sent_bytes: 0,
        }
    }

    /// Queues bytes; returns when the last one has been sent.
    #[expect(
        clippy::cast_precision_loss,
        reason = "frames are smaller than 2^53 bytes"
    )]
    pub fn send(&mut self, bytes: usize, now: Instant) -> Instant {
        let duration = time_at_rate(bytes as f64, self.bytes_per_s);
        self.free_at = self.free_at.max(now) + duration;
        self.sent_bytes += bytes;
        self.free_at
    }

    /// Bytes queued since the start.
    #[must_use]
    pub const fn sent_bytes(&self) -> usize {
        self.sent_bytes
    }
}
