//! Map from prompt prefixes to the targets that have them cached.
//!
//! Processing a long prefix a second time costs more than a longer queue, so a prompt
//! stays with the targets that have its prefix cached until these reach their load
//! bound. Routers send each other new entries. An entry is a hint: if it is wrong, a
//! target processes the prefix once more.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::arrivals::PrefixArrivals;

/// Hash of the prefix of a prompt: the parts that it shares with other prompts.
pub type PrefixHash = u64;
/// Identity of the cache of one start of a target; a restart empties the cache.
pub type CacheId = u64;

/// A prompt prefix and a target that has processed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Hash of the prefix.
    pub prefix_hash: PrefixHash,
    /// Start of the target.
    pub cache_id: CacheId,
}

/// Entries are dropped when unused for this time, as engines also evict prefixes that have
/// been unused for long.
const ENTRY_TTL: Duration = Duration::from_mins(2);
/// Largest number of prefixes; the least recently used one is evicted first.
const MAX_ENTRIES: usize = 50_000;

#[derive(Clone, Debug)]
struct Entry {
    caches: Vec<CacheId>,
    used_at: Instant,
    /// Requests with this prefix at this router.
    arrivals: PrefixArrivals,
}

/// Targets that are believed to have prompt prefixes cached.
#[derive(Clone, Debug, Default)]
pub struct CacheMap {
    entries: BTreeMap<PrefixHash, Entry>,
    /// Entries that the other routers have not been sent yet.
    unsent: Vec<CachedPrefix>,
}

impl CacheMap {
    pub fn caches(&self, prefix_hash: PrefixHash) -> &[CacheId] {
        self.entries.get(&prefix_hash).map_or(&[], |e| &e.caches)
    }

    /// Returns the rate of the requests with the prefix at this router.
    pub fn arrivals(&self, prefix_hash: PrefixHash) -> PrefixArrivals {
        let entry = self.entries.get(&prefix_hash);
        entry.map(|entry| entry.arrivals).unwrap_or_default()
    }

    /// Counts a request with the prefix.
    pub fn record_request(&mut self, prefix_hash: PrefixHash, now: Instant) {
        self.entry(prefix_hash, now).arrivals.record(now);
    }

    /// Records a request that this router sent. A new entry is kept for the other routers.
    pub fn record_use(&mut self, prefix: CachedPrefix, now: Instant) {
        if self.add(prefix, now) {
            self.unsent.push(prefix);
        }
    }

    /// Adds an entry received from another router.
    pub fn add_remote(&mut self, prefix: CachedPrefix, now: Instant) {
        self.add(prefix, now);
    }

    /// Removes and returns the entries to send to other routers.
    pub fn take_unsent(&mut self) -> Vec<CachedPrefix> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns each prefix with the target that was added last.
    pub fn newest(&self) -> impl Iterator<Item = CachedPrefix> {
        self.entries.iter().filter_map(|(&prefix_hash, entry)| {
            let &cache_id = entry.caches.last()?;
            Some(CachedPrefix {
                prefix_hash,
                cache_id,
            })
        })
    }

    /// Returns each prefix with all targets but the one that was added last.
    pub fn others(&self) -> impl Iterator<Item = CachedPrefix> {
        self.entries.iter().flat_map(|(&prefix_hash, entry)| {
            let caches = entry.caches.iter().rev().skip(1);
            caches.map(move |&cache_id| CachedPrefix {
                prefix_hash,
                cache_id,
            })
        })
    }

    /// Drops targets that are not usable, prefixes without a target, and prefixes that have
    /// been unused for [`ENTRY_TTL`].
    pub fn retain(&mut self, usable: impl Fn(CacheId) -> bool, now: Instant) {
        self.entries.retain(|_, entry| {
            entry.caches.retain(|&cache| usable(cache));
            !entry.caches.is_empty() && now < entry.used_at + ENTRY_TTL
        });
    }

    /// Returns the entry of a prefix, after adding an empty one if there is none.
    fn entry(&mut self, prefix_hash: PrefixHash, now: Instant) -> &mut Entry {
        if self.entries.len() >= MAX_ENTRIES {
            self.evict_least_recently_used();
        }
        self.entries.entry(prefix_hash).or_insert_with(|| Entry {
            caches: Vec::new(),
            used_at: now,
            arrivals: PrefixArrivals::default(),
        })
    }

    /// Returns whether the entry is new.
    fn add(&mut self, prefix: CachedPrefix, now: Instant) -> bool {
        let entry = self.entry(prefix.prefix_hash, now);
        entry.used_at = now;
        let is_new = !entry.caches.contains(&prefix.cache_id);
        if is_new {
            entry.caches.push(prefix.cache_id);
        }
        is_new
    }

    fn evict_least_recently_used(&mut self) {
        let least_recent = self.entries.iter().min_by_key(|(_, e)| e.used_at);
        if let Some((&prefix_hash, _)) = least_recent {
            self.entries.remove(&prefix_hash);
        }
    }
}
