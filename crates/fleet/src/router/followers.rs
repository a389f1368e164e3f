//! Links of the routers that follow this router, which is a relay for them.
//!
//! Control instances of a large deployment send target updates only to a few
//! routers, the relays, which forward them to the other routers. A router keeps
//! links to all relays of its data centre, and reports its loads to one of them.
//! That relay also sends load totals and cached prompts to the router, and answers
//! its configuration requests.

use std::time::Instant;

use bamboospur_types::InstanceId;
use tracing::info;

use crate::link::{AcceptedLinks, Frame, FrameQueue, Hello, LinkId};
use crate::loads::{Loads, RequestCounts};

/// Routers that follow this router, and their loads.
#[derive(Debug, Default)]
pub struct Followers {
    links: AcceptedLinks,
    loads: Loads,
}

impl Followers {
    /// Adds a new follower. It requests the state that it needs.
    pub fn add(&mut self, link: LinkId, hello: Hello, frames: FrameQueue) {
        info!(
            link,
            peer = hello.id,
            "a router opened a link to this router and follows it"
        );
        self.links.insert(link, hello, frames);
    }

    pub fn remove(&mut self, link: LinkId) {
        self.links.remove(link);
    }

    /// Sends a frame to one follower; the frame is dropped if the queue of the link is
    /// full. Returns the bytes queued.
    pub fn send(&self, link: LinkId, frame: &Frame) -> usize {
        self.links.try_send(&[link], frame)
    }

    /// Whether no router follows this one.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Records the loads that a follower reports.
    pub fn record_loads(&mut self, link: LinkId, counts: RequestCounts, now: Instant) {
        if let Some(follower) = self.links.hello(link) {
            self.loads.record_router_counts(follower.id, counts, now);
        }
    }

    /// Records this router's own loads and returns the sums over this router and its
    /// followers.
    pub fn sum_loads(
        &mut self,
        own_id: InstanceId,
        own: RequestCounts,
        now: Instant,
    ) -> RequestCounts {
        self.loads.remove_expired(now);
        self.loads.record_router_counts(own_id, own, now);
        self.loads.local_totals()
    }

    /// Sends a frame to all followers. A link whose queue is full is closed, so that
    /// its follower connects again and gets the whole state.
    pub fn send_to_all(&mut self, frame: &Frame) {
        let all: Vec<LinkId> = self.links.iter().map(|(link, _)| link).collect();
        self.links.send(&all, frame);
    }

    /// Sends a frame that may be lost to all followers.
    pub fn try_send_to_all(&self, frame: &Frame) {
        let all: Vec<LinkId> = self.links.iter().map(|(link, _)| link).collect();
        self.links.try_send(&all, frame);
    }

    /// Returns the links of the followers that report their loads to this router.
    pub fn load_reporters(&self) -> Vec<LinkId> {
        let reports_loads = |hello: &Hello| self.loads.has_router_counts(hello.id);
        let reporters = self.links.iter().filter(|(_, hello)| reports_loads(hello));
        reporters.map(|(link, _)| link).collect()
    }

    /// Sends a frame that may be lost to the followers that report their loads to this
    /// router, except to `except`.
    pub fn send_to_load_reporters(&self, except: Option<LinkId>, frame: &Frame) {
        let mut reporters = self.load_reporters();
        reporters.retain(|&link| except != Some(link));
        self.links.try_send(&reporters, frame);
    }
}
