//! In-memory log, with the members at each index.

use std::collections::VecDeque;

use crate::entry::{Entry, LogIndex, Payload, Term};
use crate::members::Members;

/// Entries after the compacted part of the log.
#[derive(Clone, Debug)]
pub struct Log {
    /// Last compacted index.
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Members with the index of the entry that set them; never empty.
    members: VecDeque<(LogIndex, Members)>,
}

impl Log {
    pub fn new(base_index: LogIndex, base_term: Term, members: Members) -> Self {
        Self {
            base_index,
            base_term,
            entries: VecDeque::new(),
            members: VecDeque::from([(base_index, members)]),
        }
    }

    /// Index of the first entry held.
    pub const fn first_index(&self) -> LogIndex {
        self.base_index + 1
    }

    pub fn last_index(&self) -> LogIndex {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the term of an entry that is held or that was compacted last.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.first_index())?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry, whose index must be the next one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        if let Payload::Members(members) = &entry.payload {
            self.members.push_back((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from this index on.
    pub fn truncate(&mut self, from: LogIndex) {
        while self.last_index() >= from && self.entries.pop_back().is_some() {}
        while self.members.len() > 1 && self.members.back().is_some_and(|(i, _)| *i >= from) {
            self.members.pop_back();
        }
    }

    /// Drops the entries up to and including this index.
    pub fn compact(&mut self, index: LogIndex) {
        while self.base_index < index {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        while self.members.len() > 1 && self.members.get(1).is_some_and(|(i, _)| *i <= index) {
            self.members.pop_front();
        }
    }

    /// Newest members, committed or not.
    pub fn members(&self) -> &Members {
        &self.members[self.members.len() - 1].1
    }

    /// Index of the entry that set the newest members.
    pub fn members_index(&self) -> LogIndex {
        self.members[self.members.len() - 1].0
    }

    /// Members in force at an index.
    pub fn members_at(&self, index: LogIndex) -> &Members {
        let found = self.members.iter().rev().find(|(i, _)| *i <= index);
        &found.unwrap_or(&self.members[0]).1
    }

    /// Clones entries from an index on: as many as fit the limit, but at least
    /// one when there is any.
    pub fn slice(&self, from: LogIndex, limit_bytes: usize) -> Vec<Entry> {
        let Some(offset) = from.checked_sub(self.first_index()) else {
            return Vec::new();
        };
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let mut slice = Vec::new();
        for entry in self.entries.iter().skip(offset) {
            bytes += entry.size_bytes();
            if !slice.is_empty() && bytes > limit_bytes {
                break;
            }
            slice.push(entry.clone());
        }
        slice
    }

    /// First index held of the run of entries with equal terms that ends at
    /// `index`.
    pub fn first_index_of_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else {
            return index;
        };
        let mut first = index;
        while first > self.first_index() && self.term_at(first - 1) == Some(term) {
            first -= 1;
        }
        first
    }

    /// Last index whose term is at most `term`, searching down from `index`.
    pub fn last_index_up_to_term(&self, index: LogIndex, term: Term) -> LogIndex {
        let mut last = index.min(self.last_index());
        while last > self.base_index && self.term_at(last).is_some_and(|t| t > term) {
            last -= 1;
        }
        last
    }

    /// Lowest index to compact to that leaves at most `limit_bytes` of the
    /// entries up to `index`.
    pub fn compaction_index(&self, index: LogIndex, limit_bytes: usize) -> LogIndex {
        let mut bytes = 0;
        let mut at = index;
        while let Some(entry) = self.get(at) {
            bytes += entry.size_bytes();
            if bytes > limit_bytes {
                break;
            }
            at -= 1;
        }
        at
    }
}
