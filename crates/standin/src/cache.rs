//! Prefix cache of the stand-in engine. The size is bounded in tokens; the least
//! recently used prefixes are evicted first.

use std::collections::BTreeMap;

use bamboospur_types::{mix64, stable_id};

const CHARS_PER_TOKEN: usize = 4;

/// Hash of a message and all messages before it.
pub type PrefixId = u64;

#[derive(Debug)]
struct Entry {
    tokens: u64,
    last_used: u64,
}

/// LRU cache of prompt prefixes.
#[derive(Debug)]
pub struct PrefixCache {
    entries: BTreeMap<PrefixId, Entry>,
    ids_by_last_use: BTreeMap<u64, PrefixId>,
    /// Count of uses so far; the value at a use orders the entries.
    clock: u64,
    held_tokens: u64,
    capacity_tokens: u64,
}

/// Prefix of a prompt that ends with one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of this message and all messages before it.
    pub id: PrefixId,
    /// Tokens of this message alone.
    pub tokens: u64,
}

/// Estimates the number of tokens of a text, at least one.
#[must_use]
pub fn count_tokens(text: &str) -> u64 {
    text.chars().count().div_ceil(CHARS_PER_TOKEN).max(1) as u64
}

/// Returns one prefix for each message of a prompt, in order.
#[must_use]
pub fn message_prefixes(messages: &[String]) -> Vec<Prefix> {
    let mut id = 0;
    let mut result = Vec::with_capacity(messages.len());
    for message in messages {
        id = mix64(id ^ stable_id(message));
        let tokens = count_tokens(message);
        result.push(Prefix { id, tokens });
    }
    result
}

impl PrefixCache {
    /// Creates an empty cache with a capacity in tokens.
    #[must_use]
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            entries: BTreeMap::new(),
            ids_by_last_use: BTreeMap::new(),
            clock: 0,
            held_tokens: 0,
            capacity_tokens,
        }
    }

    /// Returns the number of tokens of the longest cached prefix, and stores all
    /// prefixes of the prompt.
    pub fn lookup_and_store(&mut self, prompt: &[Prefix]) -> u64 {
        let cached = prompt.iter().take_while(|p| self.mark_used(p.id)).count();
        let cached_tokens = prompt[..cached].iter().map(|p| p.tokens).sum();
        for prefix in &prompt[cached..] {
            self.store(*prefix);
        }
        self.evict();
        cached_tokens
    }

    /// Stores a prefix or, when it is cached already, marks it as used. Does not
    /// evict anything.
    pub fn store(&mut self, prefix: Prefix) {
        if self.mark_used(prefix.id) {
            return;
        }
        self.clock += 1;
        let entry = Entry {
            tokens: prefix.tokens,
            last_used: self.clock,
        };
        self.entries.insert(prefix.id, entry);
        self.ids_by_last_use.insert(self.clock, prefix.id);
        self.held_tokens += prefix.tokens;
    }

    /// Marks a prefix as the most recently used; returns whether it is cached.
    fn mark_used(&mut self, id: PrefixId) -> bool {
        let Some(entry) = self.entries.get_mut(&id) else {
            return false;
        };
        self.clock += 1;
        self.ids_by_last_use.remove(&entry.last_used);
        entry.last_used = self.clock;
        self.ids_by_last_use.insert(self.clock, id);
        true
    }

    fn evict(&mut self) {
        while self.held_tokens > self.capacity_tokens {
            let Some((_, id)) = self.ids_by_last_use.pop_first() else {
                return;
            };
            if let Some(entry) = self.entries.remove(&id) {
                self.held_tokens -= entry.tokens;
            }
        }
    }
}
