//! Bounded table of the chats that one router placed recently, with their targets.
//!
//! Two generations approximate a least-recently-used order: a lookup moves the
//! chat to the young generation, and when that is full the old one is dropped.
//! A dropped entry costs one cache miss and nothing else.
//!
//! Engines evict the prefix that was used least recently. When a target evicts a
//! chat, the table therefore takes every chat that was used there earlier as
//! evicted too, even if no event reported that.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bamboospur_types::{ChatId, TargetId};

/// Where a chat was placed last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Target that probably has the prefix of the chat cached.
    pub target: TargetId,
    /// Prompt tokens that the target probably has cached.
    pub prefix_tokens: u32,
    /// Whether the prefix may have been evicted and the event is still on its way.
    pub maybe_evicted: bool,
}

/// Longest time until the event of an eviction arrives, in tenths of a second:
/// the longest delay of cache events plus the interval between two of them.
const MAX_EVICTION_REPORT_DELAY_TENTHS: u32 = 80;

/// Age of a placement below which an eviction event is ignored: cache events are
/// delayed, so that the event is taken to precede the placement.
const MIN_EVICTION_AGE: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct Entry {
    location: Location,
    /// Tenths of a second since `ChatLocations::start`.
    placed_at_tenths: u32,
}

/// Evictions known of one target, as placement times of the evicted chats in tenths
/// of a second since `ChatLocations::start`.
#[derive(Clone, Copy, Debug, Default)]
struct Evictions {
    /// Placement time of the chat evicted last.
    last_placed_at_tenths: u32,
    /// Chats placed at or before this time are taken as evicted; 0 if none are.
    evicted_up_to_tenths: u32,
}

/// Last known location of each chat, for a bounded number of chats.
#[derive(Debug)]
pub struct ChatLocations {
    young: BTreeMap<ChatId, Entry>,
    old: BTreeMap<ChatId, Entry>,
    evictions: BTreeMap<TargetId, Evictions>,
    start: Option<Instant>,
    capacity: usize,
}

impl ChatLocations {
    /// Creates a table of at most `capacity` chats.
    pub fn new(capacity: usize) -> Self {
        Self {
            young: BTreeMap::new(),
            old: BTreeMap::new(),
            evictions: BTreeMap::new(),
            start: None,
            capacity,
        }
    }

    /// Returns where `chat` was placed last, unless its prefix counts as evicted.
    pub fn get(&mut self, chat: ChatId) -> Option<Location> {
        let young = self.young.get(&chat).copied();
        let entry = young.or_else(|| self.old.remove(&chat))?;
        let target = entry.location.target;
        let evicted_up_to_tenths = self
            .evictions
            .get(&target)
            .map_or(0, |e| e.evicted_up_to_tenths);
        if evicted_up_to_tenths > 0 && entry.placed_at_tenths <= evicted_up_to_tenths {
            self.young.remove(&chat);
            return None;
        }
        if young.is_none() {
            self.insert(chat, entry);
        }
        let maybe_evicted = evicted_up_to_tenths > 0
            && entry.placed_at_tenths <= evicted_up_to_tenths + MAX_EVICTION_REPORT_DELAY_TENTHS;
        Some(Location {
            maybe_evicted,
            ..entry.location
        })
    }

    /// Remembers that `chat` is placed at `location` now.
    pub fn put(&mut self, chat: ChatId, location: Location, now: Instant) {
        let placed_at_tenths = self.tenths_since_start(now);
        self.insert(
            chat,
            Entry {
                location,
                placed_at_tenths,
            },
        );
    }

    /// Removes `chat` after an eviction event of `target`; ignores the event if the
    /// chat is at another target or was placed within `MIN_EVICTION_AGE`.
    pub fn remove_evicted(&mut self, chat: ChatId, target: TargetId, now: Instant) {
        let now = self.tenths_since_start(now);
        let entry = self.young.get(&chat).or_else(|| self.old.get(&chat));
        let Some(entry) = entry.filter(|entry| entry.location.target == target) else {
            return;
        };
        let placed_at_tenths = entry.placed_at_tenths;
        if u128::from(now - placed_at_tenths) * 100 < MIN_EVICTION_AGE.as_millis() {
            return;
        }
        self.young.remove(&chat);
        self.old.remove(&chat);
        // The earlier placement time of two successive evictions is taken, so that
        // one late event of a chat that returned doesn't discard all chats placed
        // before that return.
        let known = self.evictions.entry(target).or_default();
        known.evicted_up_to_tenths = known
            .evicted_up_to_tenths
            .max(known.last_placed_at_tenths.min(placed_at_tenths));
        known.last_placed_at_tenths = placed_at_tenths;
    }

    fn insert(&mut self, chat: ChatId, entry: Entry) {
        if self.young.len() >= self.capacity.div_ceil(2) {
            self.old = std::mem::take(&mut self.young);
        }
        self.old.remove(&chat);
        self.young.insert(chat, entry);
    }

    fn tenths_since_start(&mut self, now: Instant) -> u32 {
        let start = *self.start.get_or_insert(now);
        let tenths = now.saturating_duration_since(start).as_millis() / 100;
        u32::try_from(tenths).unwrap_or(u32::MAX)
    }

    /// Removes every chat at `target`, whose cache is lost.
    pub fn forget_target(&mut self, target: TargetId) {
        self.young
            .retain(|_, entry| entry.location.target != target);
        self.old.retain(|_, entry| entry.location.target != target);
        self.evictions.remove(&target);
    }

    /// Returns the number of chats in the table.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}
