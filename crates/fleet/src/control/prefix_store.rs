//! Cached prefixes that a control instance keeps for routers that start.
//!
//! After the restart of a whole fleet every router needs them, over links that have no room for
//! all at once. One target of each prefix is enough to find it again, so the newest ones go
//! first, to all routers, and the other targets of the prefixes follow.

use std::collections::{BTreeMap, BTreeSet};

/// Most entries that are kept; the oldest ones are dropped.
const MAX_ENTRIES: usize = 8_192;

/// Hashes of a prefix and of a target that has cached it.
pub type Entry = (u64, u64);

/// Cached prefixes, each with its targets once.
#[derive(Clone, Debug, Default)]
pub struct PrefixStore {
    /// Entries by the order in which they were last added.
    by_number: BTreeMap<u64, Entry>,
    numbers: BTreeMap<Entry, u64>,
    last_number: u64,
}

impl PrefixStore {
    /// Adds entries, the oldest first. One that is known becomes the newest.
    pub fn add(&mut self, entries: impl IntoIterator<Item = Entry>) {
        for entry in entries {
            self.last_number += 1;
            if let Some(number) = self.numbers.insert(entry, self.last_number) {
                self.by_number.remove(&number);
            }
            self.by_number.insert(self.last_number, entry);
            if self.by_number.len() > MAX_ENTRIES
                && let Some((_, oldest)) = self.by_number.pop_first()
            {
                self.numbers.remove(&oldest);
            }
        }
    }

    /// Returns all entries, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = Entry> {
        self.by_number.values().copied()
    }

    /// Returns the newest entry of each prefix, and all others. Entries of targets that are not
    /// usable are left out.
    #[must_use]
    pub fn split_newest(&self, is_usable: impl Fn(u64) -> bool) -> (Vec<Entry>, Vec<Entry>) {
        let mut seen = BTreeSet::new();
        let entries = self.by_number.values().rev().copied();
        entries
            .filter(|&(_, target)| is_usable(target))
            .partition(|&(prefix, _)| seen.insert(prefix))
    }
}
