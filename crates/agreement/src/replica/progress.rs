//! Replication state that the leader keeps for each follower.

use std::collections::VecDeque;
use std::time::Instant;

use crate::entry::{LogIndex, Snapshot};

/// Snapshot that is being sent to a follower.
#[derive(Debug)]
pub struct SnapshotTransfer {
    pub snapshot: Snapshot,
    /// Checksum of the whole state.
    pub checksum: u64,
    /// Offset of the chunk that waits for a reply.
    pub offset: u64,
}

/// Replication state of one follower.
#[derive(Debug)]
pub struct Progress {
    /// Last entry known to be on the follower's disk.
    pub match_index: LogIndex,
    /// Index of the next entry to send.
    pub next_index: LogIndex,
    /// Last index of each append without a reply, in order of sending.
    pub inflight: VecDeque<LogIndex>,
    /// The last index at which both logs match is not known yet. One empty append
    /// is sent at a time to find it.
    pub probing: bool,
    /// Time at which an append or snapshot chunk without a reply is sent again.
    pub resend_deadline: Instant,
    /// Time of the last reply in this term; at first, the time of creation.
    pub last_reply_at: Instant,
    /// Highest heartbeat round that the follower replied to.
    pub replied_round: u64,
    pub snapshot_transfer: Option<SnapshotTransfer>,
}

impl Progress {
    pub const fn new(last_index: LogIndex, now: Instant) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            inflight: VecDeque::new(),
            probing: true,
            resend_deadline: now,
            last_reply_at: now,
            replied_round: 0,
            snapshot_transfer: None,
        }
    }

    /// Records that the follower's disk holds the log up to `index`.
    pub fn acknowledge(&mut self, index: LogIndex) {
        self.match_index = self.match_index.max(index);
        if self.probing {
            self.probing = false;
            self.inflight.clear();
            self.next_index = self.match_index + 1;
            return;
        }
        self.next_index = self.next_index.max(self.match_index + 1);
        while self.inflight.front().is_some_and(|&last| last <= index) {
            self.inflight.pop_front();
        }
    }

    /// Starts to probe for the last matching index, from `next` downwards.
    pub fn probe(&mut self, next: LogIndex) {
        self.probing = true;
        self.inflight.clear();
        self.next_index = next.max(self.match_index + 1);
    }

    /// Whether the follower has the whole log and no reply is outstanding.
    pub fn is_idle(&self, last_index: LogIndex) -> bool {
        !self.probing
            && self.snapshot_transfer.is_none()
            && self.inflight.is_empty()
            && self.next_index > last_index
    }
}
