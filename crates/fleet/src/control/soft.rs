//! What targets and routers have told, kept across restarts.
//!
//! All of it comes back by itself: targets report again, and prompts are read
//! again. Keeping it lets a fleet that lost power serve at once, and from the
//! targets that have the prompts cached.

use std::time::{Duration, Instant};

use bamboospur_registry::Announcement;
use serde::{Deserialize, Serialize};
use tracing::warn;

/// Time between two copies on disk.
const PERIOD: Duration = Duration::from_secs(3);

/// Soft state of a control instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftState {
    /// Newest announcement of each target.
    pub targets: Vec<Announcement>,
    /// Places of cached prompts, oldest first.
    pub prefixes: Vec<(u64, u64)>,
}

impl SoftState {
    /// Decodes what was kept; what cannot be read is as good as lost.
    #[must_use]
    pub fn decode(blob: Option<Vec<u8>>) -> Self {
        let Some(blob) = blob else {
            return Self::default();
        };
        postcard::from_bytes(&blob).unwrap_or_else(|error| {
            warn!(%error, "the soft state cannot be read");
            Self::default()
        })
    }

    /// Encodes the state.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok()
    }
}

/// When the state is written next.
#[derive(Clone, Copy, Debug)]
pub struct SoftSchedule {
    changed: bool,
    urgent: bool,
    next_at: Instant,
}

impl SoftSchedule {
    /// Starts without changes.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            changed: false,
            urgent: false,
            next_at: now,
        }
    }

    /// Records a change that may wait.
    pub const fn record_change(&mut self) {
        self.changed = true;
    }

    /// Records a departure. It must not be forgotten in a power loss: the target
    /// would get new work.
    pub const fn record_departure(&mut self) {
        self.urgent = true;
    }

    /// Whether the state is to be written now.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let due = self.urgent || (self.changed && now >= self.next_at);
        if due {
            *self = Self::new(now + PERIOD);
        }
        due
    }
}
