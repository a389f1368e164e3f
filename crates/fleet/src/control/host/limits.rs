//! Limits that targets state on the requests of all routers together.

use std::time::Instant;

use bamboospur_target_limits::{LimitShare, StatedLimit};
use bamboospur_types::InstanceId;
use tracing::info;

use super::Host;
use crate::link::{Frame, LinkId};

impl Host {
    /// Records limits that a router or another control instance reports. The instance that
    /// hears of a limit from a router tells the others and all routers.
    pub(super) fn handle_stated_limits(
        &mut self,
        stated: Vec<StatedLimit>,
        from_router: bool,
        now: Instant,
    ) {
        let routers = self.router_ids();
        if !from_router {
            self.limit_hub.record_peer(&stated, &routers, now);
            return;
        }
        let shares = self.limit_hub.handle(&stated, &routers, now);
        for share in &shares {
            let target = share.target;
            if let Some(limit) = share.limit {
                info!(
                    target,
                    %limit,
                    holders = share.holders.len(),
                    "limit stated by a target; telling the routers which of them divide it"
                );
            } else {
                info!(
                    target,
                    "target states no limit any more; telling the routers"
                );
            }
        }
        self.send_limit_shares(shares);
        self.peers.send_to_all(&Frame::StatedLimits(stated));
    }

    /// Replaces routers that divide a limit and are not linked any more.
    pub(super) fn update_limit_holders(&mut self, now: Instant) {
        self.limit_hub.remove_expired(now);
        if self.is_leader() && !self.limit_hub.is_empty() {
            let routers = self.router_ids();
            let shares = self.limit_hub.replace_holders(&routers, now);
            self.send_limit_shares(shares);
        }
    }

    /// Tells a router that has linked which limits are known.
    pub(super) fn send_limit_state(&self, link: LinkId) {
        let shares = self.limit_hub.shares();
        if !shares.is_empty() {
            self.send_to_link(link, &Frame::LimitShares(shares));
        }
    }

    /// Sends shares to the relays, or to all routers when there are no relays. A router that
    /// misses them gets the next ones.
    fn send_limit_shares(&self, shares: Vec<LimitShare>) {
        if !shares.is_empty() {
            self.links
                .try_send(&self.update_links(), &Frame::LimitShares(shares));
        }
    }

    fn router_ids(&self) -> Vec<InstanceId> {
        let routers = self.links.routers();
        let mut ids: Vec<InstanceId> = routers.map(|(_, hello)| hello.id).collect();
        ids.sort_unstable();
        ids.dedup();
        ids
    }
}
