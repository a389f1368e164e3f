//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::entry::{Entry, LogIndex, Term};
use crate::members::{DiskId, Members};

/// Message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Disk identity of the sender.
    pub from_disk: DiskId,
    /// Disk identity that the sender knows for the receiver; 0 when unknown.
    pub to_disk: DiskId,
    /// Term of the sender; for a pre-vote, the term it would start.
    pub term: Term,
    /// Request or reply.
    pub body: MessageBody,
}

/// Request or reply of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Requests a pre-vote: whether a vote would be granted, without starting a
    /// term.
    PreVote {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Reply to a pre-vote. The message has the requested term when granted, else
    /// the sender's.
    PreVoteReply {
        /// Whether a vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Index of the sender's last entry.
        last_index: LogIndex,
        /// Term of the sender's last entry.
        last_term: Term,
        /// Whether the leader transfers leadership to the sender; receivers then
        /// handle the request although they hear from a leader.
        transfer: bool,
    },
    /// Reply to a vote request; a granted vote is on disk before it is sent.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Entries to append after an entry that the follower must have.
    Append {
        /// Index of the entry before the first one sent.
        prev_index: LogIndex,
        /// Term of the entry at `prev_index`.
        prev_term: Term,
        /// Entries without gaps; empty when the leader probes the follower's log.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
    },
    /// Reply to an append or a complete snapshot, sent once it is on disk.
    AppendReply(AppendResult),
    /// Prevents elections while the leader is alive, and confirms reads.
    Heartbeat {
        /// Commit index of the leader, at most the receiver's match index.
        commit: LogIndex,
        /// Number of the heartbeat round, which confirms linearizable reads.
        round: u64,
    },
    /// Reply to a heartbeat; it does not wait for the disk.
    HeartbeatReply {
        /// Round of the heartbeat.
        round: u64,
    },
    /// Part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Reply to a chunk: the bytes of the snapshot that the receiver holds.
    SnapshotReply {
        /// Index of the snapshot.
        index: LogIndex,
        /// Offset of the next chunk to send, in bytes.
        offset: u64,
    },
    /// Asks the receiver to start an election at once, without pre-votes.
    TimeoutNow,
    /// The receiver's disk identity differs from the one that the group knows,
    /// or its id was removed.
    Refused {
        /// Disk identity recorded for the receiver.
        known_disk: DiskId,
    },
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's disk holds the leader's log up to this index.
    Matched {
        /// Last index that matches.
        index: LogIndex,
    },
    /// The entry before the first one sent is missing or differs.
    Conflict {
        /// `prev_index` of the rejected append.
        prev_index: LogIndex,
        /// Term of the follower's entry at `prev_index`, when it has one.
        hint_term: Option<Term>,
        /// First index of `hint_term`, or the index after the follower's log.
        hint_index: LogIndex,
    },
}

/// Part of a snapshot, with the data to check and install the whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Index of the last entry that the snapshot covers.
    pub index: LogIndex,
    /// Term of the entry at `index`.
    pub snapshot_term: Term,
    /// Members at `index`.
    pub members: Members,
    /// Length of the whole state in bytes.
    pub total_bytes: u64,
    /// Checksum of the whole state.
    pub total_checksum: u64,
    /// Offset of this chunk in the state, in bytes.
    pub offset: u64,
    /// Bytes of this chunk.
    pub data: Vec<u8>,
    /// Checksum of this chunk.
    pub checksum: u64,
}

/// Largest term or index accepted in a message. A group never reaches it, and
/// the sum of two such numbers does not overflow.
const MAX_TERM_OR_INDEX: u64 = 1 << 62;

impl Message {
    /// Whether the checked terms and indexes are at most [`MAX_TERM_OR_INDEX`].
    pub(crate) fn is_in_range(&self) -> bool {
        let numbers = match &self.body {
            MessageBody::PreVote {
                last_index,
                last_term,
            }
            | MessageBody::Vote {
                last_index,
                last_term,
                ..
            } => [*last_index, *last_term],
            MessageBody::Append {
                prev_index,
                prev_term,
                ..
            } => [*prev_index, *prev_term],
            MessageBody::AppendReply(AppendResult::Matched { index }) => [*index, 0],
            MessageBody::AppendReply(AppendResult::Conflict {
                prev_index,
                hint_index,
                ..
            }) => [*prev_index, *hint_index],
            MessageBody::SnapshotChunk(chunk) => [chunk.index, chunk.snapshot_term],
            _ => [0, 0],
        };
        self.term <= MAX_TERM_OR_INDEX && numbers.iter().all(|&n| n <= MAX_TERM_OR_INDEX)
    }
}
