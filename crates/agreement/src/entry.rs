//! Log entries, snapshots and what a replica keeps on disk.

use std::sync::Arc;

use bamboospur_types::{InstanceId, mix64};
use serde::{Deserialize, Serialize};

use crate::members::Members;

/// Position in the log; the first entry has index 1.
pub type LogIndex = u64;
/// Election number; at most one leader per term.
pub type Term = u64;

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a leader's term.
    Empty,
    /// Opaque bytes proposed by the host.
    Data(Vec<u8>),
    /// Members from this entry on.
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
    /// Last entry covered.
    pub index: LogIndex,
    /// Term of the last entry covered.
    pub term: Term,
    /// Members at the index.
    pub members: Members,
    /// State produced by the host; empty at index 0.
    pub state: Arc<Vec<u8>>,
}

/// One numbered write. The parts apply in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Persist {
    /// Number of this write, counting from 1 in each process.
    pub sequence: u64,
    /// New term and vote.
    pub hard: Option<HardState>,
    /// New snapshot; older snapshots and entries up to its index can go.
    pub snapshot: Option<Snapshot>,
    /// With a snapshot from the leader, the whole log is replaced.
    pub clear_log: bool,
    /// Entries to append; those stored at or after the first index go first.
    pub entries: Vec<Entry>,
}

/// What the disk held at the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistedState {
    /// Term and vote.
    pub hard: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistedState {
    /// Whether the disk holds no group at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hard == HardState::default() && self.snapshot.is_none() && self.entries.is_empty()
    }

    /// Index of the last entry, in the log or in the snapshot.
    #[must_use]
    pub fn last_index(&self) -> LogIndex {
        let snapshot = self.snapshot.as_ref().map_or(0, |s| s.index);
        self.entries.last().map_or(snapshot, |e| e.index)
    }

    /// Starts a new group with the given members. The host writes
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

    /// The write that stores this state on an empty disk.
    #[must_use]
    pub fn to_persist(&self) -> Persist {
        Persist {
            sequence: 0,
            hard: Some(self.hard),
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
