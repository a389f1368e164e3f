//! Replay of the log when the folder is opened.

use bamboospur_agreement::{Entry, HardState, PersistedState, Snapshot};
use serde::{Deserialize, Serialize};

use crate::error::StorageError;
use crate::files::Files;
use crate::record::{HEADER_BYTES, decode, decode_header, is_proven_synced};

const SEGMENT_PREFIX: &str = "log-";

/// Payload of a record in the log.
#[derive(Debug, Serialize, Deserialize)]
pub enum LogRecord {
    /// First record of a segment, or after a start of the process.
    Header {
        hard: HardState,
        /// Index of the newest snapshot.
        snapshot: Option<u64>,
        /// Index of the last entry, or of the snapshot when no entry follows it.
        last_index: u64,
        /// Whether the snapshot replaced all earlier entries.
        clear_log: bool,
    },
    /// Term, vote and entries. The entries replace all earlier ones from the index
    /// of the first one on.
    Write {
        hard: Option<HardState>,
        /// Index of the newest snapshot that was durable before this record.
        snapshot: Option<u64>,
        clear_log: bool,
        entries: Vec<Entry>,
    },
    /// All earlier records were synced.
    Synced,
}

/// Returns the name of the segment whose first record has this number.
pub fn segment_name(first_sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{first_sequence:016x}")
}

/// A segment file.
#[derive(Clone, Debug)]
pub struct Segment {
    pub first_sequence: u64,
    /// Highest index of an entry in the segment; 0 without entries.
    pub last_index: u64,
}

/// Result of a replay.
pub struct Replayed {
    checksum_key: u32,
    pub segments: Vec<Segment>,
    /// Length of the undamaged part of the last segment.
    pub tail_bytes: usize,
    pub next_sequence: u64,
    pub hard: HardState,
    /// Whether the snapshot replaces all entries in the log, so that the next header
    /// must clear the log.
    pub is_stale: bool,
    /// Index that the newest snapshot file must reach; absent without a snapshot.
    pub snapshot: Option<u64>,
    entries: Vec<Entry>,
}

/// Reads all segments in order.
pub fn replay(files: &dyn Files, names: &[String], key: u32) -> Result<Replayed, StorageError> {
    let first_sequences = first_sequences(names);
    let mut replayed = Replayed {
        checksum_key: key,
        segments: Vec::new(),
        tail_bytes: 0,
        next_sequence: first_sequences.first().copied().unwrap_or(1),
        hard: HardState::default(),
        is_stale: false,
        snapshot: None,
        entries: Vec::new(),
    };
    for (at, &first_sequence) in first_sequences.iter().enumerate() {
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
        let is_last = at + 1 == first_sequences.len();
        replayed.read_segment(&name, &bytes, is_last)?;
    }
    Ok(replayed)
}

fn first_sequences(names: &[String]) -> Vec<u64> {
    let digits = names.iter().filter_map(|n| n.strip_prefix(SEGMENT_PREFIX));
    let mut sequences: Vec<_> = digits
        .filter_map(|d| u64::from_str_radix(d, 16).ok())
        .collect();
    sequences.sort_unstable();
    sequences
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
            let Some(record) = decode(&bytes[offset..], self.checksum_key) else {
                self.check_torn(name, bytes, offset, is_last)?;
                break;
            };
            if record.header.sequence != self.next_sequence {
                let reason = "a record is missing or repeated";
                return Err(StorageError::corrupt(name, offset, reason));
            }
            let Ok(log_record) = postcard::from_bytes(record.payload) else {
                return Err(StorageError::corrupt(
                    name,
                    offset,
                    "a record cannot be decoded",
                ));
            };
            if !self.apply_record(log_record) {
                return Err(StorageError::corrupt(name, offset, "an entry is missing"));
            }
            self.next_sequence += 1;
            offset += HEADER_BYTES + record.payload.len();
        }
        self.tail_bytes = offset;
        Ok(())
    }

    /// Accepts a damaged record only when it cannot have been reported as synced.
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
        let skip = usize::from(decode_header(rest, self.checksum_key).is_some());
        if is_proven_synced(&rest[skip..], self.checksum_key, self.next_sequence) {
            let reason = "a record is damaged and a later one proves that it was synced";
            return Err(StorageError::corrupt(name, offset, reason));
        }
        Ok(())
    }

    /// Returns false when an entry does not follow the last one.
    fn apply_record(&mut self, record: LogRecord) -> bool {
        match record {
            LogRecord::Header {
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
            LogRecord::Write {
                hard,
                snapshot,
                clear_log,
                entries,
            } => self.apply_write(hard, snapshot, clear_log, entries),
            LogRecord::Synced => true,
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
                // Segments with earlier entries may have been removed after a
                // snapshot, so a replaced tail can start before the first entry.
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

    /// Combines the newest snapshot with the entries after it and takes the entries
    /// out of `self`.
    pub fn take_persisted_state(
        &mut self,
        snapshot: Option<Snapshot>,
    ) -> Result<PersistedState, StorageError> {
        let entries = std::mem::take(&mut self.entries);
        if snapshot.is_some() && self.segments.is_empty() {
            let reason = "the segment is missing, but the folder has a snapshot";
            return Err(StorageError::corrupt(&segment_name(1), 0, reason));
        }
        if snapshot.as_ref().map(|s| s.index) < self.snapshot {
            let first = self.segments.first().map_or(0, |s| s.first_sequence);
            let reason = "a snapshot or the segment before it is missing";
            return Err(StorageError::corrupt(&segment_name(first), 0, reason));
        }
        let had_entries = !entries.is_empty();
        let (index, term) = snapshot.as_ref().map_or((0, 0), |s| (s.index, s.term));
        let entries = entries_after_snapshot(entries, index, term);
        self.is_stale = had_entries && entries.is_empty();
        if entries.first().is_some_and(|e| e.index != index + 1) {
            let first = self.segments.first().map_or(0, |s| s.first_sequence);
            let reason = "entries between the snapshot and the log are missing";
            return Err(StorageError::corrupt(&segment_name(first), 0, reason));
        }
        Ok(PersistedState {
            hard_state: self.hard,
            snapshot,
            entries,
        })
    }
}

/// Returns the entries after a snapshot. A log that does not contain the last
/// entry of the snapshot is older than the snapshot: the process crashed between
/// the rename of the snapshot and the record that clears the log.
fn entries_after_snapshot(mut entries: Vec<Entry>, index: u64, term: u64) -> Vec<Entry> {
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
