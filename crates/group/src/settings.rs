//! Settings of a group.

use std::time::Duration;

use bamboospur_agreement::ReplicaSettings;

/// Times and bounds of a group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Settings of the replicated log.
    pub replica: ReplicaSettings,
    /// An instance counts as reachable for this time after the last
    /// [`crate::GroupInput::PeerSeen`] for it.
    pub contact_timeout: Duration,
    /// A voter that was silent for this time is removed when another instance
    /// can replace it.
    pub replace_after: Duration,
    /// The address and last contact time of an instance are dropped when it was
    /// silent for this time.
    pub forget_after: Duration,
    /// Time between two checks whether the members have to change.
    pub check_interval: Duration,
    /// Largest number of voters; five tolerate the loss of two.
    pub max_voters: usize,
    /// Bytes of applied entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            replica: ReplicaSettings::default(),
            contact_timeout: Duration::from_millis(1_500),
            replace_after: Duration::from_millis(2_500),
            forget_after: Duration::from_secs(30),
            check_interval: Duration::from_millis(250),
            max_voters: 5,
            snapshot_bytes: 256 * 1024,
        }
    }
}
