//! Requests in progress at each target, summed over the routers.
//!
//! Every router sends its request counts to one control instance, control instances
//! send each other the sums over their routers, and the routers receive the totals.
//! A total is some hundred milliseconds old.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

/// Hash that identifies one start of a target or, in counts of arriving requests, a
/// service.
pub type CacheId = u64;
/// Numbers of requests in progress by target, and of arriving requests by service.
pub type RequestCounts = Vec<(CacheId, u32)>;

/// Counts that are not renewed within this time are dropped.
const COUNTS_LIFETIME: Duration = Duration::from_millis(1_500);

/// Shortest time between two reports of loads, and between two totals.
pub const MIN_LOADS_INTERVAL: Duration = Duration::from_millis(125);
/// Longest time between two reports of loads, and usually between two totals.
const MAX_LOADS_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two reports per router of the fleet, so that the reports of a large one take
/// no more of a control instance than those of a small one.
const LOADS_INTERVAL_PER_ROUTER: Duration = Duration::from_micros(1_700);

/// Returns the time between two reports of loads. The older the loads are, the more requests
/// all routers send to targets that are no longer the least loaded ones.
#[must_use]
pub fn loads_interval(routers: u32) -> Duration {
    (LOADS_INTERVAL_PER_ROUTER * routers).clamp(MIN_LOADS_INTERVAL, MAX_LOADS_INTERVAL)
}

#[derive(Clone, Debug)]
struct ReceivedCounts {
    counts: RequestCounts,
    received_at: Instant,
}

/// Counts received from routers, and sums received from other control instances.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    routers: BTreeMap<InstanceId, ReceivedCounts>,
    peers: BTreeMap<InstanceId, ReceivedCounts>,
}

impl Loads {
    /// Replaces the counts of a router.
    pub fn record_router_counts(&mut self, id: InstanceId, counts: RequestCounts, now: Instant) {
        self.routers.insert(
            id,
            ReceivedCounts {
                counts,
                received_at: now,
            },
        );
    }

    /// Replaces the sums of another control instance.
    pub fn record_peer_sums(&mut self, id: InstanceId, counts: RequestCounts, now: Instant) {
        self.peers.insert(
            id,
            ReceivedCounts {
                counts,
                received_at: now,
            },
        );
    }

    /// Drops counts and sums that were not renewed in time.
    pub fn remove_expired(&mut self, now: Instant) {
        for received in [&mut self.routers, &mut self.peers] {
            received.retain(|_, received| now < received.received_at + COUNTS_LIFETIME);
        }
    }

    /// Whether a router sends its counts to this instance.
    #[must_use]
    pub fn has_router_counts(&self, id: InstanceId) -> bool {
        self.routers.contains_key(&id)
    }

    /// Whether any router sends its counts to this instance.
    #[must_use]
    pub fn has_routers(&self) -> bool {
        !self.routers.is_empty()
    }

    /// Returns the sums over the routers that send their counts to this instance.
    #[must_use]
    pub fn local_totals(&self) -> RequestCounts {
        sum_counts(self.routers.values())
    }

    /// Returns the sums over all routers.
    #[must_use]
    pub fn totals(&self) -> RequestCounts {
        sum_counts(self.routers.values().chain(self.peers.values()))
    }
}

fn sum_counts<'a>(received: impl Iterator<Item = &'a ReceivedCounts>) -> RequestCounts {
    let mut sums: BTreeMap<CacheId, u32> = BTreeMap::new();
    for &(cache, count) in received.flat_map(|received| &received.counts) {
        let sum = sums.entry(cache).or_default();
        *sum = sum.saturating_add(count);
    }
    sums.into_iter().collect()
}
