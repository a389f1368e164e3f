//! Requests under way at each target, summed over the routers.
//!
//! Every router tells one control instance how many requests it has at each
//! target, control instances tell each other their sums, and the routers get the
//! totals. A total is some hundred milliseconds old.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::InstanceId;

/// Identity of one start of a target.
pub type CacheId = u64;
/// Requests at targets.
pub type RequestCounts = Vec<(CacheId, u32)>;

/// Counts that were not told again within this time are dropped.
const MEMORY: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug)]
struct Told {
    counts: RequestCounts,
    at: Instant,
}

/// Counts of routers and sums of other control instances.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    routers: BTreeMap<InstanceId, Told>,
    peers: BTreeMap<InstanceId, Told>,
}

impl Loads {
    /// Takes the counts of a router.
    pub fn record_router_counts(&mut self, id: InstanceId, counts: RequestCounts, now: Instant) {
        self.routers.insert(id, Told { counts, at: now });
    }

    /// Takes the sums of another control instance.
    pub fn record_peer_sums(&mut self, id: InstanceId, counts: RequestCounts, now: Instant) {
        self.peers.insert(id, Told { counts, at: now });
    }

    /// Drops counts that are old.
    pub fn remove_expired(&mut self, now: Instant) {
        for told in [&mut self.routers, &mut self.peers] {
            told.retain(|_, told| now < told.at + MEMORY);
        }
    }

    /// Whether a router tells its counts here.
    #[must_use]
    pub fn has_router(&self, id: InstanceId) -> bool {
        self.routers.contains_key(&id)
    }

    /// Whether any router tells its counts here.
    #[must_use]
    pub fn has_routers(&self) -> bool {
        !self.routers.is_empty()
    }

    /// Sums over the routers that tell their counts here.
    #[must_use]
    pub fn local_totals(&self) -> RequestCounts {
        sum(self.routers.values())
    }

    /// Sums over all routers.
    #[must_use]
    pub fn totals(&self) -> RequestCounts {
        sum(self.routers.values().chain(self.peers.values()))
    }
}

fn sum<'a>(told: impl Iterator<Item = &'a Told>) -> RequestCounts {
    let mut sums: BTreeMap<CacheId, u32> = BTreeMap::new();
    for &(cache, count) in told.flat_map(|told| &told.counts) {
        let sum = sums.entry(cache).or_default();
        *sum = sum.saturating_add(count);
    }
    sums.into_iter().collect()
}
