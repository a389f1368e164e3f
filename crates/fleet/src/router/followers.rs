//! Links of other routers, for which this one relays.
//!
//! Control instances of a large deployment tell only a few routers of targets,
//! and those tell the others. A router follows all relays of its data centre and
//! tells one of them its loads; that one sends it totals and configurations too.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_types::InstanceId;
use tracing::{error, info, warn};

use crate::link::{Frame, FrameQueue, LinkId, encode};
use crate::loads::{Counts, Loads};

#[derive(Debug)]
struct FollowerLink {
    id: InstanceId,
    frames: FrameQueue,
}

/// Routers that follow this one.
#[derive(Debug, Default)]
pub struct Followers {
    links: BTreeMap<LinkId, FollowerLink>,
    loads: Loads,
}

impl Followers {
    /// Takes a new link and sends it the present state.
    pub fn opened(
        &mut self,
        link: LinkId,
        id: InstanceId,
        frames: FrameQueue,
        state: impl IntoIterator<Item = Frame>,
    ) {
        info!(link, peer = id, "a router follows");
        for frame in state {
            // The queue of a new link has room.
            let _sent = frames.send(&frame);
        }
        self.links.insert(link, FollowerLink { id, frames });
    }

    pub fn ended(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Sends an answer to a follower.
    pub fn tell(&self, link: LinkId, frame: &Frame) {
        if let Some(follower) = self.links.get(&link) {
            // A full queue holds frames that are a sign of life themselves, and
            // what is missing is asked for again.
            let _sent = follower.frames.send(frame);
        }
    }

    /// Takes the loads of a follower.
    pub fn told_loads(&mut self, link: LinkId, counts: Counts, now: Instant) {
        if let Some(follower) = self.links.get(&link) {
            self.loads.router(follower.id, counts, now);
        }
    }

    /// Adds this router's own loads and returns the sums.
    pub fn sums(&mut self, own_id: InstanceId, own: Counts, now: Instant) -> Counts {
        self.loads.drop_old(now);
        self.loads.router(own_id, own, now);
        self.loads.own_sums()
    }

    /// Sends a frame to all followers.
    pub fn tell_all(&mut self, frame: &Frame) {
        let ids = self.links.keys().copied().collect();
        self.send(ids, frame);
    }

    /// Sends a frame to the followers that tell their loads here.
    pub fn tell_partners(&mut self, but: Option<LinkId>, frame: &Frame) {
        let tells = |link: &FollowerLink| self.loads.has_router(link.id);
        let links = self
            .links
            .iter()
            .filter(|&(&id, link)| but != Some(id) && tells(link));
        let ids = links.map(|(&id, _)| id).collect();
        self.send(ids, frame);
    }

    /// Closes links that have no room, which makes a follower start from the
    /// present state.
    fn send(&mut self, ids: Vec<LinkId>, frame: &Frame) {
        if ids.is_empty() {
            return;
        }
        let Some(bytes) = encode(frame) else {
            error!("a frame is too large for followers");
            return;
        };
        for id in ids {
            let link = self.links.get(&id);
            if link.is_some_and(|link| !link.frames.send_encoded(&bytes)) {
                warn!(link = id, "a follower reads too slowly; its link is closed");
                self.links.remove(&id);
            }
        }
    }
}
