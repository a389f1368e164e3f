//! Tracks which writes are on disk and the messages that wait for them.

use std::collections::VecDeque;
use std::time::Instant;

use bamboospur_types::InstanceId;

use super::Replica;
use crate::api::{Output, Role, Violation};
use crate::entry::{LogIndex, Persist, Snapshot};
use crate::message::Message;

/// Progress of the writes to disk. Writes are numbered by [`Persist::sequence`].
#[derive(Debug)]
pub struct SyncTracker {
    issued_sequence: u64,
    synced_sequence: u64,
    /// Sequence number of each unsynced write that changed the log, with the last
    /// log index after it.
    unsynced_log_ends: VecDeque<(u64, LogIndex)>,
    synced_index: LogIndex,
    /// Messages with the sequence number of the write that they wait for.
    held_messages: VecDeque<(u64, InstanceId, Message)>,
}

impl SyncTracker {
    pub const fn new(synced_index: LogIndex) -> Self {
        Self {
            issued_sequence: 0,
            synced_sequence: 0,
            unsynced_log_ends: VecDeque::new(),
            synced_index,
            held_messages: VecDeque::new(),
        }
    }

    /// Sequence number of the last write issued.
    pub const fn issued_sequence(&self) -> u64 {
        self.issued_sequence
    }

    /// Sequence number of the last write on disk.
    pub const fn synced_sequence(&self) -> u64 {
        self.synced_sequence
    }

    /// Last entry of the current log that is on disk.
    pub const fn synced_index(&self) -> LogIndex {
        self.synced_index
    }

    /// Records the last log index after the latest write.
    pub fn record_append(&mut self, last_index: LogIndex) {
        self.unsynced_log_ends
            .push_back((self.issued_sequence, last_index));
    }

    /// Records that the entries from this index on were removed from the log. A
    /// sync of an earlier write then says nothing about new entries at these
    /// indexes.
    pub fn record_truncation(&mut self, from: LogIndex) {
        let end = from - 1;
        self.synced_index = self.synced_index.min(end);
        for (_, index) in &mut self.unsynced_log_ends {
            *index = (*index).min(end);
        }
    }

    /// Holds a message until all writes issued so far are synced. Returns the
    /// message when they already are.
    pub fn hold_until_synced(&mut self, to: InstanceId, message: Message) -> Option<Message> {
        if self.synced_sequence >= self.issued_sequence {
            return Some(message);
        }
        self.held_messages
            .push_back((self.issued_sequence, to, message));
        None
    }

    fn mark_synced(&mut self, sequence: u64) {
        self.synced_sequence = self.synced_sequence.max(sequence);
        while let Some(&(write, index)) = self.unsynced_log_ends.front() {
            if write > self.synced_sequence {
                break;
            }
            self.unsynced_log_ends.pop_front();
            self.synced_index = index;
        }
    }

    fn pop_releasable(&mut self) -> Option<(InstanceId, Message)> {
        if self.held_messages.front()?.0 > self.synced_sequence {
            return None;
        }
        let (_, to, message) = self.held_messages.pop_front()?;
        Some((to, message))
    }
}

impl Replica {
    /// Returns the write of the current call, and creates it on first use.
    pub(super) fn current_write(&mut self) -> &mut Persist {
        if self.pending_write.is_none() {
            self.sync_tracker.issued_sequence += 1;
        }
        let sequence = self.sync_tracker.issued_sequence;
        self.pending_write.get_or_insert_with(|| Persist {
            sequence,
            ..Persist::default()
        })
    }

    pub(super) fn on_synced(&mut self, sequence: u64, now: Instant) {
        if sequence > self.sync_tracker.issued_sequence() {
            self.stop_on_violation(Violation::SyncedPastEnd { sequence });
            return;
        }
        self.sync_tracker.mark_synced(sequence);
        while let Some((to, message)) = self.sync_tracker.pop_releasable() {
            self.outputs.push(Output::Send { to, message });
        }
        match self.role {
            Role::Candidate => self.on_own_vote_synced(now),
            Role::Leader => self.advance_commit(now),
            _ => {}
        }
    }

    pub(super) fn compact(&mut self, index: LogIndex, state: Vec<u8>) {
        let old = self.snapshot.as_ref().map_or(0, |s| s.index);
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        if index <= old || index > self.last_applied {
            return;
        }
        let snapshot = Snapshot {
            index,
            term,
            members: self.log.members_at(index).clone(),
            state: state.into(),
        };
        self.current_write().snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
        let compact_to = self
            .log
            .compaction_index(index, self.settings.trailing_log_bytes);
        let compact_to = self
            .oldest_snapshot_in_transfer()
            .map_or(compact_to, |s| compact_to.min(s));
        self.log.compact(compact_to);
    }
}
