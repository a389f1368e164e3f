//! Simulated disk that loses unsynced writes in a crash.

use std::collections::VecDeque;

use bamboospur_agreement::{Entry, LogIndex, Persist, PersistedState, Term};

#[derive(Default)]
pub struct Disk {
    pub durable: PersistedState,
    pub pending: VecDeque<Persist>,
}

impl Disk {
    pub fn sync(&mut self, sequence: u64) {
        while self.pending.front().is_some_and(|p| p.sequence <= sequence) {
            let write = self.pending.pop_front().unwrap();
            apply(&mut self.durable, write);
        }
    }

    /// Keeps the first `kept` unsynced writes and loses the others.
    pub fn crash(&mut self, kept: usize) {
        for write in self.pending.drain(..).take(kept) {
            apply(&mut self.durable, write);
        }
    }

    pub fn last_index(&self) -> LogIndex {
        self.durable.last_index()
    }

    pub fn holds(&self, index: LogIndex, term: Term) -> bool {
        let snapshot = self.durable.snapshot.as_ref().map_or(0, |s| s.index);
        let same = |e: &Entry| e.index == index && e.term == term;
        index <= snapshot || self.durable.entries.iter().any(same)
    }
}

fn apply(state: &mut PersistedState, write: Persist) {
    if let Some(hard) = write.hard_state {
        state.hard_state = hard;
    }
    if let Some(snapshot) = write.snapshot {
        state.entries.retain(|e| e.index > snapshot.index);
        state.snapshot = Some(snapshot);
    }
    if write.clear_log {
        state.entries.clear();
    }
    if let Some(first) = write.entries.first() {
        let first = first.index;
        state.entries.retain(|e| e.index < first);
        state.entries.extend(write.entries);
    }
}
