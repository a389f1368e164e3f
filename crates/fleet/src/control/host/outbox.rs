//! Configurations and state for routers, sent one after the other as the bandwidth allows.

use std::time::Instant;

use super::Host;
use crate::link::{Frame, prefix_frames};
use crate::outbox::Content;

impl Host {
    /// Sends what the network link has room for now. A router that misses something
    /// because its link ended or is full asks again.
    pub(super) fn send_outbox(&mut self, now: Instant) {
        while let Some((link, content)) = self.outbox.take(now) {
            let frames = self.frames(content);
            let sizes = frames.iter().map(|f| self.links.try_send(&[link], f));
            let bytes = sizes.sum();
            self.outbox.record_sent(bytes);
            self.counters.bulk_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
    }

    fn frames(&self, content: Content) -> Vec<Frame> {
        match content {
            Content::Config(change) => vec![Frame::Config(change)],
            Content::Targets => {
                vec![Frame::AllTargets(
                    self.registry.all(Instant::now()).collect(),
                )]
            }
            Content::CachedPrefixes => prefix_frames(self.cached_prefixes.iter().copied()),
        }
    }
}
