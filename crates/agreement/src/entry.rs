//! Log entries, snapshots and the state that a replica keeps on disk.

use std::sync::Arc;

use bamboospur_types::{InstanceId, mix64};
use serde::{Deserialize, Serialize};

use crate::members::Members;

/// Position in the log; the first entry has index 1.
pub type LogIndex = u64;
/// Number of an election period; a term has at most one leader.
pub type Term = u64;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No-op that a new leader appends as the first entry of its term.
    Empty,
    /// Opaque bytes proposed by the host.
    Data(Vec<u8>),
    /// Members from this entry on, committed or not.
    Members(Members),
}

/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: LogIndex,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in memory and on the wire, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        let payload = match &self.payload {
            Payload::Empty => 0,
            Payload::Data(data) => data.len(),
            Payload::Members(members) => members.size_bytes(),
        };
        payload + 24
    }
}

/// Term and vote, which must survive a restart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Candidate that got this replica's vote in the term.
    pub vote: Option<InstanceId>,
}

/// Applied state up to an index, with the members at that index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Index of the last entry covered.
    pub index: LogIndex,
    /// Term of the last entry covered.
    pub term: Term,
    /// Members at that index.
    pub members: Members,
    /// State produced by the host; empty at index 0.
    pub state: Arc<Vec<u8>>,
}

/// Write to disk. The host applies the fields in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persist {
    /// Sequence number, counting from 1 in each process; 0 for
    /// [`PersistedState::to_persist`].
    pub sequence: u64,
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// New snapshot; older snapshots and entries up to its index can be deleted.
    pub snapshot: Option<Snapshot>,
    /// Whether all stored entries are deleted, as after a snapshot from the
    /// leader.
    pub clear_log: bool,
    /// Entries to append, after stored entries at or past the first index are
    /// deleted.
    pub entries: Vec<Entry>,
}

/// State that the disk held at the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistedState {
    /// Whether the disk holds no state, so that this instance is in no group.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard_state == HardState::default()
            && self.snapshot.is_none()
            && self.entries.is_empty()
    }

    /// Index of the last entry in the log, or of the snapshot when the log is empty.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        let snapshot = self.snapshot.as_ref().map_or(0, |s| s.index);
        self.entries.last().map_or(snapshot, |e| e.index)
    }

    /// Returns the initial state of a group with these members. The host writes
    /// [`PersistedState::to_persist`] to every member's disk before the first start.
    #[must_use]
    pub fn bootstrap(members: Members) -> Self {
        let snapshot = Snapshot {
            index: 0,
            term: 0,
            members,
            state: Arc::default(),
        };
        Self {
            snapshot: Some(snapshot),
            ..Self::default()
        }
    }

    /// Returns the write that stores this state on an empty disk.
    #[must_use]
    pub fn to_persist(&self) -> Persist {
        Persist {
            sequence: 0,
            hard_state: Some(self.hard_state),
            snapshot: self.snapshot.clone(),
            clear_log: true,
            entries: self.entries.clone(),
        }
    }
}

/// Checksum of snapshot bytes in messages: 64-bit FNV-1a over 8-byte words.
#[must_use]
pub fn checksum(bytes: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64 ^ bytes.len() as u64;
    for word in bytes.chunks(8) {
        let mut padded = [0; 8];
        padded[..word.len()].copy_from_slice(word);
        hash = (hash ^ u64::from_le_bytes(padded)).wrapping_mul(0x0000_0100_0000_01b3);
        hash ^= hash >> 32;
    }
    mix64(hash)
}
