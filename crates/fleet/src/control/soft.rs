//! Soft state: announcements of targets and cached prefixes of prompts, stored across
//! restarts.
//!
//! Lost soft state rebuilds itself: targets report again, and process prompts again.
//! With the stored state, a fleet that lost power serves requests at once, and sends each
//! to a target that has its prompt cached.

use std::time::{Duration, Instant};

use bamboospur_registry::Announcement;
use serde::{Deserialize, Serialize};
use tracing::warn;

/// Start of a stored state of this format. Bytes of another format could decode to targets
/// that do not exist.
const FORMAT: &[u8] = b"soft2";
/// Least time between two writes of the soft state, unless a target departs.
const WRITE_INTERVAL: Duration = Duration::from_secs(3);
/// Time from a failed write to the next one.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Number of a write of the soft state; 0 is the state that was read at the start.
pub type WriteNumber = u64;

/// Soft state of a control instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftState {
    /// Newest announcement of every known target.
    pub targets: Vec<Announcement>,
    /// Shared parts of prompts and the targets that cached them, as pairs of hashes,
    /// oldest first.
    pub prefixes: Vec<(u64, u64)>,
}

impl SoftState {
    /// Decodes the stored state. Returns an empty state when there is none, the bytes are
    /// damaged, or another version of the program wrote them.
    #[must_use]
    pub fn decode(blob: Option<Vec<u8>>) -> Self {
        let Some(blob) = blob else {
            return Self::default();
        };
        let Some(content) = blob.strip_prefix(FORMAT) else {
            warn!("the soft state has another format; starting without it");
            return Self::default();
        };
        postcard::from_bytes(content).unwrap_or_else(|error| {
            warn!(%error, "failed to decode the soft state; starting without it");
            Self::default()
        })
    }

    /// Encodes the state for the disk.
    #[must_use]
    pub fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_extend(self, FORMAT.to_vec()).ok()
    }
}

/// Decides when the soft state is written.
#[derive(Clone, Copy, Debug)]
pub struct SoftStateSchedule {
    changed: bool,
    urgent: bool,
    next_write_at: Instant,
}

impl SoftStateSchedule {
    /// Returns a schedule without changes, whose next write is due at `now` at the
    /// earliest.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            changed: false,
            urgent: false,
            next_write_at: now,
        }
    }

    /// Records a change that can wait for the next regular write.
    pub const fn record_change(&mut self) {
        self.changed = true;
    }

    /// Records the departure of a target, which is written at once: if a power loss
    /// erased a departure, the target would receive new work.
    pub const fn record_departure(&mut self) {
        self.urgent = true;
    }

    /// Records that the last write failed, so that its changes are written with the next one.
    pub fn record_failure(&mut self, now: Instant) {
        self.changed = true;
        self.next_write_at = now + RETRY_INTERVAL;
    }

    /// Whether there are changes since the last write.
    #[must_use]
    pub const fn has_changes(&self) -> bool {
        self.changed || self.urgent
    }

    /// Returns whether the state is to be written now, and if so, counts it as written.
    pub fn take_due(&mut self, now: Instant) -> bool {
        let due = self.urgent || (self.changed && now >= self.next_write_at);
        if due {
            *self = Self::new(now + WRITE_INTERVAL);
        }
        due
    }
}

/// Writes of the soft state, one at a time, so that a disk that stalls holds up a single copy.
#[derive(Clone, Copy, Debug)]
pub struct SoftStateWrites {
    schedule: SoftStateSchedule,
    started: WriteNumber,
    stored: WriteNumber,
    in_progress: bool,
}

impl SoftStateWrites {
    /// Returns the state of a process that has written nothing yet.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            schedule: SoftStateSchedule::new(now),
            started: 0,
            stored: 0,
            in_progress: false,
        }
    }

    /// Returns the schedule, to record changes.
    pub const fn schedule(&mut self) -> &mut SoftStateSchedule {
        &mut self.schedule
    }

    /// Returns the number of the write to start now, if one is due.
    pub fn start_due(&mut self, now: Instant) -> Option<WriteNumber> {
        if self.in_progress || !self.schedule.take_due(now) {
            return None;
        }
        self.in_progress = true;
        self.started += 1;
        Some(self.started)
    }

    /// Makes all changes so far due, and returns the number of the write that stores the last of
    /// them.
    pub const fn require_all(&mut self) -> WriteNumber {
        if self.schedule.has_changes() {
            self.schedule.record_departure();
            self.started + 1
        } else {
            self.started
        }
    }

    /// Returns the number of the last write that is on disk.
    #[must_use]
    pub const fn stored(&self) -> WriteNumber {
        self.stored
    }

    /// Records that a write is on disk.
    pub const fn record_stored(&mut self, number: WriteNumber) {
        self.stored = number;
        self.in_progress = false;
    }

    /// Records that the write in progress failed or was dropped; it is repeated later, until the
    /// disk has room.
    pub fn record_failure(&mut self, now: Instant) {
        self.in_progress = false;
        self.schedule.record_failure(now);
    }
}
