//! Links that others dialled, by their numbers.

use std::collections::BTreeMap;

use bytes::Bytes;
use tracing::{error, warn};

use super::accept::{FrameQueue, LinkId};
use super::codec::encode;
use super::frame::{Frame, Hello};

#[derive(Debug)]
struct AcceptedLink {
    hello: Hello,
    frames: FrameQueue,
}

/// Accepted links, and frames to them. A frame for many links is encoded once.
#[derive(Debug, Default)]
pub struct AcceptedLinks {
    links: BTreeMap<LinkId, AcceptedLink>,
}

impl AcceptedLinks {
    /// Adds a link.
    pub fn insert(&mut self, link: LinkId, hello: Hello, frames: FrameQueue) {
        self.links.insert(link, AcceptedLink { hello, frames });
    }

    /// Closes a link, or forgets one that has ended.
    pub fn remove(&mut self, link: LinkId) {
        self.links.remove(&link);
    }

    /// Number of links.
    #[must_use]
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// Returns who dialled a link.
    #[must_use]
    pub fn hello(&self, link: LinkId) -> Option<&Hello> {
        self.links.get(&link).map(|accepted| &accepted.hello)
    }

    /// Returns who dialled each link.
    pub fn iter(&self) -> impl Iterator<Item = (LinkId, &Hello)> {
        self.links.iter().map(|(&link, l)| (link, &l.hello))
    }

    /// Returns the links of routers.
    pub fn routers(&self) -> impl Iterator<Item = (LinkId, &Hello)> {
        self.iter().filter(|(_, hello)| hello.router().is_some())
    }

    /// Sends a frame that may be lost: a full queue holds frames that are a sign of
    /// life themselves, and what is missing is sent or asked for again.
    pub fn try_send(&self, links: &[LinkId], frame: &Frame) {
        let Some(bytes) = encoded(links, frame) else {
            return;
        };
        for accepted in links.iter().filter_map(|link| self.links.get(link)) {
            let _sent = accepted.frames.send(&bytes);
        }
    }

    /// Sends a frame that must not be lost. Links that have no room are closed, which
    /// makes the other side start from the present state.
    pub fn send(&mut self, links: &[LinkId], frame: &Frame) {
        let Some(bytes) = encoded(links, frame) else {
            return;
        };
        for &link in links {
            let accepted = self.links.get(&link);
            if accepted.is_some_and(|accepted| !accepted.frames.send(&bytes)) {
                warn!(link, "a router reads too slowly; its link is closed");
                self.links.remove(&link);
            }
        }
    }
}

fn encoded(links: &[LinkId], frame: &Frame) -> Option<Bytes> {
    if links.is_empty() {
        return None;
    }
    let bytes = encode(frame);
    if bytes.is_none() {
        error!("a frame is too large for a link");
    }
    bytes
}
