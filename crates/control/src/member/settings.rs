//! Settings of a control group member.

use std::time::Duration;

use bamboospur_agreement::ReplicaSettings;
use bamboospur_claims::ClaimSettings;

/// Identity, intervals and bounds of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Settings of the log replica, including the identity of the member.
    pub replica: ReplicaSettings,
    /// Bounds of the claim table; must be equal on all members.
    pub claims: ClaimSettings,
    /// Random id of this process; must differ from that of every earlier process.
    pub process: u64,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Size of applied entries after which a snapshot is taken.
    pub snapshot_bytes: usize,
    /// Interval between comparisons of the engines with the desired state.
    pub plan_interval: Duration,
    /// Interval between scans of the claim table for expired claims.
    pub expire_interval: Duration,
    /// Number of claims examined in one scan.
    pub expire_claims_count: usize,
}

impl Default for MemberSettings {
    fn default() -> Self {
        Self {
            replica: ReplicaSettings::default(),
            claims: ClaimSettings::default(),
            process: 0,
            snapshot_entries: 50_000,
            snapshot_bytes: 32 * 1024 * 1024,
            plan_interval: Duration::from_secs(1),
            expire_interval: Duration::from_mins(1),
            expire_claims_count: 20_000,
        }
    }
}
