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
pub type Counts = Vec<(CacheId, u32)>;

/// Counts that were not told again within this time are dropped.
const MEMORY: Duration = Duration::from_millis(1_500);

#[derive(Clone, Debug)]
struct Told {
    counts: Counts,
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
    pub fn router(&mut self, id: InstanceId, counts: Counts, now: Instant) {
        self.routers.insert(id, Told { counts, at: now });
    }

    /// Takes the sums of another control instance.
    pub fn peer(&mut self, id: InstanceId, counts: Counts, now: Instant) {
        self.peers.insert(id, Told { counts, at: now });
    }

    /// Drops counts that are old.
    pub fn drop_old(&mut self, now: Instant) {
        for told in [&mut self.routers, &mut self.peers] {
            told.retain(|_, told| now < told.at + MEMORY);
        }
    }

    /// Whether a router tells its counts here.
    pub fn has_router(&self, id: InstanceId) -> bool {
        self.routers.contains_key(&id)
    }

    /// Whether any router tells its counts here.
    pub fn has_routers(&self) -> bool {
        !self.routers.is_empty()
    }

    /// Sums over the routers that tell their counts here.
    pub fn own_sums(&self) -> Counts {
        sum(self.routers.values())
    }

    /// Sums over all routers.
    pub fn totals(&self) -> Counts {
        sum(self.routers.values().chain(self.peers.values()))
    }
}

fn sum<'a>(told: impl Iterator<Item = &'a Told>) -> Counts {
    let mut sums: BTreeMap<CacheId, u32> = BTreeMap::new();
    for &(cache, count) in told.flat_map(|told| &told.counts) {
        let sum = sums.entry(cache).or_default();
        *sum = sum.saturating_add(count);
    }
    sums.into_iter().collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn totals_add_routers_and_peers_and_forget_old_ones() {
        let now = Instant::now();
        let mut loads = Loads::default();
        loads.router(1, vec![(7, 2), (8, 1)], now);
        loads.router(1, vec![(7, 3)], now);
        loads.router(2, vec![(7, 1)], now);
        loads.peer(9, vec![(7, 10), (9, 1)], now);
        assert_eq!(loads.own_sums(), [(7, 4)]);
        assert_eq!(loads.totals(), [(7, 14), (9, 1)]);
        loads.router(2, vec![(7, 1)], now + MEMORY);
        loads.drop_old(now + MEMORY);
        assert_eq!(loads.totals(), [(7, 1)]);
    }
}
