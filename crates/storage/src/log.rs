//! The segmented log.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bamboospur_agreement::{HardState, Persist, PersistedState};

use crate::error::StorageError;
use crate::files::{DataFile, Files};
use crate::record::encode;
use crate::replay::{LogRecord, Segment, replay, segment_name};
use crate::snapshot;

/// Segment size and sync threshold of a log.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Size from which a segment is closed and a new one started.
    pub segment_bytes: usize,
    /// Duration above which a sync is reported as slow.
    pub slow_sync_threshold: Duration,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 8 * 1024 * 1024,
            slow_sync_threshold: Duration::from_millis(200),
        }
    }
}

/// Result of a sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SyncReport {
    /// Number of the last [`Persist`] on disk.
    pub sequence: u64,
    /// Time that the write and the sync took.
    pub duration: Duration,
    /// Whether write and sync took longer than [`LogSettings::slow_sync_threshold`].
    pub is_slow: bool,
}

/// The log, open for appending.
pub struct Log {
    files: Arc<dyn Files>,
    settings: LogSettings,
    /// Initial value of the header checksums; part of the folder's identity.
    checksum_key: u32,
    file: Box<dyn DataFile>,
    file_bytes: usize,
    /// All segments, oldest first; the last one is open for appending.
    segments: Vec<Segment>,
    hard: HardState,
    /// Index of the newest snapshot.
    snapshot: Option<u64>,
    /// Index of the last entry, or of the snapshot when no entry follows it.
    last_index: u64,
    next_sequence: u64,
    /// Number of the last record that was synced.
    synced: u64,
    /// Encoded records that were not written to the file yet.
    buffer: Vec<u8>,
    /// Number of the last [`Persist`] in the buffer.
    persist_sequence: u64,
    failed: bool,
}

impl Log {
    pub(crate) fn open(
        files: Arc<dyn Files>,
        settings: LogSettings,
        key: u32,
    ) -> Result<(Self, PersistedState), StorageError> {
        let names = files.list();
        let names = names.map_err(|source| StorageError::io("list", "the folder", source))?;
        let snapshot = snapshot::load(&*files, &names)?;
        let mut replayed = replay(&*files, &names, key)?;
        let restored = replayed.take_persisted_state(snapshot)?;
        let is_new = replayed.segments.is_empty();
        if is_new {
            replayed.segments.push(Segment {
                first_sequence: replayed.next_sequence,
                last_index: 0,
            });
        }
        let name = segment_name(replayed.segments[replayed.segments.len() - 1].first_sequence);
        let opened = if is_new {
            files.create(&name)
        } else {
            files.open_append(&name, replayed.tail_bytes)
        };
        let file = opened.map_err(|source| StorageError::io("open", &name, source))?;
        let mut log = Self {
            files,
            settings,
            checksum_key: key,
            file,
            file_bytes: replayed.tail_bytes,
            segments: replayed.segments,
            hard: replayed.hard,
            snapshot: restored.snapshot.as_ref().map(|s| s.index),
            last_index: restored.last_index(),
            next_sequence: replayed.next_sequence,
            synced: 0,
            buffer: Vec::new(),
            persist_sequence: 0,
            failed: false,
        };
        log.sync_replayed()?;
        log.write_header(replayed.is_stale)?;
        log.flush()?;
        Ok((log, restored))
    }

    /// Syncs the replayed records. Those of a killed process may exist only in
    /// the page cache, and the replica will treat them as durable.
    fn sync_replayed(&mut self) -> Result<(), StorageError> {
        let name = self.open_segment_name();
        let synced = self.file.sync();
        synced.map_err(|source| StorageError::io("sync", &name, source))?;
        self.sync_folder()?;
        self.synced = self.next_sequence - 1;
        Ok(())
    }

    /// Repeats term and vote, so that earlier segments can be removed. With
    /// `clear_log`, the snapshot replaces all earlier entries, so the next entry
    /// does not have to follow them.
    fn write_header(&mut self, clear_log: bool) -> Result<(), StorageError> {
        self.buffer_record(&LogRecord::Header {
            hard: self.hard,
            snapshot: self.snapshot,
            last_index: self.last_index,
            clear_log,
        })
    }

    fn open_segment_name(&self) -> String {
        segment_name(self.segments.last().map_or(1, |s| s.first_sequence))
    }

    fn sync_folder(&self) -> Result<(), StorageError> {
        let synced = self.files.sync_folder();
        synced.map_err(|source| StorageError::io("sync", "the folder", source))
    }

    /// Buffers a write, which is durable after the next [`Log::sync`]. Its
    /// snapshot is durable on return.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken. The log must be opened again.
    pub fn write(&mut self, persist: &Persist) -> Result<(), StorageError> {
        self.run_unless_failed(|log| log.buffer_write(persist))
    }

    /// Makes all writes durable with one sync.
    ///
    /// # Errors
    ///
    /// Fails when the disk is full or broken. The log must be opened again.
    pub fn sync(&mut self) -> Result<SyncReport, StorageError> {
        let began = Instant::now();
        self.run_unless_failed(Self::flush)?;
        let took = began.elapsed();
        Ok(SyncReport {
            sequence: self.persist_sequence,
            duration: took,
            is_slow: took > self.settings.slow_sync_threshold,
        })
    }

    fn run_unless_failed(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), StorageError>,
    ) -> Result<(), StorageError> {
        if self.failed {
            return Err(StorageError::Failed);
        }
        let result = operation(self);
        self.failed = result.is_err();
        result
    }

    fn buffer_write(&mut self, persist: &Persist) -> Result<(), StorageError> {
        if let Some(new) = &persist.snapshot {
            snapshot::save(&*self.files, new)?;
            self.snapshot = Some(new.index);
        }
        if let Some(hard) = persist.hard_state {
            self.hard = hard;
        }
        self.buffer_record(&LogRecord::Write {
            hard: persist.hard_state,
            snapshot: persist.snapshot.as_ref().map(|s| s.index),
            clear_log: persist.clear_log,
            entries: persist.entries.clone(),
        })?;
        if let Some(new) = persist.snapshot.as_ref().filter(|_| persist.clear_log) {
            self.last_index = new.index;
        }
        if let Some(last) = persist.entries.last() {
            self.last_index = last.index;
        }
        if let (Some(last), Some(segment)) = (persist.entries.last(), self.segments.last_mut()) {
            segment.last_index = segment.last_index.max(last.index);
        }
        self.persist_sequence = persist.sequence;
        let Some(new) = &persist.snapshot else {
            return Ok(());
        };
        // Segments are removed only after the buffered records are synced. Without
        // these records, the remaining entries could be of a replaced log.
        self.flush()?;
        self.remove_covered_files(new.index)
    }

    fn buffer_record(&mut self, record: &LogRecord) -> Result<(), StorageError> {
        let Ok(payload) = postcard::to_stdvec(record) else {
            return Err(StorageError::corrupt(
                &self.open_segment_name(),
                0,
                "a record cannot be encoded",
            ));
        };
        encode(
            &mut self.buffer,
            self.checksum_key,
            self.next_sequence,
            self.synced,
            &payload,
        );
        self.next_sequence += 1;
        Ok(())
    }

    fn flush(&mut self) -> Result<(), StorageError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.write_buffer()?;
        let name = self.open_segment_name();
        let synced = self.file.sync();
        synced.map_err(|source| StorageError::io("sync", &name, source))?;
        self.synced = self.next_sequence - 1;
        if self.file_bytes >= self.settings.segment_bytes {
            return self.start_segment();
        }
        // Without this marker, damage to the last records would look like writes
        // that were never synced. The marker needs no sync of its own.
        self.buffer_record(&LogRecord::Synced)?;
        self.write_buffer()
    }

    fn write_buffer(&mut self) -> Result<(), StorageError> {
        let name = self.open_segment_name();
        let written = self.file.append(&self.buffer);
        written.map_err(|source| StorageError::io("write", &name, source))?;
        self.file_bytes += self.buffer.len();
        self.buffer.clear();
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let first_sequence = self.next_sequence;
        let name = segment_name(first_sequence);
        let created = self.files.create(&name);
        self.file = created.map_err(|source| StorageError::io("create", &name, source))?;
        self.file_bytes = 0;
        self.segments.push(Segment {
            first_sequence,
            last_index: 0,
        });
        self.write_header(false)?;
        self.write_buffer()?;
        let synced = self.file.sync();
        synced.map_err(|source| StorageError::io("sync", &name, source))?;
        self.sync_folder()?;
        self.synced = self.next_sequence - 1;
        Ok(())
    }

    /// Removes the segments and snapshots that a durable snapshot replaces.
    fn remove_covered_files(&mut self, index: u64) -> Result<(), StorageError> {
        snapshot::remove_before(&*self.files, index)?;
        let closed = self.segments.len() - 1;
        let covered = self.segments.iter().take(closed);
        let count = covered.take_while(|s| s.last_index <= index).count();
        for segment in self.segments.drain(..count) {
            let name = segment_name(segment.first_sequence);
            let removed = self.files.remove(&name);
            removed.map_err(|source| StorageError::io("remove", &name, source))?;
            // Without this sync, a crash could keep an older segment and lose a
            // newer one, which would look like a missing segment.
            let synced = self.files.sync_folder();
            synced.map_err(|source| StorageError::io("sync", "the folder", source))?;
        }
        Ok(())
    }
}
