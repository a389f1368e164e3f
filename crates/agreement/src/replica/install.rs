//! Snapshots from the leader.

use std::sync::Arc;

use bamboospur_types::InstanceId;

use super::Replica;
use crate::api::{Output, ProposeError, Violation};
use crate::entry::{LogIndex, Snapshot, checksum};
use crate::log::Log;
use crate::message::{AppendResult, Body, SnapshotChunk};

/// Snapshot that is being received.
#[derive(Debug)]
pub struct Incoming {
    index: LogIndex,
    total_checksum: u64,
    state: Vec<u8>,
}

impl Replica {
    pub(super) fn on_chunk(&mut self, from: InstanceId, chunk: SnapshotChunk) {
        let index = chunk.index;
        if index <= self.commit || self.log.term_at(index) == Some(chunk.snapshot_term) {
            self.incoming = None;
            self.commit = self.commit.max(index);
            let result = AppendResult::Matched { index };
            self.send_after_sync(from, Body::AppendReply(result));
            return;
        }
        let offset = self.receive(&chunk);
        if offset < chunk.total_bytes {
            self.send(from, Body::SnapshotReply { index, offset });
            return;
        }
        let state = self.incoming.take().map_or_else(Vec::new, |i| i.state);
        if checksum(&state) != chunk.total_checksum {
            self.report(Violation::SnapshotChecksum { index });
            let offset = 0;
            self.send(from, Body::SnapshotReply { index, offset });
            return;
        }
        self.install(chunk, state);
        let result = AppendResult::Matched { index };
        self.send_after_sync(from, Body::AppendReply(result));
    }

    /// Adds a chunk and returns the offset of the next one wanted.
    fn receive(&mut self, chunk: &SnapshotChunk) -> u64 {
        let same =
            |i: &Incoming| i.index == chunk.index && i.total_checksum == chunk.total_checksum;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(Incoming {
                index: chunk.index,
                total_checksum: chunk.total_checksum,
                state: Vec::new(),
            });
        }
        let limit_bytes = (self.settings.max_snapshot_bytes as u64).min(chunk.total_bytes);
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        let offset = incoming.state.len() as u64;
        let end = chunk.offset.saturating_add(chunk.data.len() as u64);
        let fits = chunk.offset == offset && end <= limit_bytes;
        if fits && checksum(&chunk.data) == chunk.checksum {
            incoming.state.extend_from_slice(&chunk.data);
            return end;
        }
        offset
    }

    /// Replaces log and applied state.
    fn install(&mut self, chunk: SnapshotChunk, state: Vec<u8>) {
        let SnapshotChunk { index, members, .. } = chunk;
        let term = chunk.snapshot_term;
        self.log = Log::new(index, term, members.clone());
        self.disk.truncated(1);
        let snapshot = Snapshot {
            index,
            term,
            members: members.clone(),
            state: Arc::new(state.clone()),
        };
        self.snapshot = Some(snapshot.clone());
        let write = self.write();
        write.snapshot = Some(snapshot);
        write.clear_log = true;
        self.disk.appended(index);
        self.commit = index;
        self.applied = index;
        self.out.push(Output::Restore { index, state });
        self.out.push(Output::MembersChanged { index, members });
        self.forget_pending(index);
        self.check_own_disk();
    }

    /// The snapshot does not tell which entries it includes.
    fn forget_pending(&mut self, index: LogIndex) {
        let later = self.pending.split_off(&(index + 1, 0));
        let covered = std::mem::replace(&mut self.pending, later);
        for ticket in covered.into_values() {
            self.done(ticket, Err(ProposeError::Unknown));
        }
    }
}
