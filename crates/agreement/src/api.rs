//! Inputs, outputs and status of a replica.

use std::time::Instant;

use bamboospur_types::InstanceId;
use quick_error::quick_error;

use crate::entry::{LogIndex, Persist, Term};
use crate::members::{DiskId, MemberChange, Members};
use crate::message::Message;

/// Host's name for a proposal, read or change; returned in [`Output::Done`].
pub type Ticket = u64;

/// Event handed to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// The time moved on.
    Tick,
    /// A message arrived.
    Message {
        /// Sender.
        from: InstanceId,
        /// Message.
        message: Message,
    },
    /// Appends an entry, on the leader.
    Propose {
        /// Returned with the result.
        ticket: Ticket,
        /// Opaque bytes.
        data: Vec<u8>,
    },
    /// Linearizable read, on the leader: when it is done, the applied state
    /// includes everything acknowledged before the read was asked for.
    Read {
        /// Returned with the result.
        ticket: Ticket,
    },
    /// Changes the members, on the leader.
    ChangeMembers {
        /// Returned with the result.
        ticket: Ticket,
        /// Change.
        change: MemberChange,
    },
    /// The disk holds every write up to this number.
    Synced {
        /// Number of the last [`Persist`] covered by an fsync.
        sequence: u64,
    },
    /// Snapshot of the applied state at an applied index.
    Compact {
        /// Last index that the state includes.
        index: LogIndex,
        /// State.
        state: Vec<u8>,
    },
    /// Hands leadership to the most advanced voter, before a shutdown.
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
        /// Receiver.
        to: InstanceId,
        /// Message.
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
    /// Replace the applied state; empty bytes stand for the initial state.
    Restore {
        /// Last index that the state includes.
        index: LogIndex,
        /// State from [`Input::Compact`].
        state: Vec<u8>,
    },
    /// Result of a proposal, read or change.
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
        /// Leader, when known.
        leader: Option<InstanceId>,
    },
    /// The committed members changed.
    MembersChanged {
        /// Index of the change.
        index: LogIndex,
        /// Members from that index on.
        members: Members,
    },
    /// This instance or a peer has a disk that the group does not know.
    Identity(IdentityError),
    /// A check of an invariant failed; log it and count it.
    Violation(Violation),
}

quick_error! {
    /// Why a proposal, read or change did not succeed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum ProposeError {
        /// Nothing was appended.
        NotLeader { leader: Option<InstanceId> } {
            display("this instance is not the leader; ask instance {leader:?}")
        }
        /// Another entry took the place of this one; it is never applied.
        Overwritten {
            display("a new leader replaced the entry before it was committed; send it again")
        }
        /// The entry may or may not be applied.
        Unknown {
            display("the result is not known on this instance; read the state to learn it")
        }
        /// Nothing was appended.
        Unavailable {
            display("the replica is stopped after a disk failure or an invariant violation")
        }
        /// Nothing was appended.
        Busy {
            display("too many proposals wait for a result; send it again later")
        }
        /// Nothing was appended.
        TooLarge { bytes: usize, limit_bytes: usize } {
            display("the entry has {bytes} bytes and the limit is {limit_bytes}")
        }
        /// Nothing was appended.
        ChangeRefused { reason: &'static str } {
            display("the change of members was refused: {reason}")
        }
    }
}

quick_error! {
    /// A disk identity that differs from the recorded one.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs, reason = "quick-error takes no comments on fields")]
    pub enum IdentityError {
        /// This replica takes no part in the group.
        OwnDisk { known_disk: DiskId, own_disk: DiskId } {
            display("the group knows this instance with data folder {known_disk:016x}, \
                     but the folder is {own_disk:016x}; remove the instance from the group \
                     and join under a new name")
        }
        /// This instance was removed from the group.
        Retired {
            display("this instance was removed from the group; join under a new name")
        }
        /// Messages of the peer are refused.
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
            display("an append would replace entry {index}, but {commit} is committed")
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
        /// Entries or terms on disk do not follow each other.
        BadRestore { index: LogIndex } {
            display("the entries on disk have a gap before {index}")
        }
        /// The snapshot received does not match its checksum.
        SnapshotChecksum { index: LogIndex } {
            display("the snapshot at {index} does not match its checksum")
        }
        /// The host reported a write that was never asked for.
        SyncedPastEnd { sequence: u64 } {
            display("write {sequence} was reported as synced but never issued")
        }
    }
}

/// Part that a replica plays now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Role {
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Stopped until the next start.
    Stopped,
}

/// View of a replica for operators and metrics.
#[derive(Clone, Debug)]
pub struct Status {
    /// Role.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Leader, when known.
    pub leader: Option<InstanceId>,
    /// Since when no leader is known.
    pub leaderless_since: Option<Instant>,
    /// Last committed index known.
    pub commit_index: LogIndex,
    /// Last index in the log.
    pub last_index: LogIndex,
    /// Last index on the own disk.
    pub synced_index: LogIndex,
    /// Index of the newest snapshot.
    pub snapshot_index: LogIndex,
    /// Newest members in the log.
    pub members: Members,
    /// On the leader: last acknowledged index and last answer of each peer.
    pub peers: Vec<(InstanceId, LogIndex, Instant)>,
    /// Invariant violations since the start.
    pub violations: u64,
    /// Messages refused because of a disk identity since the start.
    pub refused_messages: u64,
    /// Own problem with the disk identity.
    pub identity: Option<IdentityError>,
}
