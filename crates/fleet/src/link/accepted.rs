//! Accepted links by number, and sending to them.

use std::collections::BTreeMap;

use bytes::Bytes;
use tracing::{error, warn};

use super::accept::{FrameQueue, LinkId};
use super::codec::encode;
use super::frame::{Frame, Hello};
use super::traffic;

#[derive(Debug)]
struct AcceptedLink {
    hello: Hello,
    frames: FrameQueue,
}

/// Accepted links. A frame to many links is encoded once.
#[derive(Debug, Default)]
pub struct AcceptedLinks {
    links: BTreeMap<LinkId, AcceptedLink>,
}

impl AcceptedLinks {
    /// Adds a link.
    pub fn insert(&mut self, link: LinkId, hello: Hello, frames: FrameQueue) {
        self.links.insert(link, AcceptedLink { hello, frames });
    }

    /// Removes a link, and closes it if it is still open.
    pub fn remove(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Number of links.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there are no links.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Returns the hello of the peer that opened a link; `None` for a closed link.
    #[must_use]
    pub fn hello(&self, link: LinkId) -> Option<&Hello> {
        self.links.get(&link).map(|accepted| &accepted.hello)
    }

    /// Whether a link is open and no newer one of the same peer is. A process keeps one link to
    /// another one, so a newer link shows that the peer has restarted or has lost this one.
    #[must_use]
    pub fn is_newest_of_peer(&self, link: LinkId) -> bool {
        let Some(hello) = self.hello(link) else {
            return false;
        };
        let mut newer = self.links.range(link + 1..);
        !newer.any(|(_, accepted)| accepted.hello.id == hello.id)
    }

    /// Returns every link with the hello of its peer.
    pub fn iter(&self) -> impl Iterator<Item = (LinkId, &Hello)> {
        self.links
            .iter()
            .map(|(&link, accepted)| (link, &accepted.hello))
    }

    /// Returns the links of routers.
    pub fn routers(&self) -> impl Iterator<Item = (LinkId, &Hello)> {
        self.iter()
            .filter(|(_, hello)| hello.router_location().is_some())
    }

    /// Sends a frame that may be lost, and drops it for links whose queue is full. The
    /// queued frames keep such a link alive, and lost content is sent or requested again.
    /// Returns the bytes queued on all links.
    #[expect(clippy::must_use_candidate, reason = "only paced frames are counted")]
    pub fn try_send(&self, links: &[LinkId], frame: &Frame) -> usize {
        let Some(bytes) = encode_for(links, frame) else {
            return 0;
        };
        let open = links.iter().filter_map(|link| self.links.get(link));
        let sent = open.filter(|accepted| accepted.frames.send(&bytes));
        let sent_bytes = sent.count() * bytes.len();
        traffic::record_queued(frame, sent_bytes);
        sent_bytes
    }

    /// Sends a frame that must not be lost. Links whose queue is full are closed; their
    /// peers dial again and request the current state.
    pub fn send(&mut self, links: &[LinkId], frame: &Frame) {
        let Some(bytes) = encode_for(links, frame) else {
            return;
        };
        let mut sent_bytes = 0;
        for &link in links {
            let Some(accepted) = self.links.get(&link) else {
                continue;
            };
            if accepted.frames.send(&bytes) {
                sent_bytes += bytes.len();
            } else {
                warn!(link, "frame queue of a router is full; closing its link");
                self.links.remove(&link);
            }
        }
        traffic::record_queued(frame, sent_bytes);
    }
}

fn encode_for(links: &[LinkId], frame: &Frame) -> Option<Bytes> {
    if links.is_empty() {
        return None;
    }
    let bytes = encode(frame);
    if bytes.is_none() {
        error!("frame exceeds the size limit; dropping it");
    }
    bytes
}
