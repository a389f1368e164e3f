//! Settings of lease holders and owners.

use std::time::Duration;

/// Settings of holders and owners; all routers of a data centre must use the same.
#[derive(Clone, Debug)]
pub struct LimitsSettings {
    /// Interval between calls of `tick`.
    pub tick_interval: Duration,
    /// Lifetime of a lease of a team that is at its share.
    pub lease_lifetime_at_share: Duration,
    /// Interval between lease requests for a team that is at its share.
    pub renew_interval_at_share: Duration,
    /// Time for which a holder goes on using an expired lease of a team that is at its
    /// share, when the owner does not answer.
    pub owner_grace: Duration,
    /// Minimum interval between lease requests for one team.
    pub min_lease_request_interval: Duration,
    /// Lifetime of a lease of a team below its share.
    pub lease_lifetime_below_share: Duration,
    /// Interval between lease requests for a team below its share.
    pub renew_interval_below_share: Duration,
    /// Time for which a team's requests run on a router without a lease before the
    /// holder reports them.
    pub report_after: Duration,
    /// Time for which a new owner only records reports and grants nothing, until
    /// all holders have reported.
    pub warm_up: Duration,
    /// Requests that a router may admit above its lease while the team is below
    /// its share.
    pub standing_requests: u64,
    /// Work that a router may admit above its lease while the team is below its
    /// share, in tokens.
    pub standing_work: u64,
    /// Part of a share that all routers together may use without a report, in percent.
    pub unreported_percent: u64,
    /// Bytes that the holder of a router may send to other routers in any second.
    pub holder_bytes_per_second: usize,
    /// Bytes that the owner of a router may send to other routers in any second.
    /// The bound is reached only when a team gets to its share and all holders must
    /// be told at once.
    pub owner_bytes_per_second: usize,
}

impl Default for LimitsSettings {
    fn default() -> Self {
        Self {
            tick_interval: Duration::from_millis(20),
            lease_lifetime_at_share: Duration::from_secs(5),
            // 52 holders of a team at its share cost its owner 3.2 KB/s.
            renew_interval_at_share: Duration::from_secs(2),
            owner_grace: Duration::from_secs(10),
            min_lease_request_interval: Duration::from_millis(60),
            lease_lifetime_below_share: Duration::from_secs(25),
            renew_interval_below_share: Duration::from_secs(10),
            report_after: Duration::from_secs(2),
            warm_up: Duration::from_secs(2),
            standing_requests: 16,
            standing_work: 256 * 1024,
            unreported_percent: 5,
            holder_bytes_per_second: 2_000,
            owner_bytes_per_second: 8_000,
        }
    }
}
