//! Settings of the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

/// Instance that is contacted first in order to join.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// UDP address of the instance.
    pub address: SocketAddr,
    /// Data centre of the instance.
    pub data_centre: String,
}

/// Settings of membership. Apart from the seeds, they must be equal on all instances
/// of a data centre.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Seeds in the own and in other data centres.
    pub seeds: Vec<Seed>,
    /// Time between `Tick` inputs.
    pub tick_period: Duration,
    /// Bytes that may be sent in any second, including packet headers.
    pub bytes_per_second: usize,
    /// Number of routers that detect failures of each target.
    pub watchers_per_target: usize,
    /// Time between the heartbeats of a target.
    pub heartbeat_period: Duration,
    /// Time without a heartbeat after which the first watcher probes a target; other
    /// watchers wait longer, because they get fewer heartbeats.
    pub probe_after: Duration,
    /// Time that a target has to answer a probe.
    pub probe_timeout: Duration,
    /// Time for which a target stays suspect before it is declared dead.
    pub target_dead_after: Duration,
    /// Time between pings of an instance.
    pub ping_period: Duration,
    /// Time that an instance has to answer a direct ping.
    pub ping_timeout: Duration,
    /// Number of peers that are requested to ping an instance indirectly.
    pub indirect_pings: usize,
    /// Time for which an instance stays suspect before it is declared dead.
    pub instance_dead_after: Duration,
    /// Shortest suspicion of a target that counts as a flap when the target returns; a
    /// shorter one is a false suspicion that another watcher refuted.
    pub min_outage: Duration,
    /// Damping period after the first flap, in which a target gets no new work; it
    /// doubles with each further flap.
    pub initial_damping: Duration,
    /// Longest damping period.
    pub max_damping: Duration,
    /// Time without a flap after which the count of flaps drops by one.
    pub damping_decay: Duration,
    /// Shortest time between load reports sent for one target.
    pub load_period: Duration,
    /// Longest time between load reports sent for one target.
    pub load_refresh: Duration,
    /// Time between anti-entropy exchanges.
    pub repair_period: Duration,
    /// Time between aggregates sent to each other data centre.
    pub aggregate_period: Duration,
    /// Shortest time between aggregates when the numbers of ready targets change.
    pub aggregate_change_period: Duration,
    /// Time for which tombstones (records of dead and departed members) are kept, so
    /// that a delayed message cannot make such a member live again.
    pub tombstone_retention: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            tick_period: Duration::from_millis(200),
            bytes_per_second: 5_000,
            watchers_per_target: 2,
            heartbeat_period: Duration::from_secs(1),
            probe_after: Duration::from_millis(1_300),
            probe_timeout: Duration::from_millis(400),
            target_dead_after: Duration::from_secs(5),
            ping_period: Duration::from_millis(800),
            ping_timeout: Duration::from_millis(200),
            indirect_pings: 3,
            instance_dead_after: Duration::from_millis(1_500),
            min_outage: Duration::from_millis(500),
            initial_damping: Duration::from_secs(1),
            max_damping: Duration::from_mins(1),
            damping_decay: Duration::from_mins(1),
            load_period: Duration::from_secs(3),
            load_refresh: Duration::from_secs(10),
            repair_period: Duration::from_secs(1),
            aggregate_period: Duration::from_secs(15),
            aggregate_change_period: Duration::from_secs(2),
            tombstone_retention: Duration::from_hours(1),
        }
    }
}
