//! A simulated engine: its load, and a prefix cache that evicts the chats stored
//! least recently.

use std::collections::{BTreeMap, HashMap, VecDeque};

#[derive(Default)]
pub struct Engine {
    /// Whether new requests may be placed on the engine.
    pub ready: bool,
    /// Raised by each crash; requests of an earlier incarnation are lost.
    pub incarnation: u64,
    /// Work of the requests in progress.
    pub load_tokens: u64,
    /// Requests in progress.
    pub requests: u32,
    /// Requests in progress by their work in tokens, to find the largest.
    pub request_work_counts: BTreeMap<u64, u32>,
    /// Tokens and requests in progress at each of the last seconds, newest last.
    pub load_history: VecDeque<(u64, u32)>,
    /// Tokens and last use of each cached chat.
    cache: HashMap<u64, (u32, u64)>,
    /// Cached chats by last use.
    eviction_order: BTreeMap<u64, u64>,
    cached_tokens: u64,
    /// Sequence number of the newest use.
    last_use: u64,
}

impl Engine {
    pub fn cached_tokens_for(&self, chat: u64) -> u32 {
        self.cache.get(&chat).map_or(0, |(tokens, _)| *tokens)
    }

    /// Stores a chat's tokens and returns the chats evicted to stay within
    /// `capacity_tokens`.
    pub fn store_chat(&mut self, chat: u64, tokens: u32, capacity_tokens: u64) -> Vec<u64> {
        self.remove_chat(chat);
        self.last_use += 1;
        self.cache.insert(chat, (tokens, self.last_use));
        self.eviction_order.insert(self.last_use, chat);
        self.cached_tokens += u64::from(tokens);
        let mut evicted = Vec::new();
        while self.cached_tokens > capacity_tokens {
            let Some((_, oldest)) = self.eviction_order.first_key_value() else {
                break;
            };
            let oldest = *oldest;
            self.remove_chat(oldest);
            evicted.push(oldest);
        }
        evicted
    }

    fn remove_chat(&mut self, chat: u64) {
        if let Some((tokens, last_use)) = self.cache.remove(&chat) {
            self.eviction_order.remove(&last_use);
            self.cached_tokens -= u64::from(tokens);
        }
    }

    pub fn start_request(&mut self, work: u64) {
        self.load_tokens += work;
        self.requests += 1;
        *self.request_work_counts.entry(work).or_default() += 1;
    }

    pub fn finish_request(&mut self, work: u64) {
        self.load_tokens -= work;
        self.requests -= 1;
        if let Some(count) = self.request_work_counts.get_mut(&work) {
            *count -= 1;
            if *count == 0 {
                self.request_work_counts.remove(&work);
            }
        }
    }

    /// Drops the requests and the cache.
    pub fn crash(&mut self) {
        *self = Self {
            incarnation: self.incarnation + 1,
            load_history: std::mem::take(&mut self.load_history),
            ..Self::default()
        };
    }

    pub fn largest_request_tokens(&self) -> u64 {
        self.request_work_counts
            .last_key_value()
            .map_or(0, |(work, _)| *work)
    }
}
