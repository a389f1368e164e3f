//! Links of other routers, for which this one relays.
//!
//! Control instances of a large deployment tell only a few routers of targets,
//! and those tell the others. A router follows all relays of its data centre and
//! tells one of them its loads; that one sends it totals and configurations too.

use std::time::Instant;

use bamboospur_types::InstanceId;
use tracing::info;

use crate::link::{AcceptedLinks, Frame, FrameQueue, Hello, LinkId};
use crate::loads::{Loads, RequestCounts};

/// Routers that follow this one.
#[derive(Debug, Default)]
pub struct Followers {
    links: AcceptedLinks,
    loads: Loads,
}

impl Followers {
    /// Takes a new link and sends it the present state.
    pub fn opened(
        &mut self,
        link: LinkId,
        hello: Hello,
        frames: FrameQueue,
        state: impl IntoIterator<Item = Frame>,
    ) {
        info!(link, peer = hello.id, "a router follows");
        self.links.insert(link, hello, frames);
        for frame in state {
            self.tell(link, &frame);
        }
    }

    pub fn ended(&mut self, link: LinkId) {
        self.links.remove(link);
    }

    /// Sends an answer to a follower.
    pub fn tell(&self, link: LinkId, frame: &Frame) {
        self.links.try_send(&[link], frame);
    }

    /// Takes the loads of a follower.
    pub fn told_loads(&mut self, link: LinkId, counts: RequestCounts, now: Instant) {
        if let Some(follower) = self.links.hello(link) {
            self.loads.record_router_counts(follower.id, counts, now);
        }
    }

    /// Adds this router's own loads and returns the sums.
    pub fn sums(&mut self, own_id: InstanceId, own: RequestCounts, now: Instant) -> RequestCounts {
        self.loads.remove_expired(now);
        self.loads.record_router_counts(own_id, own, now);
        self.loads.local_totals()
    }

    /// Sends a frame to all followers.
    pub fn tell_all(&mut self, frame: &Frame) {
        let all: Vec<LinkId> = self.links.iter().map(|(link, _)| link).collect();
        self.links.send(&all, frame);
    }

    /// Sends a frame to the followers that tell their loads here.
    pub fn tell_partners(&mut self, but: Option<LinkId>, frame: &Frame) {
        let tells = |hello: &Hello| self.loads.has_router(hello.id);
        let others = self.links.iter().filter(|&(link, _)| but != Some(link));
        let partners = others.filter(|(_, hello)| tells(hello));
        let partners: Vec<LinkId> = partners.map(|(link, _)| link).collect();
        self.links.send(&partners, frame);
    }
}
