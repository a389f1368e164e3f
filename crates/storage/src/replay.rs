//! Reading the log back.

use bamboospur_agreement::{Entry, HardState, PersistedState, Snapshot};
use serde::{Deserialize, Serialize};

use crate::error::StorageError;
use crate::files::Files;
use crate::record::{HEADER_BYTES, decode, decode_header, is_proved_synced};

const PREFIX: &str = "log-";

/// Payload of a record in the log.
#[derive(Debug, Serialize, Deserialize)]
pub enum Change {
    /// Start of a segment or of a process.
    Header {
        hard: HardState,
        /// Newest snapshot.
        snapshot: Option<u64>,
        /// End of the log, with the snapshot.
        last_index: u64,
        /// The snapshot replaced the entries so far.
        clear_log: bool,
    },
    /// Term, vote and entries. Entries stored at or after the first index go.
    Write {
        hard: Option<HardState>,
        /// Newest snapshot that was durable before this record.
        snapshot: Option<u64>,
        clear_log: bool,
        entries: Vec<Entry>,
    },
    /// Everything before was synced.
    Synced,
}

/// Name of the segment that starts with a record.
pub fn segment_name(first_sequence: u64) -> String {
    format!("{PREFIX}{first_sequence:016x}")
}

/// A segment file.
#[derive(Clone, Debug)]
pub struct Segment {
    pub first_sequence: u64,
    /// Highest entry in the segment; 0 without entries.
    pub last_index: u64,
}

/// Result of a replay.
pub struct Replayed {
    key: u32,
    pub segments: Vec<Segment>,
    /// Length of the undamaged part of the last segment.
    pub tail_bytes: usize,
    pub next_sequence: u64,
    pub hard: HardState,
    /// The snapshot replaced the entries, but the log does not say so yet.
    pub is_stale: bool,
    /// The snapshot must reach this index.
    pub snapshot: Option<u64>,
    entries: Vec<Entry>,
}

/// Reads all segments in order.
pub fn replay(files: &dyn Files, names: &[String], key: u32) -> Result<Replayed, StorageError> {
    let firsts = segment_sequences(names);
    let mut replayed = Replayed {
        key,
        segments: Vec::new(),
        tail_bytes: 0,
        next_sequence: firsts.first().copied().unwrap_or(1),
        hard: HardState::default(),
        is_stale: false,
        snapshot: None,
        entries: Vec::new(),
    };
    for (at, &first_sequence) in firsts.iter().enumerate() {
        let name = segment_name(first_sequence);
        if first_sequence != replayed.next_sequence {
            let reason = "the segment before it is missing or ends too early";
            return Err(StorageError::corrupt(&name, 0, reason));
        }
        let bytes = files.read(&name);
        let bytes = bytes.map_err(|source| StorageError::io("read", &name, source))?;
        replayed.segments.push(Segment {
            first_sequence,
            last_index: 0,
        });
        let is_last = at + 1 == firsts.len();
        replayed.read_segment(&name, &bytes, is_last)?;
    }
    Ok(replayed)
}

fn segment_sequences(names: &[String]) -> Vec<u64> {
    let digits = names.iter().filter_map(|n| n.strip_prefix(PREFIX));
    let mut firsts: Vec<_> = digits
        .filter_map(|d| u64::from_str_radix(d, 16).ok())
        .collect();
    firsts.sort_unstable();
    firsts
}

impl Replayed {
    fn read_segment(
        &mut self,
        name: &str,
        bytes: &[u8],
        is_last: bool,
    ) -> Result<(), StorageError> {
        let mut offset = 0;
        while offset < bytes.len() {
            let Some(record) = decode(&bytes[offset..], self.key) else {
                self.check_torn(name, bytes, offset, is_last)?;
                break;
            };
            if record.header.sequence != self.next_sequence {
                let reason = "a record is missing or repeated";
                return Err(StorageError::corrupt(name, offset, reason));
            }
            let Ok(change) = postcard::from_bytes(record.payload) else {
                return Err(StorageError::corrupt(name, offset, "it cannot be decoded"));
            };
            if !self.apply(change) {
                return Err(StorageError::corrupt(name, offset, "an entry is missing"));
            }
            self.next_sequence += 1;
            offset += HEADER_BYTES + record.payload.len();
        }
        self.tail_bytes = offset;
        Ok(())
    }

    /// Accepts a damaged record only when it cannot have been acknowledged.
    fn check_torn(
        &self,
        name: &str,
        bytes: &[u8],
        offset: usize,
        is_last: bool,
    ) -> Result<(), StorageError> {
        if !is_last {
            let reason = "a record is damaged before the last segment";
            return Err(StorageError::corrupt(name, offset, reason));
        }
        let rest = &bytes[offset..];
        let skip = usize::from(decode_header(rest, self.key).is_some());
        if is_proved_synced(&rest[skip..], self.key, self.next_sequence) {
            let reason = "a record is damaged and a later one proves that it was synced";
            return Err(StorageError::corrupt(name, offset, reason));
        }
        Ok(())
    }

    /// Returns false when an entry does not follow the last one.
    fn apply(&mut self, change: Change) -> bool {
        match change {
            Change::Header {
                hard,
                snapshot,
                last_index,
                clear_log,
            } => {
                self.hard = hard;
                self.snapshot = self.snapshot.max(snapshot);
                if self.entries.last().map_or(0, |e| e.index) < last_index {
                    self.snapshot = self.snapshot.max(Some(last_index));
                }
                if clear_log {
                    self.entries.clear();
                }
                true
            }
            Change::Write {
                hard,
                snapshot,
                clear_log,
                entries,
            } => self.apply_write(hard, snapshot, clear_log, entries),
            Change::Synced => true,
        }
    }

    fn apply_write(
        &mut self,
        hard: Option<HardState>,
        snapshot: Option<u64>,
        clear_log: bool,
        entries: Vec<Entry>,
    ) -> bool {
        self.hard = hard.unwrap_or(self.hard);
        self.snapshot = self.snapshot.max(snapshot);
        if clear_log {
            self.entries.clear();
        }
        for entry in entries {
            if let Some(first) = self.entries.first().map(|e| e.index) {
                // The entries before the first one were in segments that a
                // snapshot replaced, so a replaced tail can start before it.
                let keep = entry.index.saturating_sub(first);
                let keep = usize::try_from(keep).unwrap_or(usize::MAX);
                if keep > self.entries.len() {
                    return false;
                }
                self.entries.truncate(keep);
            }
            if let Some(segment) = self.segments.last_mut() {
                segment.last_index = segment.last_index.max(entry.index);
            }
            self.entries.push(entry);
        }
        true
    }

    /// Joins the log with the newest snapshot.
    pub fn restored(&mut self, snapshot: Option<Snapshot>) -> Result<PersistedState, StorageError> {
        let entries = std::mem::take(&mut self.entries);
        if snapshot.is_some() && self.segments.is_empty() {
            let reason = "it is missing, but the folder has a snapshot";
            return Err(StorageError::corrupt(&segment_name(1), 0, reason));
        }
        if snapshot.as_ref().map(|s| s.index) < self.snapshot {
            let first = self.segments.first().map_or(0, |s| s.first_sequence);
            let reason = "a snapshot or the segment before it is missing";
            return Err(StorageError::corrupt(&segment_name(first), 0, reason));
        }
        let had_entries = !entries.is_empty();
        let (index, term) = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let entries = join(entries, index, term);
        self.is_stale = had_entries && entries.is_empty();
        if entries.first().is_some_and(|e| e.index != index + 1) {
            let first = self.segments.first().map_or(0, |s| s.first_sequence);
            let reason = "entries between the snapshot and the log are missing";
            return Err(StorageError::corrupt(&segment_name(first), 0, reason));
        }
        Ok(PersistedState {
            hard: self.hard,
            snapshot,
            entries,
        })
    }
}

/// Returns the entries after a snapshot. A log that does not contain the end of
/// the snapshot is older than it: the crash came between the rename of the
/// snapshot and the record that clears the log.
fn join(mut entries: Vec<Entry>, index: u64, term: u64) -> Vec<Entry> {
    if entries.first().is_some_and(|e| e.index > index) {
        return entries;
    }
    let at_end = entries.iter().find(|e| e.index == index);
    if at_end.is_none_or(|e| e.term != term) {
        return Vec::new();
    }
    entries.retain(|e| e.index > index);
    entries
}
