//! Router actor: packets of other routers about owner counts.

use std::time::Instant;

use bamboospur_types::{InstanceId, stable_id};
use bamboospur_wire::datagram::{
    PlacementIdMaps, ShortId, ShortIdMap, WirePlacement, resolve_placement, short,
};

use super::router::Router;

/// Short ids of one pool, kept until its targets change.
#[derive(Debug)]
pub struct PoolNames {
    pool: String,
    targets: ShortIdMap,
    offers: ShortIdMap,
}

impl Router {
    /// Resolves the short ids and passes the messages on. One that names an
    /// unknown member is dropped like a lost packet.
    pub(super) fn placement(
        &mut self,
        from: InstanceId,
        pool: ShortId,
        sequence: u64,
        messages: &[WirePlacement],
        now: Instant,
    ) {
        let Some(names) = self.pool_names(pool) else {
            return;
        };
        let mut instances: ShortIdMap = self.routers.iter().copied().collect();
        instances.insert(from);
        let lists = PlacementIdMaps {
            epoch: self.epoch,
            targets: &names.targets,
            instances: &instances,
            offers: &names.offers,
        };
        let (known, unknown) = resolve_placement(messages, sequence, &lists);
        self.peers.count_unresolved(unknown);
        for message in known {
            let entry = self.pools.get_mut(&names.pool);
            let outputs = entry.map(|entry| entry.placer.handle(message, from, now));
            self.deliver(&names.pool, outputs.unwrap_or_default(), now);
        }
        self.names.entry(pool).or_insert(names);
    }

    /// Takes the names of a pool out, or collects them.
    fn pool_names(&mut self, pool: ShortId) -> Option<PoolNames> {
        if let Some(names) = self.names.remove(&pool) {
            return Some(names);
        }
        let mut pools = self.pools.keys();
        let name = pools.find(|name| short(stable_id(name)) == pool)?;
        let targets = self.targets.in_pool(name).map(|target| target.view.id);
        let offers = self.targets.in_pool(name).flat_map(|t| &t.view.offers);
        Some(PoolNames {
            pool: name.clone(),
            targets: targets.collect(),
            offers: offers.copied().collect(),
        })
    }
}
