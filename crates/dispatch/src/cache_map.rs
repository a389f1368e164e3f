//! Where the shared parts of prompts are cached.
//!
//! Reading a long shared part a second time costs more than a longer queue, so a
//! prompt stays with the targets that have read its shared parts until they are
//! at their bound. Routers tell each other of new places; an entry is a hint, and
//! an entry that is wrong costs one more read.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::arrivals::Arrivals;

/// Hash of the parts that a prompt shares with others.
pub type SharedHash = u64;
/// Identity of one start of a target.
pub type CacheId = u64;

/// News that a target has read the shared parts of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Shared parts.
    pub shared: SharedHash,
    /// Target.
    pub cache: CacheId,
}

/// Entries that were not used for this time are dropped; engines drop parts that
/// were not used for long, too.
const MEMORY: Duration = Duration::from_mins(2);
/// Most entries; the ones that were not used longest go first.
const MAX_ENTRIES: usize = 50_000;

#[derive(Clone, Debug)]
struct Entry {
    caches: Vec<CacheId>,
    used_at: Instant,
    /// Requests of this router.
    arrivals: Arrivals,
}

/// Known places of shared parts.
#[derive(Clone, Debug, Default)]
pub struct CacheMap {
    entries: BTreeMap<SharedHash, Entry>,
    news: Vec<CachedPrefix>,
}

impl CacheMap {
    /// Returns the targets that have the shared parts.
    pub fn caches(&self, shared: SharedHash) -> &[CacheId] {
        self.entries.get(&shared).map_or(&[], |e| &e.caches)
    }

    /// Counts a request with known shared parts, and returns how many have come.
    pub fn count(&mut self, shared: SharedHash, now: Instant) -> Arrivals {
        let entry = self.entries.get_mut(&shared);
        entry.map_or_else(Arrivals::default, |entry| {
            entry.arrivals.count(now);
            entry.arrivals
        })
    }

    /// Records a request that was sent; it is news when the place is new.
    pub fn used(&mut self, prefix: CachedPrefix, now: Instant) {
        if self.add(prefix, now) {
            self.news.push(prefix);
        }
    }

    /// Records what another router has done.
    pub fn learn(&mut self, prefix: CachedPrefix, now: Instant) {
        self.add(prefix, now);
    }

    /// Takes the news for other routers.
    pub fn take_news(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.news)
    }

    /// Returns all known places.
    pub fn all(&self) -> impl Iterator<Item = CachedPrefix> {
        self.entries.iter().flat_map(|(&shared, entry)| {
            let caches = entry.caches.iter();
            caches.map(move |&cache| CachedPrefix { shared, cache })
        })
    }

    /// Forgets targets that are not usable and entries that are old.
    pub fn retain(&mut self, usable: impl Fn(CacheId) -> bool, now: Instant) {
        self.entries.retain(|_, entry| {
            entry.caches.retain(|&cache| usable(cache));
            !entry.caches.is_empty() && now < entry.used_at + MEMORY
        });
    }

    fn add(&mut self, prefix: CachedPrefix, now: Instant) -> bool {
        if self.entries.len() >= MAX_ENTRIES {
            self.drop_oldest();
        }
        let entry = self.entries.entry(prefix.shared).or_insert_with(|| Entry {
            caches: Vec::new(),
            used_at: now,
            arrivals: Arrivals::default(),
        });
        entry.used_at = now;
        let new = !entry.caches.contains(&prefix.cache);
        if new {
            entry.caches.push(prefix.cache);
        }
        new
    }

    fn drop_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(_, e)| e.used_at);
        if let Some((&shared, _)) = oldest {
            self.entries.remove(&shared);
        }
    }
}
