//! Large frames to routers, sent one after the other as the bandwidth allows.

use std::time::Instant;

use super::Host;
use crate::link::{BulkItem, BulkKind, Frame, LinkId, prefix_frames};

impl Host {
    /// Queues the targets for a router, and the cached prompts if it needs them.
    pub(super) fn queue_state(&mut self, link: LinkId, with_prefixes: bool) {
        let prefixes = with_prefixes.then_some(BulkKind::CachedPrefixes);
        for kind in [Some(BulkKind::Targets), prefixes].into_iter().flatten() {
            self.bulk.push(BulkItem {
                link,
                kind,
                held_version: 0,
            });
        }
    }

    /// Sends the queued frames that the bandwidth allows now.
    pub(super) fn send_bulk(&mut self, now: Instant) {
        while let Some(item) = self.bulk.take(now) {
            let bytes = self.send_bulk_item(item);
            self.bulk.record_sent(bytes);
            self.counters.bulk_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        }
    }

    /// Sends one item; returns its size in bytes. A router that misses it because its link
    /// ended or is full asks again.
    fn send_bulk_item(&mut self, item: BulkItem) -> usize {
        let frames = match item.kind {
            BulkKind::Config => {
                let change = self.config_history.change_from(item.held_version);
                change.map(Frame::Config).into_iter().collect()
            }
            BulkKind::Targets => vec![Frame::Targets(self.registry.all().cloned().collect())],
            BulkKind::CachedPrefixes => prefix_frames(self.cached_prefixes.iter().copied()),
        };
        let links = [item.link];
        let sizes = frames
            .iter()
            .map(|frame| self.links.try_send(&links, frame));
        sizes.sum()
    }
}
