//! Snapshots received from the leader.

use std::sync::Arc;

use bamboospur_types::InstanceId;

use super::Replica;
use crate::api::{Output, ProposeError, Violation};
use crate::entry::{LogIndex, Snapshot, checksum};
use crate::log::Log;
use crate::message::{AppendResult, MessageBody, SnapshotChunk};

/// Snapshot of which some chunks were received.
#[derive(Debug)]
pub struct IncomingSnapshot {
    index: LogIndex,
    total_checksum: u64,
    state: Vec<u8>,
}

impl Replica {
    pub(super) fn on_snapshot_chunk(&mut self, from: InstanceId, chunk: SnapshotChunk) {
        let index = chunk.index;
        if index <= self.commit_index || self.log.term_at(index) == Some(chunk.snapshot_term) {
            // A snapshot covers only committed entries, and this log has the last one.
            self.incoming_snapshot = None;
            self.commit_index = self.commit_index.max(index);
            let result = AppendResult::Matched { index };
            self.send_after_sync(from, MessageBody::AppendReply(result));
            return;
        }
        let offset = self.receive_snapshot_chunk(&chunk);
        if offset < chunk.total_bytes {
            self.send(from, MessageBody::SnapshotReply { index, offset });
            return;
        }
        let state = self
            .incoming_snapshot
            .take()
            .map_or_else(Vec::new, |i| i.state);
        if checksum(&state) != chunk.total_checksum {
            self.report_violation(Violation::SnapshotChecksum { index });
            let offset = 0;
            self.send(from, MessageBody::SnapshotReply { index, offset });
            return;
        }
        self.install_snapshot(chunk, state);
        let result = AppendResult::Matched { index };
        self.send_after_sync(from, MessageBody::AppendReply(result));
    }

    /// Adds a valid chunk and returns the offset of the next chunk to request.
    fn receive_snapshot_chunk(&mut self, chunk: &SnapshotChunk) -> u64 {
        let same = |i: &IncomingSnapshot| {
            i.index == chunk.index && i.total_checksum == chunk.total_checksum
        };
        if !self.incoming_snapshot.as_ref().is_some_and(same) {
            self.incoming_snapshot = Some(IncomingSnapshot {
                index: chunk.index,
                total_checksum: chunk.total_checksum,
                state: Vec::new(),
            });
        }
        let limit_bytes = (self.settings.max_snapshot_bytes as u64).min(chunk.total_bytes);
        let Some(incoming_snapshot) = &mut self.incoming_snapshot else {
            return 0;
        };
        let offset = incoming_snapshot.state.len() as u64;
        let end = chunk.offset.saturating_add(chunk.data.len() as u64);
        let fits = chunk.offset == offset && end <= limit_bytes;
        if fits && checksum(&chunk.data) == chunk.checksum {
            incoming_snapshot.state.extend_from_slice(&chunk.data);
            return end;
        }
        offset
    }

    /// Replaces the log and the applied state with a snapshot.
    fn install_snapshot(&mut self, chunk: SnapshotChunk, state: Vec<u8>) {
        let SnapshotChunk { index, members, .. } = chunk;
        let term = chunk.snapshot_term;
        self.log = Log::new(index, term, members.clone());
        self.sync_tracker.record_truncation(1);
        let snapshot = Snapshot {
            index,
            term,
            members: members.clone(),
            state: Arc::new(state.clone()),
        };
        self.snapshot = Some(snapshot.clone());
        let write = self.current_write();
        write.snapshot = Some(snapshot);
        write.clear_log = true;
        self.sync_tracker.record_append(index);
        self.commit_index = index;
        self.last_applied = index;
        self.outputs.push(Output::Restore { index, state });
        self.outputs.push(Output::MembersChanged { index, members });
        self.fail_proposals_up_to(index);
        self.check_own_disk();
    }

    /// Reports the proposals up to `index` as unknown, because the snapshot does not
    /// show which of them were committed.
    fn fail_proposals_up_to(&mut self, index: LogIndex) {
        let later = self.pending_proposals.split_off(&(index + 1, 0));
        let covered = std::mem::replace(&mut self.pending_proposals, later);
        for ticket in covered.into_values() {
            self.report_result(ticket, Err(ProposeError::Unknown));
        }
    }
}
