//! Engine that runs requests in slots and keeps the prefixes that it has processed.

use std::collections::{BTreeSet, VecDeque};

/// Number of a prompt prefix.
pub type Prefix = u64;
/// Index of a router.
pub type RouterIndex = usize;

/// An engine that runs as many requests as it has slots and queues the others.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// Number of running requests.
    pub running: u32,
    /// Routers that sent the queued requests, with the time that each needs, in
    /// milliseconds.
    pub waiting: VecDeque<(RouterIndex, u64)>,
    cached: BTreeSet<Prefix>,
}

/// How an engine got the prefix of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefixSource {
    /// The engine had it cached.
    Cache,
    /// The engine copied it from another one.
    Copy,
    /// The engine processed the prefix.
    Processed,
}

impl Engine {
    /// Requests at the engine, running or queued.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.running
            .saturating_add(u32::try_from(self.waiting.len()).unwrap_or(u32::MAX))
    }

    /// Whether a prefix is cached.
    #[must_use]
    pub fn has_cached(&self, prefix: Prefix) -> bool {
        self.cached.contains(&prefix)
    }

    /// Adds a prefix to the cache, from another engine if `can_copy`.
    pub fn load_prefix(&mut self, prefix: Prefix, can_copy: bool) -> PrefixSource {
        if !self.cached.insert(prefix) {
            PrefixSource::Cache
        } else if can_copy {
            PrefixSource::Copy
        } else {
            PrefixSource::Processed
        }
    }
}
