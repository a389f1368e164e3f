//! Router actor: placement packets from other routers.

use std::time::Instant;

use bamboospur_types::{InstanceId, stable_id};
use bamboospur_wire::datagram::{
    PlacementIdMaps, ShortId, ShortIdMap, WirePlacement, resolve_placement, shorten_id,
};

use super::router::Router;

/// Short ids of one pool, cached until its targets change.
#[derive(Debug)]
pub struct PoolShortIds {
    pool: String,
    targets: ShortIdMap,
    offers: ShortIdMap,
}

impl Router {
    /// Resolves the short ids of a packet and passes its messages to the placer. A
    /// message with an unknown id is dropped, which has the effect of a lost packet.
    pub(super) fn handle_placement(
        &mut self,
        from: InstanceId,
        pool: ShortId,
        sequence: u64,
        messages: &[WirePlacement],
        now: Instant,
    ) {
        let Some(ids) = self.take_pool_short_ids(pool) else {
            return;
        };
        let mut instances: ShortIdMap = self.routers.iter().copied().collect();
        instances.insert(from);
        let id_maps = PlacementIdMaps {
            epoch: self.epoch,
            targets: &ids.targets,
            instances: &instances,
            offers: &ids.offers,
        };
        let (known, unknown) = resolve_placement(messages, sequence, &id_maps);
        self.peers.count_unresolved(unknown);
        for message in known {
            let entry = self.pools.get_mut(&ids.pool);
            let outputs = entry.map(|entry| entry.placer.handle(message, from, now));
            self.deliver(&ids.pool, outputs.unwrap_or_default(), now);
        }
        self.pool_short_ids.entry(pool).or_insert(ids);
    }

    /// Removes the short ids of a pool from the cache, or collects them if they are
    /// not cached.
    fn take_pool_short_ids(&mut self, pool: ShortId) -> Option<PoolShortIds> {
        if let Some(ids) = self.pool_short_ids.remove(&pool) {
            return Some(ids);
        }
        let mut pools = self.pools.keys();
        let name = pools.find(|name| shorten_id(stable_id(name)) == pool)?;
        let targets = self.targets.in_pool(name).map(|target| target.view.id);
        let offers = self.targets.in_pool(name).flat_map(|t| &t.view.offers);
        Some(PoolShortIds {
            pool: name.clone(),
            targets: targets.collect(),
            offers: offers.copied().collect(),
        })
    }
}
