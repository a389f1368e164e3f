//! What the routers on accepted links still have to get: changes of the configuration, and
//! the state that a router lacks after its start.
//!
//! Small changes are sent to everyone at once. Everything else waits in a [`BulkQueue`]
//! until the network link has room.

use std::collections::BTreeMap;
use std::time::Instant;

use bamboospur_group::{Change, Document, DocumentVersion};

use crate::config_history::ConfigHistory;
use crate::link::{BulkItem, BulkKind, BulkQueue, LinkId};

/// Size up to which a change is sent to all routers at once, instead of one after the
/// other.
const MAX_DIRECT_CONFIG_BYTES: usize = 4 * 1024;

/// Content that can be sent to a link now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// The change from the configuration that the router holds to the newest one.
    Config(Change),
    /// All targets.
    Targets,
    /// The newest target of each cached prompt.
    NewestPrefixes,
    /// The other targets of cached prompts.
    OtherPrefixes,
}

/// Configurations, and what links wait for.
#[derive(Clone, Debug)]
pub struct Outbox {
    configs: ConfigHistory,
    /// Links that wait for a newer configuration than the newest one here, with the
    /// versions that they hold.
    config_waiters: BTreeMap<LinkId, DocumentVersion>,
    bulk: BulkQueue,
    /// Bytes on links that are counted so far.
    link_bytes: u64,
}

impl Outbox {
    /// Creates an outbox without a configuration, for a network link with this rate.
    #[must_use]
    pub fn new(link_bytes_per_s: Option<f64>, now: Instant) -> Self {
        Self {
            configs: ConfigHistory::default(),
            config_waiters: BTreeMap::new(),
            bulk: BulkQueue::new(link_bytes_per_s, now),
            link_bytes: 0,
        }
    }

    /// Returns the newest configurations.
    #[must_use]
    pub const fn configs(&self) -> &ConfigHistory {
        &self.configs
    }

    /// Adds a newer configuration, which no other router waits for. `change` is the one that
    /// led to it, if it was received.
    pub fn add(&mut self, document: Document, change: Option<&Change>) {
        self.configs.push(document, change);
    }

    /// Adds a newer configuration as [`Self::add`], and queues it for the links that
    /// requested one.
    ///
    /// Returns the change from the version before if it is small enough to be sent to all
    /// links at once. A larger one is queued for `links`.
    pub fn publish(
        &mut self,
        document: Document,
        change: Option<&Change>,
        links: &[LinkId],
    ) -> Option<Change> {
        let previous = self.configs.version();
        self.add(document, change);
        for (link, held_version) in std::mem::take(&mut self.config_waiters) {
            self.queue(link, BulkKind::Config, held_version);
        }
        let change = self.configs.change_from(previous)?;
        if change.size_bytes() <= MAX_DIRECT_CONFIG_BYTES {
            return Some(change);
        }
        for &link in links {
            self.queue(link, BulkKind::Config, previous);
        }
        None
    }

    /// Queues the change from the version that a router holds, now or once there is one.
    /// Returns whether there is one now; without one, what was queued before is dropped.
    #[must_use]
    pub fn request_config(&mut self, link: LinkId, held_version: DocumentVersion) -> bool {
        let has_newer = held_version < self.configs.version();
        if has_newer {
            self.queue(link, BulkKind::Config, held_version);
        } else {
            self.bulk
                .retain(|item| item.link != link || item.kind != BulkKind::Config);
            self.config_waiters.insert(link, held_version);
        }
        has_newer
    }

    /// Queues all targets for a router, and the cached prompts if it needs them.
    pub fn request_state(&mut self, link: LinkId, with_prefixes: bool) {
        self.queue(link, BulkKind::Targets, 0);
        if with_prefixes {
            self.queue(link, BulkKind::NewestPrefixes, 0);
            self.queue(link, BulkKind::OtherPrefixes, 0);
        }
    }

    /// Drops what an ended link waits for.
    pub fn remove(&mut self, link: LinkId) {
        self.bulk.retain(|item| item.link != link);
        self.config_waiters.remove(&link);
    }

    /// Drops the state, but not the configurations, of the links for which `keep` returns
    /// false.
    pub fn retain_state(&mut self, keep: impl Fn(LinkId) -> bool) {
        self.bulk
            .retain(|item| item.kind == BulkKind::Config || keep(item.link));
    }

    /// Takes the next content that the network link has room for.
    pub fn take(&mut self, now: Instant) -> Option<(LinkId, Content)> {
        loop {
            let item = self.bulk.take(now)?;
            let content = match item.kind {
                BulkKind::Config => {
                    let change = self.configs.change_from(item.held_version);
                    change.map(Content::Config)
                }
                BulkKind::Targets => Some(Content::Targets),
                BulkKind::NewestPrefixes => Some(Content::NewestPrefixes),
                BulkKind::OtherPrefixes => Some(Content::OtherPrefixes),
            };
            if let Some(content) = content {
                return Some((item.link, content));
            }
        }
    }

    /// Counts the bytes of a content that was sent over a link.
    pub fn record_sent(&mut self, bytes: usize) {
        self.link_bytes += u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bulk.record_sent(bytes);
    }

    /// Counts bytes that use the same network link without waiting here.
    pub fn record_other(&mut self, bytes: usize, now: Instant) {
        self.bulk.record_other(bytes, now);
    }

    /// Counts what was sent over links since the last call; `link_bytes` is the total since
    /// the start of the process.
    pub fn record_link_bytes(&mut self, link_bytes: u64, now: Instant) {
        let other_bytes = link_bytes.saturating_sub(self.link_bytes);
        self.link_bytes = link_bytes;
        self.record_other(usize::try_from(other_bytes).unwrap_or(usize::MAX), now);
    }

    /// Whether a configuration waits for room.
    #[must_use]
    pub fn has_config(&self) -> bool {
        self.bulk.has_config()
    }

    /// Returns when the next content may be sent; `None` when none waits.
    #[must_use]
    pub fn next_at(&self) -> Option<Instant> {
        self.bulk.next_at()
    }

    /// Number of contents that wait for room.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.bulk.len()
    }

    fn queue(&mut self, link: LinkId, kind: BulkKind, held_version: DocumentVersion) {
        self.bulk.push(BulkItem {
            link,
            kind,
            held_version,
        });
    }
}
