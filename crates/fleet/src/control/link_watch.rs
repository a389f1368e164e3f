//! Log lines about a busy network link.

use std::time::Duration;

use tracing::info;

use crate::link::Traffic;

/// Part of the network link that is used before a log line tells by what.
const BUSY_SHARE: f64 = 0.5;

/// What was sent over the network link until the last round.
#[derive(Debug)]
pub struct LinkWatch {
    /// Rate of the network link, if it is known.
    bytes_per_s: Option<f64>,
    traffic: Traffic,
}

impl LinkWatch {
    pub fn new(bytes_per_s: Option<f64>) -> Self {
        Self {
            bytes_per_s,
            traffic: Traffic::now(),
        }
    }

    /// Logs what was sent in a round if it takes more than [`BUSY_SHARE`] of the link.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a round sends less than 2^53 bytes"
    )]
    pub fn end_round(&mut self, round: Duration, contents_waiting: usize) {
        let before = std::mem::replace(&mut self.traffic, Traffic::now());
        let bytes = self.traffic.total_bytes() - before.total_bytes();
        let rate = self.bytes_per_s.unwrap_or(f64::INFINITY);
        if bytes as f64 > rate * round.as_secs_f64() * BUSY_SHARE {
            info!(
                bytes,
                kinds = self.traffic.describe_since(&before),
                waiting_bytes = self.traffic.waiting_bytes(),
                contents_waiting,
                "the network link is busy; leases and changes can be late"
            );
        }
    }
}
