//! Settings of a replica.

use std::time::Duration;

use bamboospur_types::InstanceId;

use crate::members::DiskId;

/// Identity, time-outs and limits of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Id of this instance.
    pub id: InstanceId,
    /// Random identity of this instance's data folder; never 0.
    pub disk: DiskId,
    /// Time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest time without a leader before a replica starts an election.
    pub election_timeout_min: Duration,
    /// Longest time without a leader before a replica starts an election.
    pub election_timeout_max: Duration,
    /// Whether a replica that has just started requests pre-votes without waiting for an
    /// election time-out. A replica that restarts forgets that it heard a leader, so with this
    /// the former leader may act for up to [`Self::quorum_timeout`] beside the next one.
    pub elects_at_start: bool,
    /// Shortest time between two rounds of pre-votes of a replica that has just started.
    pub startup_retry_min: Duration,
    /// Longest time between two rounds of pre-votes of a replica that has just started.
    pub startup_retry_max: Duration,
    /// Shortest time between two rounds of pre-votes.
    pub election_retry_min: Duration,
    /// Longest time between two rounds of pre-votes.
    pub election_retry_max: Duration,
    /// A leader steps down when no quorum replied within this time.
    pub quorum_timeout: Duration,
    /// An append or snapshot chunk without a reply is sent again after this time.
    pub resend_timeout: Duration,
    /// Limit of entry bytes in one append message; a single larger entry is sent
    /// alone.
    pub max_append_bytes: usize,
    /// Largest number of append messages to one follower without a reply.
    pub max_inflight_appends: usize,
    /// Size of the state in one snapshot chunk, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot accepted, in bytes.
    pub max_snapshot_bytes: usize,
    /// Largest proposal accepted, in bytes.
    pub max_entry_bytes: usize,
    /// A leader refuses proposals as busy while its uncommitted entries have at
    /// least this many bytes.
    pub max_uncommitted_bytes: usize,
    /// Largest number of proposals, and of reads, that wait for a result.
    pub max_pending_tickets: usize,
    /// Bytes of entries before a snapshot that stay in memory for slow followers.
    pub trailing_log_bytes: usize,
    /// A learner that lacks at most this many committed entries can be promoted,
    /// once it has the newest members.
    pub promote_lag_entries: u64,
}

impl Default for ReplicaSettings {
    fn default() -> Self {
        Self {
            id: 0,
            disk: 0,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout_min: Duration::from_millis(400),
            election_timeout_max: Duration::from_millis(800),
            elects_at_start: false,
            startup_retry_min: Duration::from_millis(40),
            startup_retry_max: Duration::from_millis(160),
            election_retry_min: Duration::from_millis(200),
            election_retry_max: Duration::from_millis(400),
            quorum_timeout: Duration::from_millis(400),
            resend_timeout: Duration::from_millis(300),
            max_append_bytes: 256 * 1024,
            max_inflight_appends: 16,
            snapshot_chunk_bytes: 256 * 1024,
            max_snapshot_bytes: 64 * 1024 * 1024,
            max_entry_bytes: 4 * 1024 * 1024,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            max_pending_tickets: 16_384,
            trailing_log_bytes: 1024 * 1024,
            promote_lag_entries: 64,
        }
    }
}
