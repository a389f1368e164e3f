//! Settings of a group.

use std::time::Duration;

use bamboospur_agreement::ReplicaSettings;

/// Times and bounds of a group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    /// Settings of the log.
    pub replica: ReplicaSettings,
    /// An instance that was heard within this time is in contact.
    pub contact_timeout: Duration,
    /// A voter that was not heard for this time is replaced when another
    /// instance can take its place.
    pub replace_after: Duration,
    /// An instance that is not a voter is forgotten after this time.
    pub forget_after: Duration,
    /// Time between two checks of the members.
    pub check_interval: Duration,
    /// Most voters; five bear the loss of two.
    pub max_voters: usize,
    /// A snapshot is taken after this many bytes of entries.
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
