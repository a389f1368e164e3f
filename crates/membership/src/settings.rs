//! Settings of membership.

use std::net::SocketAddr;
use std::time::Duration;

/// A first contact of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// UDP address of an instance.
    pub address: SocketAddr,
    /// Data centre of that instance.
    pub data_centre: String,
}

/// Settings of membership; equal on all instances of a data centre.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// First contacts, in the own and in other data centres.
    pub seeds: Vec<Seed>,
    /// Time between `Tick` inputs.
    pub tick_period: Duration,
    /// Bytes that may be sent in any second, with packet headers.
    pub bytes_per_second: usize,
    /// Routers that watch each target.
    pub watchers_per_target: usize,
    /// Time between heartbeats that targets are asked for.
    pub heartbeat_period: Duration,
    /// Time without a heartbeat after which watchers probe a target.
    pub probe_after: Duration,
    /// Time that a target has to answer a probe.
    pub probe_timeout: Duration,
    /// Time for which a target stays suspect before it is declared dead.
    pub target_dead_after: Duration,
    /// Time between pings of an instance.
    pub ping_period: Duration,
    /// Time that an instance has to answer a direct ping.
    pub ping_timeout: Duration,
    /// Instances asked to ping indirectly.
    pub indirect_pings: usize,
    /// Time for which an instance stays suspect before it is declared dead.
    pub instance_dead_after: Duration,
    /// Time for which a target must have been out of service to count as a flap;
    /// a shorter one is a false suspicion that another watcher refuted.
    pub min_outage: Duration,
    /// Quiet time after the first flap.
    pub initial_damping: Duration,
    /// Longest quiet time.
    pub max_damping: Duration,
    /// Time without a flap after which one flap is forgotten.
    pub damping_decay: Duration,
    /// Shortest time between spread load reports of one target.
    pub load_period: Duration,
    /// Longest time between spread load reports of one target.
    pub load_refresh: Duration,
    /// Time between anti-entropy exchanges.
    pub repair_period: Duration,
    /// Time between aggregates sent to each other data centre.
    pub aggregate_period: Duration,
    /// Shortest time between aggregates when the ready targets change.
    pub aggregate_change_period: Duration,
    /// Time for which records of members that left or died are kept, so that an
    /// old message cannot revive them.
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
