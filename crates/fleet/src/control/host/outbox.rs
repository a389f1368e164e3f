//! Configurations and state for routers, sent one after the other as the bandwidth allows.

use std::collections::BTreeSet;
use std::time::Instant;

use bamboospur_dispatch::target_start_id;

use super::Host;
use crate::control::prefix_store::Entry;
use crate::link::{Frame, prefix_frames, queued_link_bytes};
use crate::outbox::Content;

impl Host {
    /// Sends what the network link has room for now. A router that misses something
    /// because its link ended or is full asks again.
    pub(super) fn send_outbox(&mut self, now: Instant) {
        self.outbox.record_link_bytes(queued_link_bytes(), now);
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
            Content::NewestPrefixes => prefix_frames(self.split_prefixes().0),
            Content::OtherPrefixes => prefix_frames(self.split_prefixes().1),
        }
    }

    /// Returns the newest of the cached prefixes at known targets, and the others.
    fn split_prefixes(&self) -> (Vec<Entry>, Vec<Entry>) {
        let now = Instant::now();
        let targets = self.registry.usable(now).into_iter();
        let targets = targets.chain(self.registry.draining(now));
        let targets: BTreeSet<u64> = targets
            .map(|target| target_start_id(&target.name, target.start))
            .collect();
        let is_known = |target| targets.contains(&target);
        self.cached_prefixes.split_newest(is_known)
    }
}
