//! A disk that loses unsynced writes in a crash.

use std::collections::VecDeque;

use bamboospur_agreement::{Persist, PersistedState};

#[derive(Default)]
pub struct Disk {
    pub durable: PersistedState,
    pending: VecDeque<Persist>,
}

impl Disk {
    pub fn write(&mut self, write: Persist) {
        self.pending.push_back(write);
    }

    pub fn sync(&mut self, sequence: u64) {
        while self.pending.front().is_some_and(|p| p.sequence <= sequence) {
            let Some(write) = self.pending.pop_front() else {
                return;
            };
            apply(&mut self.durable, write);
        }
    }

    /// Keeps the first `kept` unsynced writes and loses the others.
    pub fn crash(&mut self, kept: usize) {
        for write in self.pending.drain(..).take(kept) {
            apply(&mut self.durable, write);
        }
    }
}

fn apply(state: &mut PersistedState, write: Persist) {
    if let Some(hard) = write.hard_state {
        state.hard_state = hard;
    }
    if let Some(snapshot) = write.snapshot {
        state.entries.retain(|entry| entry.index > snapshot.index);
        state.snapshot = Some(snapshot);
    }
    if write.clear_log {
        state.entries.clear();
    }
    if let Some(first) = write.entries.first().map(|entry| entry.index) {
        state.entries.retain(|entry| entry.index < first);
        state.entries.extend(write.entries);
    }
}
