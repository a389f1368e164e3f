//! Inputs, outputs and status of a replica.

use std::time::Instant;

use bamboospur_types::InstanceId;
use quick_error::quick_error;

use crate::entry::{LogIndex, Persist, Term};
use crate::members::{DiskId, MemberChange, Members};
use crate::message::Message;

/// Id that the host gives to a proposal, read or membership change; returned in
/// [`Output::Done`].
pub type Ticket = u64;

/// Event for a replica to handle.
#[derive(Clone, Debug)]
pub enum Input {
    /// Runs the timers that are due; see
    /// [`Replica::next_deadline`](crate::Replica::next_deadline).
    Tick,
    /// A message arrived.
    Message {
        /// Instance that sent the message.
        from: InstanceId,
        /// Message as received.
        message: Message,
    },
    /// Appends an entry, on the leader.
    Propose {
        /// Returned with the result.
        ticket: Ticket,
        /// Content of the entry, opaque to the replica.
        data: Vec<u8>,
    },
    /// Linearizable read, on the leader: when it is done, the applied state
    /// includes every entry acknowledged before the read was requested.
    Read {
        /// Returned with the result.
        ticket: Ticket,
    },
    /// Changes the members, on the leader.
    ChangeMembers {
        /// Returned with the result.
        ticket: Ticket,
        /// Change to append to the log.
        change: MemberChange,
    },
    /// Every write up to this sequence number is on disk.
    Synced {
        /// Sequence number of the last [`Persist`] covered by an fsync.
        sequence: u64,
    },
    /// Stores a snapshot of the applied state and compacts the log. Ignored
    /// when the index is not applied yet or not past the newest snapshot.
    Compact {
        /// Last index that the state includes.
        index: LogIndex,
        /// Applied state, in the host's encoding.
        state: Vec<u8>,
    },
    /// Transfers leadership to the reachable voter with the highest match index,
    /// before a shutdown.
    TransferLeadership,
    /// A write or fsync failed; the replica stops until the next start.
    DiskFailed,
}

/// Action for the host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Write this, sync, then feed [`Input::Synced`].
    Persist(Persist),
    /// Send a message; it can be lost.
    Send {
        /// Instance that receives the message.
        to: InstanceId,
        /// Message to send.
        message: Message,
    },
    /// Apply a committed entry, once and in order. Entries without host data
    /// are not reported, so indexes have gaps.
    Apply {
        /// Position in the log.
        index: LogIndex,
        /// Term of the entry.
        term: Term,
        /// Bytes that were proposed.
        data: Vec<u8>,
    },
    /// Replace the applied state; an empty state is the initial one.
    Restore {
        /// Last index that the state includes.
        index: LogIndex,
        /// State from [`Input::Compact`].
        state: Vec<u8>,
    },
    /// Result of a proposal, read or membership change.
    Done {
        /// Ticket of the input.
        ticket: Ticket,
        /// Log index of the entry, or the index that the read includes.
        result: Result<LogIndex, ProposeError>,
    },
    /// The known leader changed.
    LeaderChanged {
        /// Current term.
        term: Term,
        /// Leader of the term; `None` when it is not known.
        leader: Option<InstanceId>,
    },
    /// The committed members changed.
    MembersChanged {
        /// Index of the change.
        index: LogIndex,
        /// Members from that index on.
        members: Members,
    },
    /// This instance was removed, or the disk of this instance or a peer is not
    /// the recorded one.
    Identity(IdentityError),
    /// An invariant is violated; the host logs and counts it.
    Violation(Violation),
}

quick_error! {
    /// Why a proposal, read or membership change did not succeed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum ProposeError {
        /// This replica does not lead or is transferring leadership; nothing was
        /// appended.
        NotLeader { leader: Option<InstanceId> } {
            display("this instance is not the leader; ask instance {leader:?}")
        }
        /// Another entry was committed at the index; this one is never applied.
        Overwritten {
            display("a new leader replaced the entry before it was committed; send it again")
        }
        /// The replica stopped or installed a snapshot before the result was
        /// known; the entry may or may not be applied.
        Unknown {
            display("the result is not known on this instance; read the state to learn it")
        }
        /// The replica is stopped; nothing was appended.
        Unavailable {
            display("the replica is stopped after a disk failure or an invariant violation")
        }
        /// The limit of uncommitted bytes or pending tickets is reached; nothing
        /// was appended.
        Busy {
            display("too many proposals wait for a result; send it again later")
        }
        /// The entry exceeds `max_entry_bytes`; nothing was appended.
        TooLarge { bytes: usize, limit_bytes: usize } {
            display("the entry has {bytes} bytes and the limit is {limit_bytes}")
        }
        /// The membership change is invalid or not safe now; nothing was appended.
        ChangeRefused { reason: &'static str } {
            display("the change of members was refused: {reason}")
        }
    }
}

quick_error! {
    /// Conflict between an instance and what the group has recorded for it.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum IdentityError {
        /// The disk of this instance is not the recorded one; the replica refuses
        /// all messages and starts no election.
        OwnDisk { known_disk: DiskId, own_disk: DiskId } {
            display("the group knows this instance with data folder {known_disk:016x}, \
                     but the folder is {own_disk:016x}; remove the instance from the group \
                     and join under a new name")
        }
        /// This instance was removed from the group.
        Retired {
            display("this instance was removed from the group; join under a new name")
        }
        /// The disk of a peer is not the recorded one; its messages are refused.
        PeerDisk { peer: InstanceId, known_disk: DiskId, peer_disk: DiskId } {
            display("instance {peer:016x} uses data folder {peer_disk:016x}, but the group \
                     knows {known_disk:016x}; remove it and let it join under a new name")
        }
    }
}

quick_error! {
    /// An invariant that does not hold.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum Violation {
        /// Two leaders in one term.
        TwoLeaders { term: Term, known: InstanceId, other: InstanceId } {
            display("instances {known:016x} and {other:016x} both lead term {term}")
        }
        /// A message would replace a committed entry.
        CommittedReplaced { index: LogIndex, commit: LogIndex } {
            display("an append would replace entry {index}, but entries up to {commit} are committed")
        }
        /// The commit index is past the end of the log.
        CommitPastEnd { commit: LogIndex, last_index: LogIndex } {
            display("commit index {commit} is past the last entry {last_index}")
        }
        /// A follower acknowledged entries that the leader does not have.
        AcknowledgedPastEnd { peer: InstanceId, index: LogIndex } {
            display("instance {peer:016x} acknowledged entry {index}, which does not exist")
        }
        /// An entry to apply is missing.
        ApplyGap { index: LogIndex } {
            display("entry {index} is missing from the log and cannot be applied")
        }
        /// The entries on disk have a gap, or their terms decrease.
        InconsistentLog { index: LogIndex } {
            display("entry {index} on disk does not follow the entry before it: \
                     an index is missing or the term is lower")
        }
        /// The snapshot received does not match its checksum.
        SnapshotChecksum { index: LogIndex } {
            display("the snapshot at {index} does not match its checksum")
        }
        /// The host reported a write as synced that was never issued.
        SyncedPastEnd { sequence: u64 } {
            display("write {sequence} was reported as synced but never issued")
        }
    }
}

/// Raft role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes, without starting a term.
    PreCandidate,
    /// Started a term and requests votes.
    Candidate,
    /// Was elected and replicates its log.
    Leader,
    /// Stopped by a disk failure or an invariant violation until the next start.
    Stopped,
}

/// View of a replica for operators and metrics.
#[derive(Clone, Debug)]
pub struct Status {
    /// Current role.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader of the term; `None` when it is not known.
    pub leader: Option<InstanceId>,
    /// Time since which no leader is known; `None` while one is known.
    pub leaderless_since: Option<Instant>,
    /// Highest index known to be committed.
    pub commit_index: LogIndex,
    /// Last index in the log.
    pub last_index: LogIndex,
    /// Last index of the log that is on this instance's disk.
    pub synced_index: LogIndex,
    /// Index of the newest snapshot; 0 without one.
    pub snapshot_index: LogIndex,
    /// Newest members in the log, committed or not.
    pub members: Members,
    /// Match index and time of the last reply of each peer; empty unless this
    /// replica leads.
    pub peers: Vec<(InstanceId, LogIndex, Instant)>,
    /// Invariant violations since the start.
    pub violations: u64,
    /// Messages refused because of a disk identity since the start.
    pub refused_messages: u64,
    /// Identity error of this instance, if any.
    pub identity_error: Option<IdentityError>,
}
